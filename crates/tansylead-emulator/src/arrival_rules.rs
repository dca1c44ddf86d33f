//! Requests reach leafs more than once only within a budget.

use std::collections::{BTreeSet, HashSet};
use std::time::{Duration, Instant};

/// Bound on arrivals beyond the first of each request.
#[derive(Debug, Clone, Copy)]
pub struct ArrivalBudget {
    /// For each request.
    pub ratio: f64,
    /// Beyond the ratio.
    pub slack: f64,
    /// Window.
    pub window: Duration,
}

#[derive(Debug, Clone)]
struct Arrival {
    at: Instant,
    service: String,
    is_extra: bool,
}

/// What has reached leafs.
#[derive(Debug, Default)]
pub(crate) struct ArrivalRules {
    arrivals: Vec<Arrival>,
    /// Request and service of each arrival.
    arrived: HashSet<(String, String)>,
}

impl ArrivalRules {
    /// Notes that a request reached a leaf of a service.
    pub(crate) fn arrive(&mut self, request: &str, service: &str) {
        let is_first = self
            .arrived
            .insert((request.to_owned(), service.to_owned()));
        self.arrivals.push(Arrival {
            at: Instant::now(),
            service: service.to_owned(),
            is_extra: !is_first,
        });
    }

    /// Services that got more than the budget.
    pub(crate) fn violations(&self, budget: ArrivalBudget) -> Vec<String> {
        let services: BTreeSet<&str> = self.arrivals.iter().map(|a| a.service.as_str()).collect();
        let broken = services.into_iter().filter(|service| {
            let arrivals: Vec<&Arrival> = self
                .arrivals
                .iter()
                .filter(|arrival| arrival.service == *service)
                .collect();
            exceeds(&arrivals, budget)
        });
        broken
            .map(|service| format!("BUDGET: extra arrivals at {service}"))
            .collect()
    }
}

fn exceeds(arrivals: &[&Arrival], budget: ArrivalBudget) -> bool {
    let firsts = |from: Instant, until: Instant| {
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
        // The users count the requests of the window, of the one before it, or of the one half a window before it,
        // whichever has most.
        let window_before = |by: Duration| match start.at.checked_sub(by) {
            Some(from) => firsts(from, from + budget.window),
            None => 0,
        };
        let requests = firsts(start.at, until)
            .max(window_before(budget.window))
            .max(window_before(budget.window / 2));
        extra as f64 > budget.ratio * requests as f64 + budget.slack
    })
}
