//! `tansylead status`: prints the state of a daemon and its view of the cluster.

use crate::commands::Subcommand;
use crate::daemon_flag;
use crate::exit_code::ExitStatus;
use crate::http_client::exchange;
use bytes::Bytes;
use clap::{Arg, ArgAction, ArgMatches, Command};
use eyre::WrapErr;
use hyper::{Method, StatusCode};
use std::time::Duration;
use tabled::settings::Style;
use tabled::{Table, Tabled};
use tansylead_daemon::root::CoverageCounts;
use tansylead_daemon::status::{DaemonStatus, PlaceStatus};
use tansylead_types::{PlaceName, ServiceName};

/// The subcommand.
pub const SUBCOMMAND: Subcommand = Subcommand { command, run };

/// Time limit for the daemon's reply.
const REPLY_LIMIT: Duration = Duration::from_secs(10);
/// Printed for a value that is absent.
const NONE: &str = "-";

const EXAMPLES: &str = "\
Examples:
  tansylead status --daemon 10.0.0.7:8080
  tansylead status --daemon 10.0.0.7:8080 --json

Exits with 9 if the daemon is not ready.";

fn command() -> Command {
    Command::new("status")
        .about("Show serving sets, snapshots, limits, leaving back ends and generations")
        .after_help(EXAMPLES)
        .arg(daemon_flag::argument())
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the daemon's JSON unchanged"),
        )
}

fn run(matches: &ArgMatches) -> eyre::Result<ExitStatus> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("start the runtime")?;
    runtime.block_on(status(matches))
}

async fn status(matches: &ArgMatches) -> eyre::Result<ExitStatus> {
    let daemon = daemon_flag::address(matches)?;
    let reply = exchange(
        daemon,
        Method::GET,
        "/v1/status",
        &[],
        Bytes::new(),
        REPLY_LIMIT,
    )
    .await?;
    let body_text = String::from_utf8_lossy(&reply.body);
    if reply.status != StatusCode::OK {
        eyre::bail!("{daemon}: unexpected status {}: {body_text}", reply.status);
    }
    let parsed: DaemonStatus = serde_json::from_slice(&reply.body)
        .wrap_err_with(|| format!("{daemon}: unexpected answer"))?;
    if matches.get_flag("json") {
        output_line!("{body_text}");
    } else {
        print_status(&parsed);
    }
    Ok(match parsed.readiness.ready {
        true => ExitStatus::Success,
        false => ExitStatus::NotReady,
    })
}

/// One row of the table of services.
#[derive(Tabled)]
struct ServiceRow {
    service: String,
    place: String,
    generation: u64,
    weight: String,
    limit: String,
    snapshots: String,
    #[tabled(rename = "serving set")]
    serving_set: String,
    leafs: usize,
    #[tabled(rename = "coverage %")]
    coverage: String,
    #[tabled(rename = "q/s")]
    admitted: String,
    draining: String,
    unreachable: String,
    ejected: String,
}

impl ServiceRow {
    fn new(service: &ServiceName, place: &PlaceName, status: &PlaceStatus) -> Self {
        let root = status.root.as_ref();
        Self {
            service: service.to_string(),
            place: place.to_string(),
            generation: status.generation,
            weight: optional(status.weight),
            limit: optional(status.limit),
            snapshots: root.map_or(NONE.to_owned(), |root| joined(&root.snapshots)),
            serving_set: joined(&status.serving_set),
            leafs: status.leafs,
            coverage: root.map_or(NONE.to_owned(), |root| coverage_percent(&root.coverage)),
            admitted: root.map_or(NONE.to_owned(), |root| format!("{:.1}", root.admitted_rate)),
            draining: root.map_or(NONE.to_owned(), |root| joined(&root.draining)),
            unreachable: root.map_or(NONE.to_owned(), |root| joined(&root.unreachable)),
            ejected: root.map_or(NONE.to_owned(), |root| joined(&root.ejected)),
        }
    }
}

fn print_status(status: &DaemonStatus) {
    let ready = match status.readiness.ready {
        true => "ready".to_owned(),
        false => format!("not ready: {}", status.readiness.reasons.join("; ")),
    };
    output_line!(
        "daemon {} ({} {}/{}), version {}: {ready}",
        status.peer_address,
        status.cluster,
        status.place,
        status.zone,
        status.version
    );
    output_line!(
        "configuration: store revision {}, table generation {}; store {}",
        status.revision,
        status.table_generation,
        status.store
    );
    output_line!(
        "cluster: {} members; claim view {} with {} members",
        status.members,
        optional(status.claim_view_epoch),
        status.claim_view_members
    );
    output_line!("A `-` in the last six columns: this daemon is not a root there.");
    let rows = status.services.iter().flat_map(|(service, state)| {
        let places = state.places.iter();
        places.map(move |(place, state)| ServiceRow::new(service, place, state))
    });
    let mut table = Table::new(rows);
    table.with(Style::sharp());
    output_line!("{table}");
}

/// Percentage of shards answered, over all complete and partial answers since the daemon started.
fn coverage_percent(counts: &CoverageCounts) -> String {
    if counts.shards_total == 0 {
        return NONE.to_owned();
    }
    let share = counts.shards_answered as f64 / counts.shards_total as f64;
    format!("{:.3}", share * 100.0)
}

fn optional(value: Option<impl ToString>) -> String {
    value.map_or(NONE.to_owned(), |value| value.to_string())
}

fn joined<T: ToString>(values: &[T]) -> String {
    if values.is_empty() {
        return NONE.to_owned();
    }
    let texts: Vec<String> = values.iter().map(T::to_string).collect();
    texts.join(" ")
}
