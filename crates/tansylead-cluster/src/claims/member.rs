//! A claim member: grants claims to roots, stores them until they expire, and copies the claims of
//! earlier views when the view changes. Runs on every daemon; grants only in views that name this
//! exact instance.

use super::adopted_view::{AdoptedView, EarlyHandover, copy_request};
use super::event::{ClaimMemberEvent, ClaimTime};
use super::expiry::is_expiry_too_long;
use super::group::claim_group;
use super::message::{
    ClaimHolder, ClaimId, ClaimKey, ClaimMemberStatus, ClaimRefusal, ClaimRequest,
    ClaimRequestBody, ClaimResponse, ClaimResponseBody, CopiedPage,
};
use super::settings::ClaimSettings;
use super::table::{ClaimTable, TableAnswer};
use super::transfer::Transfer;
use std::collections::BTreeSet;
use std::time::Duration;
use tansylead_types::{ClaimView, InstanceId, Moment, WallTime};

/// Period of removing expired claims from memory; grants check the expiry themselves.
const SWEEP_PERIOD: Duration = Duration::from_secs(10);
/// Maximum number of epochs kept in which the member held all earlier claims of its keys.
const MAXIMUM_COMPLETE_EPOCHS: usize = 16;

/// The state machine of one claim member.
#[derive(Debug, Clone)]
pub struct ClaimMember {
    own_instance: InstanceId,
    settings: ClaimSettings,
    /// Highest epoch seen in any message or view; the member never grants in a lower one.
    highest_epoch: u64,
    adopted: Option<AdoptedView>,
    table: ClaimTable,
    complete_epochs: BTreeSet<u64>,
    /// Members of the newest view not yet adopted that have copied every claim they need.
    early_handover: EarlyHandover,
    next_sweep: Moment,
}

impl ClaimMember {
    /// A member that has just started, without a view or claims.
    pub fn new(own_instance: InstanceId, settings: ClaimSettings, now: Moment) -> Self {
        Self {
            own_instance,
            settings,
            highest_epoch: 0,
            adopted: None,
            table: ClaimTable::default(),
            complete_epochs: BTreeSet::new(),
            early_handover: EarlyHandover::default(),
            next_sweep: now + SWEEP_PERIOD,
        }
    }

    /// State for reports, metrics and the planner.
    pub fn status(&self) -> ClaimMemberStatus {
        let adopted = self.adopted.as_ref();
        let is_complete =
            |view: &AdoptedView| view.transfer.is_complete() && view.has_member(self.own_instance);
        ClaimMemberStatus {
            epoch: adopted.map_or(0, |adopted| adopted.view.epoch),
            complete: adopted.is_some_and(is_complete),
            claims: self.table.len() as u64,
        }
    }

    /// Highest epoch seen. If it exceeds the adopted one, the daemon should fetch the view.
    pub fn highest_epoch(&self) -> u64 {
        self.highest_epoch
    }

    /// Whether a planned stop should wait: this daemon is a member of the view, or members of the
    /// view still have to copy claims from it. The planner replaces leaving members.
    pub fn is_needed(&self) -> bool {
        let Some(adopted) = &self.adopted else {
            return false;
        };
        let mut earlier = adopted.view.earlier.iter().flat_map(|view| &view.members);
        let was_member = earlier.any(|member| member.instance == self.own_instance);
        let has_copied = |instance: InstanceId| adopted.handed_over.contains(&instance);
        let all_copied = adopted
            .view
            .members
            .iter()
            .all(|member| has_copied(member.instance));
        adopted.has_member(self.own_instance) || (was_member && !all_copied)
    }

    /// When [`ClaimMemberEvent::Wakeup`] is due.
    pub fn next_wakeup(&self) -> Moment {
        let Some(adopted) = self
            .adopted
            .as_ref()
            .filter(|adopted| adopted.has_member(self.own_instance))
        else {
            return self.next_sweep;
        };
        let mut wakeup = self.next_sweep.min(adopted.next_heartbeat);
        if adopted.transfer.has_pending_sources() {
            wakeup = wakeup.min(adopted.next_copy);
        }
        adopted
            .transfer
            .wait_until()
            .map_or(wakeup, |until| wakeup.min(until))
    }

    /// Answers a request from another daemon or from this one. The clocks must be read after the
    /// request arrived.
    pub fn on_request(&mut self, time: ClaimTime, request: &ClaimRequest) -> ClaimResponse {
        let body = if request.to == self.own_instance {
            self.highest_epoch = self.highest_epoch.max(request.epoch);
            self.answer(time, request)
        } else {
            ClaimResponseBody::AnotherInstance
        };
        ClaimResponse {
            epoch: self.highest_epoch,
            from: self.own_instance,
            body,
        }
    }

    /// Handles an event and returns the requests to send.
    pub fn on_event(&mut self, time: ClaimTime, event: ClaimMemberEvent) -> Vec<ClaimRequest> {
        let next_page = match event {
            ClaimMemberEvent::ViewLearned { view, generation } => {
                self.adopt(time.now, view, generation);
                None
            }
            ClaimMemberEvent::Response { asked, response } => {
                self.on_response(time, asked, response)
            }
            ClaimMemberEvent::Wakeup => None,
        };
        let due = self.advance(time);
        next_page.into_iter().chain(due).collect()
    }

    fn adopt(&mut self, now: Moment, view: ClaimView, generation: u64) {
        let adopted_epoch = self
            .adopted
            .as_ref()
            .map_or(0, |adopted| adopted.view.epoch);
        if view.epoch <= adopted_epoch {
            return;
        }
        self.highest_epoch = self.highest_epoch.max(view.epoch);
        // A generation below the epoch: the store was restored and the view is being rewritten
        // until its generation reaches the epoch.
        if generation < view.epoch {
            return;
        }
        let transfer = Transfer::new(self.own_instance, &view, generation, &self.complete_epochs);
        let handed_over = self.early_handover.take(view.epoch);
        self.adopted = Some(AdoptedView::new(view, transfer, now, handed_over));
    }

    /// Returns the request for the next page, if there is one.
    fn on_response(
        &mut self,
        time: ClaimTime,
        asked: InstanceId,
        response: ClaimResponse,
    ) -> Option<ClaimRequest> {
        self.highest_epoch = self.highest_epoch.max(response.epoch);
        let adopted = self.adopted.as_mut()?;
        if response.from != asked {
            adopted.transfer.on_successor(asked, response.from);
            return None;
        }
        match response.body {
            ClaimResponseBody::HeartbeatAcknowledged { sent } => {
                if response.epoch == adopted.view.epoch {
                    adopted.lease.acknowledge(asked, sent);
                }
                None
            }
            ClaimResponseBody::Copied(page) => self.on_page(time, asked, &page),
            _ => None,
        }
    }

    fn on_page(
        &mut self,
        time: ClaimTime,
        from: InstanceId,
        page: &CopiedPage,
    ) -> Option<ClaimRequest> {
        let adopted = self.adopted.as_mut()?;
        if page.view_epoch != adopted.view.epoch || !adopted.transfer.on_page(from, page) {
            return None;
        }
        for claim in &page.claims {
            self.table.insert_copied(claim, time.wall, &self.settings);
        }
        let next = page.next.clone()?;
        Some(copy_request(
            self.own_instance,
            &adopted.view,
            from,
            Some(next),
        ))
    }

    /// Returns the requests that are due and updates the progress of copying.
    fn advance(&mut self, time: ClaimTime) -> Vec<ClaimRequest> {
        if time.now >= self.next_sweep {
            self.table.drop_expired(time.wall, &self.settings);
            self.next_sweep = time.now + SWEEP_PERIOD;
        }
        let mut requests = Vec::new();
        let own_instance = self.own_instance;
        let Some(adopted) = self
            .adopted
            .as_mut()
            .filter(|adopted| adopted.has_member(own_instance))
        else {
            return requests;
        };
        adopted.transfer.advance(time.now, &self.settings);
        if adopted.transfer.is_complete() {
            self.complete_epochs.insert(adopted.view.epoch);
            while self.complete_epochs.len() > MAXIMUM_COMPLETE_EPOCHS {
                self.complete_epochs.pop_first();
            }
        }
        if time.now >= adopted.next_heartbeat {
            adopted.next_heartbeat = time.now + self.settings.heartbeat_period;
            requests.extend(adopted.heartbeats(own_instance, time.now));
        }
        if time.now >= adopted.next_copy {
            adopted.next_copy = time.now + self.settings.copy_retry;
            requests.extend(adopted.copy_requests(own_instance));
        }
        requests
    }

    fn answer(&mut self, time: ClaimTime, request: &ClaimRequest) -> ClaimResponseBody {
        match &request.body {
            ClaimRequestBody::Claim {
                key,
                claim,
                expires,
            } => self.answer_claim(time, request, key, *claim, *expires),
            ClaimRequestBody::Release {
                key,
                claim,
                expires,
            } => {
                let holder = ClaimHolder {
                    owner: request.from,
                    claim: *claim,
                };
                self.table
                    .release(key, holder, *expires, time.wall, &self.settings);
                ClaimResponseBody::Released
            }
            ClaimRequestBody::Heartbeat { sent } if request.epoch == self.highest_epoch => {
                ClaimResponseBody::HeartbeatAcknowledged { sent: *sent }
            }
            ClaimRequestBody::Heartbeat { .. } => ClaimResponseBody::HeartbeatRefused,
            ClaimRequestBody::Copy { view, after } => {
                self.answer_copy(request.from, view, after.as_ref())
            }
            ClaimRequestBody::Status => ClaimResponseBody::Status(self.status()),
        }
    }

    fn answer_claim(
        &mut self,
        time: ClaimTime,
        request: &ClaimRequest,
        key: &ClaimKey,
        claim: ClaimId,
        expires: WallTime,
    ) -> ClaimResponseBody {
        let holder = ClaimHolder {
            owner: request.from,
            claim,
        };
        let answer = match self.refusal_reason(time, request.epoch, key, expires) {
            Some(refusal) => {
                // The requester needs the holders even from a member that cannot grant.
                let holders = self
                    .table
                    .other_holders(key, holder, time.wall, &self.settings);
                if holders.is_empty() {
                    TableAnswer::Refused(refusal)
                } else {
                    TableAnswer::Held(holders)
                }
            }
            None => self
                .table
                .claim(key, holder, expires, time.wall, &self.settings),
        };
        let key = key.clone();
        match answer {
            TableAnswer::Granted => ClaimResponseBody::Granted { key, claim },
            TableAnswer::Held(holders) => ClaimResponseBody::Held {
                key,
                claim,
                holders,
            },
            TableAnswer::Refused(refusal) => ClaimResponseBody::ClaimRefused {
                key,
                claim,
                refusal,
            },
        }
    }

    fn refusal_reason(
        &self,
        time: ClaimTime,
        epoch: u64,
        key: &ClaimKey,
        expires: WallTime,
    ) -> Option<ClaimRefusal> {
        if epoch != self.highest_epoch {
            return Some(ClaimRefusal::EpochMismatch);
        }
        let Some(adopted) = self
            .adopted
            .as_ref()
            .filter(|adopted| adopted.view.epoch == epoch)
        else {
            return Some(ClaimRefusal::EpochMismatch);
        };
        let members = &adopted.view.members;
        if !claim_group(members, key)
            .iter()
            .any(|member| member.instance == self.own_instance)
        {
            return Some(ClaimRefusal::NotMember);
        }
        if !adopted
            .lease
            .is_valid(self.own_instance, members, time.now, self.settings.lease)
        {
            return Some(ClaimRefusal::NoLease);
        }
        if !adopted.transfer.covers(key) {
            return Some(ClaimRefusal::NotCopied);
        }
        if expires <= time.wall {
            return Some(ClaimRefusal::Expired);
        }
        is_expiry_too_long(expires, time.wall, &self.settings)
            .then_some(ClaimRefusal::ExpiryTooLong)
    }

    /// Records that a member of a view has copied every claim it needs from this one.
    fn record_handover(&mut self, epoch: u64, requester: InstanceId) {
        match &mut self.adopted {
            Some(adopted) if adopted.view.epoch == epoch => {
                adopted.handed_over.insert(requester);
            }
            Some(adopted) if adopted.view.epoch > epoch => {}
            _ => self.early_handover.record(epoch, requester),
        }
    }

    /// Hands over claims. The request's epoch, already recorded as the highest seen, seals this
    /// member for lower ones.
    fn answer_copy(
        &mut self,
        requester: InstanceId,
        view: &ClaimView,
        after: Option<&ClaimKey>,
    ) -> ClaimResponseBody {
        let is_wanted = |key: &ClaimKey| {
            claim_group(&view.members, key)
                .iter()
                .any(|member| member.instance == requester)
        };
        let (claims, next) = self
            .table
            .page(after, self.settings.copy_page_claims, is_wanted);
        if next.is_none() {
            self.record_handover(view.epoch, requester);
        }
        ClaimResponseBody::Copied(CopiedPage {
            view_epoch: view.epoch,
            after: after.cloned(),
            claims,
            next,
            complete_epochs: self.complete_epochs.iter().copied().collect(),
        })
    }
}
