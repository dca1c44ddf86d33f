//! Leafs and orders for tests.

#[allow(dead_code, reason = "not every test file uses it")]
pub mod fleet;
#[allow(dead_code, reason = "not every test file uses it")]
pub mod trial;
#[allow(dead_code, reason = "not every test file uses it")]
pub mod versions;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tansylead_gateway::Clock;
use tansylead_gateway::leaf::LeafState;
use tansylead_gateway::roll_out::SendTerms;
use tansylead_route::{
    ConnectionShare, Distance, LeafEntry, LeafLocation, LeafPhase, OrderId, Revision, RollOut,
    RollOutState, RollOuts,
};
use tansylead_types::{LeafId, ServiceName, SoftwareVersion, ZoneName};

/// The entry of a leaf that accepts requests.
pub fn entry(name: &str, service: &ServiceName, address: SocketAddr) -> LeafEntry {
    LeafEntry {
        leaf: LeafId::new(name).expect("valid name"),
        started: None,
        service: service.clone(),
        address,
        zone: ZoneName::new("bangkok-a").expect("valid name"),
        slots: 5,
        phase: LeafPhase::Ready,
        warmup_left: Duration::ZERO,
        version: None,
        changed_at: Revision::default(),
    }
}

/// A near leaf of which this daemon may use one connection.
#[allow(dead_code, reason = "not every test file uses it")]
pub fn leaf(name: &str, service: &ServiceName, address: SocketAddr) -> Rc<LeafState> {
    let share = ConnectionShare {
        connections: 1,
        is_reserve: false,
    };
    let entry = entry(name, service, address);
    let location = LeafLocation {
        distance: Distance::Zone,
        region: None,
    };
    Rc::new(LeafState::new(entry, location, share, Rc::default()))
}

/// Terms of an attempt that ends after `limit`, when its answer also becomes overdue.
#[allow(dead_code, reason = "not every test file uses it")]
pub fn terms(limit: Duration) -> SendTerms {
    SendTerms {
        route: 0,
        overdue_delay: limit,
        end: Clock.now() + limit,
        is_request_sent: Rc::default(),
    }
}

/// One order in this state, known up to this revision.
#[allow(dead_code, reason = "not every test file uses it")]
pub fn orders(service: &str, target: &str, state: RollOutState, at: Revision) -> RollOuts {
    let service = ServiceName::new(service).expect("valid name");
    let target = SoftwareVersion::new(target).expect("valid name");
    let duration = Duration::from_secs(20);
    let order = RollOut {
        order: OrderId::new(&service, &target, duration, "made"),
        service: service.clone(),
        target,
        duration,
        state,
        changed_at: at,
    };
    RollOuts {
        at,
        orders: BTreeMap::from([(service, order)]),
    }
}
