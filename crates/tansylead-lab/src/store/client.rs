//! Client of the stand-in store: control of its faults, and writing a deployment's objects.

use super::faults::{RestoreRequest, StoreFaults};
use super::readers::ReadCounts;
use super::server::{FAULTS_PATH, READERS_PATH, RESTORE_PATH};
use crate::http::JsonClient;
use hyper::{Method, StatusCode};
use std::net::SocketAddr;
use tansylead_types::store::{ObjectList, STORE_OBJECTS_PATH, WriteConflict, WriteRequest};
use tansylead_types::{ChangeId, ConfigObject, ObjectKey, StepError, StoredObject};

/// How often a write is tried again when another writer came first.
const WRITE_ATTEMPTS: u32 = 5;

/// Reads, writes and breaks the stand-in store.
#[derive(Debug, Clone)]
pub struct StoreControl {
    http: JsonClient,
}

impl StoreControl {
    /// A client for the store at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: JsonClient::new(address),
        }
    }

    /// Replaces the faults in force.
    pub async fn set_faults(&self, faults: &StoreFaults) -> Result<StoreFaults, StepError> {
        self.http.post(FAULTS_PATH, faults).await
    }

    /// Puts the store back to an older state.
    pub async fn restore(&self, revision: u64) -> Result<RestoreRequest, StepError> {
        self.http
            .post(RESTORE_PATH, &RestoreRequest { revision })
            .await
    }

    /// What the store has had to bear.
    pub async fn read_counts(&self) -> Result<ReadCounts, StepError> {
        self.http.get(READERS_PATH).await
    }

    /// All objects.
    pub async fn list(&self) -> Result<ObjectList, StepError> {
        self.http.get(STORE_OBJECTS_PATH).await
    }

    /// Writes contents whatever the object held before, by compare-and-set.
    pub async fn put(
        &self,
        key: &ObjectKey,
        change: &ChangeId,
        object: &ConfigObject,
    ) -> Result<StoredObject, StepError> {
        let step = "write a configuration object";
        let path = format!("{STORE_OBJECTS_PATH}/{key}");
        let mut expected_generation = 0;
        for _ in 0..WRITE_ATTEMPTS {
            let write = WriteRequest {
                expected_generation,
                change: change.clone(),
                object: object.clone(),
            };
            let (status, bytes) = self.http.exchange(Method::PUT, &path, &write).await?;
            let broken = |cause: serde_json::Error| StepError::new(step, self.address(), cause);
            if status == StatusCode::OK {
                return serde_json::from_slice(&bytes).map_err(broken);
            }
            if status != StatusCode::CONFLICT {
                let text = String::from_utf8_lossy(&bytes);
                let cause = format!("{key}: status {status}: {text}");
                return Err(StepError::new(step, self.address(), cause));
            }
            let conflict: WriteConflict = serde_json::from_slice(&bytes).map_err(broken)?;
            expected_generation = conflict.current.map_or(0, |current| current.generation);
        }
        let cause = format!("{key}: other writers came first {WRITE_ATTEMPTS} times");
        Err(StepError::new(step, self.address(), cause))
    }

    fn address(&self) -> SocketAddr {
        self.http.address()
    }
}

/// Writes all objects of a deployment; returns the store's revision after the last one.
pub async fn seed_objects(
    store: &StoreControl,
    objects: &[(ObjectKey, ConfigObject)],
) -> Result<u64, StepError> {
    let started_millis = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis());
    let mut revision = 0;
    for (index, (key, object)) in objects.iter().enumerate() {
        let change = ChangeId::new(format!("seed-{started_millis}-{index}"))
            .map_err(|error| StepError::new("name a change", key, error))?;
        revision = store.put(key, &change, object).await?.revision;
    }
    Ok(revision)
}
