//! Reads of the store and of daemons that the table commands share.

use crate::http_client::{Unreachable, exchange};
use bytes::Bytes;
use eyre::WrapErr;
use hyper::{Method, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_daemon::platform::StoreClient;
use tansylead_table::{KnownPlacement, KnownServices};
use tansylead_types::{ConfigObject, ObjectKey, StoredObject};

/// Time limit for one request to a daemon.
const DAEMON_LIMIT: Duration = Duration::from_secs(10);

/// The field of a daemon's status that the table commands need.
#[derive(Deserialize)]
struct TableStatus {
    table_generation: u64,
}

/// The table in the store, if it was ever written.
pub async fn read_table(store: SocketAddr) -> eyre::Result<Option<StoredObject>> {
    let read = StoreClient::new(store).get(&ObjectKey::Table).await;
    Ok(read.map_err(Unreachable)?)
}

/// Services and placements in the store; `None` if no store is given.
pub async fn known_services(store: Option<SocketAddr>) -> eyre::Result<Option<KnownServices>> {
    let Some(store) = store else {
        return Ok(None);
    };
    let list = StoreClient::new(store).list(0).await.map_err(Unreachable)?;
    let mut known = KnownServices::default();
    for stored in list.objects {
        match stored.object {
            Some(ConfigObject::Service(definition)) => {
                known.services.insert(definition.service);
            }
            Some(ConfigObject::Placement(placement)) => {
                let service = placement.service;
                let place = placement.place;
                known.placements.insert(KnownPlacement { service, place });
            }
            _ => {}
        }
    }
    Ok(Some(known))
}

/// The generation of the table that is in force at a daemon.
pub async fn generation_in_force(daemon: SocketAddr) -> eyre::Result<u64> {
    let status: TableStatus = ask_daemon(daemon, "/v1/status").await?;
    Ok(status.table_generation)
}

/// Requests a JSON document from a daemon.
pub async fn ask_daemon<T: DeserializeOwned>(daemon: SocketAddr, path: &str) -> eyre::Result<T> {
    let reply = exchange(daemon, Method::GET, path, &[], Bytes::new(), DAEMON_LIMIT).await?;
    let body_text = String::from_utf8_lossy(&reply.body);
    if reply.status != StatusCode::OK {
        eyre::bail!(
            "{daemon}: {path}: unexpected status {}: {body_text}",
            reply.status
        );
    }
    serde_json::from_slice(&reply.body)
        .wrap_err_with(|| format!("{daemon}: {path}: unexpected answer"))
}
