//! Membership: which daemons run, in which place and zone, and which of them are leaving.

mod event;
mod joining;
mod machine;
mod member;
mod packet;
mod places;
mod probes;
mod probing;
mod receive;
mod settings;
mod sync;
mod table;
mod timers;
mod updates;

pub use event::{MembershipAction, MembershipEvent};
pub use machine::{Membership, MembershipCounters};
pub use member::{LocalMember, MemberRecord, MemberState, Precedence};
pub use packet::{ConfigDigest, GossipMessage, GossipPacket, PlaceSummary, Sequence};
pub use settings::MembershipSettings;
