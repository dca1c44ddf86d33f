//! How a call ended, and what the calls of one request share.

use crate::quarantine::SendLimiter;
use std::cell::Cell;
use std::rc::Rc;
use tansylead_http::Reply;

/// What the calls of one request share.
#[derive(Debug, Default)]
pub struct SharedProgress {
    /// Set once the caller has its answer: nothing more is started.
    pub settled: Cell<bool>,
    /// Whether a leaf has refused an attempt without running it.
    pub was_refused: Cell<bool>,
    /// Whether leafs end under the request.
    pub care: Rc<SendLimiter>,
}

/// How a call ended.
#[derive(Debug)]
pub enum CallEnd {
    /// An answer.
    Answered(Reply),
    /// No answer.
    Failed(CallFailure),
}

/// Why a call has no answer.
#[derive(Debug)]
pub struct CallFailure {
    /// Whether a leaf may have run the request.
    pub may_have_run: bool,
    /// Whether the time was up.
    pub timed_out: bool,
    /// The last failure that a leaf answered with.
    pub reply: Option<Reply>,
}
