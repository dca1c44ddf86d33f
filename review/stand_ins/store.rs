//! The platform's store: objects by kind and name, lists in pages, watches, and one revision counter.
//!
//! It may come back from a copy of itself; `Store-Era` then rises by one. Two replicas answer the calls with `stale=1`, in turn on each connection. The second one can be told to lag.

use crate::http::{Message, read_message, write_message};
use crate::record::Record;
use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Objects on one page of a list, as in the site file (`page` under `discovery`).
const PAGE: usize = 50;

#[derive(Debug, Clone)]
struct Change {
    revision: u64,
    kind: String,
    name: String,
    /// The object as JSON; none if it was removed.
    object: Option<String>,
    at: Instant,
}

#[derive(Debug, Default)]
struct State {
    history: Vec<Change>,
    /// How far the second replica is behind.
    lag: Duration,
    /// How often the store came back from a copy.
    era: u64,
    /// Whether it answers nothing at the moment.
    is_away: bool,
}

impl State {
    fn revision(&self) -> u64 {
        self.history.last().map_or(1, |change| change.revision)
    }

    /// Applies a change: the object's spec and status, or its removal.
    fn change(&mut self, kind: &str, name: &str, documents: Option<(&str, &str)>) -> u64 {
        let revision = self.revision() + 1;
        let object = documents.map(|(spec, status)| {
            format!(
                "{{\"meta\":{},\"spec\":{spec},\"status\":{status}}}",
                meta(name, revision)
            )
        });
        self.history.push(Change {
            revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            object,
            at: Instant::now(),
        });
        revision
    }

    /// The newest revision that a replica with this lag has.
    fn revision_behind(&self, lag: Duration) -> u64 {
        let now = Instant::now();
        let mut known = self.history.iter().rev();
        let change = known.find(|change| now.duration_since(change.at) >= lag);
        change.map_or(1, |change| change.revision)
    }

    /// The objects of a kind as of a revision.
    fn objects(&self, kind: &str, revision: u64) -> BTreeMap<String, String> {
        let mut objects = BTreeMap::new();
        for change in self.history.iter().filter(|change| change.kind == kind) {
            if change.revision > revision {
                break;
            }
            match &change.object {
                Some(object) => objects.insert(change.name.clone(), object.clone()),
                None => objects.remove(&change.name),
            };
        }
        objects
    }
}

/// A running store; clones share it.
#[derive(Debug, Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    /// Starts a store on this address.
    pub fn start(address: SocketAddr, record: Record) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self {
            shared: Arc::default(),
            record,
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Sets how far the replica is behind that answers every second call with `stale=1`.
    pub fn set_lag(&self, lag: Duration) {
        self.shared.0.lock().expect("no holder panics").lag = lag;
    }

    /// Writes an object; the return is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        self.change(kind, name, Some((spec, "null")))
    }

    /// Goes away: calls are neither read nor answered.
    pub fn go_away(&self) {
        self.shared.0.lock().expect("no holder panics").is_away = true;
        self.shared.1.notify_all();
    }

    /// Comes back from a copy of this age: what was written since is gone.
    pub fn come_back_from_copy(&self, age: Duration) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no holder panics");
        let now = Instant::now();
        state
            .history
            .retain(|change| now.duration_since(change.at) >= age);
        state.era += 1;
        state.is_away = false;
        changed.notify_all();
    }

    /// An object as JSON, if it is there.
    pub fn get(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.shared.0.lock().expect("no holder panics");
        state.objects(kind, state.revision()).remove(name)
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) -> u64 {
        self.change(kind, name, None)
    }

    fn change(&self, kind: &str, name: &str, documents: Option<(&str, &str)>) -> u64 {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no holder panics");
        let revision = state.change(kind, name, documents);
        changed.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        let mut stale_calls = 0;
        while let Ok(Some(request)) = read_message(&mut reader) {
            let era = self.wait_while_away();
            let (status, body) = self.answer(&request, &mut stale_calls);
            let era = era.max(self.wait_while_away()).to_string();
            let start = format!("HTTP/1.1 {status} x");
            let headers = [("Content-Type", "application/json"), ("Store-Era", &era)];
            if write_message(&mut writer, &start, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Waits until the store is there, and returns its era.
    fn wait_while_away(&self) -> u64 {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no holder panics");
        while state.is_away {
            state = changed.wait(state).expect("no holder panics");
        }
        state.era
    }

    fn answer(&self, request: &Message, stale_calls: &mut usize) -> (u16, String) {
        let target = request.second_word();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut parts = path.split('/').skip(2);
        let kind = parts.next().unwrap_or_default();
        let name = parts.next();
        let is_status = parts.next() == Some("status");
        let query: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        match (request.method(), name) {
            ("GET", None) if query.contains_key("watch") => self.watch(kind, &query),
            ("GET", None) => self.list(kind, &query, stale_calls),
            ("GET", Some(name)) => {
                let state = self.shared.0.lock().expect("no holder panics");
                let found = state.objects(kind, state.revision()).remove(name);
                found.map_or((404, "{}".to_owned()), |object| (200, object))
            }
            ("PUT", Some(name)) if is_status => self.put_status(kind, name, &query, &request.body),
            ("POST", None) => self.create(kind, &request.body),
            ("DELETE", Some(name)) => {
                self.remove(kind, name);
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn list(
        &self,
        kind: &str,
        query: &HashMap<&str, &str>,
        stale_calls: &mut usize,
    ) -> (u16, String) {
        let state = self.shared.0.lock().expect("no holder panics");
        let mut revision = state.revision();
        let mut replica = "current";
        if query.contains_key("stale") {
            *stale_calls += 1;
            replica = "replica 1";
            if *stale_calls % 2 == 0 {
                replica = "replica 2";
                revision = state.revision_behind(state.lag);
            }
        }
        let after = query.get("after").copied().unwrap_or_default();
        let objects = state.objects(kind, revision);
        let mut rest = objects
            .into_iter()
            .filter(|(name, _)| name.as_str() > after);
        let items: Vec<String> = rest.by_ref().take(PAGE).map(|(_, object)| object).collect();
        let more = rest.next().is_some();
        drop(state);
        if kind == "servers" {
            self.record.line(format!(
                "store: list of {kind} after '{after}' answered by {replica}: {} entries, at {revision}, more {more}",
                items.len()
            ));
        }
        let items = items.join(",");
        let body = format!("{{\"items\":[{items}],\"more\":{more},\"at\":{revision}}}");
        (200, body)
    }

    fn watch(&self, kind: &str, query: &HashMap<&str, &str>) -> (u16, String) {
        let number = |name| {
            let text = query.get(name).copied().unwrap_or_default();
            text.parse::<u64>().unwrap_or(0)
        };
        let after = number("watch");
        let until = Instant::now() + Duration::from_millis(number("wait_ms"));
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no holder panics");
        let era = state.era;
        loop {
            if state.era != era || after > state.revision() {
                return (410, "{}".to_owned());
            }
            let newer = state.history.iter();
            let newer = newer.filter(|change| change.revision > after && change.kind == kind);
            let events: Vec<String> = newer.map(event).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let at = state.revision().max(after);
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            state = changed
                .wait_timeout(state, left)
                .expect("no holder panics")
                .0;
        }
    }

    /// Replaces the status of an object, if it is unchanged since the revision in the query.
    fn put_status(
        &self,
        kind: &str,
        name: &str,
        query: &HashMap<&str, &str>,
        body: &[u8],
    ) -> (u16, String) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("no holder panics");
        let revision = state.revision();
        let Some(found) = state.objects(kind, revision).remove(name) else {
            return (404, "{}".to_owned());
        };
        let expected = query.get("revision").copied().unwrap_or_default();
        if !found.contains(&format!("\"revision\":{expected},")) {
            return (409, found);
        }
        let text = String::from_utf8_lossy(body).into_owned();
        let status = text.strip_prefix("{\"status\":").unwrap_or("null}");
        let status = &status[..status.len() - 1];
        let spec = found.split("\"spec\":").nth(1).unwrap_or_default();
        let spec = spec.split(",\"status\":").next().unwrap_or("null");
        let revision = state.change(kind, name, Some((spec, status)));
        changed.notify_all();
        let object = state.objects(kind, revision).remove(name);
        drop(state);
        self.record
            .say(format!("store: status of {kind}/{name} is {status}"));
        (200, object.unwrap_or_default())
    }

    fn create(&self, kind: &str, body: &[u8]) -> (u16, String) {
        let text = String::from_utf8_lossy(body);
        let name = text.split("\"name\":\"").nth(1);
        let Some(name) = name.and_then(|rest| rest.split('"').next()) else {
            return (400, "{}".to_owned());
        };
        let spec = text.split("\"spec\":").nth(1).unwrap_or("{}}");
        let spec = &spec[..spec.len() - 1];
        let state = self.shared.0.lock().expect("no holder panics");
        let is_known = state.objects(kind, state.revision()).contains_key(name);
        drop(state);
        if is_known {
            return (409, "{}".to_owned());
        }
        self.put(kind, name, spec);
        (201, "{}".to_owned())
    }
}

fn meta(name: &str, revision: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"revision\":{revision},\"made\":1,\"finalizers\":[],\"deleting\":false}}"
    )
}

fn event(change: &Change) -> String {
    let is_gone = change.object.is_none();
    let gone = || format!("{{\"meta\":{}}}", meta(&change.name, change.revision));
    let object = change.object.clone().unwrap_or_else(gone);
    format!("{{\"gone\":{is_gone},\"object\":{object}}}")
}
