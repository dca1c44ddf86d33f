//! Finding other daemons when the seeds are down or stale.
//!
//! The daemons that watch the source register their peer addresses with it, and so does one that has
//! not joined the others through its seeds; it then asks the source for the addresses registered
//! there. That is enough for any daemon to find the others, and spares the source a write for each.

use super::view::ClusterView;
use crate::source::Source;
use crate::state::Gateway;
use std::rc::Rc;
use std::time::Duration;

/// Time for a daemon to join through its seeds, before it looks for others at the source; times a
/// random factor of 0.5 to 1.5, so that daemons that start together spread out.
const JOIN_WAIT: Duration = Duration::from_millis(1_500);
/// Period at which it is looked whether the daemon has joined.
const PERIOD: Duration = Duration::from_secs(2);

/// Registers this daemon and looks for others, until the task is ended.
pub async fn find_daemons<S: Source>(gateway: Rc<Gateway>, view: Rc<ClusterView>, source: Rc<S>) {
    let mut registered = false;
    tokio::time::sleep(JOIN_WAIT.mul_f64(rand::random_range(0.5..1.5))).await;
    loop {
        let is_looked_for = view.is_watcher() || !view.is_joined();
        if is_looked_for && !registered {
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
