//! Callers that stay with one daemon: each keeps using its open connection until the daemon closes it or is gone, also
//! while the daemon is not ready, and then waits for the daemon to come back.

use crate::caller::{Caller, CallerRequest};
use crate::configuration::RoutePlan;
use crate::daemon::Disturbance;
use crate::deployment::Deployment;
use crate::oracle::Oracle;
use parking_lot::Mutex;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Separates these draws from those of the faults, so that a seed keeps giving the same faults.
const SEED_OFFSET: u64 = 0x7069_6e6e_6564;
/// Callers of each daemon.
const CALLERS_PER_DAEMON: u64 = 2;
/// Pause of a caller between two requests, in milliseconds.
const PAUSE_MILLIS: std::ops::Range<u64> = 5..150;
/// Time that a caller waits for an answer beyond the deadline of its request.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(700);

/// The callers; they stop when this is dropped.
#[derive(Debug)]
pub(crate) struct PinnedCallers {
    callers: JoinSet<()>,
    violations: Arc<Mutex<Vec<String>>>,
}

/// One caller.
struct PinnedCaller {
    daemon: SocketAddr,
    name: String,
    disturbance: Disturbance,
    routes: Vec<RoutePlan>,
    oracle: Oracle,
    violations: Arc<Mutex<Vec<String>>>,
}

impl PinnedCallers {
    /// Starts the callers of a seed.
    pub(crate) fn start(deployment: &Deployment, seed: u64) -> Self {
        let violations: Arc<Mutex<Vec<String>>> = Arc::default();
        let mut callers = JoinSet::new();
        for (index, proxied) in deployment.daemons.iter().enumerate() {
            for number in 0..CALLERS_PER_DAEMON {
                let stream = index as u64 * CALLERS_PER_DAEMON + number;
                let seed = seed.wrapping_add(SEED_OFFSET).wrapping_add(stream);
                let caller = PinnedCaller {
                    daemon: proxied.daemon.plan().addresses.caller,
                    name: proxied.daemon.plan().name.clone(),
                    disturbance: proxied.daemon.disturbance(),
                    routes: deployment.routes.all(),
                    oracle: deployment.oracle.clone(),
                    violations: Arc::clone(&violations),
                };
                callers.spawn(caller.call_repeatedly(StdRng::seed_from_u64(seed)));
            }
        }
        Self {
            callers,
            violations,
        }
    }

    /// Stops the callers and returns the violations that they have seen.
    pub(crate) async fn stop(mut self) -> Vec<String> {
        self.callers.shutdown().await;
        std::mem::take(&mut *self.violations.lock())
    }
}

impl PinnedCaller {
    async fn call_repeatedly(self, mut random: StdRng) {
        let mut caller = Caller::new(self.oracle.clone());
        let mut opened = Instant::now();
        loop {
            if !caller.is_connected_to(self.daemon) {
                opened = Instant::now();
            }
            if let Some(route) = self.routes.choose(&mut random) {
                self.call(&mut caller, route, opened).await;
            }
            let pause = Duration::from_millis(random.random_range(PAUSE_MILLIS));
            tokio::time::sleep(pause).await;
        }
    }

    /// Sends a request. On a connection that the daemon has kept open, it must be answered unless the process was
    /// killed since the connection was `opened`, or suspended meanwhile.
    async fn call(&self, caller: &mut Caller, route: &RoutePlan, opened: Instant) {
        let deadline = Duration::from_millis(route.timeout_millis);
        let request = CallerRequest::for_item(route, deadline, "pinned");
        let is_kept = caller.is_connected_to(self.daemon);
        let began = Instant::now();
        self.oracle.record_request(&request.id, route);
        self.oracle.record_daemon(&request.id, self.daemon);
        let exchange = caller.exchange(self.daemon, &request);
        let answer = tokio::time::timeout(deadline + LATE_ANSWER_WAIT, exchange).await;
        let is_cut = matches!(answer, Ok(None)) && is_kept;
        let answer = answer.ok().flatten();
        self.oracle
            .check_end(&request.id, &crate::caller::end_of(answer.as_ref()));
        let is_excused =
            self.disturbance.was_killed_since(opened) || self.disturbance.was_frozen_since(began);
        if is_cut && !is_excused {
            let (name, id, waited) = (&self.name, &request.id, began.elapsed());
            let text =
                format!("CUT: {name} did not answer {id} on an open connection ({waited:?})");
            self.violations.lock().push(text);
        }
    }
}
