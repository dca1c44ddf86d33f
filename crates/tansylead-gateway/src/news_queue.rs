//! News of leafs that wait to be told to other daemons. Bounded: what is too much is not told.

use crate::clock::Clock;
use std::cell::{Cell, RefCell};
use tansylead_route::LeafNews;
use tokio::sync::Notify;

/// Words told in a second, at most.
const WORDS_PER_SECOND: u32 = 50;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// The queue.
#[derive(Debug, Default)]
pub(crate) struct NewsQueue {
    words: RefCell<Vec<LeafNews>>,
    second: Cell<u64>,
    told: Cell<u32>,
    added: Notify,
}

impl NewsQueue {
    /// Adds a word. Returns whether it will be told: not if too much was told in this second.
    pub(crate) fn add(&self, word: LeafNews) -> bool {
        let second = Clock.now().0 / MICROS_PER_SECOND;
        if self.second.replace(second) != second {
            self.told.set(0);
        }
        if self.told.get() >= WORDS_PER_SECOND {
            return false;
        }
        self.told.set(self.told.get() + 1);
        self.words.borrow_mut().push(word);
        self.added.notify_one();
        true
    }

    /// Waits until words were added.
    pub(crate) async fn added(&self) {
        self.added.notified().await;
    }

    /// Takes all words out.
    pub(crate) fn take(&self) -> Vec<LeafNews> {
        self.words.take()
    }
}
