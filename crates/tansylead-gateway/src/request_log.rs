//! The log of single requests.
//!
//! Every request records its decisions while it runs (`request_trace`). When it ends badly (refused,
//! failed, late, partial, or abandoned by its caller) they are written, one line each, so that the engineer
//! on call can get from the request's id to its cause. The first requests of a second are written in full;
//! of the next ones only the last line, which counts what their parts waited for; further ones are only
//! counted. Of healthy requests a sample is written, one line each.

use crate::clock::Clock;
use crate::execution::Outcome;
use crate::leaf::LeafState;
use crate::logging::{REQUEST_TARGET, count_suppressed};
use crate::metrics::Metrics;
use crate::per_second::PerSecondLimit;
use crate::request_trace::{Decision, PartWait, RequestTrace, TracedDecision};
use crate::state::Gateway;
use hyper::header::HeaderValue;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tansylead_route::{RequestFingerprint, RequestFingerprints, Route, Stage};
use tansylead_types::Moment;

/// Maximum number of requests written with all of their decisions in a second.
pub const FULL_REQUESTS_PER_SECOND: u32 = 4;
/// Maximum number of requests written in a second, with or without their decisions.
pub const REQUESTS_PER_SECOND: u32 = 20;
/// Maximum number of healthy requests written in a second.
pub const HEALTHY_REQUESTS_PER_SECOND: u32 = 1;

/// Limits on the requests that this daemon writes in a second.
#[derive(Debug)]
pub struct RequestLogLimits {
    full: PerSecondLimit,
    brief: PerSecondLimit,
    healthy: PerSecondLimit,
}

impl Default for RequestLogLimits {
    fn default() -> Self {
        Self {
            full: PerSecondLimit::new(FULL_REQUESTS_PER_SECOND),
            brief: PerSecondLimit::new(REQUESTS_PER_SECOND),
            healthy: PerSecondLimit::new(HEALTHY_REQUESTS_PER_SECOND),
        }
    }
}

/// How much is written of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Detail {
    Full,
    Brief,
    Nothing,
}

impl RequestLogLimits {
    fn admit(&self, now: Moment, is_healthy: bool) -> Detail {
        if is_healthy {
            return match self.healthy.try_take(now) {
                true => Detail::Brief,
                false => Detail::Nothing,
            };
        }
        if !self.brief.try_take(now) {
            count_suppressed(1);
            return Detail::Nothing;
        }
        match self.full.try_take(now) {
            true => Detail::Full,
            false => Detail::Brief,
        }
    }
}

/// The log of one request, written when the request ends or its caller disconnects before.
#[derive(Debug)]
pub struct RequestLog {
    gateway: Rc<Gateway>,
    id: Option<HeaderValue>,
    arrived: Moment,
    /// Decisions made for the request.
    pub trace: Rc<RequestTrace>,
    /// Route, once it is found.
    pub route: Option<Arc<Route>>,
    /// Version of the configuration under which the request is handled.
    pub version: Option<u64>,
    /// Fingerprints that identify repetitions of the request, once it has been read completely.
    pub fingerprints: Option<RequestFingerprints>,
    /// The daemon that forwarded the request; none if it came from a caller.
    asked_by: Option<String>,
    is_finished: bool,
}

impl RequestLog {
    /// The log of a request that has just arrived.
    pub fn new(gateway: Rc<Gateway>, id: Option<HeaderValue>, arrived: Moment) -> Self {
        Self {
            gateway,
            id,
            arrived,
            trace: Rc::default(),
            route: None,
            version: None,
            fingerprints: None,
            asked_by: None,
            is_finished: false,
        }
    }

    /// The log of a query that another daemon forwarded. Metrics count it there, not here.
    pub fn for_peer(
        gateway: Rc<Gateway>,
        id: Option<HeaderValue>,
        arrived: Moment,
        peer: &str,
    ) -> Self {
        let mut log = Self::new(gateway, id, arrived);
        log.asked_by = Some(peer.to_owned());
        log
    }

    /// Counts the end of the request in the metrics, and logs it within the limits of the log.
    pub fn finish(&mut self, outcome: &Outcome) {
        self.is_finished = true;
        let took = Clock.now().since(self.arrived);
        let missing = match outcome {
            Outcome::Merged { missing, .. } => *missing,
            _ => 0,
        };
        self.end(self.label(outcome, took), missing, took);
    }

    fn label(&self, outcome: &Outcome, took: Duration) -> &'static str {
        let route = self.route.as_ref();
        let is_late = route.is_some_and(|route| took > route.policy.objective);
        match outcome {
            Outcome::Refused(refusal) => refusal.reason.label(),
            Outcome::Merged { missing, .. } if *missing > 0 => "partial",
            Outcome::Leaf { status, .. } if status.is_server_error() => "leaf_failure",
            _ if is_late => "late",
            _ => Metrics::SERVED,
        }
    }

    fn end(&self, outcome: &'static str, missing: usize, took: Duration) {
        let route = self.route.as_ref().map(|route| route.name.as_str());
        if self.asked_by.is_none() {
            let metrics = &self.gateway.metrics;
            metrics.on_request(route.unwrap_or(""), outcome, took);
        }
        let is_healthy = outcome == Metrics::SERVED;
        let detail = self
            .gateway
            .request_log_limits
            .admit(Clock.now(), is_healthy);
        if detail == Detail::Nothing {
            return;
        }
        let id = self.id.as_ref().and_then(|id| id.to_str().ok());
        let id = id.unwrap_or("");
        if detail == Detail::Full {
            self.write_decisions(id);
        }
        let age = |topic| {
            let age = self.gateway.age(topic);
            age.map_or(-1, |age| age.as_millis() as i64)
        };
        let text =
            |own: Option<RequestFingerprint>| own.map_or(String::new(), |own| own.to_string());
        let fingerprint = text(self.fingerprints.map(|all| all.exact));
        let content = text(self.fingerprints.map(|all| all.content));
        log::info!(
            target: REQUEST_TARGET,
            request = id,
            route = route.unwrap_or(""),
            fingerprint = fingerprint.as_str(),
            content = content.as_str(),
            version = self.version.unwrap_or(0),
            configuration_age_ms = age(crate::source::Topic::Configuration),
            leafs_age_ms = age(crate::source::Topic::Leafs),
            evacuations_age_ms = age(crate::source::Topic::Evacuations),
            outcome = outcome,
            missing = missing,
            root = self.trace.root().map(|root| root.to_string()).as_deref().unwrap_or(""),
            asked_by = self.asked_by.as_deref().unwrap_or(""),
            took_ms = took.as_millis() as u64,
            unix_seconds = unix_seconds(),
            waits = format_waits(&self.trace.waits()).as_str(),
            decisions = self.trace.count();
            "request"
        );
    }

    fn write_decisions(&self, id: &str) {
        self.trace.for_each(|traced| {
            let after = traced.at.since(self.arrived).as_millis() as u64;
            write_decision(id, after, traced);
        });
    }
}

/// Wall-clock time, to align the logs of several daemons; it is not used for decisions.
fn unix_seconds() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}

/// Formats counted waits: `budget:2 connection:1`.
fn format_waits(waits: &[(PartWait, usize)]) -> String {
    let counts = waits
        .iter()
        .map(|(wait, count)| format!("{}:{count}", wait.label()));
    counts.collect::<Vec<String>>().join(" ")
}

fn write_decision(id: &str, after_ms: u64, traced: &TracedDecision) {
    let service = traced.service.as_str();
    match &traced.decision {
        Decision::Started {
            leaf,
            reason,
            overdue,
            trial,
        } => log::info!(
            target: REQUEST_TARGET,
            request = id, service = service, after_ms = after_ms,
            leaf = leaf.entry().leaf.as_str(),
            version = version(leaf).as_str(),
            reason = reason.label(),
            trial = trial.map_or("", Stage::label),
            distance:? = leaf.distance(),
            overdue_ms = overdue.as_millis() as u64;
            "attempt started"
        ),
        Decision::Ended {
            leaf,
            end,
            cause,
            took,
        } => log::info!(
            target: REQUEST_TARGET,
            request = id, service = service, after_ms = after_ms,
            leaf = leaf.entry().leaf.as_str(),
            version = version(leaf).as_str(),
            end = end.label(),
            cause:% = cause,
            took_ms = took.as_millis() as u64;
            "attempt ended"
        ),
        Decision::Overdue { leaf, is_sent } => log::info!(
            target: REQUEST_TARGET,
            request = id, service = service, after_ms = after_ms,
            leaf = leaf.entry().leaf.as_str(),
            sent = *is_sent;
            "attempt overdue"
        ),
        Decision::Denied { reason } => log::info!(
            target: REQUEST_TARGET,
            request = id, service = service, after_ms = after_ms,
            reason = reason.label();
            "attempt denied"
        ),
    }
}

/// Version of a leaf's software; empty if the source lists none.
fn version(leaf: &LeafState) -> String {
    let entry = leaf.entry();
    let version = entry.version.as_ref();
    version.map_or(String::new(), |version| version.as_str().to_owned())
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if !self.is_finished {
            let took = Clock.now().since(self.arrived);
            self.end("caller_left", 0, took);
        }
    }
}
