//! Reads the platform's machine list: often while this daemon has not joined or reads the store,
//! seldom otherwise, because the platform bears few readers. What it says is a hint.

use super::handle::ClusterHandle;
use super::view::{ClusterStatus, MemberView};
use crate::platform::MachineListClient;
use crate::routing::Routes;
use rand::RngExt;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tansylead_cluster::spread::StoreState;
use tansylead_types::store::{MachineList, MachineState};
use tokio::sync::watch;

/// Period while this daemon has not joined.
const JOINING_PERIOD: Duration = Duration::from_secs(1);
/// Period of a daemon that reads the store.
const READER_PERIOD: Duration = Duration::from_secs(1);
/// Period of all others.
const OTHERS_PERIOD: Duration = Duration::from_secs(600);
/// Roots are told again after this many reads: some may be new.
const READS_PER_REPETITION: u64 = 10;
/// How often the period is reconsidered.
const STEP_PERIOD: Duration = Duration::from_secs(1);
/// Periods are shortened by up to this share, so that daemons do not read in step.
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
    reads: u64,
    reachable: bool,
}

impl MachineListReader {
    /// A reader that tells membership and, about leaving leafs, the roots.
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
            reads: 0,
            reachable: true,
        }
    }

    /// Runs until its task is ended.
    pub async fn run(mut self) {
        let mut since_read = OTHERS_PERIOD;
        loop {
            if since_read >= self.period() {
                since_read = Duration::ZERO;
                self.read().await;
            }
            let share = 1.0 - rand::rng().random_range(0.0..JITTER_SHARE);
            tokio::time::sleep(STEP_PERIOD.mul_f64(share)).await;
            since_read += STEP_PERIOD;
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
                self.note_reachable(None);
                self.tell_roots(&list);
                self.cluster.machine_list(list);
            }
            Err(error) => self.note_reachable(Some(error.to_string())),
        }
    }

    /// Tells the roots in this place about each leaf that is newly said to be leaving, and now and
    /// then about all of them.
    fn tell_roots(&mut self, list: &MachineList) {
        let leaving = list
            .machines
            .iter()
            .filter(|machine| machine.state == MachineState::Leaving);
        let leaving: BTreeSet<SocketAddr> = leaving.map(|machine| machine.address).collect();
        self.reads += 1;
        if self.reads.is_multiple_of(READS_PER_REPETITION) {
            self.leaving.clear();
        }
        for address in leaving.difference(&self.leaving) {
            self.routes.leaf_address_leaving(*address);
        }
        self.leaving = leaving;
    }

    fn note_reachable(&mut self, error: Option<String>) {
        let reachable = error.is_none();
        if self.reachable == reachable {
            return;
        }
        self.reachable = reachable;
        match error {
            None => log::info!("machine list is reachable"),
            Some(error) => log::warn!("machine list is not reachable: {error}"),
        }
    }
}
