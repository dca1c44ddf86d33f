//! Makes and registers metrics. Their names are constants: one that is taken or malformed is found by the
//! first test that starts a daemon.

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

/// A counter.
pub(super) fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect("constant options are valid");
    register(registry, &counter);
    counter
}

/// Counters by labels.
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

/// A whole number that goes up and down.
pub(super) fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("constant options are valid");
    register(registry, &gauge);
    gauge
}

/// A time in seconds.
pub(super) fn seconds(registry: &Registry, name: &str, help: &str) -> Gauge {
    let gauge = Gauge::new(name, help).expect("constant options are valid");
    register(registry, &gauge);
    gauge
}

/// Whole numbers that go up and down, by labels.
pub(super) fn gauges(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let gauges =
        IntGaugeVec::new(Opts::new(name, help), labels).expect("constant options are valid");
    register(registry, &gauges);
    gauges
}
