//! Acquires one claim: drives the state machine of its requester until it decides.

use super::service::Claims;
use crate::clock::Clock;
use std::sync::Arc;
use std::time::Duration;
use tansylead_cluster::claims::{
    ClaimDecision, ClaimGrant, ClaimHolder, ClaimId, ClaimRefusal, ClaimRequester,
    ClaimRequesterAction, ClaimRequesterEvent, ClaimTerms, release_requests,
};
use tansylead_types::{ClaimView, Moment};
use tokio::sync::mpsc;

/// Retry time given to callers when the deadline passed before the claim was decided.
const RETRY_AFTER_DEADLINE: Duration = Duration::from_millis(500);

/// A decision, and the last claim attempt that it concerns.
#[derive(Debug)]
pub(super) struct AcquireResult {
    pub(super) decision: ClaimDecision,
    pub(super) claim: ClaimId,
}

/// Requests the claim from the key's group until there is a decision or the deadline passes.
pub(super) async fn acquire(
    claims: &Arc<Claims>,
    view: &ClaimView,
    terms: ClaimTerms,
    deadline: Moment,
) -> AcquireResult {
    let own_instance = claims.parts.own_instance;
    let settings = claims.settings().clone();
    let seed: u64 = rand::random();
    let time = claims.time();
    let released_terms = terms.clone();
    let (mut requester, mut actions) =
        ClaimRequester::start(own_instance, settings, view, terms, seed, time);
    let (events_sender, mut events) = mpsc::unbounded_channel();
    loop {
        for action in actions {
            match action {
                ClaimRequesterAction::Send(request) => {
                    let (claims, events) = (Arc::clone(claims), events_sender.clone());
                    tokio::spawn(async move {
                        let asked = request.to;
                        let limit = claims.settings().vote_timeout;
                        let event = match claims.send_request(request, limit).await {
                            Some(response) => ClaimRequesterEvent::Response { asked, response },
                            None => ClaimRequesterEvent::Failed { asked },
                        };
                        let _ = events.send(event);
                    });
                }
                ClaimRequesterAction::Decide(decision) => {
                    let claim = requester.claim();
                    return AcquireResult { decision, claim };
                }
            }
        }
        let wakeup = requester.next_wakeup().unwrap_or(deadline).min(deadline);
        let event = tokio::select! {
            Some(event) = events.recv() => event,
            () = tokio::time::sleep_until(Clock.instant_at(wakeup)) => ClaimRequesterEvent::Wakeup,
        };
        if Clock.time_left(deadline).is_zero() {
            return release_after_deadline(claims, view, &released_terms, requester.claim());
        }
        actions = requester.on_event(claims.time(), event);
    }
}

/// Releases the claim after the deadline: nothing will be dispatched, and the members may drop it.
fn release_after_deadline(
    claims: &Arc<Claims>,
    view: &ClaimView,
    terms: &ClaimTerms,
    claim: ClaimId,
) -> AcquireResult {
    let holder = ClaimHolder {
        owner: claims.parts.own_instance,
        claim,
    };
    let grant = ClaimGrant {
        key: terms.key.clone(),
        holder,
        expires: terms.expires,
        group: Vec::new(),
    };
    release(claims, view, &grant);
    let decision = ClaimDecision::Refused {
        reason: ClaimRefusal::Silent,
        retry_after: RETRY_AFTER_DEADLINE,
        highest_epoch: view.epoch,
    };
    AcquireResult { decision, claim }
}

/// Tells the members that nothing was or will be dispatched under the grant. A lost message does no
/// harm: the members drop the claim after its expiry.
pub(super) fn release(claims: &Arc<Claims>, view: &ClaimView, grant: &ClaimGrant) {
    for request in release_requests(view, grant) {
        let claims = Arc::clone(claims);
        tokio::spawn(async move {
            let limit = claims.settings().vote_timeout;
            let _ = claims.send_request(request, limit).await;
        });
    }
}
