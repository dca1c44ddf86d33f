//! Keys sent again: asking the roots that hold a key's claim what became of it.

use super::frontend::answer_without_results;
use super::{Outbox, Purpose, RootQuery, SimulatedDaemon};
use crate::simulation::clock::Clocks;
use crate::simulation::message::{CallResult, Endpoint, Request, Response};
use crate::simulation::topology::daemon_index;
use std::collections::BTreeSet;
use std::time::Duration;
use tansylead_cluster::claims::{AnswerStatus, ClaimHolder, ClaimKey};
use tansylead_types::{InstanceId, Outcome, QueryAnswer, QueryRequest};

/// A holder that is silent for this long counts as unknown.
const KEY_STATUS_LIMIT: Duration = Duration::from_millis(250);

/// Holders of one key being asked.
#[derive(Debug)]
pub(super) struct Lookup {
    pub(super) query: RootQuery,
    waiting: BTreeSet<ClaimHolder>,
    statuses: Vec<AnswerStatus>,
}

impl SimulatedDaemon {
    /// Asks the holders of a key; the answer follows from what all of them say.
    pub(super) fn look_up(
        &mut self,
        clocks: Clocks,
        query: RootQuery,
        key: ClaimKey,
        holders: Vec<ClaimHolder>,
        outbox: &mut Outbox<'_>,
    ) {
        let number = self.claims.next_number();
        let limit = KEY_STATUS_LIMIT.min(query.deadline.since(clocks.now));
        let mut lookup = Lookup {
            query,
            waiting: BTreeSet::new(),
            statuses: Vec::new(),
        };
        for holder in holders {
            if holder.owner == self.instance {
                lookup
                    .statuses
                    .push(self.claims.answers.status(&key, clocks.wall));
                continue;
            }
            let Some(index) = daemon_index(holder.owner.node) else {
                continue;
            };
            lookup.waiting.insert(holder);
            let request = Request::KeyStatus {
                owner: holder.owner,
                key: key.clone(),
            };
            let call = outbox.open(Endpoint::Daemon(index), request, limit);
            let purpose = Purpose::KeyStatus {
                lookup: number,
                holder,
            };
            self.calls.insert(call, purpose);
        }
        self.claims.lookups.insert(number, lookup);
        self.resolve_lookup(number, outbox);
    }

    pub(super) fn on_key_status(
        &mut self,
        _clocks: Clocks,
        number: u64,
        holder: ClaimHolder,
        result: CallResult,
        outbox: &mut Outbox<'_>,
    ) {
        let Some(lookup) = self.claims.lookups.get_mut(&number) else {
            return;
        };
        if lookup.waiting.remove(&holder) {
            lookup.statuses.push(match result {
                Ok(Response::KeyStatus(status)) => status,
                _ => AnswerStatus::Unknown,
            });
            self.resolve_lookup(number, outbox);
        }
    }

    fn resolve_lookup(&mut self, number: u64, outbox: &mut Outbox<'_>) {
        let is_open = |lookup: &Lookup| !lookup.waiting.is_empty();
        if self.claims.lookups.get(&number).is_none_or(is_open) {
            return;
        }
        if let Some(lookup) = self.claims.lookups.remove(&number) {
            let answer = answer_for(&lookup.query.request, &lookup.statuses);
            self.reply(lookup.query.reply, answer, outbox);
        }
    }

    /// At the deadline silent holders count as unknown.
    pub(super) fn lookup_timers(&mut self, clocks: Clocks, outbox: &mut Outbox<'_>) {
        let lookups = self.claims.lookups.iter();
        let due = lookups.filter(|(_, lookup)| lookup.query.deadline <= clocks.now);
        let due: Vec<u64> = due.map(|(number, _)| *number).collect();
        for number in due {
            if let Some(mut lookup) = self.claims.lookups.remove(&number) {
                lookup.statuses.push(AnswerStatus::Unknown);
                let answer = answer_for(&lookup.query.request, &lookup.statuses);
                self.reply(lookup.query.reply, answer, outbox);
            }
        }
    }

    /// What this run of this daemon knows of a key; another run knows nothing.
    pub(super) fn key_status(
        &self,
        clocks: Clocks,
        owner: InstanceId,
        key: &ClaimKey,
    ) -> AnswerStatus {
        if owner == self.instance {
            self.claims.answers.status(key, clocks.wall)
        } else {
            AnswerStatus::Unknown
        }
    }
}

/// The truthful answer to a key sent again. `not_run` only if every holder says that its claim was
/// never and will never be used.
pub(super) fn answer_for(request: &QueryRequest, statuses: &[AnswerStatus]) -> QueryAnswer {
    let finished = statuses.iter().find_map(|status| match status {
        AnswerStatus::Finished(answer) => Some(answer),
        _ => None,
    });
    if let Some(answer) = finished {
        return QueryAnswer {
            request: request.request.clone(),
            ..(**answer).clone()
        };
    }
    let was_not_run = |status: &AnswerStatus| matches!(status, AnswerStatus::NotRun { .. });
    let outcome = if statuses.iter().all(was_not_run) {
        Outcome::NotRun
    } else {
        Outcome::Unknown
    };
    answer_without_results(request.request.clone(), outcome, "the key was sent before")
}
