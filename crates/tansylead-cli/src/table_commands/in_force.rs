//! Waits until a store revision is in force on all live daemons, as one daemon reports it.

use super::store_access::ask_daemon;
use crate::exit_code::ExitStatus;
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_types::InForceAnswer;
use tansylead_types::in_force::IN_FORCE_PATH;
use tokio::time::Instant;

/// Pause between two questions.
const PAUSE: Duration = Duration::from_millis(300);

/// Asks until all live daemons have the revision in force or the time has passed; prints the count
/// and the daemons that are missing. A daemon that does not answer is asked again: the change is
/// accepted whatever it says.
pub async fn wait(daemon: SocketAddr, revision: u64, limit: Duration) -> ExitStatus {
    let deadline = Instant::now() + limit;
    let path = format!("{IN_FORCE_PATH}?revision={revision}");
    loop {
        let answer: eyre::Result<InForceAnswer> = ask_daemon(daemon, &path).await;
        let is_everywhere = answer.as_ref().is_ok_and(is_everywhere);
        if is_everywhere || Instant::now() + PAUSE >= deadline {
            match &answer {
                Ok(answer) => output_line!("{}", describe(answer)),
                Err(error) => output_line!("not known on which daemons it is in force: {error:#}"),
            }
            return if is_everywhere {
                ExitStatus::Success
            } else {
                ExitStatus::NotInForce
            };
        }
        tokio::time::sleep(PAUSE).await;
    }
}

fn is_everywhere(answer: &InForceAnswer) -> bool {
    answer.total > 0 && answer.confirmed == answer.total
}

fn describe(answer: &InForceAnswer) -> String {
    let InForceAnswer {
        confirmed,
        total,
        missing,
        ..
    } = answer;
    let mut text = format!("in force on {confirmed} of {total} daemons");
    if !missing.is_empty() {
        let addresses: Vec<String> = missing.iter().map(SocketAddr::to_string).collect();
        text.push_str("; missing: ");
        text.push_str(&addresses.join(" "));
    }
    text
}
