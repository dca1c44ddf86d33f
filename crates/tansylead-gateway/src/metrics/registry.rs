//! Creates and registers metrics. Their names are constants: a duplicate or malformed one fails the first
//! test that starts a daemon.

use prometheus::{Gauge, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry};

/// Registers a metric.
pub(super) fn register<T: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    metric: &T,
) {
    registry
        .register(Box::new(metric.clone()))
        .expect("names are unique");
}

/// Creates a counter.
pub(super) fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect("constant options are valid");
    register(registry, &counter);
    counter
}

/// Creates counters by labels.
pub(super) fn counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> IntCounterVec {
    let counters =
        IntCounterVec::new(Opts::new(name, help), labels).expect("constant options are valid");
    register(registry, &counters);
    counters
}

/// Creates a gauge of a whole number.
pub(super) fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("constant options are valid");
    register(registry, &gauge);
    gauge
}

/// Creates a gauge of a time in seconds.
pub(super) fn seconds(registry: &Registry, name: &str, help: &str) -> Gauge {
    let gauge = Gauge::new(name, help).expect("constant options are valid");
    register(registry, &gauge);
    gauge
}

/// Creates gauges of whole numbers, by labels.
pub(super) fn gauges(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let gauges =
        IntGaugeVec::new(Opts::new(name, help), labels).expect("constant options are valid");
    register(registry, &gauges);
    gauges
}
