//! Least-squares lines through the figures of several sizes, for the extrapolation to a larger one.

use serde::Serialize;

/// What the figure is taken to grow with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Growth {
    /// `a + b * N`
    Linear,
    /// `a + b * log10(N)`
    Logarithmic,
}

impl Growth {
    fn abscissa(self, size: f64) -> f64 {
        match self {
            Growth::Linear => size,
            Growth::Logarithmic => size.log10(),
        }
    }
}

/// A figure at a size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    /// Daemons.
    pub size: f64,
    /// The figure.
    pub value: f64,
}

/// A line through samples.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fit {
    /// What the figure is taken to grow with.
    pub growth: Growth,
    /// `a`
    pub intercept: f64,
    /// `b`
    pub slope: f64,
    /// Root of the mean squared distance of the samples from the line.
    pub residual: f64,
}

impl Fit {
    /// The line's value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * self.growth.abscissa(size)
    }
}

/// The closer of the two lines; none with fewer than three sizes.
pub fn best_fit(samples: &[Sample]) -> Option<Fit> {
    let linear = fit(Growth::Linear, samples)?;
    let logarithmic = fit(Growth::Logarithmic, samples)?;
    Some(if linear.residual < logarithmic.residual {
        linear
    } else {
        logarithmic
    })
}

/// Least samples of a fit.
const MINIMUM_SAMPLES: usize = 3;

/// The least-squares line of one kind of growth.
pub fn fit(growth: Growth, samples: &[Sample]) -> Option<Fit> {
    if samples.len() < MINIMUM_SAMPLES {
        return None;
    }
    let count = samples.len() as f64;
    let x = |sample: &Sample| growth.abscissa(sample.size);
    let mean_x = samples.iter().map(x).sum::<f64>() / count;
    let mean_y = samples.iter().map(|sample| sample.value).sum::<f64>() / count;
    let spread: f64 = samples.iter().map(|s| (x(s) - mean_x).powi(2)).sum();
    if spread <= 0.0 {
        return None;
    }
    let covariance = |sample: &Sample| (x(sample) - mean_x) * (sample.value - mean_y);
    let slope = samples.iter().map(covariance).sum::<f64>() / spread;
    let intercept = mean_y - slope * mean_x;
    let error = |sample: &Sample| (sample.value - intercept - slope * x(sample)).powi(2);
    let residual = (samples.iter().map(error).sum::<f64>() / count).sqrt();
    Some(Fit {
        growth,
        intercept,
        slope,
        residual,
    })
}
