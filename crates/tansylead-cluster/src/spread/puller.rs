//! Selection of the peer to pull from, and timeouts of pulls.
//!
//! Invariants: at most one pull is open; peers known to hold more are tried in turn; memory is
//! bounded by [`MAXIMUM_SOURCES`].

use super::settings::SpreadSettings;
use crate::membership::ConfigDigest;
use rand::seq::IteratorRandom;
use rand::{Rng, RngExt};
use std::collections::BTreeMap;
use tansylead_types::{Moment, NodeId};

/// Limit on peers remembered as holding another configuration than this daemon.
const MAXIMUM_SOURCES: usize = 16;

/// One pull to perform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Pull {
    pub(super) peer: NodeId,
    pub(super) after: u64,
}

#[derive(Debug)]
struct OpenPull {
    pull: Pull,
    deadline: Moment,
}

/// State of pulling from peers.
#[derive(Debug)]
pub(super) struct Puller {
    open: Option<OpenPull>,
    sources: BTreeMap<NodeId, ConfigDigest>,
    next_full_pull: Moment,
    last_error: Option<String>,
}

impl Puller {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            open: None,
            sources: BTreeMap::new(),
            next_full_pull: now,
            last_error: None,
        }
    }

    pub(super) fn last_error(&self) -> Option<&str> {
        self.last_error.as_deref()
    }

    pub(super) fn next_wakeup(&self) -> Option<Moment> {
        self.open.as_ref().map(|open| open.deadline)
    }

    /// Records which configuration a peer holds.
    pub(super) fn record_digest(&mut self, peer: NodeId, digest: ConfigDigest) {
        if self.sources.len() < MAXIMUM_SOURCES || self.sources.contains_key(&peer) {
            self.sources.insert(peer, digest);
        }
    }

    pub(super) fn forget(&mut self, peer: NodeId) {
        self.sources.remove(&peer);
    }

    /// Closes the open pull if it is this one; a late answer to an earlier pull does not.
    pub(super) fn finish(&mut self, pull: Pull, error: Option<String>) {
        if self.open.as_ref().is_some_and(|open| open.pull == pull) {
            self.open = None;
        }
        if error.is_some() {
            self.last_error = error;
        }
        self.sources.remove(&pull.peer);
    }

    /// Gives up the open pull if its deadline has passed.
    pub(super) fn expire(&mut self, now: Moment) {
        let Some(open) = &self.open else {
            return;
        };
        if open.deadline <= now {
            let pull = open.pull;
            let error = format!("pull configuration ({}): timed out", pull.peer);
            self.finish(pull, Some(error));
        }
    }

    /// The next pull, if no pull is open and a peer holds something that this daemon lacks.
    pub(super) fn next(
        &mut self,
        now: Moment,
        held: ConfigDigest,
        settings: &SpreadSettings,
        random: &mut impl Rng,
    ) -> Option<Pull> {
        if self.open.is_some() {
            return None;
        }
        let pull = self
            .newer_source(held, random)
            .or_else(|| self.differing_source(now, held, settings, random))?;
        let deadline = now + settings.pull_limit(pull.after);
        self.open = Some(OpenPull { pull, deadline });
        Some(pull)
    }

    /// A random one of the peers that hold the newest revision. With a fixed choice, all daemons
    /// that start together would pull everything from the same peer.
    fn newer_source(&mut self, held: ConfigDigest, random: &mut impl Rng) -> Option<Pull> {
        self.sources.retain(|_, digest| {
            digest.revision > held.revision
                || (digest.revision == held.revision && digest.hash != held.hash)
        });
        let newer = self
            .sources
            .values()
            .filter(|digest| digest.revision > held.revision);
        let newest = newer.map(|digest| digest.revision).max()?;
        let holders = self
            .sources
            .iter()
            .filter(|(_, digest)| digest.revision == newest);
        let (peer, _) = holders.choose(random)?;
        Some(Pull {
            peer: *peer,
            after: held.revision,
        })
    }

    /// A peer with other objects at the same revision, which can occur after a store was restored
    /// from a backup and written again. Everything is pulled, at a low rate.
    fn differing_source(
        &mut self,
        now: Moment,
        held: ConfigDigest,
        settings: &SpreadSettings,
        random: &mut impl Rng,
    ) -> Option<Pull> {
        let peer = *self.sources.keys().next()?;
        self.sources
            .retain(|_, digest| digest.revision > held.revision);
        if now < self.next_full_pull {
            return None;
        }
        let period = settings.full_pull_period;
        self.next_full_pull = now + period.mul_f64(random.random_range(0.5..1.5));
        Some(Pull { peer, after: 0 })
    }
}
