//! Membership and configuration spread: the task that owns their state machines, the UDP socket
//! and the reads of the store.

mod driver;
mod handle;
mod machine_list;
mod view;

pub use driver::{ClusterDriver, ClusterIdentity, ClusterParts};
pub use handle::{ClusterHandle, ClusterInput};
pub use machine_list::MachineListReader;
pub use view::{ClusterStatus, MemberView};
