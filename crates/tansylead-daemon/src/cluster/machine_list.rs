//! Reads the platform's machine list: often while this daemon has not joined or reads the store,
//! seldom otherwise, because the platform supports few readers. Its contents are only hints.

use super::handle::ClusterHandle;
use super::view::{ClusterStatus, MemberView};
use crate::platform::MachineListClient;
use crate::routing::Routes;
use rand::RngExt;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tansylead_cluster::routing::RENEWAL_PERIOD;
use tansylead_cluster::spread::StoreState;
use tansylead_types::store::{MachineList, MachineState};
use tokio::sync::watch;

/// Period while this daemon has not joined.
const JOINING_PERIOD: Duration = Duration::from_secs(1);
/// Period of a daemon that reads the store.
const READER_PERIOD: Duration = Duration::from_secs(1);
/// Period of all others.
const OTHERS_PERIOD: Duration = Duration::from_secs(600);
/// How often the period is checked.
const STEP_PERIOD: Duration = Duration::from_secs(1);
/// Periods are shortened by up to this share, so that daemons do not read at the same time.
const JITTER_SHARE: f64 = 0.2;

/// Reads the machine list for as long as its task runs.
#[derive(Debug)]
pub struct MachineListReader {
    client: MachineListClient,
    cluster: ClusterHandle,
    members: watch::Receiver<Arc<MemberView>>,
    status: watch::Receiver<Arc<ClusterStatus>>,
    routes: Arc<Routes>,
    leaving: BTreeSet<SocketAddr>,
    is_reachable: bool,
}

impl MachineListReader {
    /// A reader that passes the list to membership, and its leaving leafs to the roots.
    pub fn new(
        client: MachineListClient,
        cluster: ClusterHandle,
        members: watch::Receiver<Arc<MemberView>>,
        status: watch::Receiver<Arc<ClusterStatus>>,
        routes: Arc<Routes>,
    ) -> Self {
        Self {
            client,
            cluster,
            members,
            status,
            routes,
            leaving: BTreeSet::new(),
            is_reachable: true,
        }
    }

    /// Runs until its task is ended.
    pub async fn run(mut self) {
        let mut since_read = OTHERS_PERIOD;
        let mut since_renewal = Duration::ZERO;
        loop {
            if since_read >= self.period() {
                since_read = Duration::ZERO;
                self.read().await;
            }
            if since_renewal >= RENEWAL_PERIOD {
                since_renewal = Duration::ZERO;
                self.renew_notices();
            }
            let share = 1.0 - rand::rng().random_range(0.0..JITTER_SHARE);
            tokio::time::sleep(STEP_PERIOD.mul_f64(share)).await;
            since_read += STEP_PERIOD;
            since_renewal += STEP_PERIOD;
        }
    }

    fn period(&self) -> Duration {
        if !self.members.borrow().joined {
            return JOINING_PERIOD;
        }
        match self.status.borrow().store {
            StoreState::NotReading => OTHERS_PERIOD,
            _ => READER_PERIOD,
        }
    }

    async fn read(&mut self) {
        match self.client.list().await {
            Ok(list) => {
                self.log_reachability(None);
                self.notify_roots(&list);
                self.cluster.send_machine_list(list);
            }
            Err(error) => self.log_reachability(Some(error.to_string())),
        }
    }

    /// Notifies the roots in this place at once of each leaf that is newly listed as leaving.
    fn notify_roots(&mut self, list: &MachineList) {
        let leaving = list
            .machines
            .iter()
            .filter(|machine| machine.state == MachineState::Leaving);
        let leaving: BTreeSet<SocketAddr> = leaving.map(|machine| machine.address).collect();
        for address in leaving.difference(&self.leaving) {
            log::info!("machine list: {address} is leaving");
            self.routes.notify_leaf_leaving(*address);
        }
        self.leaving = leaving;
    }

    /// Notifies the roots again of the leaving leafs of the last list: new roots were not notified
    /// of them, and the others drop what is not repeated. A failed read revokes nothing. Daemons
    /// that read the list seldom do not repeat it, because it may be long out of date.
    fn renew_notices(&self) {
        if self.period() < OTHERS_PERIOD {
            for address in &self.leaving {
                self.routes.notify_leaf_leaving(*address);
            }
        }
    }

    fn log_reachability(&mut self, error: Option<String>) {
        let is_reachable = error.is_none();
        if self.is_reachable == is_reachable {
            return;
        }
        self.is_reachable = is_reachable;
        match error {
            None => log::info!("machine list is reachable"),
            Some(error) => log::warn!("machine list is not reachable: {error}"),
        }
    }
}
