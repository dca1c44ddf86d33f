//! What daemons share: who runs, configuration, and the leaf directory.
//!
//! A few daemons of each region, chosen by rank, watch the source. Every daemon keeps a long poll
//! open at one other daemon and takes from it what is newer. Each word carries its age: a daemon
//! whose word grows old asks the source itself, so a source that refuses some daemons, and daemons
//! that are cut off, do no harm as long as any path is left.

mod feed_client;
mod feed_message;
mod feed_server;
mod members;
mod peer_turn;
mod registration;
mod report_codec;
mod source_feed;
mod view;

pub use feed_client::PeerFeed;
pub use feed_server::serve_feed;
pub use members::MemberDriver;
pub use peer_turn::PeerTurn;
pub use registration::find_daemons;
pub use report_codec::ReportCodec;
pub use source_feed::SourceFeed;
pub use view::ClusterView;
