//! Stand-ins for the platform, shared by the scripts of this review: the metadata store, addresses, daemon processes and
//! the record file. Only the standard library is used.

// Each case uses some of these.
#![allow(dead_code)]

use std::collections::BTreeMap;
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

/// What the store holds at one moment; a copy of it may be restored.
#[derive(Debug, Default, Clone)]
pub struct StoreCopy {
    revision: u64,
    /// Objects by kind and name.
    objects: BTreeMap<(String, String), Object>,
    /// Objects that were removed: revision, kind and name.
    removed: Vec<(u64, String, String)>,
}

#[derive(Debug, Default)]
struct StoreState {
    now: StoreCopy,
    /// `Store-Era`; none as long as no drill was held.
    era: Option<u64>,
    /// Whether the store is away: it closes connections without an answer.
    is_away: bool,
    /// What a replica still shows to reads with `stale` = 1.
    replica: Option<StoreCopy>,
}

/// The platform's metadata store: lists, watches, objects made by daemons, and drills in which it comes back from a copy.
#[derive(Clone)]
pub struct Store {
    address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

/// An answer of the store: status and body.
type StoreAnswer = (&'static str, String);

impl Store {
    /// Starts the store.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let mut state = StoreState::default();
        state.now.revision = 100;
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

    /// Its revision.
    pub fn revision(&self) -> u64 {
        self.state.0.lock().unwrap().now.revision
    }

    /// Writes an object, as the operator and the leafs do.
    pub fn put(&self, kind: &str, name: &str, spec: impl Into<String>) {
        let mut state = self.state.0.lock().unwrap();
        let now = &mut state.now;
        now.revision += 1;
        let object = Object {
            revision: now.revision,
            spec: spec.into(),
        };
        now.objects
            .insert((kind.to_owned(), name.to_owned()), object);
        self.state.1.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.0.lock().unwrap();
        let now = &mut state.now;
        now.revision += 1;
        now.objects.remove(&(kind.to_owned(), name.to_owned()));
        now.removed
            .push((now.revision, kind.to_owned(), name.to_owned()));
        self.state.1.notify_all();
    }

    /// A copy of what it holds.
    pub fn copy(&self) -> StoreCopy {
        self.state.0.lock().unwrap().now.clone()
    }

    /// Sets `Store-Era`, the header of all answers.
    pub fn set_era(&self, era: u64) {
        self.state.0.lock().unwrap().era = Some(era);
    }

    /// Goes away, until it is restored.
    pub fn go_away(&self) {
        self.state.0.lock().unwrap().is_away = true;
        self.state.1.notify_all();
    }

    /// Comes back from a copy, in the next era. A replica still shows what the store held before.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.state.0.lock().unwrap();
        let before = std::mem::replace(&mut state.now, copy);
        state.replica = Some(before);
        state.era = state.era.map(|era| era + 1);
        state.is_away = false;
        self.state.1.notify_all();
    }

    /// The replica has caught up.
    pub fn catch_up_replica(&self) {
        self.state.0.lock().unwrap().replica = None;
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let Some((status, body)) = self.answer(&request) else {
                return;
            };
            let era = self.state.0.lock().unwrap().era;
            let era = era.map_or(String::new(), |era| format!("Store-Era: {era}\r\n"));
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\n{era}Content-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The answer to a call; none while the store is away.
    fn answer(&self, request: &Message) -> Option<StoreAnswer> {
        let method = request.start.split(' ').next().unwrap_or_default();
        let target = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let kind = parts.next().unwrap_or_default();
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        if self.state.0.lock().unwrap().is_away {
            return None;
        }
        Some(match (method, parameter("watch")) {
            ("GET", None) => ("200 OK", self.list(kind, parameter("stale") == Some(1))),
            ("GET", Some(after)) => {
                let wait = Duration::from_millis(parameter("wait_ms").unwrap_or(0));
                return self.watch(kind, after, wait);
            }
            // Daemons register themselves; nothing reads these objects back here.
            ("POST", _) => ("200 OK", "{}".to_owned()),
            _ => ("404 Not Found", "{}".to_owned()),
        })
    }

    fn list(&self, kind: &str, is_stale: bool) -> String {
        let state = self.state.0.lock().unwrap();
        let replica = state.replica.as_ref().filter(|_| is_stale);
        let shown = replica.unwrap_or(&state.now);
        let of_kind = shown.objects.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<String> = of_kind
            .map(|((_, name), object)| document(name, object))
            .collect();
        format!(
            "{{\"items\":[{}],\"more\":false,\"at\":{}}}",
            items.join(","),
            shown.revision
        )
    }

    /// Waits for changes after a revision; 410 if the store doesn't have that revision.
    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Option<StoreAnswer> {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        let era = state.era;
        loop {
            // A watch that waits is cut when the store goes away.
            if state.is_away || state.era != era {
                return None;
            }
            if after > state.now.revision {
                return Some(("410 Gone", "{}".to_owned()));
            }
            let events = changes(&state.now, kind, after);
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.now.revision);
                return Some(("200 OK", format!("{{\"events\":[{events}],\"at\":{at}}}")));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// The changes of a kind after a revision, in their order.
fn changes(now: &StoreCopy, kind: &str, after: u64) -> Vec<String> {
    let present = now.objects.iter();
    let present = present
        .filter(|((of, _), object)| of == kind && object.revision > after)
        .map(|((_, name), object)| {
            let object_text = document(name, object);
            (
                object.revision,
                format!("{{\"gone\":false,\"object\":{object_text}}}"),
            )
        });
    let removed = now.removed.iter();
    let removed = removed
        .filter(|(revision, of, _)| of == kind && *revision > after)
        .map(|(revision, _, name)| {
            let object = Object {
                revision: *revision,
                spec: "null".to_owned(),
            };
            let object_text = document(name, &object);
            (
                *revision,
                format!("{{\"gone\":true,\"object\":{object_text}}}"),
            )
        });
    let mut events: Vec<(u64, String)> = present.chain(removed).collect();
    events.sort_unstable();
    events.into_iter().map(|(_, event)| event).collect()
}

fn document(name: &str, object: &Object) -> String {
    let Object { revision, spec } = object;
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"made\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

/// The entry that a leaf keeps in the store.
pub fn leaf_entry(service: &str, address: SocketAddr, zone: &str, slots: usize) -> String {
    let entry = LeafEntry {
        service: service.to_owned(),
        address,
        zone: zone.to_owned(),
        slots,
        born: unix_millis(),
    };
    entry.text("ready", 0)
}

/// What a leaf says of itself in each of its entries.
#[derive(Debug, Clone)]
pub struct LeafEntry {
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its slots.
    pub slots: usize,
    /// Unix time of its start, in milliseconds.
    pub born: u128,
}

impl LeafEntry {
    /// The entry with a state and the time for which the leaf stays slow.
    pub fn text(&self, state: &str, warmup_left_ms: u64) -> String {
        let Self {
            service,
            address,
            zone,
            slots,
            born,
        } = self;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"warmup_left_ms\":{warmup_left_ms},\"seq\":1,\"born\":{born}}}"
        )
    }
}

/// The time of day in milliseconds.
pub fn unix_millis() -> u128 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.unwrap().as_millis()
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
    settings: PathBuf,
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
                settings: path,
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

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Starts the process again, with the same settings.
    pub fn start_again(&mut self) -> io::Result<()> {
        self.process = spawn(&self.settings, &self.settings.with_extension("again.log"))?;
        Ok(())
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
    let process = Command::new("target/lean/tansylead-platform")
        .arg("gateway")
        .env_clear()
        .env("TANSYLEAD_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stderr(Stdio::from(log.try_clone()?))
        .stdout(Stdio::from(log))
        .spawn()?;
    // `run.sh` ends these if this program is ended itself.
    let ids = settings.with_file_name("processes");
    let mut ids = File::options().create(true).append(true).open(ids)?;
    writeln!(ids, "{}", process.id())?;
    Ok(process)
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
