//! Finding other daemons when the seeds are down or stale.
//!
//! Some daemons register their peer address with the source: those that watch it, and those that know
//! of no other daemon. So each region has some that can be found, and the calls do not grow with the
//! fleet. A daemon that knows of no other, or has not joined for long, asks for the addresses.

use super::view::ClusterView;
use crate::source::Source;
use crate::state::Gateway;
use std::rc::Rc;
use std::time::Duration;

/// Time in which a daemon hears of others through its seeds, if they run: membership asks them twice
/// by then.
const SEED_TIME: Duration = Duration::from_secs(2);
/// First looks of daemons that start together are spread over this time.
const SPREAD: Duration = Duration::from_millis(1_500);
/// Period at which it is looked whether the daemon has joined.
const PERIOD: Duration = Duration::from_secs(2);
/// Who has not joined after this time needs help, even if it has heard of some daemons.
const JOIN_LIMIT: Duration = Duration::from_secs(8);
/// Further time to join for each daemon heard of: the table of a large fleet takes long to hand over, and who has
/// heard of many is not lost among few. Calls to the source would grow with the fleet.
const JOIN_TIME_PER_MEMBER: Duration = Duration::from_millis(20);

/// What a daemon does about finding and being found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RegistrationNeed {
    /// It must be registered.
    pub is_to_be_found: bool,
    /// It must look for registered daemons.
    pub is_lost: bool,
}

impl RegistrationNeed {
    /// The need of a daemon with this view that started `uptime` ago.
    pub fn new(view: &ClusterView, uptime: Duration) -> Self {
        let members = u32::try_from(view.member_nodes().len()).unwrap_or(u32::MAX);
        let limit = JOIN_LIMIT + JOIN_TIME_PER_MEMBER.saturating_mul(members);
        let is_lost = !view.is_joined() && (view.is_alone() || uptime > limit);
        Self {
            is_to_be_found: is_lost || view.is_watcher(),
            is_lost,
        }
    }
}

/// Registers this daemon where it should be found, and looks for others, until the task is ended.
pub async fn find_daemons<S: Source>(gateway: Rc<Gateway>, view: Rc<ClusterView>, source: Rc<S>) {
    let mut registered = None;
    tokio::time::sleep(SEED_TIME + SPREAD.mul_f64(rand::random())).await;
    loop {
        let need = RegistrationNeed::new(&view, gateway.uptime());
        // A source that came back from an older copy may have lost the registration.
        let era = gateway.source_era().unwrap_or_default();
        let is_registered = registered.is_some_and(|registered| registered >= era);
        if need.is_to_be_found && !is_registered && register(&gateway, source.as_ref()).await {
            registered = Some(era);
        }
        if need.is_lost {
            look_for_daemons(&view, source.as_ref()).await;
        }
        tokio::time::sleep(PERIOD.mul_f64(rand::random_range(0.5..1.5))).await;
    }
}

/// Registers this daemon; returns whether the source has taken it.
async fn register<S: Source>(gateway: &Gateway, source: &S) -> bool {
    match source.register(gateway.settings.peer_address).await {
        Ok(()) => true,
        Err(error) => {
            log::info!(error:% = error; "registration failed; it is tried again");
            false
        }
    }
}

async fn look_for_daemons<S: Source>(view: &ClusterView, source: &S) {
    match source.registered().await {
        Ok(addresses) => {
            log::info!(daemons = addresses.len(); "looking for registered daemons");
            view.set_hints(addresses);
        }
        Err(error) => log::info!(error:% = error; "registered daemons could not be read"),
    }
}
