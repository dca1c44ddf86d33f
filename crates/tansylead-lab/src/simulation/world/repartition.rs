//! A new index version with other shards takes the place of the old one, in steps, while queries
//! run.

use super::{Event, World};
use crate::simulation::topology::{FIRST_VERSION, Placement, placements};
use rand::RngExt;
use std::time::Duration;
use tansylead_types::{ConfigObject, SnapshotVersion};

/// Time between the steps.
const STEP_INTERVAL: Duration = Duration::from_millis(2_500);
/// Pause before a step is tried again while the store is down.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Leafs drop the old version within this time.
const LONGEST_DROP_DELAY_MILLIS: u64 = 1_500;

/// One change of version under way.
#[derive(Debug)]
pub(super) struct Repartition {
    placement: Placement,
    old: SnapshotVersion,
    new: SnapshotVersion,
    step: Step,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    /// Leafs have loaded the new version: both are listed.
    ListBoth,
    /// Only the new version is listed.
    ListNew,
}

impl World<'_> {
    pub(super) fn begin_repartition(&mut self, target: usize) {
        let all: Vec<Placement> = placements().collect();
        let placement = all[target % all.len()];
        let begun = self.repartitions.iter();
        let begun = begun.filter(|known| known.placement == placement).count() as u64;
        let old = SnapshotVersion(FIRST_VERSION.0 + begun);
        let new = SnapshotVersion(old.0 + 1);
        for leaf in placement.leafs() {
            self.leafs[leaf].load_version(new);
        }
        self.repartitions.push(Repartition {
            placement,
            old,
            new,
            step: Step::ListBoth,
        });
        let number = self.repartitions.len() - 1;
        self.queue
            .schedule_after(STEP_INTERVAL, Event::RepartitionStep { number });
    }

    pub(super) fn repartition_step(&mut self, number: usize) {
        let Repartition {
            placement,
            old,
            new,
            step,
        } = self.repartitions[number];
        let object: ConfigObject = match step {
            Step::ListBoth => placement.object(&[old, new]),
            Step::ListNew => placement.object(&[new]),
        };
        if !self.write_directly(placement.key(), object) {
            return self
                .queue
                .schedule_after(RETRY_INTERVAL, Event::RepartitionStep { number });
        }
        match step {
            Step::ListBoth => {
                self.repartitions[number].step = Step::ListNew;
                self.queue
                    .schedule_after(STEP_INTERVAL, Event::RepartitionStep { number });
            }
            Step::ListNew => self.drop_old(placement, old),
        }
    }

    fn drop_old(&mut self, placement: Placement, version: SnapshotVersion) {
        for leaf in placement.leafs() {
            let delay = self.random.random_range(0..LONGEST_DROP_DELAY_MILLIS);
            let event = Event::LeafDropsVersion { leaf, version };
            self.queue
                .schedule_after(Duration::from_millis(delay), event);
        }
    }
}
