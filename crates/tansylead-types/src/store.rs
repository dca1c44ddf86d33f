//! Messages of the platform's object API, JSON over HTTP. Only the daemon's platform adapter, the
//! command line's table commands and the lab's fake store encode and decode these types.
//!
//! - `GET /v1/objects?after=R` answers [`ObjectList`] with all objects whose revision exceeds R.
//! - `GET /v1/watch?after=R&wait_ms=T` is the same as a long poll: it waits for a change, or for T.
//! - `GET /v1/objects/{key}` answers [`StoredObject`] or 404.
//! - `PUT /v1/objects/{key}` takes [`WriteRequest`]; answers [`StoredObject`] (200) or
//!   [`WriteConflict`] (409).

use crate::{ChangeId, ConfigObject, StoredObject};
use serde::{Deserialize, Serialize};

/// Path of the object collection.
pub const STORE_OBJECTS_PATH: &str = "/v1/objects";
/// Path of the watch.
pub const STORE_WATCH_PATH: &str = "/v1/watch";
/// Path of the machine list; answers [`MachineList`].
pub const MACHINES_PATH: &str = "/v1/machines";

/// Objects changed after a revision.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ObjectList {
    /// Highest revision of the store at the time of reading.
    pub revision: u64,
    /// Changed objects, in any order; deleted ones have no contents.
    pub objects: Vec<StoredObject>,
}

/// Compare-and-set of one object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WriteRequest {
    /// Generation that the writer expects to be current; 0 if the object does not exist.
    pub expected_generation: u64,
    /// Identifies this write.
    pub change: ChangeId,
    /// New contents.
    pub object: ConfigObject,
}

/// The write was refused because the object had another generation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WriteConflict {
    /// The object in the store; none if it does not exist.
    pub current: Option<StoredObject>,
}

/// State of a machine in the platform's list, which may be stale.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// In service.
    Live,
    /// About to leave.
    Leaving,
}

/// One machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Address of what runs on it: a daemon's peer address or a leaf's HTTP address.
    pub address: std::net::SocketAddr,
    /// State.
    pub state: MachineState,
}

/// The platform's list of machines.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines.
    pub machines: Vec<Machine>,
}
