//! What callers' connections may use, and the record of those that ended early.

use crate::caller::{CallerConnection, EndCause};
use crate::clock::Clock;
use crate::settings::ResourceSettings;
use crate::state::Gateway;
use std::time::Duration;
use tansylead_route::CallerLimits;

/// Limits until a configuration sets them.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    header_bytes: 16 * 1024,
    body_bytes: 256 * 1024,
    header_timeout: Duration::from_secs(30),
    idle_timeout: Duration::from_secs(30),
};

impl Gateway {
    /// Limits on what callers send, and on how long they take.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        let active = self.active();
        active.map_or(DEFAULT_LIMITS, |active| active.configuration.limits.clone())
    }

    /// Memory and descriptors of the machine, as the settings stated them last.
    pub(crate) fn resources(&self) -> ResourceSettings {
        self.resources.borrow().clone()
    }

    /// Applies changed settings of memory and descriptors.
    pub(crate) fn set_resources(&self, resources: &ResourceSettings) {
        if *self.resources.borrow() == *resources {
            return;
        }
        self.resources.replace(resources.clone());
        self.memory.set_limit(resources);
        log::info!(
            memory_bytes = resources.caller_memory_bytes(),
            connections = resources.caller_connections();
            "limits of callers changed"
        );
    }

    /// Counts and logs the end of a connection that its caller did not ask for.
    pub(crate) fn on_connection_ended(&self, connection: &CallerConnection, cause: EndCause) {
        self.metrics.on_connection_ended(cause);
        if cause.is_ordinary() || !self.connection_log_limit.try_take(Clock.now()) {
            return;
        }
        log::warn!(
            cause = cause.label(),
            stage = connection.stage().label(),
            held_bytes = connection.held().get(),
            callers_bytes = self.memory.used(),
            connections = self.caller_connections.count();
            "caller's connection ended"
        );
    }

    /// Counts and logs a connection that was closed as soon as it was accepted.
    pub(crate) fn on_connection_refused(&self, cause: EndCause) {
        self.metrics.on_connection_refused(cause);
        if !self.connection_log_limit.try_take(Clock.now()) {
            return;
        }
        log::warn!(
            cause = cause.label(),
            callers_bytes = self.memory.used(),
            connections = self.caller_connections.count();
            "caller's connection refused"
        );
    }
}
