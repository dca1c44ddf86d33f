//! Messages of the long poll between daemons: postcard in length-delimited frames over TCP.

use crate::source::Topic;
use crate::state::Gateway;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tansylead_route::{
    Configuration, DirectoryDelta, EvacuatedZones, ListPosition, Revision, RollOuts, RollOutsMark,
};
use tansylead_types::StepError;
use tokio_util::bytes::Bytes;
use tokio_util::codec::LengthDelimitedCodec;

/// Largest frame, in bytes.
const MAXIMUM_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Ages that differ by less may stem from the same confirmation by the source, measured twice.
const MINIMUM_AGE_DIFFERENCE: Duration = Duration::from_secs(1);

/// Time since what a daemon holds of each topic was known to be current, in milliseconds; none if it
/// never was.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopicAges {
    /// Of the configuration.
    pub configuration: Option<u32>,
    /// Of the leaf directory.
    pub leafs: Option<u32>,
    /// Of the zones that are being emptied.
    pub evacuations: Option<u32>,
    /// Of the orders to roll out.
    pub roll_outs: Option<u32>,
}

impl TopicAges {
    /// The ages at a daemon now.
    pub(super) fn of(gateway: &Gateway) -> Self {
        Self {
            configuration: gateway.age(Topic::Configuration).map(millis),
            leafs: gateway.age(Topic::Leafs).map(millis),
            evacuations: gateway.age(Topic::Evacuations).map(millis),
            roll_outs: gateway.age(Topic::RollOuts).map(millis),
        }
    }

    /// Age of one topic.
    pub(super) fn age(self, topic: Topic) -> Option<Duration> {
        let millis = match topic {
            Topic::Configuration => self.configuration,
            Topic::Leafs => self.leafs,
            Topic::Evacuations => self.evacuations,
            Topic::RollOuts => self.roll_outs,
        };
        millis.map(|millis| Duration::from_millis(millis.into()))
    }

    /// Whether the data of any topic is fresher than in `other`, by enough to be worth sending.
    pub fn is_fresher_than(self, other: Self) -> bool {
        let topics = [
            Topic::Configuration,
            Topic::Leafs,
            Topic::Evacuations,
            Topic::RollOuts,
        ];
        topics
            .into_iter()
            .any(|topic| is_fresher(self.age(topic), other.age(topic)))
    }

    /// Whether the data of any of these topics is older than `limit`.
    pub(super) fn is_any_older_than(
        self,
        limit: Duration,
        topics: impl Iterator<Item = Topic>,
    ) -> bool {
        let mut ages = topics.map(|topic| self.age(topic));
        ages.any(|age| age.is_none_or(|age| age > limit))
    }
}

/// Whether data of this age is fresher than other data, by enough to be worth sending.
pub(super) fn is_fresher(age: Option<Duration>, other: Option<Duration>) -> bool {
    age.is_some_and(|age| other.is_none_or(|other| other > age + MINIMUM_AGE_DIFFERENCE))
}

/// What the polling daemon holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct FeedRequest {
    /// Name of the deployment; requests of others are not answered.
    pub(super) cluster: String,
    /// Version of the configuration.
    pub(super) version: Option<u64>,
    /// Position of the leaf directory.
    pub(super) directory_position: Option<ListPosition>,
    /// Zones that are being emptied.
    pub(super) evacuated: Option<EvacuatedZones>,
    /// Orders to roll out.
    pub(super) roll_outs: Option<RollOutsMark>,
    /// Revision up to which the polling daemon needs the orders, if it does not know them so far.
    pub(super) roll_outs_needed_up_to: Option<Revision>,
    /// How old its data is.
    pub(super) ages: TopicAges,
    /// Whether a whole directory is wanted where changes do not reach back far enough.
    pub(super) wants_whole_directory: bool,
    /// The answer may wait this long for news.
    pub(super) wait_millis: u32,
}

/// What is newer, and how old the data is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct FeedReply {
    /// A newer configuration.
    pub(super) configuration: Option<Configuration>,
    /// What the polling daemon's directory lacks.
    pub(super) directory: Option<DirectoryDelta>,
    /// The zones that are being emptied, as the answering daemon holds them.
    pub(super) evacuated: Option<EvacuatedZones>,
    /// All orders to roll out, if the polling daemon lacks a change of them.
    pub(super) roll_outs: Option<RollOuts>,
    /// Orders to roll out that the answering daemon holds.
    pub(super) roll_outs_held: Option<RollOutsMark>,
    /// Version held by the answering daemon.
    pub(super) version: Option<u64>,
    /// Revision held by the answering daemon.
    pub(super) revision: Option<Revision>,
    /// How old the answering daemon's data is.
    pub(super) ages: TopicAges,
    /// How long the answering daemon waited for news, in milliseconds.
    pub(super) waited_millis: u32,
}

/// Framing of the connection.
pub(super) fn framing() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAXIMUM_FRAME_BYTES)
        .new_codec()
}

/// Encodes a message.
pub(super) fn encode<T: Serialize>(message: &T, peer: &str) -> Result<Bytes, StepError> {
    let encoded = postcard::to_stdvec(message);
    let bytes = encoded.map_err(|cause| StepError::new("encode feed message", peer, cause))?;
    Ok(Bytes::from(bytes))
}

/// Decodes a message.
pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8], peer: &str) -> Result<T, StepError> {
    postcard::from_bytes(bytes).map_err(|cause| StepError::new("decode feed message", peer, cause))
}

/// Whole milliseconds of a duration, as messages carry it.
pub(super) fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
