//! The limiter of requests under which leafs end, and the messages between daemons about them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tansylead_gateway::leaf::{LostRequest, LostRequests};
use tansylead_gateway::quarantine::{
    QuarantineMessage, QuarantineState, SendAdmission, SendLimiter, SourceWrite,
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

/// Adds `count` strikes, one after the other, the last just now.
fn add_strikes(state: &QuarantineState, count: u64) {
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

/// Delivers all messages of `from`; returns whether there were any.
fn deliver(from: &QuarantineState, to: &QuarantineState) -> bool {
    let sent = from.take_to_send();
    let replies = sent.replies.into_iter().flat_map(|(_, messages)| messages);
    let messages: Vec<QuarantineMessage> = sent.wide.into_iter().chain(replies).collect();
    let has_messages = !messages.is_empty();
    to.receive(peer(), messages);
    has_messages
}

#[test]
fn a_request_under_which_nothing_was_lost_goes_to_all_leafs_at_once() {
    let limiter = Rc::new(SendLimiter::default());
    let first = limiter.begin(Verdict::Clear);
    assert_eq!(limiter.admission(Verdict::Clear), SendAdmission::Now);
    first.on_lost();
    assert_eq!(limiter.admission(Verdict::Clear), SendAdmission::Now);
}

#[test]
fn after_two_losses_it_goes_to_one_leaf_at_a_time_until_one_answers() {
    let limiter = Rc::new(SendLimiter::default());
    let (running, other) = (limiter.begin(Verdict::Clear), limiter.begin(Verdict::Clear));
    running.on_lost();
    other.on_lost();
    assert_eq!(limiter.admission(Verdict::Clear), SendAdmission::Later);
    drop((running, other));
    assert_eq!(limiter.admission(Verdict::Clear), SendAdmission::Later);
    limiter.on_checked(true);
    limiter.on_checked(true);
    assert_eq!(limiter.admission(Verdict::Clear), SendAdmission::Now);
    let _next = limiter.begin(Verdict::Clear);
    assert_eq!(limiter.admission(Verdict::Clear), SendAdmission::Later);
    limiter.on_answer();
    assert_eq!(limiter.admission(Verdict::Clear), SendAdmission::Now);
}

#[test]
fn lost_answers_of_leafs_that_live_call_for_no_care() {
    let limiter = Rc::new(SendLimiter::default());
    let running = limiter.begin(Verdict::Clear);
    running.on_lost();
    running.on_lost();
    limiter.on_checked(false);
    limiter.on_checked(false);
    assert_eq!(limiter.admission(Verdict::Clear), SendAdmission::Now);
}

#[test]
fn a_request_fails_after_two_leafs_have_ended_under_it_one_at_a_time() {
    let limiter = Rc::new(SendLimiter::default());
    for _ in 0..2 {
        assert_eq!(limiter.admission(Verdict::Suspect), SendAdmission::Now);
        let canary = limiter.begin(Verdict::Suspect);
        canary.on_lost();
        drop(canary);
        limiter.on_checked(true);
    }
    assert_eq!(limiter.admission(Verdict::Suspect), SendAdmission::Never);
    assert!(!limiter.is_refused(), "it was not refused, it has run");
}

#[test]
fn a_suspect_goes_to_one_leaf_at_a_time_and_a_quarantined_request_to_none() {
    let limiter = Rc::new(SendLimiter::default());
    assert_eq!(limiter.admission(Verdict::Suspect), SendAdmission::Now);
    let _canary = limiter.begin(Verdict::Suspect);
    assert_eq!(limiter.admission(Verdict::Suspect), SendAdmission::Later);
    assert!(!limiter.is_refused());
    assert_eq!(limiter.admission(HOUR), SendAdmission::Never);
    assert!(limiter.is_refused());
}

#[test]
fn a_quarantined_request_is_refused_as_not_run() {
    let state = QuarantineState::default();
    add_strikes(&state, 2);
    assert_eq!(state.refusal(&fatal()), None);
    let state = QuarantineState::default();
    add_strikes(&state, 3);
    let refusal = state.refusal(&fatal()).expect("refused");
    assert_eq!(refusal.reason, RefusalReason::EndsLeafs);
    assert_eq!(refusal.reason.status(), 503);
    assert!(refusal.retry_after.is_some());
}

#[tokio::test]
async fn changes_reach_others_at_once_and_the_source() {
    let (here, there) = (QuarantineState::default(), QuarantineState::default());
    add_strikes(&here, 3);
    assert!(deliver(&here, &there));
    assert!(there.refusal(&fatal()).is_some());
    // All strikes are from one caller, so the content alone is not quarantined: it may be innocent.
    let found = |is_own| {
        let narrow = [fatal().exact, fatal().path];
        narrow.map(|fingerprint| SourceWrite::Quarantined {
            fingerprint,
            is_own,
        })
    };
    assert_eq!(here.take_source_writes().await, found(true));
    let received = there.take_source_writes().await;
    assert!(found(false).iter().all(|write| received.contains(write)));
    there.on_answer(&fatal());
    assert!(deliver(&there, &here));
    assert_eq!(here.refusal(&fatal()), None);
    let cleared = there.take_source_writes().await;
    let narrow = [fatal().exact, fatal().path];
    assert_eq!(cleared, narrow.map(SourceWrite::Cleared));
}

#[test]
fn a_quarantined_request_is_sent_however_many_others_lost_leafs() {
    const VICTIMS: usize = 300;
    let state = QuarantineState::default();
    let now = Clock.now();
    for victim in 0..VICTIMS {
        let leaf = LeafId::new("i-0".to_owned()).expect("valid name");
        let strike = Strike::new(&leaf.into(), now - Duration::from_millis(30), now, 1);
        state.on_strike(&request(&format!("/{victim}")), strike);
    }
    add_strikes(&state, 4);
    let sent = state.take_to_send().wide;
    let is_sent = |message: &QuarantineMessage| match message {
        QuarantineMessage::Record(record) => record.fingerprint == fatal().exact,
        QuarantineMessage::Trial(_) | QuarantineMessage::Digest(_) => false,
    };
    assert!(sent.iter().any(is_sent));
    assert!(sent.len() < VICTIMS, "{} records", sent.len());
}

#[test]
fn a_daemon_that_has_just_started_learns_from_a_digest() {
    let (old, new) = (QuarantineState::default(), QuarantineState::default());
    old.restore(&[]);
    add_strikes(&old, 3);
    old.take_to_send();
    assert!(!new.is_complete());
    new.send_digest(peer());
    assert!(deliver(&new, &old));
    assert!(deliver(&old, &new));
    assert!(new.refusal(&fatal()).is_some());
    assert!(new.is_complete());
}

#[test]
fn what_waited_while_a_daemon_stood_still_is_passed_over() {
    let (here, there) = (QuarantineState::default(), QuarantineState::default());
    add_strikes(&here, 3);
    // Its last tick is long ago: the messages that it reads now are old.
    there.tick(Clock.now() - Duration::from_secs(3));
    deliver(&here, &there);
    assert_eq!(there.refusal(&fatal()), None);
    // The tick notices the pause; old messages may still be in the socket.
    there.tick(Clock.now());
    add_strikes(&here, 4);
    deliver(&here, &there);
    assert_eq!(there.refusal(&fatal()), None);
}

#[test]
fn digests_that_agree_end_an_exchange() {
    let (here, there) = (QuarantineState::default(), QuarantineState::default());
    add_strikes(&here, 3);
    deliver(&here, &there);
    there.take_to_send();
    here.send_digest(peer());
    assert!(deliver(&here, &there));
    assert!(!deliver(&there, &here));
}

#[test]
fn what_the_source_kept_is_refused_after_a_loss_of_all_daemons() {
    let state = QuarantineState::default();
    state.restore(&[fatal().exact]);
    assert!(state.is_complete());
    assert!(state.refusal(&fatal()).is_some());
}

#[test]
fn a_leaf_that_ends_after_a_request_was_abandoned_counts_for_a_while() {
    let lost_requests = LostRequests::default();
    let now = Clock.now();
    let abandoned = |at| LostRequest {
        fingerprints: fatal(),
        sent: at - Duration::from_millis(30),
        lost: at,
        limiter: Rc::default(),
    };
    lost_requests.abandon(abandoned(now));
    let later = now + Duration::from_secs(1);
    assert!(lost_requests.take_abandoned(later).is_empty());
    lost_requests.abandon(abandoned(now));
    let soon = now + Duration::from_millis(100);
    assert_eq!(lost_requests.take_abandoned(soon).len(), 1);
    assert!(lost_requests.take_abandoned(soon).is_empty());
}
