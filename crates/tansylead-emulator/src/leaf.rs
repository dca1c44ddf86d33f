//! A leaf: registers itself, runs a few requests at a time, and misbehaves when told to.

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

/// Fault of a leaf.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum LeafFault {
    /// No fault.
    #[default]
    None,
    /// It finishes no request as long as this is set.
    Paused,
    /// Its processing time is multiplied by this factor.
    Slow(f64),
    /// It answers 500, with this probability.
    Fails(f64),
    /// It runs the request and closes the connection instead of answering, with this probability.
    LosesAnswers(f64),
    /// It truncates its answer, with this probability.
    CutsAnswers(f64),
    /// It sends its answer twice, with this probability.
    ExtraAnswers(f64),
    /// It sends bytes that are not an HTTP response, with this probability.
    Garbles(f64),
    /// It answers without a content length and closes the connection after the body, with this probability.
    Unframed(f64),
    /// It runs the request and answers with this status, which no final answer has.
    OddStatus(u16),
    /// It refuses every request as overloaded.
    Full,
}

/// Settings of a leaf.
#[derive(Debug, Clone)]
pub struct LeafPlan {
    /// Id of this run.
    pub id: String,
    /// Service.
    pub service: String,
    /// Zone.
    pub zone: String,
    /// Address it listens on.
    pub address: SocketAddr,
    /// Address that it advertises to daemons.
    pub advertised: SocketAddr,
    /// Maximum number of requests that run at a time.
    pub slots: usize,
    /// Processing time of a request.
    pub work: Duration,
    /// Software version.
    pub version: LeafVersion,
}

/// A running leaf. Dropping it stops it unannounced, as a crash does.
#[derive(Debug)]
pub struct Leaf {
    control: LeafControl,
}

/// Handle to a leaf that stays valid after the leaf has stopped; clones share it.
#[derive(Debug, Clone)]
pub struct LeafControl {
    work: Arc<LeafWork>,
    store: StoreServer,
    accepting: AbortHandle,
    connections: Arc<Mutex<Vec<JoinHandle<()>>>>,
    is_retired: Arc<AtomicBool>,
    /// Unix time of its start, in milliseconds.
    started_unix_millis: u64,
    /// Its last entry in the store; none once it has removed it.
    entry: Arc<Mutex<Option<Value>>>,
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
            started_unix_millis: unix_millis(),
            entry: Arc::default(),
        };
        control.register("ready", Duration::ZERO);
        let crashing = control.clone();
        tokio::spawn(async move {
            crashing.work.wait_for_crash().await;
            crashing.stop();
        });
        Ok(Self { control })
    }

    /// A handle that stays valid after the leaf has stopped.
    pub fn control(&self) -> LeafControl {
        self.control.clone()
    }

    /// Its settings.
    pub fn plan(&self) -> &LeafPlan {
        &self.control.work.plan
    }

    /// Number of requests run so far.
    pub fn runs(&self) -> u64 {
        self.control.work.runs()
    }

    /// Sets its fault.
    pub fn set_fault(&self, fault: LeafFault) {
        self.control.work.set_fault(fault);
    }

    /// Announces that it is leaving. It continues to serve until it is dropped.
    pub fn drain(&self) {
        self.control.drain();
    }

    /// Removes its entry from the store.
    pub fn unregister(&self) {
        self.control.unregister();
    }

    /// Announces that it is cold for some time, unless it is retired.
    pub fn announce_cold(&self, duration: Duration) {
        if self.control.is_retired() {
            return;
        }
        self.control.register("ready", duration);
        let work = &self.control.work;
        work.oracle.record_cold(&work.plan.id, duration);
    }

    /// Announces that it is warm, unless it is retired.
    pub fn announce_warm(&self) {
        if !self.control.is_retired() {
            self.control.register("ready", Duration::ZERO);
        }
    }
}

impl LeafControl {
    /// The leaf's settings.
    pub fn plan(&self) -> &LeafPlan {
        &self.work.plan
    }

    /// Announces that the leaf is leaving. It continues to serve until it is stopped.
    pub fn drain(&self) {
        self.register("draining", Duration::ZERO);
        self.work.oracle.record_draining(&self.work.plan.id);
    }

    /// Removes the leaf's entry from the store.
    pub fn unregister(&self) {
        *self.entry.lock() = None;
        self.store.delete("servers", &self.work.plan.id);
        self.work.oracle.record_gone(&self.work.plan.id);
    }

    /// Whether it has an entry in the store, which it rewrites with each heartbeat.
    pub fn is_registered(&self) -> bool {
        self.entry.lock().is_some()
    }

    /// Rewrites its last entry, as a leaf does with each heartbeat, unless the entry was removed.
    pub fn send_heartbeat(&self) {
        if let Some(entry) = self.entry.lock().clone() {
            self.store.put("servers", &self.work.plan.id, entry);
        }
    }

    /// Marks the leaf as not to be restarted.
    pub fn retire(&self) {
        self.is_retired.store(true, Ordering::Relaxed);
    }

    /// Whether the leaf must not be restarted.
    pub fn is_retired(&self) -> bool {
        self.is_retired.load(Ordering::Relaxed)
    }

    /// Waits until a request has crashed the leaf.
    pub async fn wait_for_crash(&self) {
        self.work.wait_for_crash().await;
    }

    /// When a request crashed the leaf, if one did.
    pub fn crashed_at(&self) -> Option<Instant> {
        self.work.crashed_at()
    }

    /// Stops the leaf immediately and returns the requests that this interrupted.
    pub fn stop(&self) -> Vec<String> {
        *self.entry.lock() = None;
        let interrupted = self.work.in_progress();
        self.accepting.abort();
        for connection in self.connections.lock().drain(..) {
            connection.abort();
        }
        interrupted
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
            "born": self.started_unix_millis,
        });
        *self.entry.lock() = Some(entry.clone());
        self.store.put("servers", &plan.id, entry);
    }
}

impl Drop for Leaf {
    fn drop(&mut self) {
        self.control.stop();
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
