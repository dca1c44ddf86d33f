//! Datagrams between daemons and the judges of roll-outs.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;
use tansylead_gateway::cluster::{RollOutCodec, fit_report};
use tansylead_gateway::roll_out::{GrantMessage, RollOutMessage};
use tansylead_route::{
    Grant, LATENCY_BUCKETS, LatencyCounts, OrderId, RollOutEvidence, RollOutReport, RouteEvidence,
    Stage, VersionCounts,
};
use tansylead_types::{NodeId, ServiceName};

const MAXIMUM_BYTES: usize = 1_200;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn service() -> ServiceName {
    ServiceName::new("screening").expect("valid name")
}

fn node(number: u16) -> NodeId {
    NodeId(([10, 0, 0, 1], number).into())
}

fn counts(answers: u32) -> VersionCounts {
    VersionCounts {
        good: answers,
        failed: answers / 7,
        latencies: LatencyCounts {
            counts: [answers; LATENCY_BUCKETS],
        },
    }
}

fn report(answers: &[u32]) -> RollOutReport {
    let routes = answers.iter().enumerate();
    let routes = routes.map(|(route, answers)| RouteEvidence {
        route: u32::MAX - route as u32,
        old: counts(*answers),
        new: counts(answers / 3),
    });
    RollOutReport {
        service: service(),
        order: OrderId(u64::MAX),
        reporter: node(1),
        boot: u64::MAX,
        sequence: 77,
        known_for_millis: 9_000,
        follows: Some(node(2)),
        stage: Some(Stage::Trial),
        evidence: RollOutEvidence {
            requests: u64::MAX,
            new_sends: u64::MAX,
            running_on_old: u32::MAX,
            running_on_new: u32::MAX,
            routes: routes.collect(),
        },
    }
}

fn grant(sequence: u64) -> RollOutMessage {
    RollOutMessage::Grant(GrantMessage {
        service: service(),
        order: OrderId(1),
        judge: node(2),
        boot: 3,
        sequence,
        grant_number: 0,
        grant: Grant {
            stage: Stage::Shift,
            limit: 40,
            valid: Duration::from_secs(1),
        },
    })
}

#[test]
fn messages_of_both_kinds_travel_together_and_arrive_in_order() {
    let codec = RollOutCodec::new("cluster");
    let reports = (0..40).map(|number| RollOutMessage::Report(report(&[number, 3])));
    let mut messages: Vec<RollOutMessage> = reports.collect();
    messages.extend((0..40).map(grant));
    let encoded = codec.encode_counted(&messages);
    assert_eq!(encoded.left_out, 0);
    assert!(encoded.datagrams.len() < messages.len());
    let read = encoded.datagrams.iter();
    let read = read.filter_map(|datagram| codec.decode(datagram)).flatten();
    assert_eq!(read.collect::<Vec<_>>(), messages);
}

#[test]
fn datagrams_of_other_clusters_and_kinds_are_ignored() {
    let datagram = RollOutCodec::new("other").encode(&[grant(1)]).remove(0);
    assert_eq!(RollOutCodec::new("cluster").decode(&datagram), None);
    let reports = tansylead_gateway::cluster::ReportCodec::new("other");
    assert_eq!(reports.decode(&datagram), None);
}

#[test]
fn routes_with_the_fewest_answers_are_left_out_of_a_report_that_is_too_long() {
    let answers: Vec<u32> = (0..60).map(|route| 1_000_000 + (route * 37) % 60).collect();
    let mut shortened = report(&answers);
    let left_out = fit_report(&mut shortened);
    assert!(left_out > 0 && left_out < 60);
    let sent: Vec<u32> = shortened
        .evidence
        .routes
        .iter()
        .map(|route| route.old.good)
        .collect();
    let mut best = answers.clone();
    best.sort_unstable();
    assert_eq!(sent.iter().min(), Some(&best[left_out]));
    let codec = RollOutCodec::new("cluster");
    let encoded = codec.encode_counted(&[RollOutMessage::Report(shortened)]);
    assert_eq!((encoded.datagrams.len(), encoded.left_out), (1, 0));
}

#[test]
fn a_report_that_fits_is_left_as_it_is() {
    let mut fitted = report(&[1, 2, 3]);
    assert_eq!(fit_report(&mut fitted), 0);
    assert_eq!(fitted, report(&[1, 2, 3]));
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_fitted_report_always_fits(answers in proptest::collection::vec(any::<u32>(), 0..80)) {
        let mut fitted = report(&answers);
        fit_report(&mut fitted);
        let codec = RollOutCodec::new("cluster");
        let encoded = codec.encode_counted(&[RollOutMessage::Report(fitted)]);
        prop_assert_eq!(encoded.left_out, 0);
        prop_assert!(encoded.datagrams.iter().all(|datagram| datagram.len() <= MAXIMUM_BYTES));
    }

    #[test]
    fn no_bytes_make_decoding_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let codec = RollOutCodec::new("cluster");
        let _ = codec.decode(&bytes);
        let mut framed = codec.encode(&[grant(1)]).remove(0);
        framed.extend_from_slice(&bytes);
        prop_assert!(codec.decode(&framed).is_some_and(|messages| messages[0] == grant(1)));
    }

    #[test]
    fn a_damaged_datagram_makes_nothing_panic(place in 0_usize..1_200, value in any::<u8>(), cut in 0_usize..1_200) {
        let codec = RollOutCodec::new("cluster");
        let mut datagram = codec.encode(&[RollOutMessage::Report(report(&[5, 6])), grant(2)]).remove(0);
        let place = place % datagram.len();
        datagram[place] = value;
        datagram.truncate(cut);
        let _ = codec.decode(&datagram);
    }
}
