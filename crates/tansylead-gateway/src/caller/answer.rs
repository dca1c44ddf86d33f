//! The body of an answer to a caller, which tells its connection when it has been sent.

use super::connection::CallerConnection;
use bytes::{Buf, Bytes};
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Tells a connection that its answer has been sent, or given up, when the last part of it is dropped.
#[derive(Debug)]
struct AnswerInProgress {
    connection: Rc<CallerConnection>,
}

impl Drop for AnswerInProgress {
    fn drop(&mut self) {
        self.connection.on_answered();
    }
}

/// The body of an answer.
#[derive(Debug)]
pub(super) struct AnswerBody {
    bytes: Option<Bytes>,
    in_progress: Rc<AnswerInProgress>,
}

/// The bytes of an answer until they are written.
#[derive(Debug)]
pub(super) struct AnswerBytes {
    bytes: Bytes,
    _in_progress: Rc<AnswerInProgress>,
}

impl AnswerBody {
    /// The body of the answer that the connection sends now.
    pub(super) fn new(bytes: Bytes, connection: &Rc<CallerConnection>) -> Self {
        connection.on_answer();
        Self {
            bytes: (!bytes.is_empty()).then_some(bytes),
            in_progress: Rc::new(AnswerInProgress {
                connection: Rc::clone(connection),
            }),
        }
    }
}

impl Body for AnswerBody {
    type Data = AnswerBytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let frame = self.bytes.take().map(|bytes| {
            Ok(Frame::data(AnswerBytes {
                bytes,
                _in_progress: Rc::clone(&self.in_progress),
            }))
        });
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let length = self.bytes.as_ref().map_or(0, Bytes::len);
        SizeHint::with_exact(length as u64)
    }
}

impl Buf for AnswerBytes {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
    }
}
