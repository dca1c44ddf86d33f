//! Requests between daemons: postcard in length-delimited frames over persistent TCP connections,
//! many requests on each.
//!
//! Invariants: a handshake keeps clusters and protocol versions apart; no frame is sent twice; a
//! call reports "not sent" only if its frame was never handed to a connection.

mod client;
mod codec;
mod link;
mod message;
mod server;
mod traffic;

pub use client::{CallError, ForwardAllowance, PeerClient, PeerClientLimits};
pub use codec::{FrameError, decode_message, encode_message};
pub use message::{
    ClientFrame, ForwardedAnswer, ForwardedQuery, Hello, HelloReply, LeafLeavingNotice,
    PEER_PROTOCOL_VERSION, PeerNotice, PeerRequest, PeerResponse, RequestNumber, ServerFrame,
    ShareNotice,
};
pub(crate) use server::bind;
pub use server::{PeerHandler, PeerServer, PeerServerLimits};
pub use traffic::TrafficCounters;
