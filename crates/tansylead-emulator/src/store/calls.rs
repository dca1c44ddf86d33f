//! Parses calls to the store and executes them on its objects.

use super::objects::{ObjectStore, StoreError};
use super::server::{Connection, Shared};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::time::Duration;

/// A call that was received completely.
#[derive(Debug)]
pub(super) struct Call {
    method: Method,
    path: String,
    query: HashMap<String, String>,
    body: Bytes,
}

impl Call {
    /// Reads the complete call.
    pub(super) async fn receive(request: Request<Incoming>) -> Result<Self, hyper::Error> {
        let path = request.uri().path().to_owned();
        let query = parse_query(request.uri().query().unwrap_or(""));
        let method = request.method().clone();
        let body = request.into_body().collect().await?.to_bytes();
        Ok(Self {
            method,
            path,
            query,
            body,
        })
    }

    /// Whether the answer need not be current.
    pub(super) fn is_cached(&self) -> bool {
        self.query.get("stale").is_some_and(|stale| stale == "1")
    }

    /// The expected revision of the object: from the query, or from the object's `meta`.
    fn condition(&self, object: &Value) -> Result<Option<u64>, InvalidRevision> {
        if let Some(revision) = self.query.get("revision") {
            return revision.parse().map(Some).map_err(|_| InvalidRevision);
        }
        Ok(object["meta"]["revision"].as_u64())
    }
}

/// The expected revision of a write is not a number.
#[derive(Debug)]
struct InvalidRevision;

/// Executes a call.
pub(super) async fn handle(
    shared: &Shared,
    connection: &Connection,
    call: Call,
) -> Response<Full<Bytes>> {
    let segments: Vec<&str> = call.path.trim_matches('/').split('/').collect();
    match (&call.method, segments.as_slice()) {
        (&Method::GET, ["objects", kind]) => match call.query.get("watch") {
            Some(after) => watch_kind(shared, kind, after, &call.query).await,
            None => {
                let after = call.query.get("after").map_or("", String::as_str);
                let mut objects = shared.objects.lock();
                reply(&match call.is_cached() {
                    true => objects.list_cached(connection.next_turn(), kind, after),
                    false => objects.list(kind, after),
                })
            }
        },
        (&Method::GET, ["objects", kind, name]) => {
            let found = shared.objects.lock().get(kind, name);
            result(found)
        }
        (&Method::POST, ["objects", kind]) => write(shared, &call, |objects, object, _| {
            let name = text(&object["meta"]["name"]);
            objects.create(kind, &name, object["spec"].clone())
        }),
        (&Method::PUT, ["objects", kind, name]) => {
            write(shared, &call, |objects, object, expected| {
                objects.replace(kind, name, object["spec"].clone(), expected)
            })
        }
        (&Method::PUT, ["objects", kind, name, "status"]) => {
            write(shared, &call, |objects, object, expected| {
                objects.replace_status(kind, name, object["status"].clone(), expected)
            })
        }
        (&Method::DELETE, ["objects", kind, name]) => {
            write(shared, &call, |objects, _, expected| {
                objects.delete(kind, name, expected)
            })
        }
        _ => empty(StatusCode::NOT_FOUND),
    }
}

async fn watch_kind(
    shared: &Shared,
    kind: &str,
    after: &str,
    query: &HashMap<String, String>,
) -> Response<Full<Bytes>> {
    const MAXIMUM_WAIT_MILLIS: u64 = 30_000;
    let Ok(after) = after.parse::<u64>() else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let wait = query.get("wait_ms").and_then(|wait| wait.parse().ok());
    let wait = Duration::from_millis(wait.unwrap_or(0).min(MAXIMUM_WAIT_MILLIS));
    let mut changed = shared.changed.subscribe();
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        {
            let objects = shared.objects.lock();
            match objects.changes(kind, after) {
                Err(_) => return empty(StatusCode::GONE),
                Ok(events) if !events.is_empty() || wait.is_zero() => {
                    return reply(&json!({"events": events, "at": objects.revision()}));
                }
                Ok(_) => {}
            }
        }
        let waited = tokio::time::timeout_at(deadline, changed.changed()).await;
        if waited.is_err() {
            let at = shared.objects.lock().revision();
            return reply(&json!({"events": [], "at": at}));
        }
    }
}

fn write<T: serde::Serialize>(
    shared: &Shared,
    call: &Call,
    change: impl FnOnce(&mut ObjectStore, &Value, Option<u64>) -> Result<T, StoreError>,
) -> Response<Full<Bytes>> {
    let object = match call.body.is_empty() {
        true => Ok(Value::Null),
        false => serde_json::from_slice::<Value>(&call.body),
    };
    let Ok(object) = object else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let Ok(expected) = call.condition(&object) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let changed = change(&mut shared.objects.lock(), &object, expected);
    shared.changed.send_modify(|count| *count += 1);
    result(changed)
}

fn result<T: serde::Serialize>(result: Result<T, StoreError>) -> Response<Full<Bytes>> {
    match result {
        Ok(value) => reply(&value),
        Err(StoreError::NotFound) => empty(StatusCode::NOT_FOUND),
        Err(StoreError::HistoryGone) => empty(StatusCode::GONE),
        Err(StoreError::Conflict(object)) => {
            let mut response = reply(&object);
            *response.status_mut() = StatusCode::CONFLICT;
            response
        }
    }
}

fn reply<T: serde::Serialize>(value: &T) -> Response<Full<Bytes>> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    Response::new(Full::new(Bytes::from(bytes)))
}

/// A response without a body.
pub(super) fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

fn parse_query(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}
