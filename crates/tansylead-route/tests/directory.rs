//! The directory replica: whatever the order of deltas, replicas that hold a revision agree.

use proptest::prelude::*;
use std::time::Duration;
use tansylead_route::{
    DirectoryChange, DirectoryDelta, LeafDirectory, LeafEntry, LeafPhase, Revision,
};
use tansylead_types::{LeafId, ServiceName, SoftwareVersion, ZoneName};

fn leaf(number: u8) -> LeafId {
    LeafId::new(format!("leaf-{number}")).expect("valid name")
}

fn entry(number: u8, slots: u32) -> LeafEntry {
    LeafEntry {
        leaf: leaf(number),
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

fn entries(directory: &LeafDirectory) -> Vec<LeafEntry> {
    directory.entries().cloned().collect()
}

fn everything(at: u64, numbers: &[u8]) -> DirectoryDelta {
    DirectoryDelta::Everything {
        at: Revision(at),
        entries: numbers.iter().map(|number| entry(*number, 1)).collect(),
    }
}

proptest! {
    #[test]
    fn a_lagging_replica_catches_up(
        changes in proptest::collection::vec((0..6_u8, 0..4_u32), 1..700),
        lag in 0..700_usize,
    ) {
        let mut source = LeafDirectory::default();
        source.apply(everything(1, &[1, 2]));
        let mut lagging = LeafDirectory::default();
        for (index, (number, slots)) in changes.iter().enumerate() {
            if index == lag.min(changes.len() - 1) {
                lagging.apply(source.delta_after(None).expect("source holds something"));
            }
            let at = Revision(2 + index as u64);
            let change = match slots {
                0 => DirectoryChange::Gone(leaf(*number)),
                _ => DirectoryChange::Present(entry(*number, *slots)),
            };
            let after = source.revision().expect("read before");
            source.apply(DirectoryDelta::Changes { after, at, changes: vec![change] });
        }
        if let Some(delta) = source.delta_after(lagging.revision()) {
            lagging.apply(delta);
        }
        prop_assert_eq!(entries(&lagging), entries(&source));
        prop_assert_eq!(lagging.revision(), source.revision());
    }
}

#[test]
fn what_a_whole_read_lacks_is_gone() {
    let mut directory = LeafDirectory::default();
    directory.apply(everything(5, &[1, 2, 3]));
    let changes = directory.apply(everything(9, &[1, 3]));
    assert_eq!(changes, vec![DirectoryChange::Gone(leaf(2))]);
}

#[test]
fn an_older_read_changes_nothing() {
    let mut directory = LeafDirectory::default();
    directory.apply(everything(9, &[1]));
    assert!(directory.apply(everything(5, &[1, 2])).is_empty());
    assert_eq!(directory.revision(), Some(Revision(9)));
}

#[test]
fn changes_that_start_later_than_what_is_held_are_not_taken() {
    let mut directory = LeafDirectory::default();
    directory.apply(everything(5, &[1]));
    let gap = DirectoryDelta::Changes {
        after: Revision(7),
        at: Revision(8),
        changes: vec![DirectoryChange::Gone(leaf(1))],
    };
    assert!(directory.apply(gap).is_empty());
    assert_eq!(entries(&directory).len(), 1);
}

/// A delta with one entry that the source last changed at this revision.
fn present(after: u64, at: u64, mut entry: LeafEntry) -> DirectoryDelta {
    entry.changed_at = Revision(at);
    DirectoryDelta::Changes {
        after: Revision(after),
        at: Revision(at),
        changes: vec![DirectoryChange::Present(entry)],
    }
}

fn held_revision(directory: &LeafDirectory) -> Revision {
    let entry = directory.entries().next().expect("one entry");
    entry.changed_at
}

#[test]
fn a_later_revision_alone_is_no_change_and_the_earliest_is_kept() {
    let mut directory = LeafDirectory::default();
    directory.apply(everything(1, &[]));
    assert_eq!(directory.apply(present(1, 5, entry(1, 1))).len(), 1);
    assert!(directory.apply(present(5, 8, entry(1, 1))).is_empty());
    assert_eq!(held_revision(&directory), Revision(5));
    assert_eq!(directory.revision(), Some(Revision(8)));
    // A change of the same run is one, but the run is as old as it was.
    let changes = directory.apply(present(8, 9, entry(1, 2)));
    let [DirectoryChange::Present(changed)] = changes.as_slice() else {
        panic!("one change: {changes:?}");
    };
    assert_eq!((changed.slots, changed.changed_at), (2, Revision(5)));
    let Some(DirectoryDelta::Changes { changes, .. }) = directory.delta_after(Some(Revision(8)))
    else {
        panic!("the log reaches back");
    };
    assert_eq!(changes, vec![DirectoryChange::Present(changed.clone())]);
}

#[test]
fn an_earlier_revision_from_a_peer_is_taken_without_a_change() {
    let mut directory = LeafDirectory::default();
    directory.apply(everything(1, &[]));
    directory.apply(present(1, 8, entry(1, 1)));
    let mut earlier = entry(1, 1);
    earlier.changed_at = Revision(5);
    let peer = DirectoryDelta::Everything {
        at: Revision(9),
        entries: vec![earlier],
    };
    assert!(directory.apply(peer).is_empty());
    assert_eq!(held_revision(&directory), Revision(5));
}

#[test]
fn another_version_under_the_same_name_is_another_run() {
    let mut directory = LeafDirectory::default();
    directory.apply(everything(1, &[]));
    directory.apply(present(1, 5, entry(1, 1)));
    let mut newer = entry(1, 1);
    newer.version = Some(SoftwareVersion::new("v2").expect("valid name"));
    assert_eq!(directory.apply(present(5, 8, newer)).len(), 1);
    assert_eq!(held_revision(&directory), Revision(8));
}
