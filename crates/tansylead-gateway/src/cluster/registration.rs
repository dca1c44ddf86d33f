//! Finding other daemons when the seeds are down or stale.
//!
//! Each daemon registers its peer address with the source once. A daemon that has not joined the
//! others through its seeds asks the source for the addresses registered there.

use super::view::ClusterView;
use crate::source::Source;
use crate::state::Gateway;
use std::rc::Rc;
use std::time::Duration;

/// Registrations of daemons that start together are spread over this time.
const SPREAD: Duration = Duration::from_millis(1_500);
/// Period at which it is looked whether the daemon has joined.
const PERIOD: Duration = Duration::from_secs(2);

/// Registers this daemon and looks for others, until the task is ended.
pub async fn find_daemons<S: Source>(gateway: Rc<Gateway>, view: Rc<ClusterView>, source: Rc<S>) {
    let mut registered = false;
    tokio::time::sleep(SPREAD.mul_f64(rand::random())).await;
    loop {
        if !registered {
            let result = source.register(gateway.settings.peer_address).await;
            registered = result.is_ok();
        }
        if !view.is_joined()
            && let Ok(addresses) = source.registered().await
        {
            log::info!(daemons = addresses.len(); "looking for registered daemons");
            view.set_hints(addresses);
        }
        tokio::time::sleep(PERIOD.mul_f64(rand::random_range(0.5..1.5))).await;
    }
}
