//! Waits until one daemon reports that a store revision is in force on all live daemons.

use super::store_access::ask_daemon;
use crate::exit_code::ExitStatus;
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_types::InForceAnswer;
use tansylead_types::in_force::IN_FORCE_PATH;
use tokio::time::Instant;

/// Pause between two polls of the daemon.
const POLL_PAUSE: Duration = Duration::from_millis(300);

/// Polls the daemon until all live daemons have the revision in force or the limit has passed, then
/// prints the count and the daemons that are missing. If the daemon does not answer, it is polled
/// again: the change has been accepted in any case.
pub async fn wait(daemon: SocketAddr, revision: u64, limit: Duration) -> ExitStatus {
    let deadline = Instant::now() + limit;
    let path = format!("{IN_FORCE_PATH}?revision={revision}");
    loop {
        let answer: eyre::Result<InForceAnswer> = ask_daemon(daemon, &path).await;
        let is_everywhere = answer.as_ref().is_ok_and(is_everywhere);
        if is_everywhere || Instant::now() + POLL_PAUSE >= deadline {
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
        tokio::time::sleep(POLL_PAUSE).await;
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
