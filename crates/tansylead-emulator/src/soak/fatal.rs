//! Repeatedly sends a request that crashes every leaf that runs it: in bursts of copies to random daemons, each of
//! which its caller retries once.

use crate::caller::{Caller, CallerRequest};
use crate::configuration::RoutePlan;
use crate::oracle::{CallerEnd, Oracle};
use crate::routes::Routes;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::{AbortHandle, JoinSet};

/// Separates these draws from those of the faults, so that a seed keeps giving the same faults.
const SEED_OFFSET: u64 = 0x6661_7461_6c00;
/// Share of seeds with such a request.
const SHARE: f64 = 0.5;
/// Maximum number of copies in a burst.
const MAXIMUM_COPIES: u32 = 4;

/// The caller; it stops when this is dropped.
#[derive(Debug)]
pub(crate) struct FatalCaller {
    task: AbortHandle,
}

impl FatalCaller {
    /// Starts the caller of a seed, if the seed has one.
    pub(crate) fn draw(
        seed: u64,
        daemons: Vec<SocketAddr>,
        routes: &Routes,
        oracle: &Oracle,
    ) -> Option<Self> {
        let mut random = StdRng::seed_from_u64(seed.wrapping_add(SEED_OFFSET));
        if !random.random_bool(SHARE) {
            return None;
        }
        let choices = [&routes.query, &routes.query, &routes.lookup, &routes.post];
        let route = (*choices.choose(&mut random)?).clone();
        let calling = call_repeatedly(daemons, route, oracle.clone(), random);
        Some(Self {
            task: tokio::spawn(calling).abort_handle(),
        })
    }
}

impl Drop for FatalCaller {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn call_repeatedly(
    daemons: Vec<SocketAddr>,
    route: RoutePlan,
    oracle: Oracle,
    mut random: StdRng,
) {
    loop {
        let pause = Duration::from_millis(random.random_range(1_000..4_000));
        tokio::time::sleep(pause).await;
        let copies = random.random_range(1..=MAXIMUM_COPIES);
        let mut burst = JoinSet::new();
        for _ in 0..copies {
            let first = daemons.choose(&mut random).copied();
            let second = daemons.choose(&mut random).copied();
            let attempts = first.into_iter().chain(second).collect();
            burst.spawn(send(attempts, route.clone(), oracle.clone()));
        }
        while burst.join_next().await.is_some() {}
    }
}

/// Sends a copy to one daemon after the other until one serves it.
async fn send(daemons: Vec<SocketAddr>, route: RoutePlan, oracle: Oracle) {
    let deadline = Duration::from_millis(route.timeout_millis);
    let mut caller = Caller::new(oracle);
    for daemon in daemons {
        let request = CallerRequest::fatal(&route, deadline, 1);
        let end = caller.call(daemon, &request).await;
        let is_served =
            matches!(end, CallerEnd::Answer(answer) if (200..300).contains(&answer.status));
        if is_served {
            return;
        }
    }
}
