//! The figures of a scale run.

use super::message::Totals;
use serde::Serialize;
use std::time::Duration;

/// Micros in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// Seconds until the first, the median, the 99th of 100 and the last daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Daemons that got there.
    pub reached: usize,
    /// Daemons that should have.
    pub expected: usize,
    /// First.
    pub first: f64,
    /// Median.
    pub median: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Last.
    pub last: f64,
}

impl Spread {
    /// The spread of moments after a start.
    pub fn of(start_micros: u64, moments: &[u64], expected: usize) -> Self {
        let mut seconds: Vec<f64> = moments
            .iter()
            .map(|moment| moment.saturating_sub(start_micros) as f64 / MICROS_PER_SECOND)
            .collect();
        seconds.sort_by(f64::total_cmp);
        let at = |percent: usize| {
            let position = (seconds.len() * percent).div_ceil(100).saturating_sub(1);
            seconds.get(position).copied().unwrap_or(f64::NAN)
        };
        Self {
            reached: seconds.len(),
            expected,
            first: at(0),
            median: at(50),
            p99: at(99),
            last: at(100),
        }
    }

    /// Whether all got there.
    pub fn is_complete(&self) -> bool {
        self.reached >= self.expected
    }
}

/// What one hollow daemon spends on average in a window of time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct PerDaemon {
    /// Length of the window in seconds.
    pub window_seconds: f64,
    /// Processor time, user and kernel, in per cent of one core.
    pub cpu_percent: f64,
    /// Bytes of UDP payload received per second.
    pub udp_in: f64,
    /// Bytes of UDP payload sent per second.
    pub udp_out: f64,
    /// Bytes of TCP frames received per second.
    pub tcp_in: f64,
    /// Bytes of TCP frames sent per second.
    pub tcp_out: f64,
    /// UDP packets received per second.
    pub packets_in: f64,
    /// UDP packets sent per second.
    pub packets_out: f64,
    /// Store reads per second of all daemons together.
    pub store_reads_all: f64,
    /// Suspicions per second of all daemons together.
    pub suspicions_all: f64,
    /// Share of the machine's processors that was busy, with all that others ran.
    pub machine_busy_percent: f64,
}

impl PerDaemon {
    /// Averages of a window.
    pub fn of(window: Duration, added: Totals, cpu: Duration, daemons: usize) -> Self {
        let seconds = window.as_secs_f64();
        let each = |count: u64| count as f64 / seconds / daemons as f64;
        Self {
            window_seconds: seconds,
            cpu_percent: cpu.as_secs_f64() / seconds / daemons as f64 * 100.0,
            udp_in: each(added.udp_in),
            udp_out: each(added.udp_out),
            tcp_in: each(added.tcp_in),
            tcp_out: each(added.tcp_out),
            packets_in: each(added.packets_in),
            packets_out: each(added.packets_out),
            store_reads_all: added.store_reads as f64 / seconds,
            suspicions_all: added.suspicions as f64 / seconds,
            machine_busy_percent: 0.0,
        }
    }

    /// Bytes in and out, UDP and TCP payload.
    pub fn bytes(&self) -> f64 {
        self.udp_in + self.udp_out + self.tcp_in + self.tcp_out
    }
}

/// What one real daemon process spends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct RealDaemon {
    /// Processor time in per cent of one core, health polls of its leafs included.
    pub cpu_percent: f64,
    /// Resident memory in MB.
    pub resident_megabytes: f64,
    /// Bytes of control received per second, UDP and TCP payload.
    pub control_in: f64,
    /// Bytes of control sent per second, UDP and TCP payload.
    pub control_out: f64,
    /// Services it is root of: it polls the health of 56 leafs for each, once a second.
    pub roots: usize,
    /// Open connections to leafs.
    pub leaf_connections: f64,
}

/// What the store bears.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct StoreFigures {
    /// Reads and watches per second in the steady window.
    pub reads_per_second: f64,
    /// Connections that read within the last ten seconds.
    pub readers: u64,
    /// Connections that ever read, starting together included.
    pub readers_ever: u64,
    /// Reads and watches from the start until all had joined.
    pub reads_while_joining: u64,
}

/// The figures of one size.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct SizeFigures {
    /// Daemons, hollow and real.
    pub daemons: usize,
    /// Hollow daemons.
    pub hollow: usize,
    /// Processes of hollow daemons.
    pub hollow_processes: usize,
    /// Roots of all services and places.
    pub root_slots: usize,
    /// All started at once: until each had joined and held the configuration.
    pub ready: Spread,
    /// All started at once: until each knew every member.
    pub whole: Spread,
    /// Averages from the start until the slowest knew every member.
    pub joining: PerDaemon,
    /// Averages without changes and faults.
    pub steady: PerDaemon,
    /// Averages while the table changes every few seconds.
    pub changing: PerDaemon,
    /// Resident memory per hollow daemon in MB.
    pub resident_megabytes: f64,
    /// Real daemons.
    pub real: Vec<RealDaemon>,
    /// The store.
    pub store: StoreFigures,
    /// Bytes of the table in JSON.
    pub table_json_bytes: usize,
    /// Table changes: from the write to each daemon.
    pub changes: Vec<Spread>,
    /// Killed members: from the kill until each daemon had dropped it.
    pub detections: Vec<Spread>,
}

impl SizeFigures {
    /// The slowest change or detection by one quantile; NaN if there was none.
    pub fn slowest(spreads: &[Spread], quantile: fn(&Spread) -> f64) -> f64 {
        spreads.iter().map(quantile).fold(f64::NAN, f64::max)
    }
}
