//! Posts run at most once, whatever happens to the daemons that carry them.

use crate::common::{HANG_LIMIT, Rates, finish, more_queries, plan, start};
use std::time::Duration;
use tansylead_lab::caller::{CallerReply, QueryRecord, Traffic, Violation};
use tansylead_lab::store::{OutageMode, StoreFaults};
use tansylead_types::Outcome;

const POSTS: Rates = Rates {
    lookups: 0.0,
    posts: 80.0,
};
const DEADLINE_MILLIS: u64 = 600;
/// Posts due this early are over before the first fault.
const FAULT_FREE: Duration = Duration::from_millis(300);
/// Longer than callers wait, so that they send the key again elsewhere while its root is frozen.
const FREEZE: Duration = Duration::from_millis(2_500);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn posts_run_at_most_once_while_daemons_are_killed_restarted_and_frozen() {
    let mut deployment = start(&[]).await;
    let mut plan = plan(&deployment, POSTS);
    for group in &mut plan.groups {
        group.deadline_millis = DEADLINE_MILLIS;
    }
    let claims = deployment.wait_claim_view(deployment.daemons.len(), HANG_LIMIT);
    claims.await.expect("all daemons grant claims");
    let traffic = Traffic::start(plan);
    more_queries(&traffic, 100).await;

    deployment.daemons[0].process.kill().expect("killed");
    deployment
        .start_daemon_again(0)
        .await
        .expect("it starts again");
    more_queries(&traffic, 100).await;

    deployment.daemons[1].process.freeze().expect("frozen");
    tokio::time::sleep(FREEZE).await;
    deployment.daemons[1].process.resume().expect("resumed");
    more_queries(&traffic, 100).await;

    let faults = StoreFaults {
        outage: Some(OutageMode::Hang),
        ..StoreFaults::default()
    };
    deployment
        .store
        .set_faults(&faults)
        .await
        .expect("the store is down");
    deployment.daemons[2].process.kill().expect("killed");
    more_queries(&traffic, 50).await;
    deployment.daemons[3].process.freeze().expect("frozen");
    tokio::time::sleep(FREEZE).await;
    deployment.daemons[3].process.resume().expect("resumed");
    deployment
        .store
        .set_faults(&StoreFaults::default())
        .await
        .expect("the store is back");
    deployment
        .start_daemon_again(2)
        .await
        .expect("it starts again");
    more_queries(&traffic, 100).await;

    let outcomes = finish(traffic, &mut deployment).await;
    assert!(
        outcomes
            .records
            .iter()
            .any(|record| record.repeated.is_some())
    );
    assert_eq!(outcomes.most_executions_of_a_key, 1);
    let before_faults = outcomes
        .records
        .iter()
        .filter(|record| record.due < FAULT_FREE);
    assert!(before_faults.clone().count() > 0);
    for record in before_faults {
        assert_complete_once(record);
    }
    let broken: Vec<&Violation> = outcomes
        .violations
        .iter()
        .filter(|violation| !matches!(violation, Violation::Lost { .. }))
        .collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

/// A key that is sent through two daemons at once runs for the one that claims it first; the other
/// is told that the request is in progress, or gets the same answer.
fn assert_complete_once(record: &QueryRecord) {
    let askings = std::iter::once(&record.asked).chain(&record.repeated);
    let outcomes: Vec<Option<Outcome>> = askings
        .map(|asked| asked.reply().map(CallerReply::outcome))
        .collect();
    assert!(outcomes.contains(&Some(Outcome::Complete)), "{record:#?}");
    let is_told =
        |outcome: &Option<Outcome>| matches!(outcome, Some(Outcome::Complete | Outcome::Unknown));
    assert!(outcomes.iter().all(is_told), "{record:#?}");
}
