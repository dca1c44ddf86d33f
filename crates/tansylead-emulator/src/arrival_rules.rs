//! Checks that extra arrivals of requests at leafs stay within the retry budget.

use std::collections::{BTreeSet, HashSet};
use std::time::{Duration, Instant};

/// Bound on arrivals beyond the first of each request.
#[derive(Debug, Clone, Copy)]
pub struct ArrivalBudget {
    /// Extra arrivals per request.
    pub ratio: f64,
    /// Extra arrivals allowed beyond the ratio.
    pub slack: f64,
    /// Window over which both are counted.
    pub window: Duration,
}

#[derive(Debug, Clone)]
struct Arrival {
    at: Instant,
    service: String,
    is_extra: bool,
}

/// All arrivals at leafs.
#[derive(Debug, Default)]
pub(crate) struct ArrivalRules {
    arrivals: Vec<Arrival>,
    /// Request and service of each arrival.
    arrived: HashSet<(String, String)>,
}

impl ArrivalRules {
    /// Records that a request reached a leaf of a service.
    pub(crate) fn record_arrival(&mut self, request: &str, service: &str) {
        let is_first = self
            .arrived
            .insert((request.to_owned(), service.to_owned()));
        self.arrivals.push(Arrival {
            at: Instant::now(),
            service: service.to_owned(),
            is_extra: !is_first,
        });
    }

    /// Violations of services whose extra arrivals exceed the budget.
    pub(crate) fn violations(&self, budget: ArrivalBudget) -> Vec<String> {
        let services: BTreeSet<&str> = self.arrivals.iter().map(|a| a.service.as_str()).collect();
        let over_budget = services.into_iter().filter(|service| {
            let arrivals: Vec<&Arrival> = self
                .arrivals
                .iter()
                .filter(|arrival| arrival.service == *service)
                .collect();
            exceeds(&arrivals, budget)
        });
        over_budget
            .map(|service| format!("BUDGET: extra arrivals at {service}"))
            .collect()
    }
}

fn exceeds(arrivals: &[&Arrival], budget: ArrivalBudget) -> bool {
    let count_first_arrivals = |from: Instant, until: Instant| {
        let inside = arrivals
            .iter()
            .filter(|arrival| !arrival.is_extra && arrival.at >= from && arrival.at < until);
        inside.count()
    };
    arrivals.iter().any(|start| {
        let until = start.at + budget.window;
        let window = arrivals
            .iter()
            .filter(|arrival| arrival.at >= start.at && arrival.at < until);
        let extra = window.filter(|arrival| arrival.is_extra).count();
        if extra as f64 <= budget.slack {
            return false;
        }
        // The users count the requests of this window, of the one before it, or of the one that starts half a window
        // earlier, whichever has most.
        let requests_before = |offset: Duration| match start.at.checked_sub(offset) {
            Some(from) => count_first_arrivals(from, from + budget.window),
            None => 0,
        };
        let requests = count_first_arrivals(start.at, until)
            .max(requests_before(budget.window))
            .max(requests_before(budget.window / 2));
        extra as f64 > budget.ratio * requests as f64 + budget.slack
    })
}
