//! Runs this daemon's claim member: heartbeats, copies of earlier claims, expiry.

use super::service::Claims;
use crate::clock::Clock;
use crate::configuration::ConfigurationView;
use std::sync::Arc;
use std::time::Duration;
use tansylead_cluster::claims::{ClaimMemberEvent, ClaimRequest, ClaimResponse};
use tansylead_types::{ClaimView, InstanceId, ObjectKey};
use tokio::sync::{mpsc, watch};

/// Period of dropping expired answers.
const ANSWER_SWEEP_PERIOD: Duration = Duration::from_secs(5);

/// A response to a request of the member.
#[derive(Debug)]
struct MemberResponse {
    asked: InstanceId,
    response: ClaimResponse,
}

/// Runs until its task is ended.
pub async fn run_claim_member(
    claims: Arc<Claims>,
    mut configuration: watch::Receiver<Arc<ConfigurationView>>,
) {
    let (response_sender, mut responses) = mpsc::unbounded_channel();
    let mut sweep = tokio::time::interval(ANSWER_SWEEP_PERIOD);
    let mut known_generation = 0;
    loop {
        let view = Arc::clone(&configuration.borrow_and_update());
        let generation = view.generation(&ObjectKey::ClaimView);
        let learned = view.claim_view().filter(|_| generation != known_generation);
        let event = learned.map(|learned| ClaimMemberEvent::ViewLearned {
            view: ClaimView::clone(learned),
            generation,
        });
        known_generation = generation;
        feed(
            &claims,
            event.unwrap_or(ClaimMemberEvent::Wakeup),
            &response_sender,
        );
        let wakeup = claims.member.lock().next_wakeup();
        tokio::select! {
            changed = configuration.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            Some(MemberResponse { asked, response }) = responses.recv() => {
                let event = ClaimMemberEvent::Response { asked, response };
                feed(&claims, event, &response_sender);
            }
            () = claims.member_changed.notified() => {}
            _ = sweep.tick() => claims.answers.lock().drop_expired(Clock.wall()),
            () = tokio::time::sleep_until(Clock.instant_at(wakeup)) => {}
        }
    }
}

fn feed(
    claims: &Arc<Claims>,
    event: ClaimMemberEvent,
    responses: &mpsc::UnboundedSender<MemberResponse>,
) {
    let requests = claims.member.lock().on_event(claims.time(), event);
    for request in requests {
        send(claims, request, responses.clone());
    }
}

fn send(
    claims: &Arc<Claims>,
    request: ClaimRequest,
    responses: mpsc::UnboundedSender<MemberResponse>,
) {
    let claims = Arc::clone(claims);
    tokio::spawn(async move {
        let asked = request.to;
        let limit = claims.settings().copy_retry;
        if let Some(response) = claims.send_request(request, limit).await {
            let _ = responses.send(MemberResponse { asked, response });
        }
    });
}
