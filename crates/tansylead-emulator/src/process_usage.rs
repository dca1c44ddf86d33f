//! What a process uses of its machine: memory, descriptors, and received bytes that it has not read.

use parking_lot::Mutex;
use std::io;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::AbortHandle;

/// Period at which a process is looked at.
const SAMPLE_PERIOD: Duration = Duration::from_millis(50);

/// Use of a process at one time, or the highest so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Highest resident memory up to this time, in bytes; the kernel keeps it.
    pub resident_bytes: u64,
    /// Bytes that the kernel has received for the process and holds.
    pub unread_bytes: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

impl Usage {
    /// Memory that counts towards the limit of a machine. The two need not coincide, so this is an upper bound.
    pub fn memory_bytes(&self) -> u64 {
        self.resident_bytes + self.unread_bytes
    }
}

/// Samples a process until this is dropped.
#[derive(Debug)]
pub struct UsageWatch {
    peak: Arc<Mutex<Usage>>,
    sampling: AbortHandle,
}

impl UsageWatch {
    /// Watches a process whose sockets are bound to `ip`.
    pub fn start(process: u32, ip: IpAddr) -> Self {
        let peak: Arc<Mutex<Usage>> = Arc::default();
        let sampled = Arc::clone(&peak);
        let sampling = tokio::spawn(async move {
            loop {
                // Fails once the process has ended; its last peak stays.
                if let Ok(now) = sample(process, ip) {
                    let mut peak = sampled.lock();
                    peak.resident_bytes = peak.resident_bytes.max(now.resident_bytes);
                    peak.unread_bytes = peak.unread_bytes.max(now.unread_bytes);
                    peak.descriptors = peak.descriptors.max(now.descriptors);
                }
                tokio::time::sleep(SAMPLE_PERIOD).await;
            }
        });
        Self {
            peak,
            sampling: sampling.abort_handle(),
        }
    }

    /// The highest use so far.
    pub fn peak(&self) -> Usage {
        *self.peak.lock()
    }
}

impl Drop for UsageWatch {
    fn drop(&mut self) {
        self.sampling.abort();
    }
}

fn sample(process: u32, ip: IpAddr) -> io::Result<Usage> {
    Ok(Usage {
        resident_bytes: peak_resident_bytes(process)?,
        unread_bytes: unread_bytes(ip)?,
        descriptors: std::fs::read_dir(format!("/proc/{process}/fd"))?.count() as u64,
    })
}

/// Highest resident memory of a process so far, in bytes.
pub fn peak_resident_bytes(process: u32) -> io::Result<u64> {
    const KIBIBYTE: u64 = 1024;
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    let missing = || io::Error::other("the process has no memory any more");
    Ok(kibibytes.ok_or_else(missing)? * KIBIBYTE)
}

/// Receive queues of all connections whose local end is at `ip`.
fn unread_bytes(ip: IpAddr) -> io::Result<u64> {
    let table = std::fs::read_to_string("/proc/net/tcp")?;
    let connections = table.lines().skip(1).filter_map(connection_queue);
    let own = connections.filter(|(local, _)| *local == ip);
    Ok(own.map(|(_, unread)| unread).sum())
}

/// Local address and receive queue of a line of the kernel's table; none for a listener, whose queue holds connections.
fn connection_queue(line: &str) -> Option<(IpAddr, u64)> {
    const LISTENING: &str = "0A";
    let mut fields = line.split_whitespace().skip(1);
    let (local, _) = fields.next()?.split_once(':')?;
    let state = fields.nth(1)?;
    if state == LISTENING {
        return None;
    }
    let (_, unread) = fields.next()?.split_once(':')?;
    // The kernel writes the address as a number in the byte order of the machine.
    let address = u32::from_str_radix(local, 16).ok()?.to_ne_bytes();
    let unread = u64::from_str_radix(unread, 16).ok()?;
    Some((IpAddr::V4(Ipv4Addr::from(address)), unread))
}
