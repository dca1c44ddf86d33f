//! Framing of connections to other daemons whose messages are held for callers: a frame is charged before it is read,
//! and passed over if there is no memory for it.

use super::feed_message::framing;
use crate::memory::{Charge, MemoryAccount};
use std::io;
use tansylead_route::MemoryUse;
use tokio_util::bytes::{Buf, Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Bytes of the length in front of each frame.
const LENGTH_BYTES: usize = 4;

/// What was received.
#[derive(Debug)]
pub(super) enum ReceivedFrame {
    /// A whole frame, with its charge.
    Whole(BytesMut, Charge),
    /// A frame that there was no memory for. Nothing of it was kept.
    PassedOver,
}

/// Length-delimited frames that are charged.
#[derive(Debug)]
pub(super) struct AccountedCodec {
    frames: LengthDelimitedCodec,
    account: MemoryAccount,
    /// Of the frame that is being received.
    charge: Option<Charge>,
    /// Bytes of a frame that are still to be passed over.
    passing_over: usize,
}

impl AccountedCodec {
    pub(super) fn new(account: &MemoryAccount) -> Self {
        Self {
            frames: framing(),
            account: account.clone(),
            charge: None,
            passing_over: 0,
        }
    }

    /// Charges the frame that begins here. Returns whether it is to be received.
    fn admit(&mut self, bytes: usize) -> bool {
        let mut charge = self.account.charge(&Default::default());
        let memory_use = MemoryUse::for_size(bytes, MemoryUse::Body);
        let is_admitted = charge.set(bytes, memory_use).is_ok();
        self.charge = is_admitted.then_some(charge);
        is_admitted
    }

    fn pass_over(&mut self, source: &mut BytesMut) -> Option<ReceivedFrame> {
        let passed = self.passing_over.min(source.len());
        source.advance(passed);
        self.passing_over -= passed;
        (self.passing_over == 0).then_some(ReceivedFrame::PassedOver)
    }
}

impl Decoder for AccountedCodec {
    type Item = ReceivedFrame;
    type Error = io::Error;

    fn decode(&mut self, source: &mut BytesMut) -> io::Result<Option<ReceivedFrame>> {
        if self.passing_over > 0 {
            return Ok(self.pass_over(source));
        }
        if self.charge.is_none() {
            let Some(length) = source.first_chunk::<LENGTH_BYTES>() else {
                return Ok(None);
            };
            let bytes = LENGTH_BYTES + u32::from_be_bytes(*length) as usize;
            // The codec itself refuses longer frames.
            if bytes <= self.frames.max_frame_length() && !self.admit(bytes) {
                self.passing_over = bytes;
                return Ok(self.pass_over(source));
            }
        }
        let frame = self.frames.decode(source)?;
        Ok(frame.map(|frame| {
            let unused = || self.account.charge(&Default::default());
            let charge = self.charge.take().unwrap_or_else(unused);
            ReceivedFrame::Whole(frame, charge)
        }))
    }
}

impl Encoder<Bytes> for AccountedCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: Bytes, target: &mut BytesMut) -> io::Result<()> {
        self.frames.encode(frame, target)
    }
}
