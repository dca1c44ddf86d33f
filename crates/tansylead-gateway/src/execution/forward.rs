//! A request to one service; the leaf's answer is forwarded unchanged.

use super::call::Call;
use super::call_end::{CallEnd, CallFailure};
use super::outcome::{Outcome, Refusal, RefusalReason};
use crate::headers::remove_connection_headers;
use std::rc::Rc;
use std::time::Duration;
use tansylead_http::Reply;
use tansylead_route::{retry_after_outage, retry_after_refusal};

/// Runs a request to one service; the caller waits for `time_left`.
pub async fn forward(call: Call, time_left: Duration) -> Outcome {
    let service = Rc::clone(&call.service);
    let access = call.access.clone();
    let objective = call.route.policy.objective;
    let quarantine = call.quarantine();
    match call.run().await {
        CallEnd::Answered(reply) => forward_reply(reply),
        CallEnd::Failed(failure) => {
            let retry_after = if service.has_leafs(&access.route_in_force().policy.homes) {
                retry_after_refusal(objective)
            } else {
                retry_after_outage(time_left)
            };
            match quarantine.refusal().filter(|_| !failure.may_have_run) {
                Some(refusal) => Outcome::Refused(refusal),
                None => outcome_of_failure(failure, retry_after),
            }
        }
    }
}

fn forward_reply(reply: Reply) -> Outcome {
    let mut headers = reply.headers;
    remove_connection_headers(&mut headers);
    Outcome::Leaf {
        status: reply.status,
        headers,
        body: reply.body,
    }
}

fn outcome_of_failure(failure: CallFailure, retry_after: Duration) -> Outcome {
    if let Some(reply) = failure.reply {
        return forward_reply(reply);
    }
    let refusal = if !failure.may_have_run {
        Refusal::not_run(retry_after)
    } else if failure.timed_out {
        Refusal::new(RefusalReason::TimedOut)
    } else {
        Refusal::new(RefusalReason::Failed)
    };
    Outcome::Refused(refusal)
}
