//! A cold leaf gets few requests, from all daemons together.

use crate::configuration::COLD_REQUESTS_PER_SECOND;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Requests in one second by which a cold leaf may get more than it bears: the users' factor and
/// slack.
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
/// The bound holds in each span of this length.
const WINDOW: Duration = Duration::from_secs(1);
/// Time for all daemons to learn that a leaf is cold, with room for a busy machine.
const LEARN_LIMIT: Duration = Duration::from_millis(3_500);

/// Time in which a leaf is cold and all daemons know it.
#[derive(Debug)]
struct ColdSpan {
    leaf: String,
    from: Instant,
    until: Instant,
}

/// Cold leafs and what reached leafs.
#[derive(Debug, Default)]
pub(crate) struct ColdRule {
    spans: Vec<ColdSpan>,
    arrivals: HashMap<String, Vec<Instant>>,
}

impl ColdRule {
    /// Notes that a leaf said now that it is cold for a while.
    pub(crate) fn turn_cold(&mut self, leaf: &str, length: Duration) {
        let now = Instant::now();
        self.spans.push(ColdSpan {
            leaf: leaf.to_owned(),
            from: now + LEARN_LIMIT,
            until: now + length,
        });
    }

    /// Notes that a request reached a leaf.
    pub(crate) fn arrive(&mut self, leaf: &str) {
        let arrivals = self.arrivals.entry(leaf.to_owned()).or_default();
        arrivals.push(Instant::now());
    }

    /// Cold leafs that got more than they bear.
    pub(crate) fn violations(&self) -> Vec<String> {
        let broken = self.spans.iter().filter(|span| self.is_exceeded(span));
        broken
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
