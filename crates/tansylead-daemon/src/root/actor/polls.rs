//! Health polls of the leafs, and connections opened ahead of need along with them.
//!
//! Invariants: a leaf has at most one poll in progress; the time of its next poll is set, with
//! jitter, whether or not this one is skipped.

use super::{Completion, Root, RootContext};
use crate::clock::Clock;
use crate::leaf::attempt::LeafTarget;
use crate::leaf::health::{HealthPoll, poll_health};
use crate::leaf::pool::LeafPool;
use crate::root::leafs::RootLeaf;
use rand::RngExt;
use std::sync::Arc;
use tansylead_http::{ConnectOptions, HttpConnection};
use tansylead_query::RootEvent;
use tansylead_types::{LeafId, Moment};
use tokio::sync::mpsc;

/// Maximum share of the period by which the time to the next poll is shortened at random, to spread
/// the polls.
const POLL_JITTER_SHARE: f64 = 0.2;

impl Root {
    /// How to reach a leaf; `None` if the leaf is not configured.
    pub(super) fn leaf_target(&mut self, leaf: &LeafId) -> Option<LeafTarget> {
        let pool = &self.leafs.get_mut(leaf)?.pool;
        Some(leaf_target(pool, &self.context))
    }

    /// Handles the end of a poll.
    pub(super) fn on_health(&mut self, leaf: LeafId, poll: HealthPoll) {
        let Some(state) = self.leafs.get_mut(&leaf) else {
            return;
        };
        state.is_polling = false;
        if let Some(connection) = poll.connection {
            state.pool.give_back(connection);
        }
        self.feed(RootEvent::LeafHealth {
            leaf,
            report: poll.report,
        });
    }

    /// Polls the leafs that are due, and updates the metrics of connections and engine events.
    pub(super) fn poll_due_leafs(&mut self, now: Moment) {
        let period = self.context.health_period;
        let grace = self.context.leaving_grace;
        let mut open = 0;
        for (name, state) in self.leafs.iter_mut() {
            open += state.pool.open_connections();
            if state.is_polling || state.next_poll > now {
                continue;
            }
            let jitter = self.random.random_range(0.0..POLL_JITTER_SHARE);
            state.next_poll = now + period.mul_f64(1.0 - jitter);
            if state.may_skip_poll(now, period, grace) {
                continue;
            }
            state.is_polling = true;
            state.last_poll = now;
            warm_connections(name, state, &self.context, &self.completions);
            start_poll(name, state, &self.context, &self.completions);
        }
        self.metrics
            .connections
            .set(i64::try_from(open).unwrap_or(i64::MAX));
        self.metrics.count_engine(self.engine.counters());
    }
}

/// Opens connections to a leaf until its pool has as many as are kept ready.
fn warm_connections(
    name: &LeafId,
    state: &mut RootLeaf,
    context: &RootContext,
    completions: &mpsc::UnboundedSender<Completion>,
) {
    let (address, limit) = (state.pool.address(), context.tuning.leaf_connect_limit);
    let target = context.tuning.warm_connections_per_leaf;
    for permit in state.pool.permits_to_warm(target) {
        let (leaf, completions) = (name.clone(), completions.clone());
        tokio::spawn(async move {
            let connection = HttpConnection::open(address, ConnectOptions::within(limit), permit)
                .await
                .ok();
            let _ = completions.send(Completion::Warmed { leaf, connection });
        });
    }
}

/// Starts a poll, on an idle connection if there is one.
fn start_poll(
    name: &LeafId,
    state: &mut RootLeaf,
    context: &RootContext,
    completions: &mpsc::UnboundedSender<Completion>,
) {
    let target = leaf_target(&state.pool, context);
    let period = context.health_period;
    let idle = state.pool.take_idle();
    let (leaf, completions) = (name.clone(), completions.clone());
    tokio::spawn(async move {
        let poll = poll_health(idle, target, period).await;
        let _ = completions.send(Completion::Health { leaf, poll });
    });
}

fn leaf_target(pool: &LeafPool, context: &RootContext) -> LeafTarget {
    LeafTarget {
        address: pool.address(),
        permits: pool.permits(),
        connect_limit: context.tuning.leaf_connect_limit,
        maximum_answer_bytes: context.tuning.maximum_leaf_answer_bytes,
        clock: Clock,
        claim_settings: Arc::clone(&context.claim_settings),
    }
}
