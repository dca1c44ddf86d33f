//! Planned stops of real daemons under load.

use crate::common::{
    HANG_LIMIT, Rates, finish, more_queries, one_place_plan, plan, start, start_plan,
};
use tansylead_lab::caller::Traffic;
use tansylead_lab::deployment::RunningDeployment;
use tansylead_types::Outcome;

/// Together 200 requests a second.
const LOAD: Rates = Rates {
    lookups: 180.0,
    posts: 20.0,
};
const LOOKUPS: Rates = Rates {
    lookups: 200.0,
    posts: 0.0,
};

async fn stop_cleanly(deployment: &mut RunningDeployment, index: usize) {
    let daemon = &mut deployment.daemons[index];
    daemon.process.terminate().expect("asked to stop");
    let status = daemon.process.wait(HANG_LIMIT).await.expect("its status");
    let status = status.expect("it ends");
    assert!(status.success(), "{} ended with {status}", daemon.name);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_under_200_requests_a_second_cuts_nothing() {
    let mut deployment = start(&[]).await;
    let traffic = Traffic::start(plan(&deployment, LOOKUPS));
    more_queries(&traffic, 200).await;
    stop_cleanly(&mut deployment, 0).await;
    more_queries(&traffic, 200).await;
    let outcomes = finish(traffic, &mut deployment).await;
    outcomes.assert_nothing_cut();
    outcomes.assert_no_violation();
    outcomes.assert_all(Outcome::Complete);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_rolling_restart_of_all_daemons_under_load_cuts_nothing_and_runs_no_post_twice() {
    let mut deployment = start_plan(one_place_plan(), &[]).await;
    let daemons = deployment.daemons.len();
    let claims = deployment.wait_claim_view(daemons, HANG_LIMIT);
    claims.await.expect("all daemons grant claims");
    let traffic = Traffic::start(plan(&deployment, LOAD));
    for index in 0..daemons {
        more_queries(&traffic, 200).await;
        stop_cleanly(&mut deployment, index).await;
        let started = deployment.start_daemon_again(index).await;
        started.expect("it starts again");
    }
    more_queries(&traffic, 200).await;
    let outcomes = finish(traffic, &mut deployment).await;
    outcomes.assert_nothing_cut();
    outcomes.assert_no_violation();
}
