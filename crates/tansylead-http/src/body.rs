//! Reads a body into one buffer that grows with what has arrived, whatever length was announced.

use crate::buffer::Buffer;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Smallest buffer for a body that does not come whole at once, in bytes.
const SMALLEST_BUFFER: usize = 512;

/// There is no memory for more of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no memory for the body")]
pub struct NoMemory;

/// Accounts for the memory of a body while it is read, and afterwards for as long as its bytes are used.
pub trait BodyMemory: Send + 'static {
    /// The body is about to occupy `bytes` bytes in all.
    fn reserve(&mut self, bytes: usize) -> Result<(), NoMemory>;
}

/// Memory that is not accounted for.
#[derive(Debug, Clone, Copy, Default)]
pub struct Unaccounted;

impl BodyMemory for Unaccounted {
    fn reserve(&mut self, _bytes: usize) -> Result<(), NoMemory> {
        Ok(())
    }
}

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub enum ReadBodyError {
    /// It is longer than allowed.
    #[error("the body is longer than {0} bytes")]
    TooLarge(usize),
    /// There is no memory for it.
    #[error(transparent)]
    NoMemory(#[from] NoMemory),
    /// It was cut off, or is malformed.
    #[error(transparent)]
    Broken(#[from] hyper::Error),
}

/// A buffer that is freed, and its memory released, with the last reference to its bytes.
struct AccountedBuffer<M> {
    data: Buffer,
    _memory: M,
}

impl<M> AsRef<[u8]> for AccountedBuffer<M> {
    fn as_ref(&self) -> &[u8] {
        self.data.as_ref()
    }
}

/// Reads a body of at most `maximum` bytes. Trailers are dropped.
pub async fn read_body<M: BodyMemory>(
    mut body: Incoming,
    maximum: usize,
    mut memory: M,
) -> Result<Bytes, ReadBodyError> {
    let is_too_large = body.size_hint().lower() > maximum as u64;
    if is_too_large {
        return Err(ReadBodyError::TooLarge(maximum));
    }
    let mut data = Buffer::default();
    while let Some(frame) = body.frame().await {
        // Each piece is copied and dropped: it keeps alive the whole buffer that it was read into.
        let Ok(piece) = frame?.into_data() else {
            continue;
        };
        let length = data.len() + piece.len();
        if length > maximum {
            return Err(ReadBodyError::TooLarge(maximum));
        }
        if length > data.capacity() {
            let left = body.size_hint().exact().unwrap_or(u64::MAX);
            let capacity = next_capacity(data.capacity(), length, left, maximum);
            memory.reserve(capacity)?;
            data.grow(capacity);
        }
        data.append(&piece);
    }
    if data.len() == 0 {
        return Ok(Bytes::new());
    }
    Ok(Bytes::from_owner(AccountedBuffer {
        data,
        _memory: memory,
    }))
}

/// Size of the buffer that is to hold `length` bytes, with `left` bytes still to come if that is known.
fn next_capacity(current: usize, length: usize, left: u64, maximum: usize) -> usize {
    let left = usize::try_from(left).unwrap_or(usize::MAX);
    let whole = length.saturating_add(left).min(maximum);
    let doubled = current.saturating_mul(2).max(SMALLEST_BUFFER);
    doubled.max(length).min(whole.max(length))
}
