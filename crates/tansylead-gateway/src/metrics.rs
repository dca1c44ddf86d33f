//! Counters and latency histograms, and the listener that serves them as text.
//!
//! Label sets are bounded: routes beyond [`MAXIMUM_ROUTES`] share one label.

mod labels;
mod registry;
mod roll_out_orders;
mod server;

use crate::caller::EndCause;
use crate::logging;
use crate::roll_out::RollOutMetrics;
use crate::source::{SourceError, Topic, WriteEnd};
use crate::state::Gateway;
use prometheus::{
    Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Registry,
    TextEncoder,
};
use registry::{counter, counters, gauge, gauges, register, seconds};
use roll_out_orders::RollOutOrderMetrics;
use std::cell::RefCell;
use std::collections::HashSet;
use std::time::Duration;

pub use labels::{BadInput, ForwardedResult, ReportDirection};
pub use server::serve_metrics;

/// Maximum number of routes that have their own label.
const MAXIMUM_ROUTES: usize = 64;
/// Label that all other routes share.
const OTHER_ROUTES: &str = "other";
/// Bounds of the latency histogram, in seconds.
const LATENCY_BOUNDS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 10.0];

/// All metrics of a daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    request_seconds: Histogram,
    attempts: IntCounterVec,
    attempt_ends: IntCounterVec,
    denied: IntCounterVec,
    kept_silent: IntCounter,
    source_restored: IntCounter,
    leafs_restarted: IntCounter,
    pauses: IntCounter,
    forwarded: IntCounterVec,
    source_calls: IntCounterVec,
    leaf_report: IntCounterVec,
    leaf_ends: IntCounterVec,
    bad_input: IntCounterVec,
    configuration_version: IntGauge,
    configuration_age: Gauge,
    leafs_age: Gauge,
    evacuations_age: Gauge,
    evacuated_zones: IntGauge,
    leafs: IntGauge,
    quarantine: IntGaugeVec,
    daemons: IntGauge,
    caller_connections: IntGauge,
    caller_memory: IntGauge,
    connections_ended: IntCounterVec,
    connections_refused: IntCounterVec,
    idle_leaf_connections: IntGauge,
    lines_dropped: IntGauge,
    lines_suppressed: IntGauge,
    /// Metrics of sends to versions under trial.
    pub roll_outs: RollOutMetrics,
    roll_out_orders: RollOutOrderMetrics,
    routes: RefCell<HashSet<String>>,
}

impl Metrics {
    /// Outcome of a request that ended well.
    pub const SERVED: &'static str = "served";

    /// Creates the metrics with all counts at zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        let options = HistogramOpts::new(
            "tansylead_request_seconds",
            "Time from a request's arrival to its answer",
        );
        let request_seconds = Histogram::with_opts(options.buckets(LATENCY_BOUNDS.to_vec()))
            .expect("constant options are valid");
        register(&registry, &request_seconds);
        Self {
            requests: counters(
                &registry,
                "tansylead_requests_total",
                "Requests by route and outcome",
                &["route", "outcome"],
            ),
            request_seconds,
            attempts: counters(
                &registry,
                "tansylead_attempts_total",
                "Attempts at leafs by the reason they were started for",
                &["reason"],
            ),
            attempt_ends: counters(
                &registry,
                "tansylead_attempt_ends_total",
                "Ended attempts by how they ended",
                &["end"],
            ),
            forwarded: counters(
                &registry,
                "tansylead_forwarded_queries_total",
                "Queries over shards handed to a root, or run for another daemon",
                &["result"],
            ),
            kept_silent: counter(
                &registry,
                "tansylead_kept_connections_silent_total",
                "Times that all connections at rest were closed because none answered",
            ),
            source_restored: counter(
                &registry,
                "tansylead_source_restored_total",
                "Times that the source came back from an older copy of itself",
            ),
            leafs_restarted: counter(
                &registry,
                "tansylead_leafs_restarted_total",
                "Leafs that started again under their id",
            ),
            pauses: counter(
                &registry,
                "tansylead_pauses_total",
                "Times that this process did not run for a second or more",
            ),
            denied: counters(
                &registry,
                "tansylead_attempts_denied_total",
                "Further attempts that were not started, by reason",
                &["reason"],
            ),
            leaf_report: counters(
                &registry,
                "tansylead_leaf_reports_total",
                "Reports on leafs to and from other daemons",
                &["direction"],
            ),
            leaf_ends: counters(
                &registry,
                "tansylead_leaf_ends_total",
                "Leafs that ended under requests, by what showed it",
                &["sign"],
            ),
            source_calls: counters(
                &registry,
                "tansylead_source_calls_total",
                "Calls to the store by topic and result",
                &["topic", "result"],
            ),
            bad_input: counters(
                &registry,
                "tansylead_bad_input_total",
                "Input that could not be understood and was passed over, by kind",
                &["kind"],
            ),
            configuration_version: gauge(
                &registry,
                "tansylead_configuration_version",
                "Version of the configuration in force",
            ),
            configuration_age: seconds(
                &registry,
                "tansylead_configuration_age_seconds",
                "Time since the configuration was known to be current; -1 if never",
            ),
            leafs_age: seconds(
                &registry,
                "tansylead_leafs_age_seconds",
                "Time since the leaf directory was known to be current; -1 if never",
            ),
            evacuations_age: seconds(
                &registry,
                "tansylead_evacuations_age_seconds",
                "Time since the zones being emptied were known to be current; -1 if never",
            ),
            evacuated_zones: gauge(
                &registry,
                "tansylead_evacuated_zones",
                "Zones that are being emptied",
            ),
            quarantine: gauges(
                &registry,
                "tansylead_quarantine",
                "Requests under which leafs ended: sent with care (suspect) or refused (quarantined)",
                &["verdict"],
            ),
            leafs: gauge(&registry, "tansylead_leafs", "Leafs in the directory"),
            daemons: gauge(
                &registry,
                "tansylead_daemons",
                "Daemons that share budgets and connections",
            ),
            caller_memory: gauge(
                &registry,
                "tansylead_caller_memory_bytes",
                "Memory held for callers",
            ),
            connections_ended: counters(
                &registry,
                "tansylead_caller_connections_ended_total",
                "Connections of callers that ended before their callers closed them, by cause",
                &["cause"],
            ),
            connections_refused: counters(
                &registry,
                "tansylead_caller_connections_refused_total",
                "Connections of callers that were closed when they were accepted, by cause",
                &["cause"],
            ),
            caller_connections: gauge(
                &registry,
                "tansylead_caller_connections",
                "Open connections of callers",
            ),
            idle_leaf_connections: gauge(
                &registry,
                "tansylead_idle_leaf_connections",
                "Idle connections to leafs",
            ),
            lines_dropped: gauge(
                &registry,
                "tansylead_log_lines_dropped",
                "Log lines dropped because the output did not take them",
            ),
            lines_suppressed: gauge(
                &registry,
                "tansylead_log_lines_suppressed",
                "Log lines not written because there were too many of their kind",
            ),
            roll_outs: RollOutMetrics::new(&registry),
            roll_out_orders: RollOutOrderMetrics::new(&registry),
            routes: RefCell::default(),
            registry,
        }
    }

    /// The registry in which parts of the daemon register their own metrics.
    pub(crate) fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Counts the end of a request.
    pub fn on_request(&self, route: &str, outcome: &str, took: Duration) {
        let route = self.route_label(route);
        self.requests.with_label_values(&[route, outcome]).inc();
        self.request_seconds.observe(took.as_secs_f64());
    }

    /// Counts a query that was forwarded to a root, or came from another daemon.
    pub fn on_forwarded(&self, result: ForwardedResult) {
        self.forwarded.with_label_values(&[result.label()]).inc();
    }

    /// Counts an attempt that was started.
    pub fn on_attempt(&self, reason: &str) {
        self.attempts.with_label_values(&[reason]).inc();
    }

    /// Counts an attempt that ended.
    pub fn on_attempt_end(&self, end: &str) {
        self.attempt_ends.with_label_values(&[end]).inc();
    }

    /// Counts that the source was restored from an older copy.
    pub fn on_source_restored(&self) {
        self.source_restored.inc();
    }

    /// Counts a leaf that was restarted under its id.
    pub fn on_leaf_restarted(&self) {
        self.leafs_restarted.inc();
    }

    /// Counts an event in which all kept connections were closed.
    pub fn on_kept_silent(&self) {
        self.kept_silent.inc();
    }

    /// Counts a period in which this process did not run.
    pub fn on_pause(&self) {
        self.pauses.inc();
    }

    /// Counts a further attempt that was not started.
    pub fn on_denied(&self, reason: &str) {
        self.denied.with_label_values(&[reason]).inc();
    }

    /// Counts reports on leafs.
    pub fn on_leaf_reports(&self, direction: ReportDirection, reports: usize) {
        let counter = self.leaf_report.with_label_values(&[direction.label()]);
        counter.inc_by(reports as u64);
    }

    /// Counts a leaf that ended under requests.
    pub fn on_leaf_ended(&self, sign: &str) {
        self.leaf_ends.with_label_values(&[sign]).inc();
    }

    /// Counts a connection of a caller that ended before the caller closed it.
    pub fn on_connection_ended(&self, cause: EndCause) {
        self.connections_ended
            .with_label_values(&[cause.label()])
            .inc();
    }

    /// Counts a connection of a caller that was closed when it was accepted.
    pub fn on_connection_refused(&self, cause: EndCause) {
        self.connections_refused
            .with_label_values(&[cause.label()])
            .inc();
    }

    /// Counts a call to the source.
    pub fn on_source_call(&self, topic: Topic, result: &str) {
        let labels = [topic.label(), result];
        self.source_calls.with_label_values(&labels).inc();
    }

    /// Counts a call to write the state of a roll-out.
    pub fn on_roll_out_write(&self, result: &Result<WriteEnd, SourceError>) {
        self.roll_out_orders.on_write(result);
    }

    /// Counts input that could not be parsed.
    pub fn on_bad_input(&self, kind: BadInput) {
        self.add_bad_input(kind, 1);
    }

    /// Counts `count` pieces of input that could not be parsed.
    pub fn add_bad_input(&self, kind: BadInput, count: u64) {
        let counter = self.bad_input.with_label_values(&[kind.label()]);
        counter.inc_by(count);
    }

    fn route_label<'a>(&self, route: &'a str) -> &'a str {
        let mut routes = self.routes.borrow_mut();
        if routes.contains(route) {
            return route;
        }
        if routes.len() >= MAXIMUM_ROUTES {
            return OTHER_ROUTES;
        }
        routes.insert(route.to_owned());
        route
    }

    /// All metrics as text.
    fn text(&self, gateway: &Gateway) -> String {
        let age = |topic| gateway.age(topic).map_or(-1.0, |age| age.as_secs_f64());
        self.configuration_version
            .set(gateway.version().unwrap_or(0) as i64);
        self.configuration_age.set(age(Topic::Configuration));
        self.leafs_age.set(age(Topic::Leafs));
        self.evacuations_age.set(age(Topic::Evacuations));
        let evacuated = gateway.evacuated().unwrap_or_default();
        self.evacuated_zones.set(evacuated.zones.len() as i64);
        self.roll_out_orders.update(gateway);
        let held = gateway.quarantine.counts();
        let verdict = |label| self.quarantine.with_label_values(&[label]);
        verdict("suspect").set(held.suspects as i64);
        verdict("quarantined").set(held.quarantined as i64);
        self.leafs.set(gateway.directory().entries().count() as i64);
        self.daemons.set(gateway.daemons() as i64);
        self.caller_connections
            .set(gateway.caller_connections.count() as i64);
        self.caller_memory.set(gateway.memory.used() as i64);
        self.idle_leaf_connections
            .set(gateway.idle_leaf_connections() as i64);
        self.lines_dropped.set(logging::dropped_lines() as i64);
        self.lines_suppressed
            .set(logging::suppressed_lines() as i64);
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
