//! Who talks to whom, and what is said, inside the simulation.

use tansylead_cluster::claims::{AnswerStatus, ClaimKey, ClaimRequest, ClaimResponse};
use tansylead_types::leaf::{LeafAnswer, LeafHealth, LeafRefusal, LeafRequest};
use tansylead_types::store::{MachineList, ObjectList, WriteConflict, WriteRequest};
use tansylead_types::{
    InstanceId, LeafId, ObjectKey, PlaceName, QueryAnswer, QueryRequest, ServiceName, StoredObject,
};

/// One process, by its position in the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Endpoint {
    /// A daemon.
    Daemon(usize),
    /// A leaf.
    Leaf(usize),
    /// The platform's store.
    Store,
    /// The platform's machine list.
    MachineList,
    /// All callers of one place.
    Callers(usize),
    /// One operator.
    Operator(usize),
}

/// One run of a process; a restart has a higher boot number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Process {
    /// Which process.
    pub endpoint: Endpoint,
    /// Which run.
    pub boot: u64,
}

/// One request over a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What is asked over a connection.
#[derive(Debug, Clone, PartialEq)]
pub enum Request {
    /// A caller's query to a daemon.
    Query(QueryRequest),
    /// A whole query, from a frontend to a root.
    Forward {
        /// Place whose leafs shall answer.
        place: PlaceName,
        /// The query.
        request: QueryRequest,
    },
    /// Configuration changed after a revision, from a peer.
    Pull {
        /// Revision; 0 for everything.
        after: u64,
    },
    /// To a claim member.
    Claim(ClaimRequest),
    /// What became of a key at the root that holds its claim.
    KeyStatus {
        /// The very run of the root that is meant.
        owner: InstanceId,
        /// The key.
        key: ClaimKey,
    },
    /// Another root learned that a leaf is leaving.
    LeafLeaving {
        /// Service of the leaf.
        service: ServiceName,
        /// Place of the leaf.
        place: PlaceName,
        /// The leaf.
        leaf: LeafId,
    },
    /// One attempt, to a leaf.
    Search(LeafRequest),
    /// A leaf's health.
    Health,
    /// Objects of the store changed after a revision.
    ReadStore {
        /// Revision; 0 for everything.
        after: u64,
        /// Whether the store holds the answer until something changes.
        hold: bool,
    },
    /// One object of the store.
    GetObject(ObjectKey),
    /// Compare-and-set of one object of the store.
    WriteObject(ObjectKey, WriteRequest),
    /// The machine list.
    Machines,
}

/// What is answered over a connection.
#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    /// To a query, from a caller or forwarded.
    Answer(Box<QueryAnswer>),
    /// To a forwarded query: the daemon is no root for it and has done nothing.
    NotRoot,
    /// To a pull or a read of the store.
    Objects(ObjectList),
    /// To a pull: the peer holds no configuration.
    NothingToServe,
    /// From a claim member.
    Claim(ClaimResponse),
    /// To a question about a key.
    KeyStatus(AnswerStatus),
    /// Nothing to say.
    Noted,
    /// To an attempt.
    Found(LeafAnswer),
    /// To an attempt, before running it.
    Refused(LeafRefusal),
    /// To a health poll.
    Health(LeafHealth),
    /// One object; none if it never existed.
    Object(Option<StoredObject>),
    /// The write took effect.
    Written(StoredObject),
    /// The write did not take effect.
    Conflict(WriteConflict),
    /// The machine list.
    Machines(MachineList),
}

/// Why a call brought no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection could be opened: nothing was handed over.
    NotSent,
    /// The connection broke, or time ran out, after the request may have been handed over.
    Failed,
}

/// How a call ended.
pub type CallResult = Result<Response, CallFailure>;
