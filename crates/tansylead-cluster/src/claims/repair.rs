//! Repairs the claim view in the store after the store was restored to an older state: decides when
//! the view in force is written again, unchanged, and with which expected generation.
//!
//! Invariants: a view is written again only while the store's generation is below its epoch, and
//! only after a majority of its members answered and none of them has seen a higher epoch. Members
//! adopt a view only at a generation that is not below its epoch, so none of the earlier writes
//! makes any member grant; the last one, at the epoch itself, restores the view in force.

use super::group::majority;
use super::message::ClaimMemberStatus;
use std::collections::BTreeMap;
use tansylead_types::{ClaimView, InstanceId};

/// What the planner must do before it plans.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimViewRepairStep {
    /// The store is not known to hold an older generation than the view's epoch: plan as usual.
    NotNeeded,
    /// The view must be written again, but a newer one may have been in force: plan nothing, and
    /// check again later.
    Wait,
    /// Write the view again, unchanged.
    Write {
        /// Generation that the store must hold for the write to succeed.
        expected_generation: u64,
    },
}

/// The generation of the claim view in the store, as far as a planner knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClaimViewRepair {
    last_answer: Option<StoreAnswer>,
}

/// Generation named in the store's last answer to a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct StoreAnswer {
    /// Generation in the store.
    generation: u64,
    /// Generation that this daemon held when it wrote; once it holds another, the answer is stale.
    held_generation: u64,
}

impl ClaimViewRepair {
    /// Records the generation in the store's answer to a write, accepted or refused; 0 if the
    /// object does not exist. `held_generation` is the one this daemon held when it wrote.
    pub fn on_store_generation(&mut self, generation: u64, held_generation: u64) {
        self.last_answer = Some(StoreAnswer {
            generation,
            held_generation,
        });
    }

    /// Whether the view in force, held at `held_generation`, must be written again. Only then do
    /// its members need to be asked for the statuses that [`Self::next_step`] takes.
    pub fn is_needed(&self, view: &ClaimView, held_generation: u64) -> bool {
        self.generation_to_replace(view, held_generation).is_some()
    }

    /// The next step. `statuses` are answers of the view's members to this planner, and
    /// `highest_epoch` is the highest epoch in them or seen by this daemon.
    pub fn next_step(
        &self,
        view: &ClaimView,
        held_generation: u64,
        statuses: &BTreeMap<InstanceId, ClaimMemberStatus>,
        highest_epoch: u64,
    ) -> ClaimViewRepairStep {
        let Some(expected_generation) = self.generation_to_replace(view, held_generation) else {
            return ClaimViewRepairStep::NotNeeded;
        };
        let members = view.members.iter();
        let answered = members.filter(|member| statuses.contains_key(&member.instance));
        let has_majority = answered.count() >= majority(view.members.len());
        if has_majority && highest_epoch <= view.epoch {
            ClaimViewRepairStep::Write {
                expected_generation,
            }
        } else {
            ClaimViewRepairStep::Wait
        }
    }

    /// The store's generation, if it is below the view's epoch. A daemon that started after the
    /// restore may hold the view at such a generation itself.
    fn generation_to_replace(&self, view: &ClaimView, held_generation: u64) -> Option<u64> {
        if held_generation > view.epoch {
            return None;
        }
        let answer = self
            .last_answer
            .filter(|answer| answer.held_generation == held_generation);
        let generation = answer.map_or(held_generation, |answer| answer.generation);
        (generation < view.epoch).then_some(generation)
    }
}
