//! How a call ended, and the state shared by the calls of one request.

use crate::quarantine::SendLimiter;
use std::cell::Cell;
use std::rc::Rc;
use tansylead_http::Reply;

/// State shared by the calls of one request.
#[derive(Debug, Default)]
pub struct SharedProgress {
    /// Set once the request has its answer: no further attempts start.
    pub settled: Cell<bool>,
    /// Whether a leaf has refused an attempt without running it.
    pub was_refused: Cell<bool>,
    /// Limits how many leafs the request is sent to while leafs end under it.
    pub limiter: Rc<SendLimiter>,
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
    /// Whether the deadline was reached.
    pub timed_out: bool,
    /// The last failure that a leaf answered with.
    pub reply: Option<Reply>,
}
