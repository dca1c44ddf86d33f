//! Roll-outs in this daemon: which leafs a request may use by their version, what is seen of both sides,
//! and the judges that conclude.

mod message;
mod service_versions;

pub use message::{GrantMessage, RollOutMessage};
pub use service_versions::ServiceVersions;
