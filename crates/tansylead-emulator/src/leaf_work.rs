//! Request handling of a leaf: reads requests, runs and answers them, and applies its fault.

use crate::crowd::{CROWD_ID_PREFIX, answer_bytes};
use crate::fatal_rule::is_fatal;
use crate::leaf::{LeafFault, LeafPlan};
use crate::leaf_request::{Request, read_request};
use crate::oracle::{Oracle, Run};
use crate::version::VersionEffect;
use parking_lot::Mutex;
use rand::RngExt;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, watch};

/// Bytes of a record.
const RECORD_BYTES: usize = 16;
/// Number of records in an answer.
const RECORDS_PER_ANSWER: usize = 12;
/// Maximum number of requests that wait for a slot; more are refused.
const QUEUE_LIMIT: usize = 30;
/// Window of the request rate that a version's failures may depend on.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// State shared by the connections of a leaf.
#[derive(Debug)]
pub(crate) struct LeafWork {
    pub(crate) plan: LeafPlan,
    pub(crate) oracle: Oracle,
    fault: Mutex<LeafFault>,
    slots: Semaphore,
    waiting: AtomicUsize,
    runs: AtomicU64,
    recent: Mutex<VecDeque<Instant>>,
    /// Requests that are not answered yet, with the number of attempts of each.
    in_progress: Mutex<BTreeMap<String, usize>>,
    /// When a request crashed the leaf.
    crashed_at: watch::Sender<Option<Instant>>,
}

impl LeafWork {
    /// State of a leaf that has no requests yet.
    pub(crate) fn new(plan: LeafPlan, oracle: Oracle) -> Self {
        Self {
            slots: Semaphore::new(plan.slots),
            plan,
            oracle,
            fault: Mutex::default(),
            waiting: AtomicUsize::new(0),
            runs: AtomicU64::new(0),
            recent: Mutex::default(),
            in_progress: Mutex::default(),
            crashed_at: watch::Sender::new(None),
        }
    }

    /// Number of requests run so far.
    pub(crate) fn runs(&self) -> u64 {
        self.runs.load(Ordering::Relaxed)
    }

    /// Sets the leaf's fault.
    pub(crate) fn set_fault(&self, fault: LeafFault) {
        *self.fault.lock() = fault;
    }

    /// Waits until a request has crashed the leaf.
    pub(crate) async fn wait_for_crash(&self) {
        let mut crashed = self.crashed_at.subscribe();
        // Cannot fail: `self` keeps the sender alive.
        let _ = crashed.wait_for(Option::is_some).await.map(drop);
    }

    /// When a request crashed the leaf, if one did.
    pub(crate) fn crashed_at(&self) -> Option<Instant> {
        *self.crashed_at.borrow()
    }

    /// Crashes the leaf with all of its requests, because of one request.
    fn crash(&self, request: &str) {
        if self.crashed_at().is_none() {
            self.crashed_at.send_replace(Some(Instant::now()));
            self.oracle.record_crash(request);
        }
    }

    /// Requests that are not answered yet.
    pub(crate) fn in_progress(&self) -> Vec<String> {
        self.in_progress.lock().keys().cloned().collect()
    }

    /// Counts a request and returns the number of requests within the window, including it.
    fn count_recent(&self) -> usize {
        let now = Instant::now();
        let mut recent = self.recent.lock();
        recent.push_back(now);
        while recent
            .front()
            .is_some_and(|at| now.duration_since(*at) > RATE_WINDOW)
        {
            recent.pop_front();
        }
        recent.len()
    }
}

/// Guard that keeps a request in progress until it is dropped.
struct InProgress<'a> {
    leaf: &'a LeafWork,
    id: &'a str,
}

impl<'a> InProgress<'a> {
    fn new(leaf: &'a LeafWork, id: &'a str) -> Self {
        *leaf.in_progress.lock().entry(id.to_owned()).or_default() += 1;
        Self { leaf, id }
    }
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        let mut in_progress = self.leaf.in_progress.lock();
        if let Some(attempts) = in_progress.get_mut(self.id) {
            *attempts -= 1;
            if *attempts == 0 {
                in_progress.remove(self.id);
            }
        }
    }
}

/// Whether the connection is kept open after an answer.
type KeepsAlive = bool;

/// Serves one connection.
pub(crate) async fn serve(leaf: Arc<LeafWork>, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = read_request(&mut stream, &mut buffer).await {
        match answer(&leaf, &mut stream, &request).await {
            Ok(true) => {}
            Ok(false) | Err(_) => return,
        }
    }
}

async fn answer(
    leaf: &LeafWork,
    stream: &mut TcpStream,
    request: &Request,
) -> io::Result<KeepsAlive> {
    let plan = &leaf.plan;
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
    if id.starts_with(CROWD_ID_PREFIX) {
        return answer_crowd(leaf, stream, id, &request.path).await;
    }
    leaf.oracle.record_arrival(id, plan);
    let _in_progress = InProgress::new(leaf, id);
    let effect = plan.version.effect(&request.path, leaf.count_recent());
    let fault = *leaf.fault.lock();
    let is_full = leaf.waiting.load(Ordering::Relaxed) >= QUEUE_LIMIT;
    if fault == LeafFault::Full || is_full {
        return refuse(stream, "503 Service Unavailable", id, "Not-Executed: 1\r\n").await;
    }
    leaf.waiting.fetch_add(1, Ordering::Relaxed);
    let slot = leaf.slots.acquire().await;
    leaf.waiting.fetch_sub(1, Ordering::Relaxed);
    let Ok(_slot) = slot else {
        return Ok(false);
    };
    let (signature, run) = start_run(leaf, id, fault, effect);
    work(leaf, fault, effect).await;
    if is_fatal(&request.path) {
        leaf.crash(id);
        return Ok(false);
    }
    if effect.is_bad() {
        leaf.oracle.record_bad_answer(plan);
    }
    send(stream, id, &signature, &run, fault).await
}

fn start_run(leaf: &LeafWork, id: &str, fault: LeafFault, effect: VersionEffect) -> (String, Run) {
    let plan = &leaf.plan;
    let number = leaf.runs.fetch_add(1, Ordering::Relaxed);
    let fails = effect.fails || matches!(fault, LeafFault::Fails(share) if draw_bool(share));
    let body = if fails {
        b"failed".to_vec()
    } else {
        rand::random::<[[u8; RECORD_BYTES]; RECORDS_PER_ANSWER]>().concat()
    };
    let run = Run {
        request: id.to_owned(),
        service: plan.service.clone(),
        leaf: plan.id.clone(),
        version: plan.version.name.clone(),
        zone: plan.zone.clone(),
        status: match fault {
            LeafFault::OddStatus(status) => status,
            _ if fails => 500,
            _ => 200,
        },
        body,
        at: Instant::now(),
    };
    let signature = format!("{}.{number}", plan.id);
    leaf.oracle.record_run(&signature, run.clone());
    (signature, run)
}

async fn work(leaf: &LeafWork, fault: LeafFault, effect: VersionEffect) {
    const PAUSE_CHECK: Duration = Duration::from_millis(5);
    let factor = match fault {
        LeafFault::Slow(factor) => factor,
        _ => 1.0,
    };
    let time = leaf.plan.work.mul_f64(factor * effect.latency_factor);
    tokio::time::sleep(time).await;
    while *leaf.fault.lock() == LeafFault::Paused {
        tokio::time::sleep(PAUSE_CHECK).await;
    }
}

async fn send(
    stream: &mut TcpStream,
    id: &str,
    signature: &str,
    run: &Run,
    fault: LeafFault,
) -> io::Result<KeepsAlive> {
    let reason = if run.status == 200 {
        "OK"
    } else {
        "Internal Server Error"
    };
    let start = format!(
        "HTTP/1.1 {:03} {reason}\r\nRequest-Id: {id}\r\nAnswer-Stamp: {signature}\r\n",
        run.status
    );
    let framed = format!("{start}Content-Length: {}\r\n\r\n", run.body.len());
    match fault {
        LeafFault::LosesAnswers(share) if draw_bool(share) => Ok(false),
        LeafFault::CutsAnswers(share) if draw_bool(share) => {
            stream.write_all(framed.as_bytes()).await?;
            stream.write_all(&run.body[..run.body.len() / 2]).await?;
            Ok(false)
        }
        LeafFault::Garbles(share) if draw_bool(share) => {
            stream.write_all(b"\x00\x01 no answer \r\n\r\n").await?;
            Ok(false)
        }
        LeafFault::Unframed(share) if draw_bool(share) => {
            stream.write_all(format!("{start}\r\n").as_bytes()).await?;
            stream.write_all(&run.body).await?;
            Ok(false)
        }
        LeafFault::ExtraAnswers(share) if draw_bool(share) => {
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

/// Answers a request of a crowd with as many bytes as it asks for; the oracle does not see it.
async fn answer_crowd(
    leaf: &LeafWork,
    stream: &mut TcpStream,
    id: &str,
    path: &str,
) -> io::Result<KeepsAlive> {
    tokio::time::sleep(leaf.plan.work).await;
    let bytes = answer_bytes(path).unwrap_or(RECORD_BYTES);
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nAnswer-Stamp: crowd.{}\r\nContent-Length: {bytes}\r\n\r\n",
        leaf.plan.id
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&vec![b'x'; bytes]).await?;
    Ok(true)
}

async fn refuse(
    stream: &mut TcpStream,
    status: &str,
    id: &str,
    extra: &str,
) -> io::Result<KeepsAlive> {
    let text = format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\n{extra}Content-Length: 0\r\n\r\n");
    stream.write_all(text.as_bytes()).await?;
    Ok(true)
}

fn draw_bool(share: f64) -> bool {
    rand::rng().random_bool(share.clamp(0.0, 1.0))
}
