//! Index versions that change, with another shard list, under load through real processes.

use crate::common::{HANG_LIMIT, Rates, finish, more_queries, plan, start};
use std::collections::BTreeSet;
use tansylead_lab::caller::{QueryRecord, Traffic};
use tansylead_lab::deployment::RunningDeployment;
use tansylead_types::{Outcome, ServiceName, SnapshotVersion};

const LOOKUPS: Rates = Rates {
    lookups: 150.0,
    posts: 0.0,
};

fn snapshot_of(record: &QueryRecord) -> Option<SnapshotVersion> {
    record.asked.reply()?.answer()?.snapshot
}

async fn hold(deployment: &RunningDeployment, service: &ServiceName, held: &[SnapshotVersion]) {
    let held = deployment.hold_versions(service, held).await;
    held.expect("leafs hold the versions");
}

/// Leafs hold the versions and they are offered to queries; waits until all roots use the newest.
async fn publish(deployment: &RunningDeployment, service: &ServiceName, to: &[SnapshotVersion]) {
    hold(deployment, service, to).await;
    let offered = deployment.offer_versions(service, to).await;
    offered.expect("the versions are offered");
    let newest = *to.iter().max().expect("a version");
    let in_use = deployment.wait_snapshot_in_use(service, newest, HANG_LIMIT);
    in_use.await.expect("the newest version is in use");
}

/// Each version comes with another shard list; leafs then lose the older one while it is still
/// offered. At last they lose the newest, and queries in flight on it start over on the older one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_answer_is_of_one_version_while_versions_and_shards_change() {
    let mut deployment = start(&[]).await;
    let service = ServiceName::new("lookup").expect("a service name");
    let versions: Vec<SnapshotVersion> = (1..=3).map(SnapshotVersion).collect();
    let expected = deployment.expect_versions(&service, &versions);
    expected.expect("versions can be named");
    let traffic = Traffic::start(plan(&deployment, LOOKUPS));
    more_queries(&traffic, 60).await;
    for pair in versions.windows(2) {
        publish(&deployment, &service, pair).await;
        more_queries(&traffic, 60).await;
        hold(&deployment, &service, &pair[1..]).await;
        more_queries(&traffic, 60).await;
    }
    let last_pair = &versions[1..];
    publish(&deployment, &service, last_pair).await;
    more_queries(&traffic, 60).await;
    hold(&deployment, &service, &last_pair[..1]).await;
    more_queries(&traffic, 60).await;
    let outcomes = finish(traffic, &mut deployment).await;
    outcomes.assert_no_violation();
    outcomes.assert_nothing_cut();
    outcomes.assert_all(Outcome::Complete);
    let seen: BTreeSet<SnapshotVersion> = outcomes.records.iter().filter_map(snapshot_of).collect();
    assert_eq!(seen.into_iter().collect::<Vec<_>>(), versions);
}
