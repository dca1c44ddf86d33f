//! Membership: which daemons run, in which place and zone, and which of them are leaving.
//!
//! SWIM over UDP within a place; each other place is reachable or not as a whole. See
//! `docs/design/0003-membership.md`.
//!
//! A driver decodes datagrams with [`crate::codec::GossipCodec`], passes them to
//! [`Membership::on_event`], performs the actions in order, and sends `Wakeup` at
//! [`Membership::next_wakeup`]. It forwards `Changed`, `Forgotten`, `PeerConfig` and `Joined` to
//! [`crate::spread::SpreadMachine`], whose `Applied` and `Announce` come back as `Config` and
//! `Announce`.

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
mod records;
mod settings;
mod sizes;
mod sync;
mod table;
mod timers;
mod updates;

pub use event::{MembershipAction, MembershipEvent};
pub use machine::{Membership, MembershipCounters};
pub use member::{Capacity, LocalMember, MemberRecord, MemberState, Precedence};
pub use packet::{
    ConfigDigest, GossipMessage, GossipPacket, MemberPage, PageMember, PlaceSummary, Sequence,
};
pub use settings::MembershipSettings;
