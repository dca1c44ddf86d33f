//! Checks that all daemons together send a cold leaf no more requests than it can take.

use crate::configuration::COLD_REQUESTS_PER_SECOND;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Factor on the rate of a cold leaf up to which daemons may send to it; given by the users.
const OVERSHOOT: f64 = 1.5;
/// Requests in one second that are allowed beyond [`OVERSHOOT`]; given by the users.
const SLACK: f64 = 5.0;
/// The bound holds in each span of this length.
const WINDOW: Duration = Duration::from_secs(1);
/// Time for all daemons to learn that a leaf is cold, with slack for a busy machine.
const PROPAGATION_LIMIT: Duration = Duration::from_millis(3_500);

/// Period in which a leaf is cold and all daemons know it.
#[derive(Debug)]
struct ColdSpan {
    leaf: String,
    from: Instant,
    until: Instant,
}

/// Cold periods and arrivals by leaf.
#[derive(Debug, Default)]
pub(crate) struct ColdRule {
    spans: Vec<ColdSpan>,
    arrivals: HashMap<String, Vec<Instant>>,
}

impl ColdRule {
    /// Records that a leaf has just announced that it is cold for some time.
    pub(crate) fn record_cold(&mut self, leaf: &str, duration: Duration) {
        let now = Instant::now();
        self.spans.push(ColdSpan {
            leaf: leaf.to_owned(),
            from: now + PROPAGATION_LIMIT,
            until: now + duration,
        });
    }

    /// Records that a request reached a leaf.
    pub(crate) fn record_arrival(&mut self, leaf: &str) {
        let arrivals = self.arrivals.entry(leaf.to_owned()).or_default();
        arrivals.push(Instant::now());
    }

    /// Violations of cold leafs that got more than their rate.
    pub(crate) fn violations(&self) -> Vec<String> {
        let exceeded = self.spans.iter().filter(|span| self.is_exceeded(span));
        exceeded
            .map(|span| format!("FAILBACK: {} got too much while cold", span.leaf))
            .collect()
    }

    fn is_exceeded(&self, span: &ColdSpan) -> bool {
        let bound = COLD_REQUESTS_PER_SECOND * OVERSHOOT + SLACK;
        let arrivals = self.arrivals.get(&span.leaf).into_iter().flatten();
        let inside: Vec<&Instant> = arrivals
            .filter(|at| **at >= span.from && **at < span.until)
            .collect();
        inside.iter().any(|start| {
            let window = inside
                .iter()
                .filter(|at| **at >= *start && ***at < **start + WINDOW);
            window.count() as f64 > bound
        })
    }
}
