//! Distributes requests among services in proportion to their weights.
//!
//! Smooth weighted round robin: on each turn every service gains its weight as credit; the one with
//! the most credit is chosen and pays the sum of all weights. Any run of consecutive requests is
//! distributed almost exactly by weight. Each daemon starts at a random turn: in a large fleet each
//! sees few requests, and if all started at the same turn, the first services would get too many.

use crate::configuration::WeightedService;

/// Weighted round robin among the services of one route; credits are in the order of the route.
#[derive(Debug, Clone, Default)]
pub struct WeightedRoundRobin {
    credits: Vec<f64>,
    /// Number of turns to skip before the first one.
    skipped: u32,
}

impl WeightedRoundRobin {
    /// Upper bound on the skipped turns: with usual weights, such as tenths or twentieths, the sequence
    /// repeats after fewer.
    const MAXIMUM_SKIPPED: u32 = 100;

    /// Creates a round robin that starts at a random position of its sequence.
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
        let chosen = positive
            .max_by(|&first, &second| self.credits[first].total_cmp(&self.credits[second]))?;
        self.credits[chosen] -= total;
        Some(chosen)
    }
}
