//! Adapter to leafs: connections, attempts and health polls over HTTP/1.1.
//!
//! Invariants: nothing is ever sent twice by this module; an attempt is reported as not sent only
//! if its request provably never left the queue of a connection; a cancelled attempt's connection
//! is closed, so its bytes cannot reach another request.

pub mod attempt;
pub mod health;
pub mod pool;
