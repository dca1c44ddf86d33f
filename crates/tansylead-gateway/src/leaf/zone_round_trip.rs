//! Round trip to the leafs of one zone.

use std::cell::Cell;
use std::time::Duration;

/// Shortest time in which a connection to any leaf of one zone was established.
///
/// A single leaf's own connections are too few to measure it: a leaf without any would have to be given an assumed
/// value, and one whose only connection was delayed would keep a long one. Either makes it look farther away than
/// others of its zone, and a leaf that is not chosen for that is not measured again.
#[derive(Debug, Default)]
pub struct ZoneRoundTrip {
    shortest: Cell<Option<Duration>>,
}

impl ZoneRoundTrip {
    /// Records the time in which a connection was established.
    pub(super) fn on_connected(&self, took: Duration) {
        let shortest = self.shortest.get();
        let shortest = shortest.map_or(took, |shortest| shortest.min(took));
        self.shortest.set(Some(shortest));
    }

    /// The shortest time; none before the first connection.
    pub(super) fn shortest(&self) -> Option<Duration> {
        self.shortest.get()
    }
}
