//! `tansylead query`: sends one query to a daemon and prints the answer.

use crate::commands::Subcommand;
use crate::daemon_flag;
use crate::exit_code::ExitStatus;
use crate::http_client::{RequestHeader, exchange};
use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::WrapErr;
use hyper::Method;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::time::Duration;
use tansylead_daemon::http::{
    DEADLINE_HEADER, EXPIRES_HEADER, IDEMPOTENCY_KEY_HEADER, QueryBody, REQUEST_ID_HEADER,
};
use tansylead_types::{Outcome, ServiceName};

/// The subcommand.
pub const SUBCOMMAND: Subcommand = Subcommand { command, run };

/// Wait beyond the deadline, so that the daemon's own answer can arrive.
const ANSWER_MARGIN: Duration = Duration::from_secs(5);
/// Longest wait if no deadline is given.
const MAXIMUM_WAIT: Duration = Duration::from_secs(120);

const EXAMPLES: &str = "\
Examples:
  tansylead query screening '{\"tenant\": \"T-1024\"}'
  tansylead query cashier '{\"account\": 77}' --routing-key 77 --deadline-ms 300
  tansylead query post-payment '{\"account\": 77, \"amount\": 12}' --idempotency-key till-4-000123 \\
      --expires-ms 1790000000000

The answer is printed as JSON. Exits with 0 if it is complete, 4 if partial, 5 if the request was
not run, 6 if it may have run. Repeat a request with the same key and the same expiry only.";

fn command() -> Command {
    let text = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("TEXT").help(help)
    };
    let number = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("NUMBER")
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("query")
        .about("Send one query and print its answer")
        .after_help(EXAMPLES)
        .arg(
            Arg::new("service")
                .required(true)
                .value_parser(value_parser!(ServiceName))
                .help("Service to ask"),
        )
        .arg(Arg::new("query").required(true).help("Query: any JSON"))
        .arg(daemon_flag::argument())
        .arg(text("routing-key", "Ask only the shard that owns this key"))
        .arg(text("request-id", "Id of the request; made up if absent"))
        .arg(number(
            "deadline-ms",
            "Time for the whole query, in milliseconds",
        ))
        .arg(text("idempotency-key", "Run at most once for this key").requires("expires-ms"))
        .arg(number(
            "expires-ms",
            "Unix milliseconds after which the request must not run",
        ))
}

fn run(matches: &ArgMatches) -> eyre::Result<ExitStatus> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("start the runtime")?;
    runtime.block_on(query(matches))
}

/// The field of every reply that determines the exit code.
#[derive(Debug, Deserialize)]
struct ReplyOutcome {
    outcome: Outcome,
}

async fn query(matches: &ArgMatches) -> eyre::Result<ExitStatus> {
    let service = matches
        .get_one::<ServiceName>("service")
        .ok_or_else(|| eyre::eyre!("no service given"))?;
    let daemon = daemon_flag::address(matches)?;
    let text = matches
        .get_one::<String>("query")
        .cloned()
        .unwrap_or_default();
    let body = QueryBody {
        query: RawValue::from_string(text).wrap_err("the query is not JSON")?,
        routing_key: matches.get_one::<String>("routing-key").cloned(),
    };
    let body = serde_json::to_vec(&body)?.into();
    let path = format!("/v1/services/{service}/query");
    let deadline = matches.get_one::<u64>("deadline-ms");
    let limit = deadline.map_or(MAXIMUM_WAIT, |&millis| {
        Duration::from_millis(millis) + ANSWER_MARGIN
    });
    let reply = exchange(daemon, Method::POST, &path, &headers(matches), body, limit).await?;
    output_line!("{}", String::from_utf8_lossy(&reply.body));
    let parsed: ReplyOutcome = serde_json::from_slice(&reply.body)
        .wrap_err_with(|| format!("{daemon}: unexpected answer with status {}", reply.status))?;
    Ok(match parsed.outcome {
        Outcome::Complete => ExitStatus::Success,
        Outcome::Partial => ExitStatus::Partial,
        Outcome::NotRun => ExitStatus::NotRun,
        Outcome::Unknown => ExitStatus::Unknown,
    })
}

fn headers(matches: &ArgMatches) -> Vec<RequestHeader> {
    let text = |argument: &str| matches.get_one::<String>(argument).cloned();
    let number = |argument: &str| matches.get_one::<u64>(argument).map(u64::to_string);
    let given = [
        (DEADLINE_HEADER, number("deadline-ms")),
        (REQUEST_ID_HEADER, text("request-id")),
        (IDEMPOTENCY_KEY_HEADER, text("idempotency-key")),
        (EXPIRES_HEADER, number("expires-ms")),
    ];
    let present = given.into_iter().filter_map(|(name, value)| {
        let value = value?;
        Some(RequestHeader { name, value })
    });
    present.collect()
}
