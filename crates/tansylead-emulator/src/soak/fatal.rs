//! A request that ends each leaf which begins to run it, and comes again and again: in bursts of copies at any
//! daemons, each of which its caller repeats once.

use crate::caller::{Caller, CallerRequest};
use crate::configuration::RoutePlan;
use crate::oracle::{CallerEnd, Oracle};
use crate::routes::Routes;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::{AbortHandle, JoinSet};

/// Keeps the numbers drawn here apart from those of the faults: these stay what a seed has always meant.
const SEED_OFFSET: u64 = 0x6661_7461_6c00;
/// Share of seeds with such a request.
const SHARE: f64 = 0.5;
/// Copies in one burst, at most.
const MAXIMUM_COPIES: u32 = 4;

/// The caller; it stops when this is dropped.
#[derive(Debug)]
pub(crate) struct FatalCaller {
    task: AbortHandle,
}

impl FatalCaller {
    /// The caller of a seed; none if it has none.
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
        let calling = call(daemons, route, oracle.clone(), random);
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

async fn call(daemons: Vec<SocketAddr>, route: RoutePlan, oracle: Oracle, mut random: StdRng) {
    loop {
        let pause = Duration::from_millis(random.random_range(1_000..4_000));
        tokio::time::sleep(pause).await;
        let copies = random.random_range(1..=MAXIMUM_COPIES);
        let mut burst = JoinSet::new();
        for _ in 0..copies {
            let first = daemons.choose(&mut random).copied();
            let second = daemons.choose(&mut random).copied();
            let tries = first.into_iter().chain(second).collect();
            burst.spawn(send(tries, route.clone(), oracle.clone()));
        }
        while burst.join_next().await.is_some() {}
    }
}

/// Sends one copy to one daemon after the other, until one serves it.
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
