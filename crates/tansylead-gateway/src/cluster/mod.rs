//! What daemons share: who runs, configuration, leafs, evacuations, roll-outs, and queries over shards that the
//! larger machines of a region run for the others.
//!
//! One or a few daemons of each region, chosen by rank, watch the source. Every other daemon keeps a
//! long poll open at one daemon of its region that is closer to the source in a tree over the members,
//! and takes over what is newer. Each reply carries the age of its data: a daemon whose data grows stale
//! asks the source itself. So a source that refuses some daemons, or a partition between daemons, does
//! no harm as long as any path is left.

mod accounted_codec;
mod datagram_codec;
mod feed_client;
mod feed_message;
mod feed_server;
mod forwarded_query;
mod members;
mod peer_server;
mod peer_session;
mod publish_throttle;
mod query_roots;
mod query_server;
mod registration;
mod report_codec;
mod roll_out_codec;
mod source_feed;
mod view;

pub use datagram_codec::{DatagramCodec, DatagramMessage, EncodedDatagrams, MAXIMUM_MESSAGE_BYTES};
pub use feed_client::PeerFeed;
pub use feed_message::TopicAges;
pub use forwarded_query::{ForwardedQuery, ForwardedReply};
pub use members::MemberDriver;
pub use peer_server::serve_peers;
pub use peer_session::PeerSession;
pub use publish_throttle::PublishThrottle;
pub use query_roots::{ForwardError, QueryRoots, RootPeer};
pub use registration::{RegistrationNeed, find_daemons};
pub use report_codec::ReportCodec;
pub use roll_out_codec::{RollOutCodec, fit_report};
pub use source_feed::SourceFeed;
pub use view::ClusterView;
