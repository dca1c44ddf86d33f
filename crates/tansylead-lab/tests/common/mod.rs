//! A small deployment of real processes under traffic, for the process tests.
//!
//! Tests assert invariants, never times: they wait for events, and the limits here only end a test
//! that would hang.

#![allow(dead_code, reason = "each test file uses a part of this")]

use std::path::Path;
use std::time::Duration;
use tansylead_lab::caller::{
    ExchangeFailure, ExecutionCounts, QueryRecord, Traffic, TrafficPlan, Violation, violations,
};
use tansylead_lab::demo::scenario::traffic_plan;
use tansylead_lab::deployment::running::load_plan;
use tansylead_lab::deployment::{CallerKind, DeploymentPlan, RunningDeployment, StartOptions};
use tansylead_lab::process::Programs;
use tansylead_types::{LeafId, Outcome, ZoneName};

/// Time after which a test that waits for an event fails.
pub const HANG_LIMIT: Duration = Duration::from_secs(60);
/// Time for the logs of leafs to show what was cancelled last.
const SETTLE_TIME: Duration = Duration::from_millis(200);
const POLL_PERIOD: Duration = Duration::from_millis(5);

/// Which traffic to send.
#[derive(Debug, Clone, Copy)]
pub struct Rates {
    /// Lookups per second over all places.
    pub lookups: f64,
    /// Posts per second over all places; every fifth key is sent twice.
    pub posts: f64,
}

/// The small deployment: three places with two daemons each.
pub fn small_plan() -> DeploymentPlan {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/small");
    load_plan(&directory).expect("the fixture is valid")
}

/// The small deployment in one place with three daemons, each in a zone of its own.
pub fn one_place_plan() -> DeploymentPlan {
    let mut plan = small_plan();
    let places = &mut plan.description.places;
    places.truncate(1);
    places[0].zones = ["north-a", "north-b", "north-c"]
        .map(|zone| ZoneName::new(zone).expect("a zone name"))
        .to_vec();
    let place = places[0].name.clone();
    plan.table.rows.retain(|row| row.place == place);
    plan
}

/// Starts the small deployment.
pub async fn start(separate_leafs: &[&str]) -> RunningDeployment {
    start_plan(small_plan(), separate_leafs).await
}

/// Starts a deployment.
pub async fn start_plan(plan: DeploymentPlan, separate_leafs: &[&str]) -> RunningDeployment {
    let programs = Programs::lab_only(Path::new(env!("CARGO_BIN_EXE_tansylead-lab")));
    let name = |leaf: &&str| LeafId::new(*leaf).expect("a leaf name");
    let options = StartOptions {
        separate_leafs: separate_leafs.iter().map(name).collect(),
        ..StartOptions::new(programs)
    };
    RunningDeployment::start(plan, options)
        .await
        .expect("the deployment starts")
}

/// Traffic at some rates.
pub fn plan(deployment: &RunningDeployment, rates: Rates) -> TrafficPlan {
    let mut plan = traffic_plan(deployment);
    for group in &mut plan.groups {
        group.queries_per_second = match group.kind {
            CallerKind::Post => rates.posts,
            CallerKind::Lookup | CallerKind::KeyedLookup => rates.lookups,
        };
    }
    plan.groups.retain(|group| group.queries_per_second > 0.0);
    plan
}

/// Waits until that many more queries are over.
pub async fn more_queries(traffic: &Traffic, count: usize) {
    let enough = traffic.finished() + count;
    let waiting = async {
        while traffic.finished() < enough {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    tokio::time::timeout(HANG_LIMIT, waiting)
        .await
        .expect("traffic goes on");
}

/// What a run left behind.
pub struct Outcomes {
    /// All queries.
    pub records: Vec<QueryRecord>,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
    /// Most executions of one key on one shard.
    pub most_executions_of_a_key: usize,
}

/// Ends the traffic and holds all replies against the logs of leafs that still run.
pub async fn finish(traffic: Traffic, deployment: &mut RunningDeployment) -> Outcomes {
    let records = traffic.stop().await;
    tokio::time::sleep(SETTLE_TIME).await;
    let entries = deployment.executions().await.expect("execution logs");
    let counts = ExecutionCounts::of(&entries);
    Outcomes {
        violations: violations(&records, &counts),
        most_executions_of_a_key: counts.most_executions_of_a_key(),
        records,
    }
}

impl Outcomes {
    /// No promise was broken, and no query was left without a reply.
    pub fn assert_no_violation(&self) {
        let shown: Vec<String> = self.violations.iter().map(ToString::to_string).collect();
        assert!(
            shown.is_empty(),
            "{} broken:\n{}",
            shown.len(),
            shown.join("\n")
        );
    }

    /// Every final reply has the outcome.
    pub fn assert_all(&self, outcome: Outcome) {
        for record in &self.records {
            let reply = record.asked.reply().expect("a reply");
            assert_eq!(reply.outcome(), outcome, "{record:#?}");
        }
    }

    /// No connection was cut and no reply withheld; refused connections are allowed.
    pub fn assert_nothing_cut(&self) {
        let cut: Vec<&ExchangeFailure> = self
            .records
            .iter()
            .flat_map(QueryRecord::sendings)
            .filter_map(|sending| sending.result.as_ref().err())
            .filter(|failure| !failure.is_not_sent())
            .collect();
        assert!(cut.is_empty(), "{} cut: {cut:#?}", cut.len());
    }
}
