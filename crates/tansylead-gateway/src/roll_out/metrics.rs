//! Metrics of the sends to versions under trial.

use prometheus::{IntCounter, IntCounterVec, IntGaugeVec, Opts, Registry};
use tansylead_route::Stage;

/// Metrics of the sends to versions under trial. Clones share their counters.
#[derive(Debug, Clone)]
pub struct RollOutMetrics {
    sends: IntCounterVec,
    grant_gone: IntCounter,
    sends_left: IntGaugeVec,
}

impl RollOutMetrics {
    /// Counters at zero, registered with `registry`.
    pub fn new(registry: &Registry) -> Self {
        let metrics = Self::default();
        let collectors: [Box<dyn prometheus::core::Collector>; 3] = [
            Box::new(metrics.sends.clone()),
            Box::new(metrics.grant_gone.clone()),
            Box::new(metrics.sends_left.clone()),
        ];
        for collector in collectors {
            registry.register(collector).expect("names are unique");
        }
        metrics
    }

    /// Counts a send to a version under trial.
    pub(super) fn on_send(&self, stage: Stage) {
        self.sends.with_label_values(&[stage.label()]).inc();
    }

    /// Counts an attempt for a version under trial that was not sent, as the grant was used up or had ended.
    pub(super) fn on_grant_gone(&self) {
        self.grant_gone.inc();
    }

    /// Sets how many sends the grant for a service still allows.
    pub(super) fn set_sends_left(&self, service: &str, sends: u64) {
        let gauge = self.sends_left.with_label_values(&[service]);
        gauge.set(i64::try_from(sends).unwrap_or(i64::MAX));
    }

    /// Removes the gauge of a service without a version under trial.
    pub(super) fn remove_service(&self, service: &str) {
        // The gauge is absent if nothing was ever granted.
        let _ = self.sends_left.remove_label_values(&[service]);
    }
}

impl Default for RollOutMetrics {
    /// Counters that are not registered.
    fn default() -> Self {
        const CONSTANT: &str = "constant options are valid";
        let sends = Opts::new(
            "tansylead_roll_out_sends_total",
            "Sends to versions under trial, by stage",
        );
        let grant_gone = Opts::new(
            "tansylead_roll_out_grant_gone_total",
            "Attempts meant for a version under trial that found nothing granted any more",
        );
        let sends_left = Opts::new(
            "tansylead_roll_out_sends_left",
            "Sends to the version under trial that this daemon's grant allowed at its last change, by service",
        );
        Self {
            sends: IntCounterVec::new(sends, &["stage"]).expect(CONSTANT),
            grant_gone: IntCounter::with_opts(grant_gone).expect(CONSTANT),
            sends_left: IntGaugeVec::new(sends_left, &["service"]).expect(CONSTANT),
        }
    }
}
