//! A leaf: it answers the requests that name it, works on a few at a time, and queues a few more.

use crate::http::{Message, read_message, write_message};
use crate::record::Record;
use std::io::{self, BufReader};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// Requests that wait for a slot before the leaf sheds.
const QUEUE: usize = 12;

/// What distinguishes one leaf from another.
#[derive(Debug, Clone)]
pub struct LeafPlan {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Version of its software.
    pub version: String,
    pub address: SocketAddr,
    pub slots: usize,
    /// How long it works on a request.
    pub work: Duration,
    /// Body of its answers.
    pub body: Vec<u8>,
}

impl LeafPlan {
    /// The entry that the leaf keeps in the store.
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\"state\":\"{state}\",\"warmup_left_ms\":0,\"seq\":1}}",
            self.service, self.address, self.zone, self.version, self.slots
        )
    }
}

/// One request that the leaf began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
    pub began: Duration,
    pub is_answered: bool,
}

#[derive(Debug, Default)]
struct Load {
    running: usize,
    waiting: usize,
}

/// A running leaf; clones share it.
#[derive(Debug, Clone)]
pub struct Leaf {
    pub plan: LeafPlan,
    record: Record,
    load: Arc<(Mutex<Load>, Condvar)>,
    runs: Arc<Mutex<Vec<Run>>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    has_ended: Arc<AtomicBool>,
}

impl Leaf {
    pub fn start(plan: LeafPlan, record: Record) -> io::Result<Self> {
        let listener = TcpListener::bind(plan.address)?;
        let leaf = Self {
            plan,
            record,
            load: Arc::default(),
            runs: Arc::default(),
            open: Arc::default(),
            has_ended: Arc::default(),
        };
        let serving = leaf.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_ended() {
                    return;
                }
                let leaf = serving.clone();
                thread::spawn(move || leaf.serve(stream));
            }
        });
        Ok(leaf)
    }

    /// The requests that it began to work on.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no holder panics").clone()
    }

    /// Ends the leaf: its connections close, whatever it is working on.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
        for stream in self.open.lock().expect("no holder panics").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.plan.address);
    }

    fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::Relaxed)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (Ok(mut writer), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        self.open.lock().expect("no holder panics").push(kept);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if self.handle(&request, &mut writer).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message, writer: &mut TcpStream) -> io::Result<()> {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let echo = ("Request-Id", id.as_str());
        let target = request.header("target-instance");
        if target.is_some_and(|target| target != self.plan.id) {
            let headers = [echo, ("Instance-Id", self.plan.id.as_str())];
            return write_message(writer, "HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        if !self.take_slot() {
            let headers = [echo, ("Not-Executed", "1")];
            return write_message(writer, "HTTP/1.1 503 Service Unavailable", &headers, b"");
        }
        let index = self.begin(&id);
        thread::sleep(self.plan.work);
        self.free_slot();
        if self.has_ended() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let stamp = format!("{}.{id}", self.plan.id);
        let headers = [echo, ("Answer-Stamp", stamp.as_str())];
        let body: &[u8] = match request.second_word().contains("/short/") {
            true => b"short",
            false => &self.plan.body,
        };
        write_message(writer, "HTTP/1.1 200 OK", &headers, body)?;
        self.runs.lock().expect("no holder panics")[index].is_answered = true;
        Ok(())
    }

    fn begin(&self, id: &str) -> usize {
        self.record
            .line(format!("leaf {}: runs {id}", self.plan.id));
        let mut runs = self.runs.lock().expect("no holder panics");
        runs.push(Run {
            request: id.to_owned(),
            began: self.record.elapsed(),
            is_answered: false,
        });
        runs.len() - 1
    }

    /// Waits for a slot; false if the queue is full.
    fn take_slot(&self) -> bool {
        let (load, freed) = &*self.load;
        let mut load = load.lock().expect("no holder panics");
        if load.running >= self.plan.slots && load.waiting >= QUEUE {
            return false;
        }
        load.waiting += 1;
        while load.running >= self.plan.slots {
            load = freed.wait(load).expect("no holder panics");
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }

    fn free_slot(&self) {
        let (load, freed) = &*self.load;
        load.lock().expect("no holder panics").running -= 1;
        freed.notify_one();
    }
}
