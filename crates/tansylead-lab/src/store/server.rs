//! The HTTP interface of the stand-in store.

use super::faults::{OutageMode, RestoreRequest, StoreFaults};
use super::objects::Objects;
use super::readers::{ReadCounts, Readers};
use crate::http::{self, Reply, json_reply, numeric_parameter, read_json, text_reply};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode, Uri};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tansylead_types::ObjectKey;
use tansylead_types::store::{ObjectList, STORE_OBJECTS_PATH, STORE_WATCH_PATH, WriteRequest};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Path that replaces the faults in force.
pub const FAULTS_PATH: &str = "/lab/faults";
/// Path that restores an older state.
pub const RESTORE_PATH: &str = "/lab/restore";
/// Path of the counts of readers.
pub const READERS_PATH: &str = "/lab/readers";
/// Longest time a watch is held.
const LONGEST_WATCH: Duration = Duration::from_secs(60);

/// Serves the store until the token is cancelled.
pub async fn serve(listener: TcpListener, stop: CancellationToken) {
    let store = Arc::new(Store::new());
    http::serve(listener, stop, move |request, peer| {
        let store = Arc::clone(&store);
        async move { store.handle(request, peer).await }
    })
    .await;
}

struct Store {
    objects: Mutex<Objects>,
    readers: Mutex<Readers>,
    faults: watch::Sender<StoreFaults>,
    revision: watch::Sender<u64>,
}

impl Store {
    fn new() -> Self {
        Self {
            objects: Mutex::new(Objects::default()),
            readers: Mutex::new(Readers::new(Instant::now())),
            faults: watch::Sender::new(StoreFaults::default()),
            revision: watch::Sender::new(0),
        }
    }

    async fn handle(&self, request: Request<Incoming>, peer: SocketAddr) -> Reply {
        if request.uri().path().starts_with("/lab/") {
            return self.control(request).await;
        }
        if let Some(reply) = self.suffer_faults().await {
            return reply;
        }
        let path = request.uri().path().to_owned();
        if path == STORE_OBJECTS_PATH && request.method() == Method::GET {
            return self.list(request.uri(), peer);
        }
        if path == STORE_WATCH_PATH && request.method() == Method::GET {
            return self.watch(request.uri(), peer).await;
        }
        let key = path
            .strip_prefix(STORE_OBJECTS_PATH)
            .and_then(|rest| rest.strip_prefix('/'))
            .and_then(|text| ObjectKey::try_from(text.to_owned()).ok());
        match (key, request.method()) {
            (Some(key), &Method::GET) => self.get(&key, peer),
            (Some(key), &Method::PUT) => self.put(key, request).await,
            _ => text_reply(StatusCode::NOT_FOUND, "no such object or method"),
        }
    }

    /// Waits out a delay; a reply means that the store is down for this request.
    async fn suffer_faults(&self) -> Option<Reply> {
        let faults = self.faults.borrow().clone();
        if faults.delay_millis > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_millis)).await;
        }
        match faults.outage {
            None => None,
            Some(OutageMode::Close) => Some(Reply::CloseWithoutAnswer),
            Some(OutageMode::Hang) => {
                let mut changes = self.faults.subscribe();
                let _ = changes
                    .wait_for(|faults| faults.outage != Some(OutageMode::Hang))
                    .await;
                Some(Reply::CloseWithoutAnswer)
            }
        }
    }

    /// The newest revision that readers may see.
    fn visible_revision(&self) -> u64 {
        self.faults.borrow().stale_revision.unwrap_or(u64::MAX)
    }

    fn changed_after(&self, after: u64) -> ObjectList {
        let visible = self.visible_revision();
        self.objects.lock().changed_after(after, visible)
    }

    fn list(&self, uri: &Uri, peer: SocketAddr) -> Reply {
        self.readers.lock().read(Instant::now(), peer);
        let after = numeric_parameter(uri, "after").unwrap_or(0);
        json_reply(StatusCode::OK, &self.changed_after(after))
    }

    async fn watch(&self, uri: &Uri, peer: SocketAddr) -> Reply {
        self.readers.lock().watch(Instant::now(), peer);
        let after = numeric_parameter(uri, "after").unwrap_or(0);
        let wait = Duration::from_millis(numeric_parameter(uri, "wait_ms").unwrap_or(0));
        let deadline = tokio::time::Instant::now() + wait.min(LONGEST_WATCH);
        let mut revisions = self.revision.subscribe();
        let mut faults = self.faults.subscribe();
        loop {
            revisions.mark_unchanged();
            faults.mark_unchanged();
            if faults.borrow().outage.is_some() {
                return Reply::CloseWithoutAnswer;
            }
            let list = self.changed_after(after);
            if !list.objects.is_empty() {
                return json_reply(StatusCode::OK, &list);
            }
            tokio::select! {
                _ = revisions.changed() => {}
                _ = faults.changed() => {}
                () = tokio::time::sleep_until(deadline) => {
                    return json_reply(StatusCode::OK, &list);
                }
            }
        }
    }

    fn get(&self, key: &ObjectKey, peer: SocketAddr) -> Reply {
        self.readers.lock().read(Instant::now(), peer);
        let visible = self.visible_revision();
        match self.objects.lock().get(key, visible) {
            Some(object) => json_reply(StatusCode::OK, object),
            None => text_reply(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    async fn put(&self, key: ObjectKey, request: Request<Incoming>) -> Reply {
        self.readers.lock().write();
        let write: WriteRequest = match read_json(request.into_body()).await {
            Ok(write) => write,
            Err(reply) => return reply,
        };
        let result = self.objects.lock().write(key, write);
        match result {
            Ok(written) => {
                self.revision.send_replace(written.revision);
                if self.loses_this_answer() {
                    return Reply::CloseWithoutAnswer;
                }
                json_reply(StatusCode::OK, &written)
            }
            Err(conflict) => json_reply(StatusCode::CONFLICT, &conflict),
        }
    }

    fn loses_this_answer(&self) -> bool {
        self.faults.send_if_modified(|faults| {
            let loses = faults.lose_next_write_answers > 0;
            faults.lose_next_write_answers = faults.lose_next_write_answers.saturating_sub(1);
            loses
        })
    }

    async fn control(&self, request: Request<Incoming>) -> Reply {
        let path = request.uri().path().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::GET, FAULTS_PATH) => json_reply(StatusCode::OK, &*self.faults.borrow()),
            (Method::POST, FAULTS_PATH) => match read_json(request.into_body()).await {
                Ok(faults) => self.set_faults(faults),
                Err(reply) => reply,
            },
            (Method::POST, RESTORE_PATH) => match read_json(request.into_body()).await {
                Ok(restore) => self.restore(&restore),
                Err(reply) => reply,
            },
            (Method::GET, READERS_PATH) => json_reply(StatusCode::OK, &self.counts()),
            _ => text_reply(StatusCode::NOT_FOUND, "no such control path"),
        }
    }

    fn set_faults(&self, faults: StoreFaults) -> Reply {
        log::info!("store faults: {faults:?}");
        self.faults.send_replace(faults.clone());
        json_reply(StatusCode::OK, &faults)
    }

    fn restore(&self, restore: &RestoreRequest) -> Reply {
        log::info!("store restored to revision {}", restore.revision);
        self.objects.lock().restore(restore.revision);
        self.revision.send_replace(restore.revision);
        json_reply(StatusCode::OK, restore)
    }

    fn counts(&self) -> ReadCounts {
        self.readers.lock().counts(Instant::now())
    }
}
