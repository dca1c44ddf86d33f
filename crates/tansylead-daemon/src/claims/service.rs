//! State of claims in this daemon: its claim member, and the outcomes of the keys that it
//! dispatched as root.

use crate::clock::Clock;
use crate::configuration::ConfigurationView;
use crate::metrics::Metrics;
use crate::peers::{PeerClient, PeerRequest, PeerResponse};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tansylead_cluster::claims::{
    AnswerCache, AnswerStatus, ClaimHolder, ClaimKey, ClaimMember, ClaimRequest, ClaimResponse,
    ClaimSettings, ClaimTime,
};
use tansylead_types::{ClaimView, InstanceId, Moment, QueryAnswer};
use tokio::sync::{Notify, watch};

/// Maximum size of the answers kept for repetitions.
const MAXIMUM_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of keys remembered as root.
const MAXIMUM_KEYS: usize = 100_000;

/// Outcome of a key at one root.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum KeyOutcome {
    /// It is in progress.
    InProgress,
    /// It ran, or may have run, and this was the answer.
    Finished(Box<QueryAnswer>),
    /// It never ran and will not run under the claim in question.
    NotRun,
    /// The root does not know: it may have run.
    Unknown,
}

/// Dependencies of [`Claims`].
#[derive(Debug)]
pub struct ClaimParts {
    /// This run of this daemon.
    pub own_instance: InstanceId,
    /// Time limits and sizes.
    pub settings: ClaimSettings,
    /// Other daemons.
    pub peers: Arc<PeerClient>,
    /// Configuration in force, with the claim view.
    pub configuration: watch::Receiver<Arc<ConfigurationView>>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
}

/// State of claims in this daemon.
#[derive(Debug)]
pub struct Claims {
    pub(super) parts: ClaimParts,
    pub(super) member: Mutex<ClaimMember>,
    pub(super) answers: Mutex<AnswerCache>,
    /// Wakes the member's task after a request that may have moved its next wakeup.
    pub(super) member_changed: Notify,
    clock: Clock,
}

impl Claims {
    /// Claims of a daemon that has just started.
    pub fn new(parts: ClaimParts) -> Self {
        let now = Clock.now();
        let member = ClaimMember::new(parts.own_instance, parts.settings.clone(), now);
        let answers = AnswerCache::new(parts.settings.clone(), MAXIMUM_ANSWER_BYTES, MAXIMUM_KEYS);
        Self {
            parts,
            member: Mutex::new(member),
            answers: Mutex::new(answers),
            member_changed: Notify::new(),
            clock: Clock,
        }
    }

    /// Time limits and sizes.
    pub fn settings(&self) -> &ClaimSettings {
        &self.parts.settings
    }

    /// Answers a request to this daemon's claim member.
    pub fn on_request(&self, request: &ClaimRequest) -> ClaimResponse {
        let response = self.member.lock().on_request(self.time(), request);
        self.member_changed.notify_one();
        response
    }

    /// Whether a planned stop should wait for others to take over this daemon's claims.
    pub fn is_needed(&self) -> bool {
        self.member.lock().is_needed()
    }

    /// Outcome of a key under a holder's claim; unknown unless the holder is this very run.
    pub fn key_outcome(&self, key: &ClaimKey, holder: ClaimHolder) -> KeyOutcome {
        if holder.owner != self.parts.own_instance {
            return KeyOutcome::Unknown;
        }
        let status = self.answers.lock().status(key, self.clock.wall());
        match status {
            AnswerStatus::InProgress => KeyOutcome::InProgress,
            AnswerStatus::Finished(answer) => KeyOutcome::Finished(answer),
            AnswerStatus::NotRun { claim } => {
                let covers = claim.sequence == holder.claim.sequence && claim >= holder.claim;
                match covers {
                    true => KeyOutcome::NotRun,
                    false => KeyOutcome::Unknown,
                }
            }
            AnswerStatus::Unknown => KeyOutcome::Unknown,
        }
    }

    /// The time of both clocks.
    pub(super) fn time(&self) -> ClaimTime {
        ClaimTime::read(|| self.clock.wall(), || self.clock.now())
    }

    /// The claim view in force.
    pub(super) fn view(&self) -> Option<Arc<ClaimView>> {
        self.parts.configuration.borrow().claim_view().cloned()
    }

    /// Sends a request to a claim member, which may be this daemon's own. `None` without a
    /// response.
    pub(super) async fn send_request(
        &self,
        request: ClaimRequest,
        limit: Duration,
    ) -> Option<ClaimResponse> {
        let to = request.to;
        if to.node == self.parts.own_instance.node {
            return Some(self.on_request(&request));
        }
        let request = PeerRequest::Claim(Box::new(request));
        match self.call(to, request, limit).await {
            Some(PeerResponse::Claim(response)) => Some(*response),
            _ => None,
        }
    }

    /// Requests the outcome of a key from a holder.
    pub(super) async fn request_outcome(
        &self,
        key: &ClaimKey,
        holder: ClaimHolder,
        limit: Duration,
    ) -> KeyOutcome {
        if holder.owner.node == self.parts.own_instance.node {
            return self.key_outcome(key, holder);
        }
        let request = PeerRequest::KeyOutcome {
            key: key.clone(),
            holder,
        };
        match self.call(holder.owner, request, limit).await {
            Some(PeerResponse::KeyOutcome(outcome)) => outcome,
            _ => KeyOutcome::Unknown,
        }
    }

    async fn call(
        &self,
        to: InstanceId,
        request: PeerRequest,
        limit: Duration,
    ) -> Option<PeerResponse> {
        let deadline: Moment = self.clock.now() + limit;
        self.parts.peers.call(to.node, request, deadline).await.ok()
    }
}
