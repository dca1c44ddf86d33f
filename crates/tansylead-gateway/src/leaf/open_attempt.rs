//! One attempt in flight at a leaf, counted from start to end.

use super::leaf_state::LeafState;
use crate::roll_out::{SendEnd, SendTerms, VersionSend};
use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use tansylead_types::Moment;

/// One attempt in flight at a leaf; ends when dropped.
#[derive(Debug)]
pub struct OpenAttempt {
    leaf: Rc<LeafState>,
    sent: Cell<Option<Moment>>,
    /// Whether it waits to be sent to a version under trial.
    waits_for_trial: Cell<bool>,
    /// Evidence on the leaf's version, once it is sent.
    version_send: OnceCell<VersionSend>,
}

impl OpenAttempt {
    /// An attempt that begins now.
    pub(super) fn begin(leaf: Rc<LeafState>) -> Self {
        leaf.on_begin();
        let waits_for_trial = leaf.trial_stage().is_some();
        if waits_for_trial {
            leaf.versions().on_waiting();
        }
        Self {
            leaf,
            sent: Cell::new(None),
            waits_for_trial: Cell::new(waits_for_trial),
            version_send: OnceCell::new(),
        }
    }

    /// Records that the request is handed to a connection now. This uses up what a grant allows, so there
    /// must be no await between the last check of the leaf and this call.
    pub fn set_sent(&self, now: Moment, terms: &SendTerms) {
        self.sent.set(Some(now));
        self.end_wait();
        if let Some(send) = self.leaf.begin_send(now, terms) {
            let was_unset = self.version_send.set(send).is_ok();
            debug_assert!(was_unset, "an attempt is sent once");
        }
        self.leaf.on_sent(now);
    }

    /// Records how the attempt ended.
    pub fn set_end(&self, end: SendEnd) {
        if let Some(send) = self.version_send.get() {
            send.set_end(end);
        }
    }

    fn end_wait(&self) {
        if self.waits_for_trial.replace(false) {
            self.leaf.versions().on_waited();
        }
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        self.end_wait();
        self.leaf.on_end(self.sent.get());
    }
}
