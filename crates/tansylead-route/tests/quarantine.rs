//! Which requests the quarantine refuses, and which it must not refuse.

use std::net::IpAddr;
use std::time::Duration;
use tansylead_route::{
    LeafRun, MAXIMUM_RECORDS, Quarantine, QuarantineChange, RecentAnswers, RequestFingerprint,
    RequestFingerprints, RequestIdentity, RunStart, Strike, Verdict,
};
use tansylead_types::{LeafId, Moment};

/// A fingerprint of exact scope: its two lowest bits are 0.
const FATAL: RequestFingerprint = RequestFingerprint(4);
const HARMLESS: RequestFingerprint = RequestFingerprint(8);
const CALLER: u32 = 1;
/// Duration of each run, in milliseconds.
const RUN: u64 = 30;
/// Time between two runs, in milliseconds: three of them span more than one event.
const STEP: u64 = 600;

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000_000 + millis)
}

/// Strike of the leaf with this number, under a request that was sent to it at `sent`.
fn strike(leaf: usize, sent: u64) -> Strike {
    let leaf = LeafId::new(format!("i-{leaf}")).expect("valid name");
    Strike::new(&leaf.into(), at(sent), at(sent + RUN), CALLER)
}

fn is_quarantined(table: &Quarantine, now: Moment, request: RequestFingerprint) -> bool {
    matches!(table.verdict(now, request), Verdict::Quarantined(_))
}

#[test]
fn three_successive_strikes_quarantine_a_request() {
    let mut table = Quarantine::default();
    let mut changes = Vec::new();
    for run in 0..3 {
        let sent = run as u64 * STEP;
        changes.push(table.on_strike(at(sent + RUN), FATAL, strike(run, sent)));
    }
    let expected = [
        QuarantineChange::Learned,
        QuarantineChange::Suspected,
        QuarantineChange::Quarantined,
    ];
    assert_eq!(changes, expected.map(Some));
    assert!(is_quarantined(&table, at(1_300), FATAL));
}

#[test]
fn leafs_that_end_together_are_one_event() {
    let mut table = Quarantine::default();
    for leaf in 0..10 {
        table.on_strike(at(RUN + leaf as u64), FATAL, strike(leaf, leaf as u64));
    }
    assert_eq!(table.verdict(at(100), FATAL), Verdict::Suspect);
    table.on_strike(at(200), FATAL, strike(10, 100));
    assert_eq!(table.verdict(at(200), FATAL), Verdict::Suspect);
    // Successive runs, but still within the same second.
    for run in 2..6 {
        table.on_strike(
            at(run * 100 + RUN),
            FATAL,
            strike(10 + run as usize, run * 100),
        );
        assert_eq!(table.verdict(at(run * 100 + RUN), FATAL), Verdict::Suspect);
    }
    table.on_strike(at(1_300), FATAL, strike(20, 1_200));
    assert!(is_quarantined(&table, at(1_300), FATAL));
}

#[test]
fn an_answer_clears_a_request_and_strikes_in_transit_no_longer_count() {
    let mut here = Quarantine::default();
    let mut there = Quarantine::default();
    here.on_strike(at(RUN), HARMLESS, strike(0, 0));
    here.on_strike(at(100 + RUN), HARMLESS, strike(1, 100));
    let struck_record = here.record(at(200), HARMLESS).expect("held");
    there.merge(at(210), struck_record.clone());
    assert_eq!(there.verdict(at(210), HARMLESS), Verdict::Suspect);
    let cleared = here.on_answer(at(300), HARMLESS);
    assert_eq!(cleared, Some(QuarantineChange::Cleared));
    let cleared_record = here.record(at(300), HARMLESS).expect("remembered");
    let change = there.merge(at(310), cleared_record);
    assert_eq!(change, Some(QuarantineChange::Cleared));
    assert_eq!(there.merge(at(320), struck_record), None);
    assert_eq!(there.verdict(at(320), HARMLESS), Verdict::Clear);
    assert_eq!(here.on_answer(at(330), HARMLESS), None);
}

#[test]
fn a_request_that_is_struck_all_through_one_event_is_not_convicted_by_it() {
    let mut table = Quarantine::default();
    // Another request ends one leaf after the other for most of a second, and this one runs on each of them.
    for run in 0..9 {
        let sent = run as u64 * 100;
        table.on_strike(at(sent + RUN), HARMLESS, strike(run, sent));
    }
    assert_eq!(table.verdict(at(1_000), HARMLESS), Verdict::Suspect);
    // The leafs restart and answer it; when the other request is repeated, it is struck again.
    table.on_answer(at(2_000), HARMLESS);
    for run in 0..9 {
        let sent = 4_000 + run as u64 * 100;
        table.on_strike(at(sent + RUN), HARMLESS, strike(20 + run, sent));
    }
    assert_eq!(table.verdict(at(5_000), HARMLESS), Verdict::Suspect);
}

#[test]
fn daemons_put_their_strikes_together() {
    let mut tables: Vec<Quarantine> = vec![Quarantine::default(); 3];
    for (run, table) in tables.iter_mut().enumerate() {
        let sent = run as u64 * STEP;
        table.on_strike(at(sent + RUN), FATAL, strike(run, sent));
    }
    let now = at(2_000);
    let records: Vec<_> = tables
        .iter()
        .filter_map(|table| table.record(now, FATAL))
        .collect();
    for table in &mut tables {
        for record in &records {
            table.merge(now, record.clone());
        }
        assert!(is_quarantined(table, now, FATAL));
    }
    assert_eq!(tables[0].digest(), tables[2].digest());
}

#[test]
fn records_of_one_event_converge_on_all_daemons() {
    let mut here = Quarantine::default();
    let mut there = Quarantine::default();
    for leaf in 0..8 {
        let table = if leaf % 2 == 0 { &mut here } else { &mut there };
        table.on_strike(at(RUN), FATAL, strike(leaf, 0));
    }
    let now = at(200);
    let (mine, other) = (here.record(now, FATAL), there.record(now, FATAL));
    here.merge(now, other.expect("held"));
    there.merge(now, mine.expect("held"));
    assert_eq!(here.digest(), there.digest());
    assert_eq!(here.verdict(now, FATAL), Verdict::Suspect);
}

#[test]
fn victims_of_a_request_do_not_crowd_it_out_of_what_is_told() {
    const SENT_RECORDS: usize = 32;
    let mut table = Quarantine::default();
    for run in 0..2 {
        let sent = run as u64 * 100;
        table.on_strike(at(sent + RUN), FATAL, strike(run, sent));
    }
    // Each ran on many leafs that ended together, and is not repeated.
    for victim in 0..100 {
        let request = RequestFingerprint((1_000 + victim as u128) << 2);
        for leaf in 0..6 {
            table.on_strike(at(200 + RUN), request, strike(100 + leaf, 200));
        }
    }
    let sent_records = table.most_important(at(300), SENT_RECORDS);
    assert!(
        sent_records
            .iter()
            .any(|record| record.fingerprint == FATAL)
    );
    // The digest leaves the victims out, so a daemon without their records is up to date.
    let mut other = Quarantine::default();
    for record in sent_records {
        other.merge(at(310), record);
    }
    assert_eq!(other.digest(), table.digest());
}

#[test]
fn after_its_quarantine_a_request_is_suspect_and_is_quarantined_for_longer_if_a_leaf_ends() {
    let mut table = Quarantine::default();
    for run in 0..3 {
        let sent = run as u64 * STEP;
        table.on_strike(at(sent + RUN), FATAL, strike(run, sent));
    }
    let Verdict::Quarantined(first) = table.verdict(at(1_300), FATAL) else {
        panic!("not quarantined");
    };
    let later = at(1_300) + first + Duration::from_secs(1);
    assert_eq!(table.verdict(later, FATAL), Verdict::Suspect);
    let leaf = LeafId::new("i-later".to_owned()).expect("valid name");
    let again = Strike::new(
        &leaf.into(),
        later,
        later + Duration::from_millis(RUN),
        CALLER,
    );
    table.on_strike(later, FATAL, again);
    let Verdict::Quarantined(second) = table.verdict(later, FATAL) else {
        panic!("not quarantined again");
    };
    assert!(second > first);
}

#[test]
fn a_quarantine_restored_from_the_source_holds_until_the_request_is_cleared() {
    let mut table = Quarantine::default();
    let change = table.restore(at(0), FATAL);
    assert_eq!(change, Some(QuarantineChange::Quarantined));
    assert!(is_quarantined(&table, at(1), FATAL));
    assert_eq!(table.restore(at(2), FATAL), None);
    table.on_answer(at(3), FATAL);
    assert_eq!(table.restore(at(4), FATAL), None);
    assert_eq!(table.verdict(at(4), FATAL), Verdict::Clear);
}

#[test]
fn the_table_is_bounded_and_evicts_the_least_important_records() {
    let mut table = Quarantine::default();
    for run in 0..3 {
        let sent = run as u64 * STEP;
        table.on_strike(at(sent + RUN), FATAL, strike(run, sent));
    }
    for other in 0..MAXIMUM_RECORDS * 2 {
        let request = RequestFingerprint((1_000 + other as u128) << 2);
        table.on_strike(at(1_400), request, strike(1_000 + other, 1_300));
    }
    assert!(is_quarantined(&table, at(1_500), FATAL));
    let hour = Duration::from_secs(3_600);
    assert!(table.remove_expired(at(1_500) + hour / 2).is_empty());
    assert_eq!(table.remove_expired(at(1_500) + hour * 8), vec![FATAL]);
    assert!(table.is_empty());
}

#[test]
fn a_request_is_recognized_only_with_the_same_caller_path_and_body() {
    let caller: IpAddr = [10, 0, 0, 1].into();
    let base = RequestIdentity {
        caller,
        method: "POST",
        host: "search.example",
        target: "/a/b?c=d",
        body: b"body",
    };
    let others = [
        RequestIdentity {
            caller: [10, 0, 0, 2].into(),
            ..base
        },
        RequestIdentity {
            method: "PUT",
            ..base
        },
        RequestIdentity {
            host: "other.example",
            ..base
        },
        RequestIdentity {
            target: "/a/b?c=e",
            ..base
        },
        RequestIdentity {
            body: b"another",
            ..base
        },
    ];
    let own = base.fingerprints();
    assert_eq!(own, base.fingerprints());
    for other in others {
        assert_ne!(own.exact, other.fingerprints().exact, "{other:?}");
    }
    let [caller, method, host, query, body] = others.map(|other| other.fingerprints());
    assert_eq!(own.path, query.path);
    assert_eq!(own.content, query.content);
    assert_eq!(own.content, caller.content);
    assert_ne!(own.path, caller.path);
    for other in [method, host, body] {
        assert_ne!(own.content, other.content);
    }
}

/// A request of this caller with this query; all have the same path.
fn with_query(caller: u8, query: usize) -> RequestFingerprints {
    let target = format!("/a?page={query}");
    let identity = RequestIdentity {
        caller: [10, 0, 0, caller].into(),
        method: "GET",
        host: "search.example",
        target: &target,
        body: b"",
    };
    identity.fingerprints()
}

/// Runs the requests one after the other, each on another leaf that ends under it.
fn strike_successively(table: &mut Quarantine, requests: &[RequestFingerprints]) {
    for (run, request) in requests.iter().enumerate() {
        let sent = run as u64 * STEP;
        let leaf = LeafId::new(format!("i-{run}")).expect("valid name");
        let strike = Strike::new(&leaf.into(), at(sent), at(sent + RUN), request.caller);
        for fingerprint in request.all() {
            table.on_strike(at(sent + RUN), fingerprint, strike);
        }
    }
}

#[test]
fn a_request_is_recognized_with_another_query() {
    let mut table = Quarantine::default();
    let requests: Vec<_> = (0..4).map(|query| with_query(1, query)).collect();
    strike_successively(&mut table, &requests);
    let verdict = table.strictest_verdict(at(2_500), &with_query(1, 9));
    assert!(matches!(verdict, Verdict::Quarantined(_)), "{verdict:?}");
    // The same request of another caller may be harmless.
    let verdict = table.strictest_verdict(at(2_500), &with_query(2, 9));
    assert_eq!(verdict, Verdict::Clear);
}

#[test]
fn content_that_ends_leafs_under_several_callers_is_refused_from_all() {
    let mut table = Quarantine::default();
    let callers = [1, 2, 1, 2];
    let requests: Vec<_> = callers.map(|caller| with_query(caller, 1)).to_vec();
    strike_successively(&mut table, &requests);
    let verdict = table.strictest_verdict(at(2_500), &with_query(3, 1));
    assert!(matches!(verdict, Verdict::Quarantined(_)), "{verdict:?}");
}

#[test]
fn nothing_is_held_against_requests_that_are_like_one_that_was_answered() {
    let mut table = Quarantine::default();
    table.note_answered(at(0), &with_query(1, 100));
    let requests: Vec<_> = (0..6).map(|query| with_query(1, query)).collect();
    strike_successively(&mut table, &requests);
    assert_eq!(
        table.strictest_verdict(at(4_000), &with_query(1, 9)),
        Verdict::Clear
    );
    // Another daemon, which has not answered any, learns it.
    let mut other = Quarantine::default();
    strike_successively(&mut other, &requests);
    let path = with_query(1, 0).path;
    let held = other.record(at(4_000), path).expect("held");
    let change = table.merge(at(4_000), held);
    assert_eq!(change, Some(QuarantineChange::Contradicted));
    let record = table.record(at(4_000), path).expect("remembered");
    assert_eq!(
        other.merge(at(4_010), record),
        Some(QuarantineChange::Cleared)
    );
    assert_eq!(other.verdict(at(4_010), path), Verdict::Clear);
}

#[test]
fn a_request_that_becomes_fatal_after_it_was_answered_is_quarantined() {
    let mut table = Quarantine::default();
    let request = with_query(1, 1);
    table.note_answered(at(0), &request);
    strike_successively(&mut table, &[request; 4]);
    let verdict = table.verdict(at(2_500), request.exact);
    assert!(matches!(verdict, Verdict::Quarantined(_)), "{verdict:?}");
}

#[test]
fn answers_are_remembered_for_a_minute_or_two() {
    const REQUESTS: usize = 6_000;
    let mut answers = RecentAnswers::default();
    let request = |number: usize| with_query(1, number).exact;
    for number in 0..REQUESTS {
        answers.add(at(0), request(number));
    }
    let minute = Duration::from_secs(60);
    assert!((0..REQUESTS).all(|number| answers.contains(at(0) + minute, request(number))));
    let false_positives = (REQUESTS..REQUESTS * 2)
        .filter(|number| answers.contains(at(0) + minute, request(*number)));
    assert!(false_positives.count() < REQUESTS / 1_000);
    assert!(!answers.contains(at(0) + minute * 3, request(0)));
}

#[test]
fn a_leaf_that_ends_again_under_its_id_is_another_strike() {
    let run = |started| LeafRun {
        leaf: LeafId::new("leaf").expect("valid name"),
        started: Some(RunStart(started)),
    };
    let strike = |started| Strike::new(&run(started), at(0), at(RUN), CALLER);
    assert_ne!(strike(1).leaf, strike(2).leaf);
    assert_eq!(strike(1).leaf, strike(1).leaf);
}

/// Two requests with these paths, of one caller.
fn two_requests() -> [RequestFingerprints; 2] {
    ["/fatal", "/harmless"].map(|target| {
        let identity = RequestIdentity {
            caller: [10, 0, 0, 1].into(),
            method: "GET",
            host: "search.example",
            target,
            body: b"",
        };
        identity.fingerprints()
    })
}

/// Strikes a request in the path scope.
fn strike_request(table: &mut Quarantine, request: &RequestFingerprints, leaf: usize, sent: u64) {
    let strike = strike(leaf, sent).against(request);
    table.on_strike(at(sent + RUN), request.path, strike);
}

/// Strikes both requests by three leafs in succession, as happens when one of them makes all leafs end at once.
fn strike_both_in_one_event(table: &mut Quarantine) {
    for (number, request) in two_requests().iter().enumerate() {
        for run in 0..3 {
            strike_request(table, request, number * 10 + run, run as u64 * RUN);
        }
    }
}

/// Start of the second event, and a moment at which all daemons have told of it, in milliseconds.
const SECOND_EVENT: u64 = 2_000;
const ALL_TOLD: u64 = SECOND_EVENT + 1_000;

/// The requests that are quarantined once all daemons have told of the second event.
fn decided(table: &mut Quarantine) -> Vec<RequestFingerprint> {
    let decided = table.decide_pending(at(ALL_TOLD)).into_iter();
    decided.map(|decision| decision.fingerprint).collect()
}

/// Guards against innocents that are refused because they ran beside the cause of two events.
#[test]
fn of_two_requests_on_the_leaf_that_ends_none_is_quarantined_until_the_other_is_answered() {
    let [fatal, harmless] = two_requests();
    for order in [[fatal, harmless], [harmless, fatal]] {
        let mut table = Quarantine::default();
        strike_both_in_one_event(&mut table);
        for request in &order {
            strike_request(&mut table, request, 30, SECOND_EVENT);
        }
        assert!(decided(&mut table).is_empty());
        for request in &order {
            let verdict = table.verdict(at(ALL_TOLD), request.path);
            assert_eq!(verdict, Verdict::Suspect);
        }
        table.on_answer(at(ALL_TOLD), harmless.path);
        assert_eq!(decided(&mut table), [fatal.path]);
        assert!(is_quarantined(&table, at(ALL_TOLD), fatal.path));
        assert!(!is_quarantined(&table, at(ALL_TOLD), harmless.path));
    }
}

/// Guards against innocents that are refused before another daemon has told that the cause ran on the same leaf.
#[test]
fn a_daemon_waits_for_what_others_tell_of_the_leaf_that_ended() {
    let [fatal, harmless] = two_requests();
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    for table in [&mut here, &mut there] {
        strike_both_in_one_event(table);
    }
    strike_request(&mut here, &harmless, 30, SECOND_EVENT);
    strike_request(&mut there, &fatal, 30, SECOND_EVENT);
    let now = at(SECOND_EVENT + RUN + 100);
    assert!(!is_quarantined(&here, now, harmless.path));
    here.merge(now, there.record(now, fatal.path).expect("held"));
    assert!(decided(&mut here).is_empty());
    assert!(!is_quarantined(&here, at(ALL_TOLD), harmless.path));
}

#[test]
fn a_request_that_ran_alone_on_the_leaf_that_ended_is_quarantined_beside_other_suspects() {
    let [fatal, harmless] = two_requests();
    let mut table = Quarantine::default();
    strike_both_in_one_event(&mut table);
    strike_request(&mut table, &fatal, 30, SECOND_EVENT);
    assert!(!is_quarantined(&table, at(SECOND_EVENT + RUN), fatal.path));
    assert_eq!(decided(&mut table), [fatal.path]);
    assert_eq!(table.verdict(at(ALL_TOLD), harmless.path), Verdict::Suspect);
}

#[test]
fn requests_that_always_come_together_are_quarantined_after_a_third_event() {
    const THIRD_EVENT: u64 = 4_000;
    let requests = two_requests();
    let mut table = Quarantine::default();
    strike_both_in_one_event(&mut table);
    for (leaf, sent) in [(30, SECOND_EVENT), (31, THIRD_EVENT)] {
        for request in &requests {
            strike_request(&mut table, request, leaf, sent);
        }
    }
    for request in &requests {
        assert!(is_quarantined(&table, at(THIRD_EVENT + RUN), request.path));
    }
}

/// Guards against a cause that goes on ending leafs while requests that ran beside it once are suspects.
#[test]
fn victims_of_one_event_do_not_keep_the_cause_from_being_quarantined() {
    let [fatal, victim] = two_requests();
    let mut table = Quarantine::default();
    for run in 0..3 {
        strike_request(&mut table, &fatal, run, run as u64 * RUN);
    }
    // In the second event two leafs end under the cause, and a request that came only then ran on both.
    for request in [victim, fatal] {
        for leaf in [30, 31] {
            strike_request(&mut table, &request, leaf, SECOND_EVENT);
        }
    }
    assert_eq!(decided(&mut table), [fatal.path]);
}

#[test]
fn a_request_is_sent_to_no_further_leaf_until_it_is_decided_on() {
    let [fatal, _] = two_requests();
    let mut table = Quarantine::default();
    strike_both_in_one_event(&mut table);
    assert_eq!(table.decision_due(at(RUN * 4), &fatal), None);
    strike_request(&mut table, &fatal, 30, SECOND_EVENT);
    let due = table.decision_due(at(SECOND_EVENT + RUN), &fatal);
    assert!(due.is_some_and(|due| due > at(SECOND_EVENT + RUN) && due <= at(ALL_TOLD)));
    assert_eq!(table.decision_due(at(ALL_TOLD), &fatal), None);
}
