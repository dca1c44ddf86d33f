//! Processor time and memory of processes, and of the whole machine, as Linux accounts them.

use std::time::Duration;
use tansylead_types::StepError;

/// Clock ticks per second in `/proc`; fixed by the kernel's interface to user space.
const TICKS_PER_SECOND: u64 = 100;

/// Processor time a process has used so far, in user and kernel mode.
pub fn process_cpu(pid: u32) -> Result<Duration, StepError> {
    let path = format!("/proc/{pid}/stat");
    let text = read(&path)?;
    parse_process_cpu(&text).ok_or_else(|| StepError::new("parse processor time", &path, &text))
}

/// Takes user and kernel time out of the text of `/proc/PID/stat`.
pub fn parse_process_cpu(text: &str) -> Option<Duration> {
    // The program's name, in parentheses, may contain spaces; fields are counted after it.
    let (_, after_name) = text.rsplit_once(')')?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let kernel: u64 = fields.get(12)?.parse().ok()?;
    Some(ticks(user + kernel))
}

/// Resident memory of a process in bytes.
pub fn resident_bytes(pid: u32) -> Result<u64, StepError> {
    let path = format!("/proc/{pid}/status");
    let text = read(&path)?;
    parse_resident_bytes(&text).ok_or_else(|| StepError::new("parse memory", &path, "no VmRSS"))
}

/// Takes the resident size out of the text of `/proc/PID/status`.
pub fn parse_resident_bytes(text: &str) -> Option<u64> {
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kibibytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kibibytes * 1_024)
}

/// Processor time of the whole machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineTime {
    /// Time spent working, over all processors.
    pub busy: Duration,
    /// Working and idle time, over all processors.
    pub total: Duration,
}

impl MachineTime {
    /// Share of the machine that was busy since an earlier reading.
    pub fn busy_share_since(self, earlier: MachineTime) -> f64 {
        let total = self.total.saturating_sub(earlier.total).as_secs_f64();
        let busy = self.busy.saturating_sub(earlier.busy).as_secs_f64();
        if total > 0.0 { busy / total } else { 0.0 }
    }
}

/// Reads the processor time of the whole machine.
pub fn machine_time() -> Result<MachineTime, StepError> {
    let path = "/proc/stat";
    let text = read(path)?;
    parse_machine_time(&text).ok_or_else(|| StepError::new("parse machine time", path, "no cpu"))
}

/// Takes busy and total time out of the text of `/proc/stat`.
pub fn parse_machine_time(text: &str) -> Option<MachineTime> {
    let line = text.lines().find(|line| line.starts_with("cpu "))?;
    let fields: Vec<u64> = line
        .split_whitespace()
        .skip(1)
        .take(8)
        .filter_map(|field| field.parse().ok())
        .collect();
    let total: u64 = fields.iter().sum();
    let idle = fields.get(3)? + fields.get(4)?;
    Some(MachineTime {
        busy: ticks(total - idle),
        total: ticks(total),
    })
}

fn read(path: &str) -> Result<String, StepError> {
    std::fs::read_to_string(path).map_err(|error| StepError::new("read", path, error))
}

fn ticks(count: u64) -> Duration {
    Duration::from_millis(count * 1_000 / TICKS_PER_SECOND)
}
