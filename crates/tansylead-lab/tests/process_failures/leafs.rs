//! Leafs that fail as real processes: frozen, killed, crossed, cut, lying about their health.

use crate::common::{Rates, finish, more_queries, plan, start};
use tansylead_lab::caller::Traffic;
use tansylead_lab::leaf::{DrainMode, HealthMode, LeafFaults};
use tansylead_types::{LeafId, Outcome};

const LOOKUPS: Rates = Rates {
    lookups: 100.0,
    posts: 0.0,
};
const LEAF: &str = "lookup.north.0";

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_frozen_leaf_and_then_a_killed_one_leave_answers_complete_from_other_replicas() {
    let mut deployment = start(&[LEAF]).await;
    let leaf = LeafId::new(LEAF).expect("a leaf name");
    let traffic = Traffic::start(plan(&deployment, LOOKUPS));
    more_queries(&traffic, 100).await;
    deployment
        .process_of_mut(&leaf)
        .expect("its process")
        .freeze()
        .expect("frozen");
    more_queries(&traffic, 200).await;
    deployment
        .process_of_mut(&leaf)
        .expect("its process")
        .resume()
        .expect("resumed");
    more_queries(&traffic, 100).await;
    deployment
        .process_of_mut(&leaf)
        .expect("its process")
        .kill()
        .expect("killed");
    more_queries(&traffic, 200).await;
    let outcomes = finish(traffic, &mut deployment).await;
    outcomes.assert_no_violation();
    outcomes.assert_nothing_cut();
    outcomes.assert_all(Outcome::Complete);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crossed_and_cut_answers_of_a_lying_leaf_reach_no_caller() {
    let mut deployment = start(&[]).await;
    let leaf = LeafId::new(LEAF).expect("a leaf name");
    let traffic = Traffic::start(plan(&deployment, LOOKUPS));
    more_queries(&traffic, 50).await;
    let faults = LeafFaults {
        crossed_share: 0.3,
        cut_share: 0.2,
        shed_share: 0.2,
        health: HealthMode::AlwaysHealthy,
        ..LeafFaults::default()
    };
    deployment
        .set_leaf_faults(&leaf, faults)
        .await
        .expect("the leaf is broken");
    more_queries(&traffic, 300).await;
    let outcomes = finish(traffic, &mut deployment).await;
    outcomes.assert_no_violation();
    outcomes.assert_nothing_cut();
    let statuses = deployment.leaf_statuses().await.expect("leafs");
    let status = statuses
        .iter()
        .find(|status| status.leaf == leaf)
        .expect("the leaf");
    assert!(
        status.counters.cut > 0 || status.counters.crossed > 0,
        "the faults were met"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_leaf_gets_no_new_work_once_its_grace_has_passed_although_health_lies() {
    let mut deployment = start(&[]).await;
    let leaf = LeafId::new(LEAF).expect("a leaf name");
    let grace = deployment.daemons[0].settings.timing.leaving_grace_millis;
    let traffic = Traffic::start(plan(&deployment, LOOKUPS));
    more_queries(&traffic, 50).await;
    let faults = LeafFaults {
        drain: DrainMode::Marked,
        health: HealthMode::AlwaysHealthy,
        ..LeafFaults::default()
    };
    deployment
        .set_leaf_faults(&leaf, faults)
        .await
        .expect("the leaf is draining");
    let mut started = Vec::new();
    for wait_millis in [grace, grace / 2] {
        tokio::time::sleep(std::time::Duration::from_millis(wait_millis)).await;
        let statuses = deployment.leaf_statuses().await.expect("leafs");
        let status = statuses
            .iter()
            .find(|status| status.leaf == leaf)
            .expect("the leaf");
        started.push(status.counters.started);
    }
    assert!(started[0] > 0, "the leaf had work before");
    assert_eq!(started[0], started[1], "new work after the grace");
    let outcomes = finish(traffic, &mut deployment).await;
    outcomes.assert_no_violation();
    outcomes.assert_all(Outcome::Complete);
}
