//! Median and spread of a figure over rounds.

use serde::Serialize;

/// Median and extremes of one figure over all rounds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Spread {
    /// Median.
    pub median: f64,
    /// Lowest.
    pub lowest: f64,
    /// Highest.
    pub highest: f64,
}

impl Spread {
    /// Summarizes figures; none if there are none.
    pub fn of(figures: impl IntoIterator<Item = f64>) -> Option<Self> {
        let mut sorted: Vec<f64> = figures.into_iter().collect();
        sorted.sort_by(f64::total_cmp);
        let (lowest, highest) = (*sorted.first()?, *sorted.last()?);
        let middle = sorted.len() / 2;
        let median = if sorted.len().is_multiple_of(2) {
            f64::midpoint(sorted[middle - 1], sorted[middle])
        } else {
            sorted[middle]
        };
        Some(Self {
            median,
            lowest,
            highest,
        })
    }
}
