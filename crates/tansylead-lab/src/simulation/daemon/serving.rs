//! Which placements a simulated daemon is a root for, and which roots its frontend may use.

use super::configuration::PlacementKey;
use super::root::Root;
use super::{Outbox, SimulatedDaemon};
use crate::simulation::clock::Clocks;
use std::collections::BTreeSet;
use std::time::Duration;
use tansylead_cluster::membership::MemberState;
use tansylead_cluster::routing::{Candidate, largest_limit, serving_set};
use tansylead_query::RateShare;
use tansylead_types::{NodeId, ServicePlacement};

const ADMISSION_BURST: Duration = Duration::from_millis(1_000);

impl SimulatedDaemon {
    /// Follows a change of members or of configuration.
    pub(super) fn update_serving(&mut self, clocks: Clocks, outbox: &mut Outbox<'_>) {
        let candidates = self.candidates();
        let suspected = self.suspected();
        let placements: Vec<(PlacementKey, ServicePlacement)> = self
            .configuration
            .placements()
            .map(|(key, placement)| (key, placement.clone()))
            .collect();
        for (key, placement) in &placements {
            let limit = self.table_limit(key);
            let set = serving_set(&key.service, &key.place, placement, limit, &candidates);
            let roots = set.distinct_roots();
            let usable = roots.iter().copied();
            let usable = usable.filter(|node| !suspected.contains(node));
            let places = self.places.entry(key.service.clone()).or_default();
            places.set_roots(&key.place, usable);
            if roots.contains(&self.instance.node) {
                self.serve(clocks, key, placement, roots.len(), outbox);
            } else if let Some(root) = self.roots.get_mut(key) {
                root.retired = true;
            }
            self.serving.insert(key.clone(), roots);
        }
    }

    /// Forgets roots that serve no longer and have no query left.
    pub(super) fn drop_retired_roots(&mut self) {
        self.roots
            .retain(|_, root| !root.retired || root.has_work());
    }

    fn serve(
        &mut self,
        clocks: Clocks,
        key: &PlacementKey,
        placement: &ServicePlacement,
        roots: usize,
        outbox: &mut Outbox<'_>,
    ) {
        let Some(definition) = self.configuration.definition(&key.service).cloned() else {
            return;
        };
        let is_new = !self.roots.contains_key(key);
        let limit = self.table_limit(key);
        let seed = self.next_query().0 ^ self.instance.boot;
        let instance = self.instance;
        let root = self
            .roots
            .entry(key.clone())
            .or_insert_with(|| Root::new(instance, seed));
        root.retired = false;
        root.set_leafs(clocks.now, &placement.leafs);
        let share = RateShare {
            queries_per_second: f64::from(limit) / roots as f64,
            burst: ADMISSION_BURST,
        };
        root.engine.set_rate_share(clocks.now, share);
        let mut actions = root.engine.configure(clocks.now, &definition, placement);
        let roots = u32::try_from(roots).unwrap_or(u32::MAX);
        actions.extend(root.engine.set_leaf_share(clocks.now, roots));
        self.perform(clocks, key, actions, outbox);
        if is_new {
            self.tell_new_root(clocks, key, placement, outbox);
        }
    }

    fn table_limit(&self, key: &PlacementKey) -> u32 {
        let table = self.configuration.table();
        table.map_or(0, |table| largest_limit(table, &key.service, &key.place))
    }

    fn candidates(&self) -> Vec<Candidate> {
        let members = self.membership.members();
        let members = members.filter(|member| member.state.takes_work());
        members
            .map(|member| Candidate {
                node: member.node(),
                place: member.place.clone(),
                zone: member.zone.clone(),
            })
            .collect()
    }

    fn suspected(&self) -> BTreeSet<NodeId> {
        let members = self.membership.members();
        let members = members.filter(|member| member.state == MemberState::Suspect);
        members.map(|member| member.node()).collect()
    }
}
