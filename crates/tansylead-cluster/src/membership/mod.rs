//! Membership: which daemons run, in which place and zone, and which of them are leaving.

mod event;
mod machine;
mod member;
mod packet;
mod settings;

pub use event::{MembershipAction, MembershipEvent};
pub use machine::Membership;
pub use member::{LocalMember, MemberRecord, MemberState, Precedence};
pub use packet::{ConfigDigest, GossipMessage, GossipPacket, PlaceSummary, Sequence};
pub use settings::MembershipSettings;
