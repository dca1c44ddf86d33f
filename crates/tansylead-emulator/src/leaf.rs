//! A leaf: works on a few requests at a time, registers itself, and misbehaves on request.

use crate::oracle::{Oracle, Run};
use crate::store::StoreServer;
use parking_lot::Mutex;
use rand::RngExt;
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

/// Bytes of a record.
const RECORD_BYTES: usize = 16;
/// Records in an answer.
const RECORDS: usize = 12;
/// Requests that wait for a slot; more are refused.
const QUEUE: usize = 30;
/// Most bytes of a request's head.
const MAXIMUM_HEAD_BYTES: usize = 64 * 1024;
/// Most headers of a request.
const MAXIMUM_HEADERS: usize = 64;

/// How a leaf misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum LeafTrouble {
    /// It does not.
    #[default]
    None,
    /// It stands still for as long as this is set.
    Paused,
    /// It works this many times as long.
    Slow(f64),
    /// It answers 500, with this probability.
    Fails(f64),
    /// It runs the request and closes the connection instead of answering, with this probability.
    LosesAnswers(f64),
    /// It cuts its answer off, with this probability.
    CutsAnswers(f64),
    /// It sends a second answer after a whole one, with this probability.
    ExtraAnswers(f64),
    /// It sends bytes that are no answer, with this probability.
    Garbles(f64),
    /// It answers without a length, ended by the end of the connection, with this probability.
    Unframed(f64),
    /// It refuses everything as full.
    Full,
}

/// What a leaf is.
#[derive(Debug, Clone)]
pub struct LeafPlan {
    /// Identity of this run.
    pub id: String,
    /// Service.
    pub service: String,
    /// Zone.
    pub zone: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where daemons reach it.
    pub advertised: SocketAddr,
    /// Requests at a time.
    pub slots: usize,
    /// Work on one request.
    pub work: Duration,
}

#[derive(Debug)]
struct Shared {
    plan: LeafPlan,
    oracle: Oracle,
    trouble: Mutex<LeafTrouble>,
    slots: Semaphore,
    waiting: AtomicUsize,
    runs: AtomicU64,
}

/// A running leaf. Dropping it ends it without a word, as a crash does.
#[derive(Debug)]
pub struct Leaf {
    shared: Arc<Shared>,
    store: StoreServer,
    accepting: JoinHandle<()>,
    connections: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl Leaf {
    /// Starts a leaf and registers it.
    pub async fn start(plan: LeafPlan, store: StoreServer, oracle: Oracle) -> io::Result<Self> {
        let listener = bind(plan.address).await?;
        let shared = Arc::new(Shared {
            slots: Semaphore::new(plan.slots),
            plan,
            oracle,
            trouble: Mutex::default(),
            waiting: AtomicUsize::new(0),
            runs: AtomicU64::new(0),
        });
        let connections: Arc<Mutex<Vec<JoinHandle<()>>>> = Arc::default();
        let accepted = Arc::clone(&connections);
        let accepting_shared = Arc::clone(&shared);
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serving = tokio::spawn(serve(Arc::clone(&accepting_shared), stream));
                let mut open = accepted.lock();
                open.retain(|connection| !connection.is_finished());
                open.push(serving);
            }
        });
        let leaf = Self {
            shared,
            store,
            accepting,
            connections,
        };
        leaf.register("ready", Duration::ZERO);
        Ok(leaf)
    }

    /// What it is.
    pub fn plan(&self) -> &LeafPlan {
        &self.shared.plan
    }

    /// Requests run so far.
    pub fn runs(&self) -> u64 {
        self.shared.runs.load(Ordering::Relaxed)
    }

    /// Sets how it misbehaves.
    pub fn set_trouble(&self, trouble: LeafTrouble) {
        *self.shared.trouble.lock() = trouble;
    }

    /// Says that it is leaving. It serves on until it is dropped.
    pub fn drain(&self) {
        self.register("draining", Duration::ZERO);
        self.shared.oracle.leave(&self.shared.plan.id);
    }

    /// Removes its entry from the store.
    pub fn unregister(&self) {
        self.store.delete("servers", &self.shared.plan.id);
    }

    /// Says that it is cold for a while.
    pub fn turn_cold(&self, length: Duration) {
        self.register("ready", length);
        self.shared.oracle.turn_cold(&self.shared.plan.id, length);
    }

    /// Says that it is warm.
    pub fn turn_warm(&self) {
        self.register("ready", Duration::ZERO);
    }

    fn register(&self, state: &str, warmup_left: Duration) {
        let plan = &self.shared.plan;
        let entry = json!({
            "service": plan.service,
            "address": plan.advertised.to_string(),
            "zone": plan.zone,
            "version": "v1",
            "slots": plan.slots,
            "state": state,
            "warmup_left_ms": warmup_left.as_millis() as u64,
            "seq": 1,
        });
        self.store.put("servers", &plan.id, entry);
    }
}

impl Drop for Leaf {
    fn drop(&mut self) {
        self.accepting.abort();
        for connection in self.connections.lock().drain(..) {
            connection.abort();
        }
    }
}

/// Binds an address, which the listener of an earlier run may still hold for a moment.
async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    const TRIES: u32 = 50;
    const PAUSE: Duration = Duration::from_millis(20);
    for _ in 1..TRIES {
        if let Ok(listener) = TcpListener::bind(address).await {
            return Ok(listener);
        }
        tokio::time::sleep(PAUSE).await;
    }
    TcpListener::bind(address).await
}

/// The parts of a request that a leaf looks at.
#[derive(Debug, Default)]
struct Request {
    id: Option<String>,
    target: Option<String>,
    deadline: Option<Duration>,
    content_length: usize,
    head_bytes: usize,
}

/// Whether the connection goes on after an answer.
type GoesOn = bool;

async fn serve(shared: Arc<Shared>, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = read_request(&mut stream, &mut buffer).await {
        match answer(&shared, &mut stream, &request).await {
            Ok(true) => {}
            Ok(false) | Err(_) => return,
        }
    }
}

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    loop {
        if let Some(request) = parse(buffer)? {
            let whole = request.head_bytes + request.content_length;
            while buffer.len() < whole {
                if stream.read_buf(buffer).await? == 0 {
                    return Ok(None);
                }
            }
            buffer.drain(..whole);
            return Ok(Some(request));
        }
        if buffer.len() > MAXIMUM_HEAD_BYTES || stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

fn parse(buffer: &[u8]) -> io::Result<Option<Request>> {
    let mut headers = [httparse::EMPTY_HEADER; MAXIMUM_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let parsed = head.parse(buffer).map_err(io::Error::other)?;
    let httparse::Status::Complete(head_bytes) = parsed else {
        return Ok(None);
    };
    let mut request = Request {
        head_bytes,
        ..Request::default()
    };
    for header in head.headers.iter() {
        let value = String::from_utf8_lossy(header.value).into_owned();
        match header.name.to_ascii_lowercase().as_str() {
            "request-id" => request.id = Some(value),
            "target-instance" => request.target = Some(value),
            "deadline-ms" => request.deadline = value.parse().ok().map(Duration::from_millis),
            "content-length" => request.content_length = value.parse().unwrap_or(0),
            _ => {}
        }
    }
    Ok(Some(request))
}

async fn answer(shared: &Shared, stream: &mut TcpStream, request: &Request) -> io::Result<GoesOn> {
    let plan = &shared.plan;
    let Some(id) = &request.id else {
        return refuse(stream, "400 Bad Request", "", "Not-Executed: 1\r\n").await;
    };
    if request
        .target
        .as_ref()
        .is_some_and(|target| *target != plan.id)
    {
        let instance = format!("Instance-Id: {}\r\n", plan.id);
        return refuse(stream, "421 Misdirected Request", id, &instance).await;
    }
    shared.oracle.arrive(id, &plan.service, &plan.id);
    let trouble = *shared.trouble.lock();
    let is_full = shared.waiting.load(Ordering::Relaxed) >= QUEUE;
    if trouble == LeafTrouble::Full || is_full {
        return refuse(stream, "503 Service Unavailable", id, "Not-Executed: 1\r\n").await;
    }
    shared.waiting.fetch_add(1, Ordering::Relaxed);
    let slot = shared.slots.acquire().await;
    shared.waiting.fetch_sub(1, Ordering::Relaxed);
    let Ok(_slot) = slot else {
        return Ok(false);
    };
    let (signature, run) = start_run(shared, id, trouble);
    work(shared, trouble).await;
    send(stream, id, &signature, &run, trouble).await
}

fn start_run(shared: &Shared, id: &str, trouble: LeafTrouble) -> (String, Run) {
    let plan = &shared.plan;
    let number = shared.runs.fetch_add(1, Ordering::Relaxed);
    let fails = matches!(trouble, LeafTrouble::Fails(share) if happens(share));
    let body = if fails {
        b"failed".to_vec()
    } else {
        rand::random::<[[u8; RECORD_BYTES]; RECORDS]>().concat()
    };
    let run = Run {
        request: id.to_owned(),
        service: plan.service.clone(),
        leaf: plan.id.clone(),
        zone: plan.zone.clone(),
        status: if fails { 500 } else { 200 },
        body,
        at: Instant::now(),
    };
    let signature = format!("{}.{number}", plan.id);
    shared.oracle.run(&signature, run.clone());
    (signature, run)
}

async fn work(shared: &Shared, trouble: LeafTrouble) {
    const PAUSE_CHECK: Duration = Duration::from_millis(5);
    let factor = match trouble {
        LeafTrouble::Slow(factor) => factor,
        _ => 1.0,
    };
    tokio::time::sleep(shared.plan.work.mul_f64(factor)).await;
    while *shared.trouble.lock() == LeafTrouble::Paused {
        tokio::time::sleep(PAUSE_CHECK).await;
    }
}

async fn send(
    stream: &mut TcpStream,
    id: &str,
    signature: &str,
    run: &Run,
    trouble: LeafTrouble,
) -> io::Result<GoesOn> {
    let reason = if run.status == 200 {
        "OK"
    } else {
        "Internal Server Error"
    };
    let start = format!(
        "HTTP/1.1 {} {reason}\r\nRequest-Id: {id}\r\nAnswer-Stamp: {signature}\r\n",
        run.status
    );
    let framed = format!("{start}Content-Length: {}\r\n\r\n", run.body.len());
    match trouble {
        LeafTrouble::LosesAnswers(share) if happens(share) => Ok(false),
        LeafTrouble::CutsAnswers(share) if happens(share) => {
            stream.write_all(framed.as_bytes()).await?;
            stream.write_all(&run.body[..run.body.len() / 2]).await?;
            Ok(false)
        }
        LeafTrouble::Garbles(share) if happens(share) => {
            stream.write_all(b"\x00\x01 no answer \r\n\r\n").await?;
            Ok(false)
        }
        LeafTrouble::Unframed(share) if happens(share) => {
            stream.write_all(format!("{start}\r\n").as_bytes()).await?;
            stream.write_all(&run.body).await?;
            Ok(false)
        }
        LeafTrouble::ExtraAnswers(share) if happens(share) => {
            let whole = [framed.as_bytes(), &run.body].concat();
            stream.write_all(&whole).await?;
            let pause = Duration::from_millis(rand::random_range(0..5));
            tokio::time::sleep(pause).await;
            stream.write_all(&whole).await?;
            Ok(true)
        }
        _ => {
            let whole = [framed.as_bytes(), &run.body].concat();
            stream.write_all(&whole).await?;
            Ok(true)
        }
    }
}

async fn refuse(stream: &mut TcpStream, status: &str, id: &str, extra: &str) -> io::Result<GoesOn> {
    let text = format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\n{extra}Content-Length: 0\r\n\r\n");
    stream.write_all(text.as_bytes()).await?;
    Ok(true)
}

fn happens(share: f64) -> bool {
    rand::rng().random_bool(share.clamp(0.0, 1.0))
}
