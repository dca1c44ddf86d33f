//! Shares requests among services in proportion to their weights.
//!
//! Smooth weighted round robin: each service gains its weight each turn, the richest is chosen and
//! pays the sum of all weights. Every stretch of requests is shared almost exactly. Daemons start at
//! turns of their own: each of a large fleet sees few requests, and if all began alike, the first
//! services would get too many.

use crate::configuration::WeightedService;

/// Credits of the services of one route, in the order of the route.
#[derive(Debug, Clone, Default)]
pub struct WeightedTurns {
    credits: Vec<f64>,
    /// Turns to pass over before the first one.
    skipped: u32,
}

impl WeightedTurns {
    /// Most turns that are passed over: the sequence of usual weights, such as tenths or twentieths,
    /// repeats itself after fewer.
    const MAXIMUM_SKIPPED: u32 = 100;

    /// Turns that start at a place in their sequence given by a random number.
    pub fn starting_at(random: u32) -> Self {
        Self {
            credits: Vec::new(),
            skipped: random % Self::MAXIMUM_SKIPPED,
        }
    }

    /// Index of the service that takes the next request; none if no weight is above zero.
    pub fn next(&mut self, services: &[WeightedService]) -> Option<usize> {
        for _ in 0..std::mem::take(&mut self.skipped) {
            self.turn(services);
        }
        self.turn(services)
    }

    fn turn(&mut self, services: &[WeightedService]) -> Option<usize> {
        self.credits.resize(services.len(), 0.0);
        let total: f64 = services.iter().map(|service| service.weight).sum();
        if total <= 0.0 {
            return None;
        }
        for (credit, service) in self.credits.iter_mut().zip(services) {
            *credit += service.weight;
        }
        let positive = (0..services.len()).filter(|&index| services[index].weight > 0.0);
        let richest = positive
            .max_by(|&first, &second| self.credits[first].total_cmp(&self.credits[second]))?;
        self.credits[richest] -= total;
        Some(richest)
    }
}
