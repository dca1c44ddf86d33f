//! Interface for callers: JSON over HTTP/1.1, described in `docs/API.md`.

mod answer;
mod error;
mod in_force;
mod query_request;
mod router;
mod server;

pub use answer::{AnswerBody, ResultBody};
pub use error::{ApiError, ErrorBody, ErrorDetail};
pub use query_request::{
    DEADLINE_HEADER, EXPIRES_HEADER, IDEMPOTENCY_KEY_HEADER, QueryBody, REQUEST_ID_HEADER,
};
pub use router::Router;
pub use server::{CallerServer, ServerLimits};
