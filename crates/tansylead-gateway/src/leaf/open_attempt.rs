//! One attempt in flight at a leaf, counted from its begin to its end.

use super::leaf_state::LeafState;
use std::cell::Cell;
use std::rc::Rc;
use tansylead_types::Moment;

/// One attempt in flight at a leaf; ends when dropped.
#[derive(Debug)]
pub struct OpenAttempt {
    leaf: Rc<LeafState>,
    sent: Cell<Option<Moment>>,
}

impl OpenAttempt {
    /// An attempt that begins now.
    pub(super) fn begin(leaf: Rc<LeafState>) -> Self {
        leaf.on_begin();
        Self {
            leaf,
            sent: Cell::new(None),
        }
    }

    /// Notes that the request is handed to a connection now.
    pub fn set_sent(&self, now: Moment) {
        self.sent.set(Some(now));
        self.leaf.on_sent(now);
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        self.leaf.on_end(self.sent.get());
    }
}
