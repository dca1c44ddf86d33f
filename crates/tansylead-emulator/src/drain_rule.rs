//! Checks that a leaf gets nothing once the store has acknowledged that it leaves or is gone: a request that machines
//! in touch have sent on must not reach it later than a limit after the acknowledgement.
//!
//! The store acknowledges while it is stable. A machine is in touch while its processes, its links and the store have been
//! without disruption for some time. An arrival over a link to the leaf that was disrupted is not counted.

use crate::disruptions::Disruptions;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time without a disruption after which a machine is in touch and the store is stable; given by the users.
pub(crate) const CONTACT_TIME: Duration = Duration::from_secs(5);

/// How a leaf leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Departure {
    /// It says so.
    Draining,
    /// Its entry goes.
    Gone,
}

/// An arrival at a leaf that had left.
#[derive(Debug)]
struct LateArrival {
    leaf: String,
    request: String,
    since_left: Duration,
}

/// Acknowledged departures, and arrivals after them.
#[derive(Debug, Default)]
pub(crate) struct DrainRule {
    store: Disruptions,
    /// The process of each daemon and its link to the store, by its address for callers.
    daemons: HashMap<SocketAddr, [Disruptions; 2]>,
    leaf_links: HashMap<String, Disruptions>,
    /// Leafs whose departure was acknowledged, and when.
    left: HashMap<String, (Departure, Instant)>,
    late: Vec<LateArrival>,
}

impl DrainRule {
    /// Adds the store.
    pub(crate) fn add_store(&mut self, store: Disruptions) {
        self.store = store;
    }

    /// Adds a daemon.
    pub(crate) fn add_daemon(&mut self, address: SocketAddr, process_and_link: [Disruptions; 2]) {
        self.daemons.insert(address, process_and_link);
    }

    /// Records that a leaf starts: departures of an earlier run under its id no longer hold.
    pub(crate) fn record_start(&mut self, leaf: &str) {
        self.left.remove(leaf);
    }

    /// Adds the link to a leaf.
    pub(crate) fn add_leaf_link(&mut self, leaf: &str, link: Disruptions) {
        self.leaf_links.insert(leaf.to_owned(), link);
    }

    /// Records that the store has just acknowledged that a leaf leaves or is gone.
    pub(crate) fn record_left(&mut self, leaf: &str, departure: Departure) {
        if self.store.are_absent_for(CONTACT_TIME) {
            let left = self.left.entry(leaf.to_owned());
            left.or_insert_with(|| (departure, Instant::now()));
        }
    }

    /// Records that a restored store has an entry of a leaf. One that was gone is there again, as far as the store
    /// tells.
    pub(crate) fn record_restored_entry(&mut self, leaf: &str) {
        let left = self.left.get(leaf);
        if left.is_some_and(|(departure, _)| *departure == Departure::Gone) {
            self.left.remove(leaf);
        }
    }

    /// Records that a request reached a leaf. `daemon` took it from its caller; if another one may have sent it on, it is
    /// none.
    pub(crate) fn record_arrival(&mut self, request: &str, leaf: &str, daemon: Option<SocketAddr>) {
        let Some((_, left)) = self.left.get(leaf) else {
            return;
        };
        let is_link_sound = |link: &Disruptions| link.are_absent_for(CONTACT_TIME);
        let are_in_touch = match daemon {
            Some(daemon) => self.daemons.get(&daemon).is_some_and(is_in_touch),
            None => self.daemons.values().all(is_in_touch),
        };
        let is_counted = are_in_touch
            && self.store.are_absent_for(CONTACT_TIME)
            && self.leaf_links.get(leaf).is_none_or(is_link_sound);
        if is_counted {
            self.late.push(LateArrival {
                leaf: leaf.to_owned(),
                request: request.to_owned(),
                since_left: left.elapsed(),
            });
        }
    }

    /// Violations by arrivals later than the limit.
    pub(crate) fn violations(&self, limit: Duration) -> Vec<String> {
        let late = self.late.iter().filter(|late| late.since_left > limit);
        late.map(|late| {
            let (leaf, request, since) = (&late.leaf, &late.request, late.since_left);
            format!("DRAIN: {request} reached {leaf} {since:?} after it left")
        })
        .collect()
    }
}

fn is_in_touch(process_and_link: &[Disruptions; 2]) -> bool {
    let mut parts = process_and_link.iter();
    parts.all(|part| part.are_absent_for(CONTACT_TIME))
}
