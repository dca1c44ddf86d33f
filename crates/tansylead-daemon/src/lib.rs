//! The I/O shell of the daemon. Decisions live in the sans-I/O crates; this crate owns sockets,
//! clocks, timers and metrics, and drives the state machines of the others.

mod answers;
mod assembly;
pub mod claims;
pub mod clock;
pub mod cluster;
pub mod configuration;
pub mod daemon;
pub mod frontend;
pub mod http;
pub mod leaf;
pub mod logging;
pub mod metrics;
pub mod peer_service;
pub mod peers;
pub mod platform;
pub mod root;
pub mod root_service;
pub mod routing;
pub mod settings;
pub mod state;
pub mod status;
pub mod tuning;

pub use daemon::{Daemon, DrainResult, StopRequests, run};
pub use settings::{SettingsError, SettingsOverrides, load_settings};
pub use tuning::Tuning;
