//! Directory replicas at the same revision agree, whatever the order of deltas.

mod directory_entries;

use directory_entries::{entry, leaf};
use proptest::prelude::*;
use tansylead_route::{
    DirectoryChange, DirectoryDelta, Era, LeafDirectory, LeafEntry, LeafPhase, Revision, RunStart,
};
use tansylead_types::SoftwareVersion;

fn entries(directory: &LeafDirectory) -> Vec<LeafEntry> {
    directory.entries().cloned().collect()
}

fn everything(at: u64, numbers: &[u8]) -> DirectoryDelta {
    DirectoryDelta::Everything {
        at: Revision::first_era(at).into(),
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
                lagging.apply(source.delta_for(None).expect("source holds something"));
            }
            let at = Revision::first_era(2 + index as u64);
            let change = match slots {
                0 => DirectoryChange::Gone(leaf(*number)),
                _ => DirectoryChange::Present(entry(*number, *slots)),
            };
            let after = source.revision().expect("read before");
            source.apply(DirectoryDelta::Changes { after, at, changes: vec![change] });
        }
        if let Some(delta) = source.delta_for(lagging.position()) {
            lagging.apply(delta);
        }
        prop_assert_eq!(entries(&lagging), entries(&source));
        prop_assert_eq!(lagging.revision(), source.revision());
    }
}

#[test]
fn leafs_missing_from_a_full_read_are_gone() {
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
    assert_eq!(directory.revision(), Some(Revision::first_era(9)));
}

#[test]
fn changes_that_start_after_the_held_revision_are_ignored() {
    let mut directory = LeafDirectory::default();
    directory.apply(everything(5, &[1]));
    let gap = DirectoryDelta::Changes {
        after: Revision::first_era(7),
        at: Revision::first_era(8),
        changes: vec![DirectoryChange::Gone(leaf(1))],
    };
    assert!(directory.apply(gap).is_empty());
    assert_eq!(entries(&directory).len(), 1);
}

/// A delta with one entry that the source last changed at this revision.
fn present(after: u64, at: u64, mut entry: LeafEntry) -> DirectoryDelta {
    entry.changed_at = Revision::first_era(at);
    DirectoryDelta::Changes {
        after: Revision::first_era(after),
        at: Revision::first_era(at),
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
    assert_eq!(held_revision(&directory), Revision::first_era(5));
    assert_eq!(directory.revision(), Some(Revision::first_era(8)));
    // Other content of the same run is a change, but the run keeps its earliest revision.
    let changes = directory.apply(present(8, 9, entry(1, 2)));
    let [DirectoryChange::Present(changed)] = changes.as_slice() else {
        panic!("one change: {changes:?}");
    };
    assert_eq!(
        (changed.slots, changed.changed_at),
        (2, Revision::first_era(5))
    );
    let Some(DirectoryDelta::Changes { changes, .. }) =
        directory.delta_for(Some(&Revision::first_era(8).into()))
    else {
        panic!("the log reaches back");
    };
    assert_eq!(changes, vec![DirectoryChange::Present(changed.clone())]);
}

#[test]
fn an_earlier_revision_from_a_peer_is_adopted_without_a_change() {
    let mut directory = LeafDirectory::default();
    directory.apply(everything(1, &[]));
    directory.apply(present(1, 8, entry(1, 1)));
    let mut earlier = entry(1, 1);
    earlier.changed_at = Revision::first_era(5);
    let peer = DirectoryDelta::Everything {
        at: Revision::first_era(9).into(),
        entries: vec![earlier],
    };
    assert!(directory.apply(peer).is_empty());
    assert_eq!(held_revision(&directory), Revision::first_era(5));
}

#[test]
fn another_version_under_the_same_name_is_another_run() {
    let mut directory = LeafDirectory::default();
    directory.apply(everything(1, &[]));
    directory.apply(present(1, 5, entry(1, 1)));
    let mut newer = entry(1, 1);
    newer.version = Some(SoftwareVersion::new("v2").expect("valid name"));
    assert_eq!(directory.apply(present(5, 8, newer)).len(), 1);
    assert_eq!(held_revision(&directory), Revision::first_era(8));
}

fn in_era(era: u64, number: u64) -> Revision {
    Revision::new(Era(era), number)
}

fn all_entries(at: Revision, entries: &[LeafEntry]) -> DirectoryDelta {
    DirectoryDelta::Everything {
        at: at.into(),
        entries: entries.to_vec(),
    }
}

#[test]
fn a_list_of_a_later_era_counts_although_its_number_is_lower() {
    let mut directory = LeafDirectory::default();
    directory.apply(all_entries(in_era(1, 500), &[entry(1, 1), entry(2, 1)]));
    let restored = all_entries(in_era(2, 200), &[entry(1, 1), entry(3, 1)]);
    assert!(directory.is_restored_by(&restored));
    let changes = directory.apply(restored);
    assert_eq!(changes.len(), 2, "{changes:?}");
    assert_eq!(directory.revision(), Some(in_era(2, 200)));
    // A read from before the source was restored arrives late.
    assert!(directory.apply(all_entries(in_era(1, 501), &[])).is_empty());
    assert_eq!(directory.entries().count(), 2);
}

#[test]
fn changes_never_lead_from_one_era_to_another() {
    let mut directory = LeafDirectory::default();
    directory.apply(all_entries(in_era(1, 500), &[entry(1, 1)]));
    let late = DirectoryDelta::Changes {
        after: in_era(1, 500),
        at: in_era(2, 600),
        changes: vec![DirectoryChange::Gone(leaf(1))],
    };
    assert!(directory.apply(late).is_empty());
}

proptest! {
    /// Replicas at the same revision of an era may since have held different changes that the source lost
    /// when it was restored.
    #[test]
    fn replicas_agree_after_the_source_went_back(
        before in proptest::collection::vec((0..6_u8, 0..3_u32), 1..40),
        seen in (0..40_usize, 0..40_usize),
        restored in proptest::collection::btree_set(0..6_u8, 0..6),
        after in proptest::collection::vec((0..6_u8, 0..3_u32), 0..20),
    ) {
        let changes = |changes: &[(u8, u32)], era, first: u64| -> Vec<DirectoryDelta> {
            changes.iter().enumerate().map(|(index, (number, slots))| {
                let change = match slots {
                    0 => DirectoryChange::Gone(leaf(*number)),
                    _ => DirectoryChange::Present(entry(*number, *slots)),
                };
                let after = in_era(era, first + index as u64);
                let at = in_era(era, first + 1 + index as u64);
                DirectoryDelta::Changes { after, at, changes: vec![change] }
            }).collect()
        };
        let mut first = LeafDirectory::default();
        let mut second = LeafDirectory::default();
        for directory in [&mut first, &mut second] {
            directory.apply(all_entries(in_era(1, 100), &[entry(1, 1)]));
        }
        for (directory, seen) in [(&mut first, seen.0), (&mut second, seen.1)] {
            for delta in changes(&before, 1, 100).into_iter().take(seen) {
                directory.apply(delta);
            }
        }
        let entries_restored: Vec<LeafEntry> = restored.iter().map(|n| entry(*n, 1)).collect();
        first.apply(all_entries(in_era(2, 90), &entries_restored));
        for delta in changes(&after, 2, 90) {
            first.apply(delta);
        }
        if let Some(delta) = first.delta_for(second.position()) {
            second.apply(delta);
        }
        prop_assert_eq!(entries(&first), entries(&second));
        prop_assert_eq!(first.revision(), second.revision());
    }
}

fn run(started: u64, slots: u32) -> LeafEntry {
    LeafEntry {
        started: Some(RunStart(started)),
        ..entry(1, slots)
    }
}

#[test]
fn a_late_entry_of_an_earlier_run_changes_nothing() {
    let mut directory = LeafDirectory::default();
    directory.apply(all_entries(in_era(1, 10), &[run(2_000, 4)]));
    let late = DirectoryDelta::Changes {
        after: in_era(1, 10),
        at: in_era(1, 11),
        changes: vec![DirectoryChange::Present(run(1_000, 8))],
    };
    assert!(directory.apply(late).is_empty());
    assert_eq!(entries(&directory), [run(2_000, 4)]);
}

#[test]
fn a_draining_run_stays_draining_in_an_older_copy_but_a_later_run_does_not() {
    let mut directory = LeafDirectory::default();
    let leaving = LeafEntry {
        phase: LeafPhase::Draining,
        ..run(1_000, 4)
    };
    directory.apply(all_entries(in_era(1, 10), std::slice::from_ref(&leaving)));
    assert!(
        directory
            .apply(all_entries(in_era(2, 5), &[run(1_000, 4)]))
            .is_empty()
    );
    assert_eq!(entries(&directory), [leaving]);
    directory.apply(all_entries(in_era(2, 6), &[run(3_000, 4)]));
    assert_eq!(entries(&directory), [run(3_000, 4)]);
}
