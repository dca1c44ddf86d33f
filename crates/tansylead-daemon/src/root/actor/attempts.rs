//! Feeds the engine and performs its actions: sends and cancels attempts, answers queries.
//!
//! Invariants: each attempt that the engine requests ends with one completion unless it is
//! cancelled, including an attempt that could not be sent; a connection that is still usable after
//! an attempt returns to its leaf's pool before the engine is told of the end.

use super::{AttemptCompletion, Completion, Root};
use crate::leaf::attempt::{AttemptEnd, run_attempt};
use crate::root::handle::RootAnswer;
use tansylead_query::{AttemptResult, RootAction, RootEvent, SendAttempt};
use tansylead_types::{Outcome, QueryAnswer, QueryId};

impl Root {
    /// Feeds one event and performs the actions it leads to.
    pub(super) fn feed(&mut self, event: RootEvent) {
        let actions = self.engine.on_event(self.clock.now(), event);
        self.perform(actions);
    }

    /// Performs actions in their order.
    pub(super) fn perform(&mut self, actions: Vec<RootAction>) {
        for action in actions {
            match action {
                RootAction::Send(attempt) => self.send(attempt),
                RootAction::Cancel { query, attempt } => {
                    self.metrics.cancels.inc();
                    self.queries.remove_attempt(query, attempt);
                }
                RootAction::Finish { query, answer } => self.finish(query, answer),
            }
        }
    }

    fn finish(&mut self, query: QueryId, answer: QueryAnswer) {
        if answer.outcome != Outcome::NotRun {
            self.shares.count_admission();
        }
        self.coverage.count(&answer);
        if let Some(reply) = self.queries.remove(query) {
            let report = Some(self.shares.report(self.clock.now()));
            let _ = reply.send(RootAnswer { answer, report });
        }
    }

    fn send(&mut self, attempt: SendAttempt) {
        self.metrics.attempts.inc();
        let started = self.clock.now();
        let (query, attempt_id, leaf) = (attempt.query, attempt.attempt, attempt.leaf.clone());
        let completions = self.completions.clone();
        let report = move |end: AttemptEnd| {
            let ended = AttemptCompletion {
                query,
                attempt: attempt_id,
                leaf,
                started,
                end,
            };
            let _ = completions.send(Completion::Attempt(ended));
        };
        let target = self.leaf_target(&attempt.leaf);
        let (Some(target), Some(context)) = (target, self.queries.context(query)) else {
            report(AttemptEnd::not_sent());
            return;
        };
        let idle = self
            .leafs
            .get_mut(&attempt.leaf)
            .and_then(|state| state.pool.take_idle());
        let task = tokio::spawn(async move {
            report(run_attempt(context, attempt, idle, target).await);
        });
        self.queries
            .add_attempt(query, attempt_id, task.abort_handle());
    }

    /// Handles the end of an attempt.
    pub(super) fn on_attempt_ended(&mut self, ended: AttemptCompletion) {
        let AttemptCompletion {
            query,
            attempt,
            leaf,
            started,
            end,
        } = ended;
        self.metrics.count_end(&end.result);
        self.queries.remove_attempt(query, attempt);
        if let Some(state) = self.leafs.get_mut(&leaf) {
            if matches!(
                end.result,
                AttemptResult::Answered(_) | AttemptResult::Refused(_)
            ) {
                state.last_response = self.clock.now();
            }
            if let Some(connection) = end.connection {
                state.pool.give_back(connection);
            }
        }
        if let AttemptResult::Answered(_) = end.result {
            let elapsed = self.clock.now().since(started);
            self.metrics.attempt_seconds.observe(elapsed.as_secs_f64());
        }
        self.feed(RootEvent::AttemptEnded {
            query,
            attempt,
            result: end.result,
        });
    }
}
