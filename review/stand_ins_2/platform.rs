//! Stand-ins for the platform, shared by the scripts of this review: the metadata store, addresses, daemon processes and
//! the record file. Only the standard library is used.

// Each case uses some of these.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit code when the rule held.
pub const HELD: i32 = 0;
/// Exit code when the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code when the case could not run.
pub const NOT_RUN: i32 = 2;

/// Whether the disruption is to be brought about: `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// An unused port of the loopback address.
pub fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind an unused port");
    listener.local_addr().expect("address of the port")
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    /// Creates the file that the first argument of the program names.
    pub fn create() -> Self {
        let path = std::env::args()
            .nth(1)
            .expect("the path of the record is the first argument");
        let file = File::create(path).expect("create the record");
        Self {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        }
    }

    /// Adds a line with the time since the start.
    pub fn line(&self, text: impl AsRef<str>) {
        let millis = self.began.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{millis:>7} ms  {}", text.as_ref());
    }
}

/// Head and body of an HTTP/1.1 message.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Header names in lower case, with their values.
    pub headers: BTreeMap<String, String>,
    /// The body, as far as it came.
    pub body: Vec<u8>,
    /// Whether the body is as long as its `Content-Length` states.
    pub is_complete: bool,
}

impl Message {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// The status code of an answer, 0 if there is none.
    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a message whose body has a `Content-Length`; none if the connection ended before its head did.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = message
        .header("content-length")
        .and_then(|text| text.parse().ok());
    let mut left: usize = length.unwrap_or(0);
    let mut chunk = [0; 4096];
    while left > 0 {
        let wanted = left.min(chunk.len());
        match reader.read(&mut chunk[..wanted]) {
            Ok(count) if count > 0 => {
                message.body.extend_from_slice(&chunk[..count]);
                left -= count;
            }
            _ => return Some(message),
        }
    }
    message.is_complete = true;
    Some(message)
}

/// One object of the store.
#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    spec: String,
}

#[derive(Debug, Default)]
struct StoreState {
    revision: u64,
    /// Objects by kind and name.
    objects: BTreeMap<(String, String), Object>,
}

/// The platform's metadata store: lists, watches, and objects made by daemons.
#[derive(Clone)]
pub struct Store {
    address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    /// Starts the store.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = StoreState {
            revision: 100,
            ..StoreState::default()
        };
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes an object, as the operator and the leafs do.
    pub fn put(&self, kind: &str, name: &str, spec: impl Into<String>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let object = Object {
            revision: state.revision,
            spec: spec.into(),
        };
        state
            .objects
            .insert((kind.to_owned(), name.to_owned()), object);
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let method = request.start.split(' ').next().unwrap_or_default();
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let kind = parts.next().unwrap_or_default();
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .and_then(|(_, value)| value.parse::<u64>().ok())
        };
        match (method, parameter("watch")) {
            ("GET", None) => ("200 OK", self.list(kind)),
            ("GET", Some(after)) => {
                let wait = Duration::from_millis(parameter("wait_ms").unwrap_or(0));
                ("200 OK", self.watch(kind, after, wait))
            }
            ("POST", _) => {
                // Daemons register themselves; nothing reads these objects back here.
                ("200 OK", "{}".to_owned())
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<String> = of_kind
            .map(|((_, name), object)| document(name, object))
            .collect();
        format!(
            "{{\"items\":[{}],\"more\":false,\"at\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let newer = state
                .objects
                .iter()
                .filter(|((of, _), object)| of == kind && object.revision > after);
            let mut newer: Vec<_> = newer.collect();
            newer.sort_by_key(|(_, object)| object.revision);
            let left = until.saturating_duration_since(Instant::now());
            if !newer.is_empty() || left.is_zero() {
                let mut events = String::new();
                for ((_, name), object) in newer {
                    let comma = if events.is_empty() { "" } else { "," };
                    let _ = write!(
                        events,
                        "{comma}{{\"gone\":false,\"object\":{}}}",
                        document(name, object)
                    );
                }
                return format!("{{\"events\":[{events}],\"at\":{}}}", state.revision);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn document(name: &str, object: &Object) -> String {
    let Object { revision, spec } = object;
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"made\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

/// The entry that a leaf keeps in the store.
pub fn leaf_entry(service: &str, address: SocketAddr, zone: &str, slots: usize) -> String {
    let born = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_millis();
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":1,\"born\":{born}}}"
    )
}

/// The operator's configuration: one route to one service.
pub fn configuration(
    kind: &str,
    service: &str,
    timeout_ms: u64,
    slo_ms: u64,
    max_conns: u32,
) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"desk.example\",\"path_prefix\":\"/desk/\",\"type\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"slo_ms\":{slo_ms},\"priority\":2,\"service\":\"{service}\",\"max_attempts\":2,\"allowed_regions\":[]}}],\"services\":[{{\"name\":\"{service}\",\"health_path\":\"/health\",\"max_conns\":{max_conns},\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// A daemon process; it is killed when dropped.
pub struct Daemon {
    process: Child,
    /// Where clients connect.
    pub front: SocketAddr,
    ready: SocketAddr,
}

impl Daemon {
    /// Starts the daemons of a deployment, one in each zone of `zones`, each zone in a region of its own.
    pub fn start_all(zones: &[&str], store: &Store, grace_seconds: u32) -> io::Result<Vec<Self>> {
        let folder = std::env::var("CASE_FOLDER")
            .map(PathBuf::from)
            .expect("CASE_FOLDER is set");
        let peers: Vec<SocketAddr> = zones.iter().map(|_| unused_address()).collect();
        let seeds: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        let regions: Vec<String> = zones
            .iter()
            .map(|zone| format!("\"{zone}\" = \"{zone}-region\""))
            .collect();
        let mut daemons = Vec::new();
        for (zone, peer) in zones.iter().zip(&peers) {
            let (front, ready) = (unused_address(), unused_address());
            // The settings are those that `deploy/settings.toml` gives for the bounds of the small deployments.
            let settings = format!(
                "cluster = \"tansylead\"\nzone = \"{zone}\"\ncaller_address = \"{front}\"\nready_address = \"{ready}\"\n\
                 peer_address = \"{peer}\"\nstore_address = \"{}\"\nmetrics_address = \"{}\"\nprocessor_cores = 0.25\n\
                 seeds = [ {} ]\n[regions]\n{}\n[bounds]\nstop_limit_seconds = {grace_seconds}\nconfiguration_limit_millis = 3000\n\
                 leaving_limit_millis = 3000\nfollow_evacuations = false\nfollow_roll_outs = false\nretry_ratio = 0.2\n\
                 retry_slack = 58\nretry_window_seconds = 10\n",
                store.address(),
                unused_address(),
                seeds.join(","),
                regions.join("\n"),
            );
            let path = folder.join(format!("{zone}.toml"));
            std::fs::write(&path, settings)?;
            let process = spawn(&path, &folder.join(format!("{zone}.log")))?;
            daemons.push(Self {
                process,
                front,
                ready,
            });
        }
        Ok(daemons)
    }

    /// Waits until the daemon answers 200 to the platform's question, at most for `limit`.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if is_ready(self.ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        const SIGTERM: i32 = 15;
        // SAFETY: the process is a child of this one that was not waited for, so its id is not reused.
        unsafe { kill(self.process.id() as i32, SIGTERM) };
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Starts the role of `deploy/system.toml`. The working folder is the root of the repository.
fn spawn(settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::create(log)?;
    Command::new("target/lean/tansylead-platform")
        .arg("gateway")
        .env_clear()
        .env("TANSYLEAD_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stderr(Stdio::from(log.try_clone()?))
        .stdout(Stdio::from(log))
        .spawn()
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let request = format!("GET /ready HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    read_message(&mut BufReader::new(stream)).is_some_and(|answer| answer.status() == 200)
}
