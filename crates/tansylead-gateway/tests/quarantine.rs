//! The care for a request under which leafs end, and what daemons tell one another of it.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tansylead_gateway::leaf::{LostRequest, LostRequests};
use tansylead_gateway::quarantine::{
    KeptChange, QuarantineMessage, QuarantineState, SendAdmission, SendCare,
};
use tansylead_gateway::{Clock, execution::RefusalReason};
use tansylead_route::{RequestFingerprints, RequestIdentity, Strike, Verdict};
use tansylead_types::LeafId;

const CALLER: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));
const HOUR: Verdict = Verdict::Quarantined(Duration::from_secs(3_600));

/// The request of this path.
fn request(path: &str) -> RequestFingerprints {
    let identity = RequestIdentity {
        caller: CALLER,
        method: "GET",
        host: "search.example",
        target: path,
        body: b"",
    };
    identity.fingerprints()
}

fn fatal() -> RequestFingerprints {
    request("/fatal")
}

fn peer() -> SocketAddr {
    "127.0.0.1:1".parse().expect("valid address")
}

/// So many strikes, one after the other, the last just now.
fn strike(state: &QuarantineState, count: u64) {
    const RUN: Duration = Duration::from_millis(30);
    const STEP: Duration = Duration::from_millis(600);
    let now = Clock.now();
    for number in 0..count {
        let leaf = LeafId::new(format!("i-{number}")).expect("valid name");
        let ended = now - STEP * (count - number) as u32;
        let strike = Strike::new(&leaf.into(), ended - RUN, ended, fatal().caller);
        state.on_strike(&fatal(), strike);
    }
}

/// Hands over what `from` has to send; returns whether there was anything.
fn pass_on(from: &QuarantineState, to: &QuarantineState) -> bool {
    let sent = from.take_to_send();
    let replies = sent.replies.into_iter().flat_map(|(_, messages)| messages);
    let messages: Vec<QuarantineMessage> = sent.wide.into_iter().chain(replies).collect();
    let any = !messages.is_empty();
    to.receive(peer(), messages);
    any
}

#[test]
fn a_request_under_which_nothing_was_lost_goes_to_all_leafs_at_once() {
    let care = Rc::new(SendCare::default());
    let first = care.begin(Verdict::Clear);
    assert_eq!(care.admission(Verdict::Clear), SendAdmission::Now);
    first.on_lost();
    assert_eq!(care.admission(Verdict::Clear), SendAdmission::Now);
}

#[test]
fn after_two_losses_it_goes_to_one_leaf_at_a_time_until_one_answers() {
    let care = Rc::new(SendCare::default());
    let (running, other) = (care.begin(Verdict::Clear), care.begin(Verdict::Clear));
    running.on_lost();
    other.on_lost();
    assert_eq!(care.admission(Verdict::Clear), SendAdmission::Later);
    drop((running, other));
    assert_eq!(care.admission(Verdict::Clear), SendAdmission::Later);
    care.on_checked(true);
    care.on_checked(true);
    assert_eq!(care.admission(Verdict::Clear), SendAdmission::Now);
    let _next = care.begin(Verdict::Clear);
    assert_eq!(care.admission(Verdict::Clear), SendAdmission::Later);
    care.on_answer();
    assert_eq!(care.admission(Verdict::Clear), SendAdmission::Now);
}

#[test]
fn lost_answers_of_leafs_that_live_call_for_no_care() {
    let care = Rc::new(SendCare::default());
    let running = care.begin(Verdict::Clear);
    running.on_lost();
    running.on_lost();
    care.on_checked(false);
    care.on_checked(false);
    assert_eq!(care.admission(Verdict::Clear), SendAdmission::Now);
}

#[test]
fn a_request_fails_after_two_leafs_have_ended_under_it_one_at_a_time() {
    let care = Rc::new(SendCare::default());
    for _ in 0..2 {
        assert_eq!(care.admission(Verdict::Suspect), SendAdmission::Now);
        let canary = care.begin(Verdict::Suspect);
        canary.on_lost();
        drop(canary);
        care.on_checked(true);
    }
    assert_eq!(care.admission(Verdict::Suspect), SendAdmission::Never);
    assert!(!care.is_refused(), "it was not refused, it has run");
}

#[test]
fn a_suspect_goes_to_one_leaf_at_a_time_and_a_quarantined_request_to_none() {
    let care = Rc::new(SendCare::default());
    assert_eq!(care.admission(Verdict::Suspect), SendAdmission::Now);
    let _canary = care.begin(Verdict::Suspect);
    assert_eq!(care.admission(Verdict::Suspect), SendAdmission::Later);
    assert!(!care.is_refused());
    assert_eq!(care.admission(HOUR), SendAdmission::Never);
    assert!(care.is_refused());
}

#[test]
fn a_quarantined_request_is_refused_as_not_run() {
    let state = QuarantineState::default();
    strike(&state, 2);
    assert_eq!(state.refusal(&fatal()), None);
    let state = QuarantineState::default();
    strike(&state, 3);
    let refusal = state.refusal(&fatal()).expect("refused");
    assert_eq!(refusal.reason, RefusalReason::EndsLeafs);
    assert_eq!(refusal.reason.status(), 503);
    assert!(refusal.retry_after.is_some());
}

#[tokio::test]
async fn news_reach_others_at_once_and_the_source() {
    let (here, there) = (QuarantineState::default(), QuarantineState::default());
    strike(&here, 3);
    assert!(pass_on(&here, &there));
    assert!(there.refusal(&fatal()).is_some());
    // Of one caller: the content alone may be innocent.
    let found = |is_own| {
        let narrow = [fatal().exact, fatal().path];
        narrow.map(|fingerprint| KeptChange::Quarantined {
            fingerprint,
            is_own,
        })
    };
    assert_eq!(here.changes_to_keep().await, found(true));
    let told = there.changes_to_keep().await;
    assert!(found(false).iter().all(|change| told.contains(change)));
    there.on_answer(&fatal());
    assert!(pass_on(&there, &here));
    assert_eq!(here.refusal(&fatal()), None);
    let cleared = there.changes_to_keep().await;
    let narrow = [fatal().exact, fatal().path];
    assert_eq!(cleared, narrow.map(KeptChange::Cleared));
}

#[test]
fn a_convicted_request_is_told_however_many_others_lost_leafs() {
    const VICTIMS: usize = 300;
    let state = QuarantineState::default();
    let now = Clock.now();
    for victim in 0..VICTIMS {
        let leaf = LeafId::new("i-0".to_owned()).expect("valid name");
        let strike = Strike::new(&leaf.into(), now - Duration::from_millis(30), now, 1);
        state.on_strike(&request(&format!("/{victim}")), strike);
    }
    strike(&state, 4);
    let told = state.take_to_send().wide;
    let is_told = |message: &QuarantineMessage| match message {
        QuarantineMessage::Record(record) => record.fingerprint == fatal().exact,
        QuarantineMessage::Trial(_) | QuarantineMessage::Digest(_) => false,
    };
    assert!(told.iter().any(is_told));
    assert!(told.len() < VICTIMS, "{} records", told.len());
}

#[test]
fn a_daemon_that_has_just_started_learns_from_a_digest() {
    let (old, new) = (QuarantineState::default(), QuarantineState::default());
    old.restore(&[]);
    strike(&old, 3);
    old.take_to_send();
    assert!(!new.is_complete());
    new.ask(peer());
    assert!(pass_on(&new, &old));
    assert!(pass_on(&old, &new));
    assert!(new.refusal(&fatal()).is_some());
    assert!(new.is_complete());
}

#[test]
fn what_waited_while_a_daemon_stood_still_is_passed_over() {
    let (here, there) = (QuarantineState::default(), QuarantineState::default());
    strike(&here, 3);
    // It has not looked for a while: what it reads now is old.
    there.tick(Clock.now() - Duration::from_secs(3));
    pass_on(&here, &there);
    assert_eq!(there.refusal(&fatal()), None);
    // It has noticed, and may still read what waited.
    there.tick(Clock.now());
    strike(&here, 4);
    pass_on(&here, &there);
    assert_eq!(there.refusal(&fatal()), None);
}

#[test]
fn digests_that_agree_end_an_exchange() {
    let (here, there) = (QuarantineState::default(), QuarantineState::default());
    strike(&here, 3);
    pass_on(&here, &there);
    there.take_to_send();
    here.ask(peer());
    assert!(pass_on(&here, &there));
    assert!(!pass_on(&there, &here));
}

#[test]
fn what_the_source_kept_is_refused_after_a_loss_of_all_daemons() {
    let state = QuarantineState::default();
    state.restore(&[fatal().exact]);
    assert!(state.is_complete());
    assert!(state.refusal(&fatal()).is_some());
}

#[test]
fn a_leaf_that_ends_after_a_request_was_given_up_counts_for_a_while() {
    let leaf_runs = LostRequests::default();
    let now = Clock.now();
    let given_up = |at| LostRequest {
        fingerprints: fatal(),
        sent: at - Duration::from_millis(30),
        lost: at,
        care: Rc::default(),
    };
    leaf_runs.abandon(given_up(now));
    let later = now + Duration::from_secs(1);
    assert!(leaf_runs.take_abandoned(later).is_empty());
    leaf_runs.abandon(given_up(now));
    let soon = now + Duration::from_millis(100);
    assert_eq!(leaf_runs.take_abandoned(soon).len(), 1);
    assert!(leaf_runs.take_abandoned(soon).is_empty());
}
