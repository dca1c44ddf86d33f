//! Metrics of one daemon, in a registry of its own, and their text form.
//!
//! Label values come from closed sets or from the configuration (services), never from callers.

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS_SECONDS: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.04, 0.07, 0.1, 0.14, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0,
    30.0,
];

/// All metrics of one daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Queries answered, by service and outcome.
    pub queries: IntCounterVec,
    /// Time from a query's arrival to its answer, by service.
    pub query_seconds: HistogramVec,
    /// Queries being served.
    pub queries_in_progress: IntGauge,
    /// Queries whose caller went away before the answer.
    pub callers_gone: IntCounter,
    /// Requests refused before they became a query, by error code.
    pub request_errors: IntCounterVec,
    /// Attempts handed to the leaf adapter, by service.
    pub leaf_attempts: IntCounterVec,
    /// Ends of attempts, by service and kind.
    pub leaf_attempt_ends: IntCounterVec,
    /// Attempts cancelled, by service.
    pub leaf_cancels: IntCounterVec,
    /// Events counted by the root engines, by service and event.
    pub engine_events: IntCounterVec,
    /// Open connections to leafs, by service.
    pub leaf_connections: IntGaugeVec,
    /// Duration of an answered attempt.
    pub leaf_attempt_seconds: Histogram,
    /// Reads of the store, by result.
    pub store_reads: IntCounterVec,
    /// Bytes of control traffic between daemons, by kind and direction.
    pub control_bytes: IntCounterVec,
    /// Bytes of forwarded queries and their answers, by direction.
    pub forward_bytes: IntCounterVec,
    /// Gossip packets dropped, by reason.
    pub gossip_packets_dropped: IntCounterVec,
    /// Running members as this daemon sees them.
    pub members: IntGauge,
    /// Suspicions raised by this daemon.
    pub suspicions: IntGauge,
    /// Queries forwarded to a root, by service and result.
    pub forwards: IntCounterVec,
    /// Non-repeatable requests at this root, by result.
    pub claimed_requests: IntCounterVec,
    /// Highest store revision in force here.
    pub configuration_revision: IntGauge,
    /// Configuration objects in force here.
    pub configuration_objects: IntGauge,
    /// Whether the daemon is draining.
    pub draining: IntGauge,
    /// Open connections of callers.
    pub caller_connections: IntGauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let builder = Builder {
            registry: &registry,
        };
        let metrics = Self {
            queries: builder.counters(
                "tansylead_queries_total",
                "Queries answered",
                &["service", "outcome"],
            )?,
            query_seconds: builder.histograms(
                "tansylead_query_seconds",
                "Time from a query's arrival to its answer",
                &["service"],
            )?,
            queries_in_progress: builder
                .gauge("tansylead_queries_in_progress", "Queries being served")?,
            callers_gone: builder.counter(
                "tansylead_callers_gone_total",
                "Queries whose caller went away before the answer",
            )?,
            request_errors: builder.counters(
                "tansylead_request_errors_total",
                "Requests refused before a query was made of them",
                &["code"],
            )?,
            leaf_attempts: builder.counters(
                "tansylead_leaf_attempts_total",
                "Attempts handed to the leaf adapter",
                &["service"],
            )?,
            leaf_attempt_ends: builder.counters(
                "tansylead_leaf_attempt_ends_total",
                "Ends of attempts",
                &["service", "result"],
            )?,
            leaf_cancels: builder.counters(
                "tansylead_leaf_cancels_total",
                "Attempts cancelled",
                &["service"],
            )?,
            engine_events: builder.counters(
                "tansylead_engine_events_total",
                "What root engines counted",
                &["service", "event"],
            )?,
            leaf_connections: builder.gauges(
                "tansylead_leaf_connections",
                "Open connections to leafs",
                &["service"],
            )?,
            leaf_attempt_seconds: builder.histogram(
                "tansylead_leaf_attempt_seconds",
                "Time of one answered attempt",
            )?,
            store_reads: builder.counters(
                "tansylead_store_reads_total",
                "Reads of the store",
                &["result"],
            )?,
            control_bytes: builder.counters(
                "tansylead_control_bytes_total",
                "Bytes between daemons for control",
                &["kind", "direction"],
            )?,
            forward_bytes: builder.counters(
                "tansylead_forward_bytes_total",
                "Bytes of forwarded queries and their answers",
                &["direction"],
            )?,
            gossip_packets_dropped: builder.counters(
                "tansylead_gossip_packets_dropped_total",
                "Gossip packets dropped",
                &["reason"],
            )?,
            members: builder.gauge(
                "tansylead_members",
                "Running members as this daemon sees them",
            )?,
            suspicions: builder.gauge(
                "tansylead_suspicions_raised",
                "Suspicions raised by this daemon since its start",
            )?,
            forwards: builder.counters(
                "tansylead_forwards_total",
                "Queries forwarded to a root",
                &["service", "result"],
            )?,
            claimed_requests: builder.counters(
                "tansylead_claimed_requests_total",
                "Non-repeatable requests at this root",
                &["result"],
            )?,
            configuration_revision: builder.gauge(
                "tansylead_configuration_revision",
                "Highest store revision in force here",
            )?,
            configuration_objects: builder.gauge(
                "tansylead_configuration_objects",
                "Configuration objects in force here",
            )?,
            draining: builder.gauge("tansylead_draining", "1 during a planned stop")?,
            caller_connections: builder.gauge(
                "tansylead_caller_connections",
                "Open connections of callers",
            )?,
            registry: registry.clone(),
        };
        Ok(metrics)
    }

    /// Counts bytes of control traffic.
    pub fn control_bytes(&self, kind: &str, direction: &str, bytes: usize) {
        let counter = self.control_bytes.with_label_values(&[kind, direction]);
        counter.inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
    }

    /// Prometheus text form.
    pub fn text(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}

struct Builder<'a> {
    registry: &'a Registry,
}

impl Builder<'_> {
    fn counter(&self, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
        let metric = IntCounter::new(name, help)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, prometheus::Error> {
        let metric = IntCounterVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
        let metric = IntGauge::new(name, help)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn gauges(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntGaugeVec, prometheus::Error> {
        let metric = IntGaugeVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn histogram(&self, name: &str, help: &str) -> Result<Histogram, prometheus::Error> {
        let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_SECONDS.to_vec());
        let metric = Histogram::with_opts(options)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn histograms(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<HistogramVec, prometheus::Error> {
        let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_SECONDS.to_vec());
        let metric = HistogramVec::new(options, labels)?;
        self.registry.register(Box::new(metric.clone()))?;
        Ok(metric)
    }
}
