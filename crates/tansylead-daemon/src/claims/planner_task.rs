//! Proposes claim views to the store, on daemons that read it. Of several proposals one wins by
//! compare-and-set; a lost answer does no harm, because the watch brings whatever was written.
//! After the store was restored to an older state, the view in force is first written again.

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
    ClaimViewRepair, ClaimViewRepairStep, LiveDaemon,
};
use tansylead_cluster::membership::{MemberRecord, MemberState};
use tansylead_cluster::spread::StoreState;
use tansylead_types::store::WriteRequest;
use tansylead_types::{ChangeId, ClaimView, ClaimViewMember, ConfigObject, InstanceId, ObjectKey};
use tokio::sync::watch;

/// Maximum interval between two checks; intervals are random so that daemons seldom write at the
/// same time.
const MAXIMUM_INTERVAL: Duration = Duration::from_millis(1_500);
/// Minimum interval.
const MINIMUM_INTERVAL: Duration = Duration::from_millis(500);
/// Time allowed for the status of one member.
const STATUS_LIMIT: Duration = Duration::from_millis(500);

/// Dependencies of the planner.
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

/// State kept between two checks.
#[derive(Debug)]
struct PlannerState {
    planner: ClaimViewPlanner,
    repair: ClaimViewRepair,
}

impl PlannerState {
    /// Records which generation the store reported after a write, and which one was held before it.
    fn record_store_generation(&mut self, in_store: Option<u64>, held: u64) {
        if let Some(in_store) = in_store {
            self.repair.on_store_generation(in_store, held);
        }
    }
}

/// Status reports of the members of a view.
#[derive(Debug, Default)]
struct MemberReports {
    statuses: BTreeMap<InstanceId, ClaimMemberStatus>,
    /// Highest epoch that they or this daemon know of.
    highest_epoch: u64,
}

/// Runs until its task is ended.
pub async fn run_claim_planner(parts: PlannerParts) {
    let mut state = PlannerState {
        planner: ClaimViewPlanner::new(Clock.now()),
        repair: ClaimViewRepair::default(),
    };
    loop {
        let interval = rand::rng().random_range(MINIMUM_INTERVAL..MAXIMUM_INTERVAL);
        tokio::time::sleep(interval).await;
        let store_state = parts.status.borrow().store.clone();
        let reads_store = matches!(store_state, StoreState::Current | StoreState::Behind { .. });
        if reads_store && parts.members.borrow().joined {
            check_view(&parts, &mut state, &store_state).await;
        }
    }
}

async fn check_view(parts: &PlannerParts, state: &mut PlannerState, store: &StoreState) {
    let configuration = Arc::clone(&parts.configuration.borrow());
    let generation = configuration.generation(&ObjectKey::ClaimView);
    let current = configuration.claim_view().cloned();
    // A store that is behind may have lost a view.
    let may_be_first = generation == 0 && *store == StoreState::Current;
    if current.is_none() && (!may_be_first || !parts.has_never_existed().await) {
        return;
    }
    if let Some(view) = current
        .as_deref()
        .filter(|view| state.repair.is_needed(view, generation))
    {
        parts.repair_store(view, generation, state).await;
        return;
    }
    let live = live_daemons(&parts.members.borrow());
    let now = Clock.now();
    let planner = &mut state.planner;
    if !planner.is_change_due(now, current.as_deref(), &live) {
        return;
    }
    let reports = parts.member_reports(current.as_deref()).await;
    let planned = planner.plan(Clock.now(), current.as_deref(), &live, &reports.statuses);
    if let Some(view) = planned {
        let in_store = parts.write(view, generation).await;
        state.record_store_generation(in_store, generation);
    }
}

impl PlannerParts {
    /// Whether the store reports that there never was a view.
    async fn has_never_existed(&self) -> bool {
        matches!(self.store.get(&ObjectKey::ClaimView).await, Ok(None))
    }

    /// Takes one step towards a store that holds the view in force at its own generation.
    async fn repair_store(&self, view: &ClaimView, generation: u64, state: &mut PlannerState) {
        let reports = self.member_reports(Some(view)).await;
        let step =
            state
                .repair
                .next_step(view, generation, &reports.statuses, reports.highest_epoch);
        if let ClaimViewRepairStep::Write {
            expected_generation,
        } = step
        {
            log::warn!(
                "claim view {}: the store holds generation {expected_generation}; written again",
                view.epoch
            );
            let in_store = self.write(view.clone(), expected_generation).await;
            state.record_store_generation(in_store, generation);
        }
    }

    async fn member_reports(&self, current: Option<&ClaimView>) -> MemberReports {
        let mut reports = MemberReports {
            highest_epoch: self.claims.member.lock().highest_epoch(),
            ..MemberReports::default()
        };
        let Some(view) = current else {
            return reports;
        };
        let requests = view.members.iter().map(|member| {
            let request = ClaimRequest {
                epoch: view.epoch,
                from: self.claims.parts.own_instance,
                to: member.instance,
                body: ClaimRequestBody::Status,
            };
            self.claims.send_request(request, STATUS_LIMIT)
        });
        let answered = futures_util::future::join_all(requests).await;
        for response in answered.into_iter().flatten() {
            reports.highest_epoch = reports.highest_epoch.max(response.epoch);
            if let ClaimResponseBody::Status(status) = response.body {
                reports.statuses.insert(response.from, status);
            }
        }
        reports
    }

    /// Writes a view. Returns the generation that the store then holds, if it reports one; 0
    /// without the object.
    async fn write(&self, view: ClaimView, expected_generation: u64) -> Option<u64> {
        let number: u128 = rand::rng().random();
        let change = ChangeId::new(format!("claim-view-{number:032x}")).ok()?;
        let (epoch, members) = (view.epoch, view.members.len());
        let write = WriteRequest {
            expected_generation,
            change,
            object: ConfigObject::ClaimView(view),
        };
        match self.store.put(&ObjectKey::ClaimView, &write).await {
            Ok(WriteOutcome::Accepted(stored)) => {
                log::info!("claim view {epoch} with {members} members accepted");
                Some(stored.generation)
            }
            Ok(WriteOutcome::Conflict(conflict)) => {
                log::debug!("claim view {epoch}: the store holds another generation");
                let current = conflict.current.as_ref();
                Some(current.map_or(0, |stored| stored.generation))
            }
            Err(error) => {
                log::warn!("claim view {epoch}: {error}");
                None
            }
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
