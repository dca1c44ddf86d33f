//! A simulated daemon as a root: keys from callers, claims in progress, dispatches and releases.

use super::daemon::{OpenClaim, Reply, Variant, encode, settings};
use super::{Event, MILLIS, World};
use rand::RngExt;
use std::collections::BTreeMap;
use tansylead_cluster::claims::*;
use tansylead_types::InstanceId;

impl World {
    pub(super) fn on_claim_response(
        &mut self,
        node: usize,
        claim: u64,
        asked: InstanceId,
        response: ClaimResponse,
    ) {
        let variant = self.plan.variant;
        if variant == Variant::LateGrantUsed {
            self.count_late_grant(node, claim, &response);
        }
        let is_grant = matches!(response.body, ClaimResponseBody::Granted { .. });
        let event = ClaimRequesterEvent::Response {
            asked,
            response: response.clone(),
        };
        self.requester_event(node, claim, event);
        if variant == Variant::SingleGrant && is_grant {
            let view = self.daemons[node].view.clone();
            for member in view.iter().flat_map(|(view, _)| &view.members) {
                let asked = member.instance;
                let response = ClaimResponse {
                    from: asked,
                    ..response.clone()
                };
                self.requester_event(
                    node,
                    claim,
                    ClaimRequesterEvent::Response { asked, response },
                );
            }
        }
    }

    fn count_late_grant(&mut self, node: usize, number: u64, response: &ClaimResponse) {
        let ClaimResponseBody::Granted { key, claim } = &response.body else {
            return;
        };
        let instance = self.daemons[node].instance;
        let Some(open) = self.daemons[node].claims.get_mut(&number) else {
            return;
        };
        let grants = open.late_grants.entry(*claim).or_default();
        grants.insert(response.from);
        if grants.len() != majority(GROUP_SIZE)
            || (!open.decided && open.requester.claim() == *claim)
        {
            return;
        }
        let grant = ClaimGrant {
            key: key.clone(),
            holder: ClaimHolder {
                owner: instance,
                claim: *claim,
            },
            expires: self.keys[open.key].expires,
            group: Vec::new(),
        };
        self.schedule(
            self.now,
            Event::Dispatch {
                node,
                instance,
                grant,
            },
        );
    }

    pub(super) fn on_failed(&mut self, to: Reply, asked: InstanceId) {
        if let (true, Some(claim)) = (self.daemons[to.node].instance == to.instance, to.claim) {
            self.requester_event(to.node, claim, ClaimRequesterEvent::Failed { asked });
        }
    }

    pub(super) fn on_caller(&mut self, node: usize, key: usize) {
        let time = self.time(node);
        let (name, expires) = (self.keys[key].key.clone(), self.keys[key].expires);
        let checks_expiry = self.plan.variant != Variant::NoExpiryCheck;
        if checks_expiry && check_before_dispatch(expires, time.wall, &settings()).is_err() {
            return;
        }
        let daemon = &mut self.daemons[node];
        let Some((view, _)) = daemon.view.clone() else {
            return;
        };
        let BeginOutcome::Claim(claim) = daemon.cache.begin(&name, expires, time.wall) else {
            return;
        };
        let terms = ClaimTerms {
            key: name,
            claim,
            expires,
        };
        let seed = self.random.random();
        let (requester, actions) =
            ClaimRequester::start(daemon.instance, settings(), &view, terms, seed, time);
        daemon.next_claim += 1;
        let number = daemon.next_claim;
        let late_grants = BTreeMap::new();
        let open = OpenClaim {
            requester,
            key,
            decided: false,
            late_grants,
        };
        daemon.claims.insert(number, open);
        daemon.undecided.insert(number);
        self.requester_actions(node, number, actions);
    }

    pub(super) fn requester_event(&mut self, node: usize, claim: u64, event: ClaimRequesterEvent) {
        let time = self.time(node);
        let Some(open) = self.daemons[node].claims.get_mut(&claim) else {
            return;
        };
        let actions = open.requester.on_event(time, event);
        self.requester_actions(node, claim, actions);
    }

    fn requester_actions(&mut self, node: usize, claim: u64, actions: Vec<ClaimRequesterAction>) {
        for action in actions {
            match action {
                ClaimRequesterAction::Send(request) => {
                    let reply = self.reply(node, Some(claim));
                    self.send_request(reply, encode(&request));
                }
                ClaimRequesterAction::Decide(decision) => self.on_decision(node, claim, decision),
            }
        }
    }

    fn on_decision(&mut self, node: usize, number: u64, decision: ClaimDecision) {
        let daemon = &mut self.daemons[node];
        let open = daemon.claims.get_mut(&number).expect("the claim is open");
        assert!(!open.decided, "a requester decides once");
        open.decided = true;
        daemon.undecided.remove(&number);
        let (key, claim) = (self.keys[open.key].key.clone(), open.requester.claim());
        match decision {
            ClaimDecision::Granted(grant) => {
                self.counts.granted += 1;
                let instance = daemon.instance;
                let delay = self.random.random_range(0..20) * MILLIS;
                if self.has_faults() && self.random.random_bool(0.03) {
                    self.counts.freezes_before_dispatch += 1;
                    let length = self.random.random_range(1_000..30_000) * MILLIS;
                    self.freeze(node, length);
                }
                self.schedule(
                    self.now + delay,
                    Event::Dispatch {
                        node,
                        instance,
                        grant,
                    },
                );
            }
            ClaimDecision::HeldBy { .. } => {
                self.counts.held += 1;
                daemon.cache.mark_not_run(&key, claim);
            }
            ClaimDecision::Refused { .. } => {
                self.counts.refused += 1;
                self.refusals.push(self.now);
                daemon.cache.mark_not_run(&key, claim);
            }
        }
    }

    /// Checks the expiry right before sending. Under faults, some requests end as `not_run`.
    pub(super) fn on_dispatch(&mut self, node: usize, instance: InstanceId, grant: &ClaimGrant) {
        if self.daemons[node].instance != instance {
            return;
        }
        let time = self.time(node);
        let is_refused = check_before_dispatch(grant.expires, time.wall, &settings()).is_err()
            && self.plan.variant != Variant::NoExpiryCheck;
        self.counts.expired_before_dispatch += u64::from(is_refused);
        let ends_not_run = self.has_faults() && self.random.random_bool(0.1);
        if is_refused || ends_not_run {
            self.release(node, grant);
            return;
        }
        let key = self.keys.iter().position(|state| state.key == grant.key);
        let key = key.expect("granted keys were sent");
        let delay = self.random.random_range(1..50) * MILLIS;
        let event = Event::LeafArrival {
            key,
            expires: grant.expires,
        };
        self.schedule(self.now + delay, event);
    }

    fn release(&mut self, node: usize, grant: &ClaimGrant) {
        self.counts.released += 1;
        self.daemons[node]
            .cache
            .mark_not_run(&grant.key, grant.holder.claim);
        let view = self.daemons[node].view.clone();
        for request in view
            .iter()
            .flat_map(|(view, _)| release_requests(view, grant))
        {
            let reply = self.reply(node, None);
            self.send_request(reply, encode(&request));
        }
    }
}
