//! Datagrams with messages of other kinds on the membership's socket: the frame of membership packets, with
//! a version of its own for each kind of message, around postcard-encoded messages.
//!
//! Invariants: encoding yields no more than a datagram holds; decoding arbitrary bytes never panics.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::marker::PhantomData;
use tansylead_cluster::codec::{FRAME_HEADER_BYTES, MAXIMUM_PACKET_BYTES, PacketFrame};

/// Largest encoding of one message, in bytes.
pub const MAXIMUM_MESSAGE_BYTES: usize = MAXIMUM_PACKET_BYTES - FRAME_HEADER_BYTES;

/// A message that travels in datagrams.
pub trait DatagramMessage: Serialize + DeserializeOwned {
    /// Frame version that marks datagrams of this kind; it differs from those of the other kinds and of
    /// membership packets.
    const VERSION: u8;
}

/// Encodes and decodes messages of one kind within one cluster.
#[derive(Debug)]
pub struct DatagramCodec<M> {
    frame: PacketFrame,
    messages: PhantomData<fn() -> M>,
}

/// Result of encoding messages.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EncodedDatagrams {
    /// Datagrams that hold the messages, in order.
    pub datagrams: Vec<Vec<u8>>,
    /// Messages that fit into no datagram, or cannot be encoded, and were left out.
    pub left_out: usize,
}

impl<M: DatagramMessage> DatagramCodec<M> {
    /// Codec for the cluster of this name.
    pub fn new(cluster: &str) -> Self {
        Self {
            frame: PacketFrame::new(M::VERSION, cluster),
            messages: PhantomData,
        }
    }

    /// Datagrams that hold the messages; those that fit into none are left out.
    pub fn encode(&self, messages: &[M]) -> Vec<Vec<u8>> {
        self.encode_counted(messages).datagrams
    }

    /// Datagrams that hold the messages, and how many fit into none.
    pub fn encode_counted(&self, messages: &[M]) -> EncodedDatagrams {
        let mut encoded = EncodedDatagrams::default();
        for message in messages {
            match postcard::to_allocvec(message) {
                Ok(bytes) if bytes.len() <= MAXIMUM_MESSAGE_BYTES => {
                    self.append(&mut encoded.datagrams, &bytes);
                }
                Ok(_) | Err(_) => encoded.left_out += 1,
            }
        }
        encoded
    }

    /// The messages of a datagram; none if it is of another kind or cluster. Decoding stops at the first
    /// message that cannot be read.
    pub fn decode(&self, bytes: &[u8]) -> Option<Vec<M>> {
        let mut rest = self.frame.contents(bytes).ok()?;
        let mut messages = Vec::new();
        while let Ok((message, after)) = postcard::take_from_bytes(rest) {
            messages.push(message);
            rest = after;
        }
        Some(messages)
    }

    fn append(&self, datagrams: &mut Vec<Vec<u8>>, bytes: &[u8]) {
        let has_room = |datagram: &Vec<u8>| datagram.len() + bytes.len() <= MAXIMUM_PACKET_BYTES;
        match datagrams.last_mut().filter(|datagram| has_room(datagram)) {
            Some(datagram) => datagram.extend_from_slice(bytes),
            None => {
                let mut datagram = self.frame.begin();
                datagram.extend_from_slice(bytes);
                datagrams.push(datagram);
            }
        }
    }
}
