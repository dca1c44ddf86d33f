//! Detects that the kept connections to all leafs have gone silent: a network fault can do this to all of them at
//! once, while new connections work.

use super::Gateway;
use tansylead_route::SilenceLimit;
use tansylead_types::Moment;

impl Gateway {
    /// Records an answer of any leaf on a connection that had been kept.
    pub(crate) fn on_kept_answer(&self, now: Moment) {
        let mut silence = self.kept_silence.get();
        silence.on_answer(now);
        self.kept_silence.set(silence);
    }

    /// Records that the answer to a request sent at `sent` is overdue on a connection that had been kept.
    /// Closes all idle connections if they have most likely gone silent.
    pub(crate) fn on_kept_overdue(&self, now: Moment, sent: Moment) {
        let mut silence = self.kept_silence.get();
        let is_lost = silence.on_overdue(now, sent, SilenceLimit::ALL_LEAFS);
        self.kept_silence.set(silence);
        if is_lost {
            self.close_kept_connections();
        }
    }

    fn close_kept_connections(&self) {
        let closed = self.idle_leaf_connections();
        log::info!(connections = closed; "all kept connections silent, closed");
        self.metrics.on_kept_silent();
        for leaf in self.leafs.borrow().values() {
            leaf.close_idle();
        }
        self.roots.close_idle();
    }
}
