//! Ends connections while memory is short.

use crate::caller::EndCause;
use crate::clock::Clock;
use crate::state::Gateway;
use std::rc::Rc;
use std::time::Duration;
use tansylead_route::{MemoryPressure, connections_to_end};

/// Pause between two looks while memory is short: connections that were ended need a moment to go.
const RELIEF_PERIOD: Duration = Duration::from_millis(50);

/// Ends connections whenever memory is short, until the task is ended.
pub(crate) async fn relieve(gateway: Rc<Gateway>) {
    loop {
        gateway.memory.wait_for_shortage().await;
        while gateway.memory.pressure() > MemoryPressure::None {
            end_connections(&gateway);
            tokio::time::sleep(RELIEF_PERIOD).await;
        }
    }
}

fn end_connections(gateway: &Gateway) {
    let now = Clock.now();
    let account = &gateway.memory;
    let (used, pressure) = (account.used(), account.pressure());
    let limits = account.limits();
    let candidates = gateway.caller_connections.relief_candidates();
    // Connections that rest or have stalled end down to the lower threshold, others only down to the higher one.
    for pressure in [MemoryPressure::Short, pressure] {
        let excess = limits.excess(used, pressure);
        for connection in connections_to_end(&candidates, now, pressure, excess) {
            gateway.caller_connections.end(connection, EndCause::Memory);
        }
    }
}
