//! Child processes of the lab: found beside the lab's own binary, started with a piped standard
//! input, known by their process id, and always ended by it.

pub mod child;
pub mod daemon_command;
pub mod ports;
pub mod program;

pub use child::ChildProcess;
pub use ports::free_address;
pub use program::Programs;
