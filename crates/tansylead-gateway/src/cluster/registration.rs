//! Discovery of other daemons when the seeds are down or stale.
//!
//! Some daemons register their peer address with the source: those that watch it, and those that know
//! of no other daemon. So each region has some that can be found, and the number of calls does not grow
//! with the fleet. A daemon that knows of no other, or has not joined for long, reads the addresses.

use super::view::ClusterView;
use crate::source::Source;
use crate::state::Gateway;
use std::rc::Rc;
use std::time::Duration;

/// Time in which a daemon learns of others through its seeds, if they run: membership asks them twice
/// by then.
const SEED_TIME: Duration = Duration::from_secs(2);
/// The first checks of daemons that start together are spread over this time.
const FIRST_CHECK_SPREAD: Duration = Duration::from_millis(1_500);
/// Mean time between checks whether the daemon has joined.
const CHECK_PERIOD: Duration = Duration::from_secs(2);
/// A daemon that has not joined after this time reads the registered addresses, even if it knows some daemons.
const JOIN_LIMIT: Duration = Duration::from_secs(8);
/// Additional time to join for each known daemon: the table of a large fleet takes long to transfer, and a daemon
/// that knows many others is not isolated. Without it, calls to the source would grow with the fleet.
const JOIN_TIME_PER_MEMBER: Duration = Duration::from_millis(20);

/// What a daemon does to find others and to be found by them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RegistrationNeed {
    /// It must register its own address.
    pub must_register: bool,
    /// It must read the addresses of registered daemons.
    pub must_discover: bool,
}

impl RegistrationNeed {
    /// The need of a daemon with this view that started `uptime` ago.
    pub fn new(view: &ClusterView, uptime: Duration) -> Self {
        let members = u32::try_from(view.member_nodes().len()).unwrap_or(u32::MAX);
        let limit = JOIN_LIMIT + JOIN_TIME_PER_MEMBER.saturating_mul(members);
        let must_discover = !view.is_joined() && (view.is_alone() || uptime > limit);
        Self {
            must_register: must_discover || view.is_watcher(),
            must_discover,
        }
    }
}

/// Registers this daemon if others must find it, and discovers others, until the task is ended.
pub async fn find_daemons<S: Source>(gateway: Rc<Gateway>, view: Rc<ClusterView>, source: Rc<S>) {
    let mut registered = None;
    tokio::time::sleep(SEED_TIME + FIRST_CHECK_SPREAD.mul_f64(rand::random())).await;
    loop {
        let need = RegistrationNeed::new(&view, gateway.uptime());
        // A source that was restored from an older copy may have lost the registration.
        let era = gateway.source_era().unwrap_or_default();
        let is_registered = registered.is_some_and(|registered| registered >= era);
        if need.must_register && !is_registered && register(&gateway, source.as_ref()).await {
            registered = Some(era);
        }
        if need.must_discover {
            discover_daemons(&view, source.as_ref()).await;
        }
        tokio::time::sleep(CHECK_PERIOD.mul_f64(rand::random_range(0.5..1.5))).await;
    }
}

/// Registers this daemon. Returns whether the source has accepted it.
async fn register<S: Source>(gateway: &Gateway, source: &S) -> bool {
    match source.register(gateway.settings.peer_address).await {
        Ok(()) => true,
        Err(error) => {
            log::info!(error:% = error; "registration failed; it is tried again");
            false
        }
    }
}

async fn discover_daemons<S: Source>(view: &ClusterView, source: &S) {
    match source.registered().await {
        Ok(addresses) => {
            log::info!(daemons = addresses.len(); "looking for registered daemons");
            view.set_registered(addresses);
        }
        Err(error) => log::info!(error:% = error; "registered daemons could not be read"),
    }
}
