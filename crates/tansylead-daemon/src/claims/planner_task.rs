//! Proposes claim views to the store, on daemons that read it. Of several proposals one wins by
//! compare-and-set; a lost answer does no harm, because the watch brings whatever was written.

use super::service::Claims;
use crate::clock::Clock;
use crate::cluster::{ClusterStatus, MemberView};
use crate::configuration::ConfigurationView;
use crate::platform::{StoreClient, WriteOutcome};
use rand::RngExt;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tansylead_cluster::claims::{
    ClaimMemberStatus, ClaimRequest, ClaimRequestBody, ClaimResponseBody, ClaimViewPlanner,
    LiveDaemon,
};
use tansylead_cluster::membership::{MemberRecord, MemberState};
use tansylead_cluster::spread::StoreState;
use tansylead_types::store::WriteRequest;
use tansylead_types::{ChangeId, ClaimView, ClaimViewMember, ConfigObject, InstanceId, ObjectKey};
use tokio::sync::watch;

/// Longest pause between two looks; pauses are drawn so that daemons seldom write at once.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_500);
/// Shortest pause.
const SHORTEST_PAUSE: Duration = Duration::from_millis(500);
/// Time allowed for the status of one member.
const STATUS_LIMIT: Duration = Duration::from_millis(500);

/// What the planner works with.
#[derive(Debug)]
pub struct PlannerParts {
    /// Claims of this daemon.
    pub claims: Arc<Claims>,
    /// The platform's store.
    pub store: StoreClient,
    /// Configuration in force.
    pub configuration: watch::Receiver<Arc<ConfigurationView>>,
    /// Members.
    pub members: watch::Receiver<Arc<MemberView>>,
    /// Tells whether this daemon reads the store.
    pub status: watch::Receiver<Arc<ClusterStatus>>,
}

/// Runs until its task is ended.
pub async fn run_claim_planner(parts: PlannerParts) {
    let mut planner = ClaimViewPlanner::new(Clock.now());
    loop {
        let pause = rand::rng().random_range(SHORTEST_PAUSE..LONGEST_PAUSE);
        tokio::time::sleep(pause).await;
        let state = parts.status.borrow().store.clone();
        if state == StoreState::Current && parts.members.borrow().joined {
            consider(&parts, &mut planner).await;
        }
    }
}

async fn consider(parts: &PlannerParts, planner: &mut ClaimViewPlanner) {
    let configuration = Arc::clone(&parts.configuration.borrow());
    let generation = configuration.generation(&ObjectKey::ClaimView);
    let current = configuration.claim_view().cloned();
    if current.is_none() && (generation > 0 || !parts.never_existed().await) {
        return;
    }
    let live = live_daemons(&parts.members.borrow());
    let now = Clock.now();
    if !planner.is_change_due(now, current.as_deref(), &live) {
        return;
    }
    let statuses = parts.member_statuses(current.as_deref()).await;
    let planned = planner.plan(Clock.now(), current.as_deref(), &live, &statuses);
    if let Some(view) = planned {
        parts.write(view, generation).await;
    }
}

impl PlannerParts {
    /// Whether the store says that there never was a view.
    async fn never_existed(&self) -> bool {
        matches!(self.store.get(&ObjectKey::ClaimView).await, Ok(None))
    }

    async fn member_statuses(
        &self,
        current: Option<&ClaimView>,
    ) -> BTreeMap<InstanceId, ClaimMemberStatus> {
        let mut statuses = BTreeMap::new();
        let Some(view) = current else {
            return statuses;
        };
        let asking = view.members.iter().map(|member| {
            let request = ClaimRequest {
                epoch: view.epoch,
                from: self.claims.parts.me,
                to: member.instance,
                body: ClaimRequestBody::Status,
            };
            self.claims.ask(request, STATUS_LIMIT)
        });
        let answered = futures_util::future::join_all(asking).await;
        for response in answered.into_iter().flatten() {
            if let ClaimResponseBody::Status(status) = response.body {
                statuses.insert(response.from, status);
            }
        }
        statuses
    }

    async fn write(&self, view: ClaimView, expected_generation: u64) {
        let number: u128 = rand::rng().random();
        let Ok(change) = ChangeId::new(format!("claim-view-{number:032x}")) else {
            return;
        };
        let (epoch, members) = (view.epoch, view.members.len());
        let write = WriteRequest {
            expected_generation,
            change,
            object: ConfigObject::ClaimView(view),
        };
        match self.store.put(&ObjectKey::ClaimView, &write).await {
            Ok(WriteOutcome::Accepted(_)) => {
                log::info!("claim view {epoch} with {members} members accepted");
            }
            Ok(WriteOutcome::Conflict(_)) => log::debug!("claim view {epoch}: another one won"),
            Err(error) => log::warn!("claim view {epoch}: {error}"),
        }
    }
}

fn live_daemons(members: &MemberView) -> Vec<LiveDaemon> {
    let daemon = |member: &MemberRecord| LiveDaemon {
        member: ClaimViewMember {
            instance: member.instance,
            place: member.place.clone(),
            zone: member.zone.clone(),
        },
        is_leaving: member.state == MemberState::Leaving,
    };
    members.present.iter().map(daemon).collect()
}
