//! Entries of the directory, for tests.

use std::time::Duration;
use tansylead_route::{LeafEntry, LeafPhase, Revision};
use tansylead_types::{LeafId, ServiceName, ZoneName};

pub fn leaf(number: u8) -> LeafId {
    LeafId::new(format!("leaf-{number}")).expect("valid name")
}

pub fn entry(number: u8, slots: u32) -> LeafEntry {
    LeafEntry {
        leaf: leaf(number),
        started: None,
        service: ServiceName::new("service").expect("valid name"),
        address: ([127, 0, 0, 1], 1_000 + u16::from(number)).into(),
        zone: ZoneName::new("zone").expect("valid name"),
        slots,
        phase: LeafPhase::Ready,
        warmup_left: Duration::ZERO,
        version: None,
        changed_at: Revision::default(),
    }
}
