//! Steady traffic of many callers until it is stopped.

use crate::caller::{Caller, CallerRequest, next_request_id};
use crate::configuration::RoutePlan;
use crate::oracle::Oracle;
use crate::routes::Routes;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;

/// Mean pause of a caller between two requests.
const MEAN_PAUSE: Duration = Duration::from_millis(60);
/// Share of calls after which a caller switches to another daemon.
const SWITCH_SHARE: f64 = 0.05;
/// Share of requests to further services, if there are any.
const FURTHER_SHARE: f64 = 0.9;
/// Share of calls that the caller abandons early.
const ABANDON_SHARE: f64 = 0.03;

/// Handle to running traffic.
#[derive(Debug)]
pub struct Traffic {
    is_stopped: Arc<AtomicBool>,
    callers: JoinSet<()>,
}

impl Traffic {
    /// Starts `callers` callers, each at a randomly chosen daemon.
    pub fn start(
        callers: usize,
        daemons: &[SocketAddr],
        routes: &Routes,
        oracle: &Oracle,
        seed: u64,
    ) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let mut running = JoinSet::new();
        for number in 0..callers {
            let random = StdRng::seed_from_u64(seed.wrapping_add(number as u64));
            running.spawn(call_repeatedly(
                daemons.to_vec(),
                routes.clone(),
                oracle.clone(),
                random,
                Arc::clone(&is_stopped),
            ));
        }
        Self {
            is_stopped,
            callers: running,
        }
    }

    /// Stops the traffic after each caller's last request has ended.
    pub async fn stop(mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        while self.callers.join_next().await.is_some() {}
    }
}

/// Draws a route at random. If there are further services, most requests go to them.
fn draw_route<'a>(routes: &'a Routes, random: &mut StdRng) -> &'a RoutePlan {
    if let Some(further) = routes.further.choose(random)
        && random.random_bool(FURTHER_SHARE)
    {
        return further;
    }
    match random.random_range(0..10) {
        0..6 => &routes.query,
        6..8 => &routes.lookup,
        _ => &routes.post,
    }
}

async fn call_repeatedly(
    daemons: Vec<SocketAddr>,
    routes: Routes,
    oracle: Oracle,
    mut random: StdRng,
    is_stopped: Arc<AtomicBool>,
) {
    let mut caller = Caller::new(oracle);
    let item = format!("item-{}", next_request_id());
    let Some(mut daemon) = daemons.choose(&mut random).copied() else {
        return;
    };
    while !is_stopped.load(Ordering::Relaxed) {
        let route = draw_route(&routes, &mut random);
        let deadline = Duration::from_millis(route.timeout_millis);
        let request = CallerRequest::for_item(route, deadline, &item);
        if random.random_bool(ABANDON_SHARE) {
            let caller_timeout = Duration::from_millis(random.random_range(1..40));
            caller
                .call_and_leave(daemon, &request, caller_timeout)
                .await;
        } else {
            caller.call(daemon, &request).await;
        }
        if random.random_bool(SWITCH_SHARE) {
            daemon = daemons.choose(&mut random).copied().unwrap_or(daemon);
        }
        let pause = MEAN_PAUSE.mul_f64(random.random_range(0.2..1.8));
        tokio::time::sleep(pause).await;
    }
}
