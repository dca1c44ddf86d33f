//! Handles the commands from the handles of a root.
//!
//! Invariants: the engine knows the root's share of the admission rate before it decides about a
//! query; a query whose caller is gone by then is not started.

use super::Root;
use crate::leaf::attempt::QueryContext;
use crate::root::handle::{RootAnswer, RootCommand, RootConfiguration, RootStatus};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tansylead_query::{LeafStatus, RootEvent, StartQuery};
use tokio::sync::oneshot;

/// Number of roots among which the engine divides the slots of a leaf.
const ROOTS_SHARING_SLOTS: u32 = 1;

impl Root {
    /// Carries out one command.
    pub(super) fn on_command(&mut self, command: RootCommand) {
        match command {
            RootCommand::Start { start, reply } => self.start(start, reply),
            RootCommand::CallerGone(query) => {
                if self.queries.remove(query).is_some() {
                    self.metrics.callers_gone.inc();
                    self.feed(RootEvent::CallerGone(query));
                }
            }
            RootCommand::Configure(configuration) => self.configure(&configuration),
            RootCommand::Share { from, message } => {
                self.shares.on_message(self.clock.now(), from, message);
            }
            RootCommand::LeafLeaving(leaf) => {
                self.feed(RootEvent::LeafLeaving(leaf));
            }
            RootCommand::Status(reply) => {
                let _ = reply.send(self.status());
            }
        }
    }

    fn start(&mut self, start: Box<StartQuery>, reply: oneshot::Sender<RootAnswer>) {
        self.waiting_starts.fetch_sub(1, Ordering::Relaxed);
        if reply.is_closed() {
            self.metrics.callers_gone.inc();
            return;
        }
        let context = QueryContext {
            request: start.request.clone(),
            root: self.root_name.clone(),
        };
        self.queries.insert(start.query, Arc::new(context), reply);
        self.shares.count_arrival();
        let now = self.clock.now();
        if let Some(share) = self.shares.changed_share(now) {
            self.engine.set_rate_share(now, share);
        }
        self.feed(RootEvent::Start(start));
    }

    fn configure(&mut self, configuration: &RootConfiguration) {
        let now = self.clock.now();
        let placement = &configuration.placement;
        let set = &configuration.serving_set;
        self.connections_per_leaf = set.connections_per_root as usize;
        self.leafs
            .configure(now, &placement.leafs, self.connections_per_leaf);
        self.shares.configure(now, set, configuration.limit);
        let actions = self
            .engine
            .configure(now, &configuration.definition, placement);
        self.perform(actions);
        // Each root may use all slots of a leaf; where roots compete, the leaf's own queue decides.
        // Equal shares of 3 to 5 slots would leave a third of them unused.
        let actions = self.engine.set_leaf_share(now, ROOTS_SHARING_SLOTS);
        self.perform(actions);
    }

    fn status(&mut self) -> RootStatus {
        let now = self.clock.now();
        let report = self.shares.report(now);
        let engine = self.engine.status(now);
        let names = |keep: fn(&LeafStatus) -> bool| {
            let kept = engine.leafs.iter().filter(|leaf| keep(leaf));
            kept.map(|leaf| leaf.leaf.clone()).collect()
        };
        RootStatus {
            snapshot_in_use: engine.snapshot_in_use,
            every_shard_has_a_replica: engine.every_shard_has_a_replica,
            leafs: engine.leafs.len(),
            draining: names(|leaf| leaf.leaving),
            unreachable: names(|leaf| leaf.unreachable),
            ejected: names(|leaf| leaf.ejected),
            snapshots: engine.snapshots,
            queries_in_progress: engine.queries_in_progress,
            waiting_shards: engine.waiting_shards,
            leaf_connections: self.leafs.open_connections(),
            connections_per_leaf: self.connections_per_leaf,
            usable_rate: report.usable_rate,
            admitted_rate: self.shares.admitted_rate(now),
            coverage: self.coverage,
            share_in_force: self.shares.is_whole_share_usable(now),
        }
    }
}
