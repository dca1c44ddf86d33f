//! Notes when each hollow daemon sees the whole cluster, a revision, or the loss of a member, and
//! keeps its routing views fresh as queries to all services would.

use super::message::{InForce, Loss};
use crate::wall_clock;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tansylead_daemon::cluster::MemberView;
use tansylead_daemon::configuration::{ConfigurationView, PlacementKey};
use tansylead_daemon::control::ControlPlane;
use tansylead_daemon::routing::Routes;
use tansylead_types::NodeId;
use tokio::sync::watch;

/// Period in which routing views are brought up to date, as if each service were queried once.
const ROUTING_PERIOD: Duration = Duration::from_secs(1);

/// What all daemons of a process noted.
#[derive(Debug, Default)]
pub struct Notes {
    /// When each daemon first saw the whole cluster.
    pub whole_at_micros: Vec<u64>,
    /// When each daemon first had joined and held a configuration.
    pub ready_at_micros: Vec<u64>,
    /// Revisions as each daemon put them in force.
    pub in_force: Vec<InForce>,
    /// Losses of watched members.
    pub losses: Vec<Loss>,
    /// Member whose loss is to be noted.
    pub watched: Option<NodeId>,
}

/// The observer of one daemon.
pub struct Observer {
    notes: Arc<Mutex<Notes>>,
    expected_members: usize,
    routes: Arc<Routes>,
    configuration: watch::Receiver<Arc<ConfigurationView>>,
    members: watch::Receiver<Arc<MemberView>>,
    revision: u64,
    is_whole: bool,
    is_ready: bool,
    lost: Option<NodeId>,
}

impl Observer {
    /// An observer of a daemon that has just started.
    pub fn new(daemon: &ControlPlane, notes: Arc<Mutex<Notes>>, expected_members: usize) -> Self {
        Self {
            notes,
            expected_members,
            routes: Arc::clone(daemon.routes()),
            configuration: daemon.configuration(),
            members: daemon.members(),
            revision: 0,
            is_whole: false,
            is_ready: false,
            lost: None,
        }
    }

    /// Runs until its task is ended or the daemon is gone.
    pub async fn run(mut self) {
        let mut refresh = tokio::time::interval(ROUTING_PERIOD);
        let mut is_stale = true;
        loop {
            let changed = tokio::select! {
                changed = self.configuration.changed() => changed,
                changed = self.members.changed() => changed,
                _ = refresh.tick() => {
                    if std::mem::take(&mut is_stale) {
                        self.refresh_routes();
                    }
                    continue;
                }
            };
            if changed.is_err() {
                return;
            }
            is_stale = true;
            self.note();
        }
    }

    fn note(&mut self) {
        let at_micros = wall_clock::unix_micros();
        let view = Arc::clone(&self.configuration.borrow_and_update());
        let members = Arc::clone(&self.members.borrow_and_update());
        let mut notes = self.notes.lock();
        if !self.is_ready && members.joined && !view.is_empty() {
            self.is_ready = true;
            notes.ready_at_micros.push(at_micros);
        }
        if !self.is_whole && members.live.len() >= self.expected_members {
            self.is_whole = true;
            notes.whole_at_micros.push(at_micros);
        }
        if view.revision() > self.revision {
            let previous = std::mem::replace(&mut self.revision, view.revision());
            notes.in_force.push(InForce {
                revision: self.revision,
                previous,
                at_micros,
            });
        }
        if let Some(node) = notes.watched
            && self.lost != Some(node)
            && !is_live(&members, node)
        {
            self.lost = Some(node);
            notes.losses.push(Loss { node, at_micros });
        }
    }

    fn refresh_routes(&self) {
        let view = self.routes.configuration();
        for (key, _) in view.placements() {
            let _ = self.routes.serving_set(key);
        }
    }
}

/// Slots of all serving sets as a daemon sees them.
pub fn root_slots(routes: &Routes) -> usize {
    let view = routes.configuration();
    let keys: Vec<PlacementKey> = view.placements().map(|(key, _)| key.clone()).collect();
    let sets = keys.iter().filter_map(|key| routes.serving_set(key));
    sets.map(|set| set.roots.len()).sum()
}

fn is_live(members: &MemberView, node: NodeId) -> bool {
    let found = members
        .live
        .binary_search_by_key(&node, |member| member.node());
    found.is_ok()
}
