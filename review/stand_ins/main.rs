//! Stand-ins of the users' platform for the cases of the review: store, leafs, clients and machines on loopback.
//!
//! `stand-ins CASE RECORD` plays one case. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
//! not run. With `TROUBLE=0` in its environment it leaves out the disruption.

mod client;
mod http;
mod leaf;
mod machines;
mod record;
mod restored_roll_out;
mod slow_answer;
mod stale_list;
mod store;

use record::Record;
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// A run that takes longer is ended as one that could not run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// How a case ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CaseResult {
    Held,
    Broken,
    CouldNotRun,
}

/// Whether the case is played with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: stand-ins CASE RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(Path::new(&path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record: {error}");
            return ExitCode::from(2);
        }
    };
    let limited = record.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        limited.say("the case could not run: it took too long");
        machines::kill_all();
        std::process::exit(2);
    });
    let result = match case.as_str() {
        "stale-list" => stale_list::run(&record),
        "restored-roll-out" => restored_roll_out::run(&record),
        "slow-answer" => slow_answer::run(&record),
        _ => Ok(CaseResult::CouldNotRun),
    };
    match result {
        Ok(CaseResult::Held) => {
            record.say("the rule held");
            ExitCode::from(0)
        }
        Ok(CaseResult::Broken) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Ok(CaseResult::CouldNotRun) => {
            record.say("the case could not run");
            ExitCode::from(2)
        }
        Err(error) => {
            record.say(format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
