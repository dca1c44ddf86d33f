//! Membership: which daemons run, in which place and zone, and which of them are leaving.

mod event;
mod joining;
mod limits;
mod machine;
mod member;
mod packet;
mod pages;
mod places;
mod probes;
mod probing;
mod receive;
mod settings;
mod sizes;
mod sync;
mod table;
mod timers;
mod updates;

pub use event::{MembershipAction, MembershipEvent};
pub use machine::{Membership, MembershipCounters};
pub use member::{LocalMember, MemberRecord, MemberState, Precedence};
pub use packet::{
    ConfigDigest, GossipMessage, GossipPacket, MemberPage, PageMember, PlaceSummary, Sequence,
};
pub use settings::MembershipSettings;
