//! I/O layer of routed requests.
//!
//! One thread runs everything: the target machines have a fraction of one core and little memory.
//! Decisions are in `tansylead-route` (requests) and `tansylead-cluster` (membership); this crate owns
//! sockets, clocks and tasks.
//!
//! The path of a request: `caller::server` accepts it, `caller::handler` finds the route and admits it,
//! `execution::forward` or `execution::gather` runs it through `execution::call`, which obtains one
//! answer of one service from one or more attempts (`leaf::attempt`).

mod checked_file;
mod clock;
mod daemon;
mod listener;
pub mod state;

pub mod caller;
pub mod cluster;
pub mod execution;
pub mod explain;
pub mod headers;
pub mod leaf;
pub mod log_queue;
pub mod logging;
pub mod memory;
pub mod metrics;
mod per_second;
pub mod quarantine;
mod report_queue;
mod request_log;
pub mod request_trace;
pub mod roll_out;
pub mod routes_file;
pub mod settings;
pub mod source;

pub use checked_file::FileError;
pub use clock::Clock;
pub use daemon::{RunError, run};
pub use headers::HeaderNames;
pub use settings::GatewaySettings;
