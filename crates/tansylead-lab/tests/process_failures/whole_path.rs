//! The whole path through real processes: callers, six daemons in three places, leafs, store.

use crate::common::{Rates, finish, more_queries, plan, start};
use tansylead_lab::caller::Traffic;
use tansylead_lab::store::{OutageMode, StoreFaults};
use tansylead_types::Outcome;

const LOOKUPS: Rates = Rates {
    lookups: 150.0,
    posts: 0.0,
};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_answers_are_complete_and_stay_so_while_the_store_is_down() {
    let mut deployment = start(&[]).await;
    let traffic = Traffic::start(plan(&deployment, LOOKUPS));
    more_queries(&traffic, 150).await;
    for outage in [OutageMode::Close, OutageMode::Hang] {
        let faults = StoreFaults {
            outage: Some(outage),
            ..StoreFaults::default()
        };
        deployment
            .store
            .set_faults(&faults)
            .await
            .expect("the store is broken");
        more_queries(&traffic, 150).await;
    }
    let outcomes = finish(traffic, &mut deployment).await;
    outcomes.assert_no_violation();
    outcomes.assert_nothing_cut();
    outcomes.assert_all(Outcome::Complete);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_daemon_loses_no_query_and_serves_again_after_a_restart() {
    let mut deployment = start(&[]).await;
    let traffic = Traffic::start(plan(&deployment, LOOKUPS));
    more_queries(&traffic, 100).await;
    deployment.daemons[0]
        .process
        .kill()
        .expect("the daemon is killed");
    more_queries(&traffic, 100).await;
    deployment
        .start_daemon_again(0)
        .await
        .expect("the daemon starts again");
    more_queries(&traffic, 100).await;
    let outcomes = finish(traffic, &mut deployment).await;
    outcomes.assert_no_violation();
}
