//! A leaf: works on a few requests at a time, registers itself, and misbehaves on request.

use crate::addresses::bind;
use crate::leaf_work::{LeafWork, serve};
use crate::oracle::Oracle;
use crate::store::StoreServer;
use crate::version::LeafVersion;
use parking_lot::Mutex;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::task::{AbortHandle, JoinHandle};

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
    /// Software version.
    pub version: LeafVersion,
}

/// A running leaf. Dropping it ends it without a word, as a crash does.
#[derive(Debug)]
pub struct Leaf {
    control: LeafControl,
}

/// Controls a leaf from elsewhere, also after it has ended; clones share it.
#[derive(Debug, Clone)]
pub struct LeafControl {
    work: Arc<LeafWork>,
    store: StoreServer,
    accepting: AbortHandle,
    connections: Arc<Mutex<Vec<JoinHandle<()>>>>,
    is_retired: Arc<AtomicBool>,
    /// Unix time of its start, in milliseconds.
    born: u64,
    /// What it last wrote of itself; none once it has taken its entry out.
    written: Arc<Mutex<Option<Value>>>,
}

impl Leaf {
    /// Starts a leaf and registers it.
    pub async fn start(plan: LeafPlan, store: StoreServer, oracle: Oracle) -> io::Result<Self> {
        let listener = bind(plan.address).await?;
        let work = Arc::new(LeafWork::new(plan, oracle));
        let connections: Arc<Mutex<Vec<JoinHandle<()>>>> = Arc::default();
        let accepted = Arc::clone(&connections);
        let accepting_work = Arc::clone(&work);
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serving = tokio::spawn(serve(Arc::clone(&accepting_work), stream));
                let mut open = accepted.lock();
                open.retain(|connection| !connection.is_finished());
                open.push(serving);
            }
        });
        let control = LeafControl {
            work,
            store,
            accepting: accepting.abort_handle(),
            connections,
            is_retired: Arc::default(),
            born: unix_millis(),
            written: Arc::default(),
        };
        control.register("ready", Duration::ZERO);
        let crashing = control.clone();
        tokio::spawn(async move {
            crashing.work.crashed().await;
            crashing.end();
        });
        Ok(Self { control })
    }

    /// Controls it, also after its end.
    pub fn control(&self) -> LeafControl {
        self.control.clone()
    }

    /// What it is.
    pub fn plan(&self) -> &LeafPlan {
        &self.control.work.plan
    }

    /// Requests run so far.
    pub fn runs(&self) -> u64 {
        self.control.work.runs()
    }

    /// Sets how it misbehaves.
    pub fn set_trouble(&self, trouble: LeafTrouble) {
        self.control.work.set_trouble(trouble);
    }

    /// Says that it is leaving. It serves on until it is dropped.
    pub fn drain(&self) {
        self.control.drain();
    }

    /// Removes its entry from the store.
    pub fn unregister(&self) {
        self.control.unregister();
    }

    /// Says that it is cold for a while, unless it was told to leave.
    pub fn turn_cold(&self, length: Duration) {
        if self.control.is_retired() {
            return;
        }
        self.control.register("ready", length);
        let work = &self.control.work;
        work.oracle.turn_cold(&work.plan.id, length);
    }

    /// Says that it is warm, unless it was told to leave.
    pub fn turn_warm(&self) {
        if !self.control.is_retired() {
            self.control.register("ready", Duration::ZERO);
        }
    }
}

impl LeafControl {
    /// What the leaf is.
    pub fn plan(&self) -> &LeafPlan {
        &self.work.plan
    }

    /// Says that the leaf is leaving. It serves on until it ends.
    pub fn drain(&self) {
        self.register("draining", Duration::ZERO);
        self.work.oracle.leave(&self.work.plan.id);
    }

    /// Removes the leaf's entry from the store.
    pub fn unregister(&self) {
        *self.written.lock() = None;
        self.store.delete("servers", &self.work.plan.id);
    }

    /// Whether it has an entry that it writes with each heartbeat.
    pub fn is_registered(&self) -> bool {
        self.written.lock().is_some()
    }

    /// Writes the entry again as it last was, as a leaf does with each heartbeat, unless it was taken out.
    pub fn write_again(&self) {
        if let Some(entry) = self.written.lock().clone() {
            self.store.put("servers", &self.work.plan.id, entry);
        }
    }

    /// Says that the leaf must not be started again once it has ended.
    pub fn retire(&self) {
        self.is_retired.store(true, Ordering::Relaxed);
    }

    /// Whether the leaf must not be started again.
    pub fn is_retired(&self) -> bool {
        self.is_retired.load(Ordering::Relaxed)
    }

    /// Waits until a request has ended the leaf.
    pub async fn crashed(&self) {
        self.work.crashed().await;
    }

    /// When a request ended the leaf, if one did.
    pub fn crashed_at(&self) -> Option<Instant> {
        self.work.crashed_at()
    }

    /// Ends the leaf at once and gives the requests that were cut by that.
    pub fn end(&self) -> Vec<String> {
        *self.written.lock() = None;
        let cut = self.work.in_progress();
        self.accepting.abort();
        for connection in self.connections.lock().drain(..) {
            connection.abort();
        }
        cut
    }

    fn register(&self, state: &str, warmup_left: Duration) {
        let plan = &self.work.plan;
        let entry = json!({
            "service": plan.service,
            "address": plan.advertised.to_string(),
            "zone": plan.zone,
            "version": plan.version.name,
            "slots": plan.slots,
            "state": state,
            "warmup_left_ms": warmup_left.as_millis() as u64,
            "seq": 1,
            "born": self.born,
        });
        *self.written.lock() = Some(entry.clone());
        self.store.put("servers", &plan.id, entry);
    }
}

impl Drop for Leaf {
    fn drop(&mut self) {
        self.control.end();
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
