//! What a leaf does with its requests: reads them, works, answers, and misbehaves as it was told.

use crate::fatal_rule::is_fatal;
use crate::leaf::{LeafPlan, LeafTrouble};
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
/// Records in an answer.
const RECORDS: usize = 12;
/// Requests that wait for a slot; more are refused.
const QUEUE: usize = 30;
/// Requests within this time make the rate that a version may be sensitive to.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// What the connections of a leaf share.
#[derive(Debug)]
pub(crate) struct LeafWork {
    pub(crate) plan: LeafPlan,
    pub(crate) oracle: Oracle,
    trouble: Mutex<LeafTrouble>,
    slots: Semaphore,
    waiting: AtomicUsize,
    runs: AtomicU64,
    recent: Mutex<VecDeque<Instant>>,
    /// Requests that were read and not answered yet, with the attempts of each.
    in_progress: Mutex<BTreeMap<String, usize>>,
    /// When a request ended the leaf.
    crashed_at: watch::Sender<Option<Instant>>,
}

impl LeafWork {
    /// A leaf without work.
    pub(crate) fn new(plan: LeafPlan, oracle: Oracle) -> Self {
        Self {
            slots: Semaphore::new(plan.slots),
            plan,
            oracle,
            trouble: Mutex::default(),
            waiting: AtomicUsize::new(0),
            runs: AtomicU64::new(0),
            recent: Mutex::default(),
            in_progress: Mutex::default(),
            crashed_at: watch::Sender::new(None),
        }
    }

    /// Requests run so far.
    pub(crate) fn runs(&self) -> u64 {
        self.runs.load(Ordering::Relaxed)
    }

    /// Sets how the leaf misbehaves.
    pub(crate) fn set_trouble(&self, trouble: LeafTrouble) {
        *self.trouble.lock() = trouble;
    }

    /// Waits until a request has ended the leaf.
    pub(crate) async fn crashed(&self) {
        let mut crashed = self.crashed_at.subscribe();
        // The sender lives as long as this does.
        let _ = crashed.wait_for(Option::is_some).await.map(drop);
    }

    /// When a request ended the leaf, if one did.
    pub(crate) fn crashed_at(&self) -> Option<Instant> {
        *self.crashed_at.borrow()
    }

    /// Ends the leaf with whatever runs on it, because of a request.
    fn crash(&self, request: &str) {
        if self.crashed_at().is_none() {
            self.crashed_at.send_replace(Some(Instant::now()));
            self.oracle.end_leaf(request);
        }
    }

    /// Requests that were read and not answered yet.
    pub(crate) fn in_progress(&self) -> Vec<String> {
        self.in_progress.lock().keys().cloned().collect()
    }

    /// Counts one more request, and gives how many came within the window, with this one.
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

/// A request that is in progress until this is dropped.
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

/// Whether the connection goes on after an answer.
type GoesOn = bool;

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

async fn answer(leaf: &LeafWork, stream: &mut TcpStream, request: &Request) -> io::Result<GoesOn> {
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
    leaf.oracle.arrive(id, plan);
    let _in_progress = InProgress::new(leaf, id);
    let effect = plan.version.effect(&request.path, leaf.count_recent());
    let trouble = *leaf.trouble.lock();
    let is_full = leaf.waiting.load(Ordering::Relaxed) >= QUEUE;
    if trouble == LeafTrouble::Full || is_full {
        return refuse(stream, "503 Service Unavailable", id, "Not-Executed: 1\r\n").await;
    }
    leaf.waiting.fetch_add(1, Ordering::Relaxed);
    let slot = leaf.slots.acquire().await;
    leaf.waiting.fetch_sub(1, Ordering::Relaxed);
    let Ok(_slot) = slot else {
        return Ok(false);
    };
    let (signature, run) = start_run(leaf, id, trouble, effect);
    work(leaf, trouble, effect).await;
    if is_fatal(&request.path) {
        leaf.crash(id);
        return Ok(false);
    }
    if effect.is_bad() {
        leaf.oracle.answer_badly(plan);
    }
    send(stream, id, &signature, &run, trouble).await
}

fn start_run(
    leaf: &LeafWork,
    id: &str,
    trouble: LeafTrouble,
    effect: VersionEffect,
) -> (String, Run) {
    let plan = &leaf.plan;
    let number = leaf.runs.fetch_add(1, Ordering::Relaxed);
    let fails = effect.fails || matches!(trouble, LeafTrouble::Fails(share) if happens(share));
    let body = if fails {
        b"failed".to_vec()
    } else {
        rand::random::<[[u8; RECORD_BYTES]; RECORDS]>().concat()
    };
    let run = Run {
        request: id.to_owned(),
        service: plan.service.clone(),
        leaf: plan.id.clone(),
        version: plan.version.name.clone(),
        zone: plan.zone.clone(),
        status: if fails { 500 } else { 200 },
        body,
        at: Instant::now(),
    };
    let signature = format!("{}.{number}", plan.id);
    leaf.oracle.run(&signature, run.clone());
    (signature, run)
}

async fn work(leaf: &LeafWork, trouble: LeafTrouble, effect: VersionEffect) {
    const PAUSE_CHECK: Duration = Duration::from_millis(5);
    let factor = match trouble {
        LeafTrouble::Slow(factor) => factor,
        _ => 1.0,
    };
    let time = leaf.plan.work.mul_f64(factor * effect.slow_by);
    tokio::time::sleep(time).await;
    while *leaf.trouble.lock() == LeafTrouble::Paused {
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
