//! Claims of a simulated daemon: the member that grants them, the requesters of its roots, and the
//! planner of views.

use super::key_status::Lookup;
use super::{Outbox, Purpose, ReplyTo, RootQuery, SimulatedDaemon};
use crate::simulation::clock::Clocks;
use crate::simulation::message::{CallResult, Endpoint, Request, Response};
use crate::simulation::plan::LONGEST_EXPIRY;
use crate::simulation::topology::daemon_index;
use std::collections::BTreeMap;
use std::time::Duration;
use tansylead_cluster::claims::{
    AnswerCache, AnswerStatus, BeginOutcome, ClaimDecision, ClaimGrant, ClaimHolder, ClaimKey,
    ClaimMember, ClaimMemberEvent, ClaimMemberStatus, ClaimRequest, ClaimRequestBody,
    ClaimRequester, ClaimRequesterAction, ClaimRequesterEvent, ClaimResponse, ClaimResponseBody,
    ClaimSettings, ClaimTerms, ClaimTime, ClaimViewPlanner, ClaimViewRepair, ClaimViewRepairStep,
    LiveDaemon, check_before_dispatch, release_requests,
};
use tansylead_types::store::WriteRequest;
use tansylead_types::{
    ChangeId, ClaimView, ClaimViewMember, ConfigObject, InstanceId, Moment, ObjectKey, Outcome,
    QueryAnswer, Repeatability, WallTime,
};

const MAXIMUM_ANSWER_BYTES: usize = 1_000_000;
const MAXIMUM_KEYS: usize = 10_000;
/// Period of the planner, and of dropping expired answers.
const PLANNER_PERIOD: Duration = Duration::from_secs(1);
/// A claim message fails after this time.
const CLAIM_CALL_LIMIT: Duration = Duration::from_secs(1);
const VIEW_WRITE_LIMIT: Duration = Duration::from_secs(2);

/// A claim under way.
#[derive(Debug)]
struct Claiming {
    requester: ClaimRequester,
    key: ClaimKey,
    expires: WallTime,
    query: RootQuery,
}

/// All that a daemon keeps for claims.
#[derive(Debug)]
pub(super) struct ClaimDesk {
    settings: ClaimSettings,
    member: ClaimMember,
    pub(super) answers: AnswerCache,
    planner: ClaimViewPlanner,
    repair: ClaimViewRepair,
    statuses: BTreeMap<InstanceId, ClaimMemberStatus>,
    /// Highest epoch that members named with their statuses.
    reported_epoch: u64,
    next_plan: Moment,
    claiming: BTreeMap<u64, Claiming>,
    pub(super) lookups: BTreeMap<u64, Lookup>,
    next_number: u64,
}

impl ClaimDesk {
    pub(super) fn new(now: Moment, instance: InstanceId) -> Self {
        let settings = ClaimSettings {
            longest_expiry: LONGEST_EXPIRY,
            ..ClaimSettings::default()
        };
        Self {
            member: ClaimMember::new(instance, settings.clone(), now),
            answers: AnswerCache::new(settings.clone(), MAXIMUM_ANSWER_BYTES, MAXIMUM_KEYS),
            planner: ClaimViewPlanner::new(now),
            repair: ClaimViewRepair::default(),
            statuses: BTreeMap::new(),
            reported_epoch: 0,
            next_plan: now,
            claiming: BTreeMap::new(),
            lookups: BTreeMap::new(),
            next_number: 0,
            settings,
        }
    }

    pub(super) fn settings(&self) -> &ClaimSettings {
        &self.settings
    }

    pub(super) fn is_needed(&self) -> bool {
        self.member.is_needed()
    }

    pub(super) fn has_work(&self) -> bool {
        !self.claiming.is_empty() || !self.lookups.is_empty()
    }

    pub(super) fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }
}

fn claim_time(clocks: Clocks) -> ClaimTime {
    ClaimTime {
        now: clocks.now,
        wall: clocks.wall,
    }
}

impl SimulatedDaemon {
    /// A query that must not be repeated begins: known keys are answered, others claimed.
    pub(super) fn begin_claim(
        &mut self,
        clocks: Clocks,
        query: RootQuery,
        outbox: &mut Outbox<'_>,
    ) {
        let Repeatability::NonRepeatable { key, expires } = &query.request.repeatability else {
            return;
        };
        let (expires, service) = (*expires, query.request.service.clone());
        let key = ClaimKey {
            service,
            key: key.clone(),
        };
        if check_before_dispatch(expires, clocks.wall, &self.claims.settings).is_err() {
            return self.refuse(&query, "the expiry is too near or too far", outbox);
        }
        let claim = match self.claims.answers.begin(&key, expires, clocks.wall) {
            BeginOutcome::Claim(claim) => claim,
            BeginOutcome::Known(status) => return self.answer_known(&query, status, outbox),
            BeginOutcome::Full => return self.refuse(&query, "too many keys", outbox),
        };
        let Some((view, _)) = self.configuration.claim_view() else {
            self.claims.answers.mark_not_run(&key, claim);
            return self.refuse(&query, "there is no claim view", outbox);
        };
        let terms = ClaimTerms {
            key: key.clone(),
            claim,
            expires,
        };
        let number = self.claims.next_number();
        let (requester, actions) = ClaimRequester::start(
            self.instance,
            self.claims.settings.clone(),
            view,
            terms,
            self.instance.boot ^ number,
            claim_time(clocks),
        );
        let claiming = Claiming {
            requester,
            key,
            expires,
            query,
        };
        self.claims.claiming.insert(number, claiming);
        self.perform_requester(clocks, number, actions, outbox);
    }

    fn perform_requester(
        &mut self,
        clocks: Clocks,
        number: u64,
        actions: Vec<ClaimRequesterAction>,
        outbox: &mut Outbox<'_>,
    ) {
        for action in actions {
            match action {
                ClaimRequesterAction::Send(request) => {
                    let purpose = Purpose::RequesterClaim {
                        asked: request.to,
                        requester: number,
                    };
                    self.send_claim(clocks, request, purpose, outbox);
                }
                ClaimRequesterAction::Decide(decision) => {
                    if let Some(claiming) = self.claims.claiming.remove(&number) {
                        self.on_decision(clocks, claiming, decision, outbox);
                    }
                }
            }
        }
    }

    /// Sends a claim message; one to this daemon itself is answered at once.
    fn send_claim(
        &mut self,
        clocks: Clocks,
        request: ClaimRequest,
        purpose: Purpose,
        outbox: &mut Outbox<'_>,
    ) {
        if request.to.node == self.instance.node {
            let response = self.claims.member.on_request(claim_time(clocks), &request);
            let call = outbox.reserve();
            let result = Ok(Response::Claim(response));
            return self.on_result(clocks, call, purpose, result, outbox);
        }
        let Some(index) = daemon_index(request.to.node) else {
            return;
        };
        let request = Request::Claim(request);
        let call = outbox.open(Endpoint::Daemon(index), request, CLAIM_CALL_LIMIT);
        self.calls.insert(call, purpose);
    }

    fn on_decision(
        &mut self,
        clocks: Clocks,
        claiming: Claiming,
        decision: ClaimDecision,
        outbox: &mut Outbox<'_>,
    ) {
        let claim = claiming.requester.claim();
        match decision {
            ClaimDecision::Granted(grant) => {
                self.on_granted(clocks, claiming.query, grant, outbox);
            }
            ClaimDecision::HeldBy { holders } => {
                self.claims.answers.mark_not_run(&claiming.key, claim);
                self.look_up(clocks, claiming.query, claiming.key, holders, outbox);
            }
            ClaimDecision::Refused { reason, .. } => {
                self.claims.answers.mark_not_run(&claiming.key, claim);
                self.refuse(&claiming.query, &format!("no claim: {reason:?}"), outbox);
            }
        }
    }

    fn on_granted(
        &mut self,
        clocks: Clocks,
        query: RootQuery,
        grant: ClaimGrant,
        outbox: &mut Outbox<'_>,
    ) {
        let is_valid =
            check_before_dispatch(grant.expires, clocks.wall, &self.claims.settings).is_ok();
        let in_time = clocks.now < query.deadline;
        let has_root = self.roots.contains_key(&query.placement);
        if is_valid && in_time && has_root {
            self.start_engine(clocks, query, Some(grant), outbox);
            return;
        }
        self.release(&grant, outbox);
        self.refuse(&query, "the claim came too late", outbox);
    }

    /// Remembers what became of a key, and gives a claim back that was not used.
    pub(super) fn settle_claim(
        &mut self,
        grant: &ClaimGrant,
        answer: &QueryAnswer,
        outbox: &mut Outbox<'_>,
    ) {
        if answer.outcome == Outcome::NotRun {
            self.release(grant, outbox);
        } else {
            let answer = answer.clone();
            self.claims
                .answers
                .finish(&grant.key, grant.holder.claim, answer);
        }
    }

    /// Nothing was and nothing will be dispatched under the grant.
    fn release(&mut self, grant: &ClaimGrant, outbox: &mut Outbox<'_>) {
        self.claims
            .answers
            .mark_not_run(&grant.key, grant.holder.claim);
        let Some((view, _)) = self.configuration.claim_view() else {
            return;
        };
        for request in release_requests(view, grant) {
            let Some(index) = daemon_index(request.to.node) else {
                continue;
            };
            let request = Request::Claim(request);
            let call = outbox.open(Endpoint::Daemon(index), request, CLAIM_CALL_LIMIT);
            self.calls.insert(call, Purpose::Ignored);
        }
    }

    /// Nobody waits for a query that is still being claimed: it is not dispatched.
    pub(super) fn abandon_claim(
        &mut self,
        _clocks: Clocks,
        reply: ReplyTo,
        outbox: &mut Outbox<'_>,
    ) {
        let found = self
            .claims
            .claiming
            .iter()
            .find(|(_, c)| c.query.reply == reply);
        if let Some(number) = found.map(|(number, _)| *number) {
            self.stop_claiming(number, outbox);
        }
        self.claims
            .lookups
            .retain(|_, lookup| lookup.query.reply != reply);
    }

    fn stop_claiming(&mut self, number: u64, outbox: &mut Outbox<'_>) -> Option<RootQuery> {
        let claiming = self.claims.claiming.remove(&number)?;
        let grant = ClaimGrant {
            key: claiming.key,
            holder: ClaimHolder {
                owner: self.instance,
                claim: claiming.requester.claim(),
            },
            expires: claiming.expires,
            group: Vec::new(),
        };
        self.release(&grant, outbox);
        Some(claiming.query)
    }

    pub(super) fn on_requester_response(
        &mut self,
        clocks: Clocks,
        asked: InstanceId,
        number: u64,
        result: CallResult,
        outbox: &mut Outbox<'_>,
    ) {
        let event = match result {
            Ok(Response::Claim(response)) => ClaimRequesterEvent::Response { asked, response },
            _ => ClaimRequesterEvent::Failed { asked },
        };
        self.feed_requester(clocks, number, event, outbox);
    }

    fn feed_requester(
        &mut self,
        clocks: Clocks,
        number: u64,
        event: ClaimRequesterEvent,
        outbox: &mut Outbox<'_>,
    ) {
        if let Some(claiming) = self.claims.claiming.get_mut(&number) {
            let actions = claiming.requester.on_event(claim_time(clocks), event);
            self.perform_requester(clocks, number, actions, outbox);
        }
    }

    pub(super) fn answer_claim_request(
        &mut self,
        clocks: Clocks,
        request: &ClaimRequest,
    ) -> ClaimResponse {
        self.claims.member.on_request(claim_time(clocks), request)
    }

    pub(super) fn feed_claim_member(
        &mut self,
        clocks: Clocks,
        event: ClaimMemberEvent,
        outbox: &mut Outbox<'_>,
    ) {
        for request in self.claims.member.on_event(claim_time(clocks), event) {
            let purpose = Purpose::MemberClaim { asked: request.to };
            self.send_claim(clocks, request, purpose, outbox);
        }
    }

    pub(super) fn on_member_response(
        &mut self,
        clocks: Clocks,
        asked: InstanceId,
        result: CallResult,
        outbox: &mut Outbox<'_>,
    ) {
        if let Ok(Response::Claim(response)) = result {
            let event = ClaimMemberEvent::Response { asked, response };
            self.feed_claim_member(clocks, event, outbox);
        }
    }

    pub(super) fn on_claim_status(
        &mut self,
        _clocks: Clocks,
        asked: InstanceId,
        result: CallResult,
    ) {
        match result {
            Ok(Response::Claim(ClaimResponse {
                from,
                epoch,
                body: ClaimResponseBody::Status(status),
            })) if from == asked => {
                self.claims.reported_epoch = self.claims.reported_epoch.max(epoch);
                self.claims.statuses.insert(asked, status);
            }
            _ => {
                self.claims.statuses.remove(&asked);
            }
        }
    }

    pub(super) fn claim_timers(&mut self, clocks: Clocks, outbox: &mut Outbox<'_>) {
        if self.claims.member.next_wakeup() <= clocks.now {
            self.feed_claim_member(clocks, ClaimMemberEvent::Wakeup, outbox);
        }
        let numbers: Vec<u64> = self.claims.claiming.keys().copied().collect();
        for number in numbers {
            self.requester_timer(clocks, number, outbox);
        }
        if self.claims.next_plan <= clocks.now {
            self.claims.next_plan = clocks.now + PLANNER_PERIOD;
            self.claims.answers.drop_expired(clocks.wall);
            self.plan_view(clocks, outbox);
        }
        self.lookup_timers(clocks, outbox);
    }

    fn requester_timer(&mut self, clocks: Clocks, number: u64, outbox: &mut Outbox<'_>) {
        let Some(claiming) = self.claims.claiming.get(&number) else {
            return;
        };
        if claiming.query.deadline <= clocks.now {
            if let Some(query) = self.stop_claiming(number, outbox) {
                self.refuse(&query, "no claim before the deadline", outbox);
            }
            return;
        }
        let wakeup = claiming.requester.next_wakeup();
        if wakeup.is_some_and(|wakeup| wakeup <= clocks.now) {
            self.feed_requester(clocks, number, ClaimRequesterEvent::Wakeup, outbox);
        }
    }

    pub(super) fn claim_wakeup(&self) -> Option<Moment> {
        let claiming = self.claims.claiming.values();
        let claiming = claiming.flat_map(|claiming| {
            [
                Some(claiming.query.deadline),
                claiming.requester.next_wakeup(),
            ]
        });
        let lookups = self.claims.lookups.values();
        let lookups = lookups.map(|lookup| Some(lookup.query.deadline));
        claiming
            .chain(lookups)
            .chain([
                Some(self.claims.next_plan),
                Some(self.claims.member.next_wakeup()),
            ])
            .flatten()
            .min()
    }

    /// Daemons that read the store propose the next claim view.
    fn plan_view(&mut self, clocks: Clocks, outbox: &mut Outbox<'_>) {
        if !self.spread.is_reader() || !self.spread.replica().is_complete() {
            return;
        }
        self.ask_statuses(clocks, outbox);
        let live = self.live_daemons();
        let current = self.configuration.claim_view();
        let generation = current.map_or(0, |(_, generation)| generation);
        let current = current.map(|(view, _)| view);
        let desk = &mut self.claims;
        let step = current.map_or(ClaimViewRepairStep::NotNeeded, |view| {
            let highest_epoch = desk.reported_epoch.max(desk.member.highest_epoch());
            let repair = desk.repair;
            repair.next_step(view, generation, &desk.statuses, highest_epoch)
        });
        if let ClaimViewRepairStep::Write {
            expected_generation,
        } = step
            && let Some(view) = current.cloned()
        {
            self.write_view(clocks, view, expected_generation, outbox);
            return;
        }
        if step != ClaimViewRepairStep::NotNeeded {
            return;
        }
        let planned = desk
            .planner
            .plan(clocks.now, current, &live, &desk.statuses);
        if let Some(view) = planned {
            self.write_view(clocks, view, generation, outbox);
        }
    }

    fn write_view(
        &mut self,
        clocks: Clocks,
        view: ClaimView,
        expected_generation: u64,
        outbox: &mut Outbox<'_>,
    ) {
        let text = format!("view-{}-{}", self.instance.boot, clocks.now.0);
        let Ok(change) = ChangeId::new(text) else {
            return;
        };
        let write = WriteRequest {
            expected_generation,
            change,
            object: ConfigObject::ClaimView(view),
        };
        let request = Request::WriteObject(ObjectKey::ClaimView, write);
        let call = outbox.open(Endpoint::Store, request, VIEW_WRITE_LIMIT);
        let held = self.configuration.claim_view();
        let held_generation = held.map_or(0, |(_, generation)| generation);
        let purpose = Purpose::ClaimViewWrite { held_generation };
        self.calls.insert(call, purpose);
    }

    /// The store's answer tells which generation it holds; a view itself is learned by reading.
    pub(super) fn on_view_written(&mut self, held_generation: u64, result: &CallResult) {
        let generation = match result {
            Ok(Response::Written(stored)) => stored.generation,
            Ok(Response::Conflict(conflict)) => conflict
                .current
                .as_ref()
                .map_or(0, |stored| stored.generation),
            _ => return,
        };
        let repair = &mut self.claims.repair;
        repair.on_store_generation(generation, held_generation);
    }

    fn ask_statuses(&mut self, clocks: Clocks, outbox: &mut Outbox<'_>) {
        let Some((view, _)) = self.configuration.claim_view() else {
            return;
        };
        let requests: Vec<ClaimRequest> = view
            .members
            .iter()
            .map(|member| ClaimRequest {
                epoch: view.epoch,
                from: self.instance,
                to: member.instance,
                body: ClaimRequestBody::Status,
            })
            .collect();
        for request in requests {
            let purpose = Purpose::ClaimStatus { asked: request.to };
            self.send_claim(clocks, request, purpose, outbox);
        }
    }

    fn live_daemons(&self) -> Vec<LiveDaemon> {
        let members = self.membership.members();
        let running = members.filter(|member| member.state.is_running());
        running
            .map(|member| LiveDaemon {
                member: ClaimViewMember {
                    instance: member.instance,
                    place: member.place.clone(),
                    zone: member.zone.clone(),
                },
                is_leaving: !member.state.takes_work(),
            })
            .collect()
    }

    /// Answers a key that this root knows.
    fn answer_known(&mut self, query: &RootQuery, status: AnswerStatus, outbox: &mut Outbox<'_>) {
        let answer = super::key_status::answer_for(&query.request, &[status]);
        self.reply(query.reply, answer, outbox);
    }
}
