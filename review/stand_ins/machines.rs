//! The machines of a small deployment on loopback: each has an address of its own, as in the settings of the pages, and
//! runs the program of the deploy file with the settings of its template.

use crate::record::Record;
use std::fs::{self, File};
use std::io::{self, BufReader};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub const PROGRAM: &str = "target/lean/tansylead-platform";
pub const ROLE: &str = "gateway";
pub const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

/// Bounds of the deployment, as in `sites/ttcr-tansy.toml`.
pub const CONTACT: Duration = Duration::from_millis(5_000);
pub const DRAIN: Duration = Duration::from_millis(3_000);
pub const GRACE: Duration = Duration::from_secs(6);

/// Settings of a deployment whose bounds name neither `evacuate_ms` nor `rollback_ms`.
pub const NO_ROLL_OUTS: &str = "follow_evacuations = false\nfollow_roll_outs = false";
/// Settings for the bounds of `newcomers/kmcaa-tansy-grown.toml` on evacuations and roll-outs.
pub const ROLL_OUTS: &str = "evacuation_limit_millis = 5000\nexposure_share = 0.1\nexposure_slack = 50\nroll_back_limit_millis = 5000";

const FRONT_PORT: u16 = 8226;
const READY_PORT: u16 = 8227;
const CONTROL_PORT: u16 = 8224;
const STORE_PORT: u16 = 8229;
const LEAF_PORT: u16 = 8080;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Ids of the processes that were started and have not been waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills the processes that are still running, for a run that ends without unwinding.
pub fn kill_all() {
    for process in RUNNING.lock().expect("no holder panics").drain(..) {
        // SAFETY: `kill` only takes numbers; the process was not waited for, so its id is not reused.
        unsafe { kill(process as i32, SIGKILL) };
    }
}

/// Kills a process and waits for its end.
fn end(mut process: Child) {
    let id = process.id();
    RUNNING
        .lock()
        .expect("no holder panics")
        .retain(|known| *known != id);
    let _ = process.kill();
    let _ = process.wait();
}

/// Loopback addresses of one run; they differ between runs that overlap.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    second: u8,
    third: u8,
}

impl Network {
    pub fn of_this_process() -> Self {
        let id = std::process::id();
        Self {
            second: 64 + (id % 128) as u8,
            third: (id / 128 % 250) as u8,
        }
    }

    fn host(self, number: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, number))
    }

    pub fn store(self) -> SocketAddr {
        SocketAddr::new(self.host(250), STORE_PORT)
    }

    pub fn leaf(self, number: usize) -> SocketAddr {
        SocketAddr::new(self.host(100 + number as u8), LEAF_PORT)
    }

    fn machine(self, number: usize) -> IpAddr {
        self.host(1 + number as u8)
    }

    fn control(self, number: usize) -> SocketAddr {
        SocketAddr::new(self.machine(number), CONTROL_PORT)
    }
}

/// A machine of the system, running or not.
#[derive(Debug)]
pub struct Machine {
    pub name: String,
    network: Network,
    number: usize,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Machine {
    /// A machine in a zone; it does not run yet.
    pub fn new(
        network: Network,
        number: usize,
        zones: &[(&str, &str)],
        bounds: &str,
        folder: &Path,
    ) -> io::Result<Self> {
        let (zone, _) = zones[number % zones.len()];
        let name = format!("front-{zone}-{}", 1 + number / zones.len());
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, settings_text(network, number, zones, bounds))?;
        Ok(Self {
            log: folder.join(format!("{name}.log")),
            name,
            network,
            number,
            settings,
            process: None,
        })
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.network.machine(self.number), FRONT_PORT)
    }

    /// Starts the program.
    pub fn start(&mut self, record: &Record) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let process = Command::new(PROGRAM)
            .arg(ROLE)
            .env_clear()
            .env("TANSYLEAD_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        RUNNING.lock().expect("no holder panics").push(process.id());
        record.say(format!("{}: started, process {}", self.name, process.id()));
        self.process = Some(process);
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self, record: &Record) {
        if let Some(process) = self.process.take() {
            end(process);
            record.say(format!("{}: killed", self.name));
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32, record: &Record) {
        if let Some(process) = &self.process {
            // SAFETY: `kill` only takes numbers; the child was not waited for, so its id is not reused.
            unsafe { kill(process.id() as i32, signal) };
            record.say(format!("{}: signal {signal}", self.name));
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let Some(process) = &mut self.process else {
            return true;
        };
        let has_ended = matches!(process.try_wait(), Ok(Some(_)));
        if has_ended {
            let id = process.id();
            RUNNING
                .lock()
                .expect("no holder panics")
                .retain(|known| *known != id);
        }
        has_ended
    }

    /// Waits until the machine says that it is ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.network.machine(self.number), READY_PORT);
        let ask = || -> io::Result<u16> {
            let mut stream = TcpStream::connect(address)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            let headers = [("Host", "ready")];
            crate::http::write_message(&mut stream, "GET /ready HTTP/1.1", &headers, b"")?;
            let answer = crate::http::read_message(&mut BufReader::new(stream))?;
            Ok(answer.map_or(0, |answer| answer.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(process) = self.process.take() {
            end(process);
        }
    }
}

/// `deploy/settings.toml` with its gaps filled in for one machine.
fn settings_text(network: Network, number: usize, zones: &[(&str, &str)], bounds: &str) -> String {
    let ip = network.machine(number);
    let zone = zones[number % zones.len()].0;
    let seeds: Vec<String> = (0..zones.len())
        .map(|seed| format!("\"{}\"", network.control(seed)))
        .collect();
    let regions: Vec<String> = zones
        .iter()
        .map(|(zone, region)| format!("\"{zone}\" = \"{region}\""))
        .collect();
    format!(
        r#"cluster = "tansylead"
zone = "{zone}"
caller_address = "{ip}:{FRONT_PORT}"
ready_address = "{ip}:{READY_PORT}"
peer_address = "{ip}:{CONTROL_PORT}"
store_address = "{store}"
metrics_address = "{ip}:9464"
processor_cores = 0.25
seeds = [ {seeds} ]

[regions]
{regions}

[bounds]
stop_limit_seconds = {grace}
configuration_limit_millis = 3000
leaving_limit_millis = {drain}
{roll_outs}
retry_ratio = 0.2
retry_slack = 58
retry_window_seconds = 10
"#,
        store = network.store(),
        seeds = seeds.join(","),
        regions = regions.join("\n"),
        grace = GRACE.as_secs(),
        drain = DRAIN.as_millis(),
        roll_outs = bounds,
    )
}

/// A folder for settings and logs that is removed at the end.
#[derive(Debug)]
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn create() -> io::Result<Self> {
        let name = format!("tansylead-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
