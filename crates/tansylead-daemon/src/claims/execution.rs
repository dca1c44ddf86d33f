//! Executes a non-repeatable request as root, with at most one dispatch for a key. Repetitions get
//! the kept answer; without one they get `unknown`, or `not_run` if it is certain that nothing ran.

use super::acquire::{acquire, release};
use super::service::{Claims, KeyOutcome};
use crate::clock::Clock;
use std::sync::Arc;
use std::time::Duration;
use tansylead_cluster::claims::{
    AnswerStatus, BeginOutcome, ClaimDecision, ClaimGrant, ClaimHolder, ClaimId, ClaimKey,
    ClaimTerms, check_before_dispatch,
};
use tansylead_types::{ClaimView, Moment, Outcome, QueryAnswer, RequestId, ServiceName, WallTime};

/// Retry time given to callers whose key is in progress or cannot be accepted at the moment.
const RETRY_AFTER_IN_PROGRESS: Duration = Duration::from_secs(1);
/// Retry time given to callers when there are no claim members yet.
const RETRY_AFTER_WITHOUT_VIEW: Duration = Duration::from_secs(2);
/// Time allowed for asking the holder of a key.
const HOLDER_LIMIT: Duration = Duration::from_millis(500);

/// Execution of a non-repeatable request, up to its only dispatch.
#[derive(Debug, Clone)]
pub struct ClaimedExecution {
    claims: Arc<Claims>,
    key: ClaimKey,
    expires: WallTime,
    request: RequestId,
    deadline: Moment,
}

/// What to do with the request.
#[derive(Debug)]
enum Permission {
    /// Dispatch it, once.
    Dispatch(Box<Permit>),
    /// Answer this instead.
    Answer(Box<QueryAnswer>),
}

/// Permission for one dispatch.
#[derive(Debug)]
struct Permit {
    claim: ClaimId,
    grant: ClaimGrant,
    view: Arc<ClaimView>,
}

impl ClaimedExecution {
    /// An execution for a key of a service.
    pub fn new(
        claims: Arc<Claims>,
        service: ServiceName,
        key: tansylead_types::IdempotencyKey,
        expires: WallTime,
        request: RequestId,
        deadline: Moment,
    ) -> Self {
        Self {
            claims,
            key: ClaimKey { service, key },
            expires,
            request,
            deadline,
        }
    }

    /// Runs `dispatch` if the key may be dispatched, and keeps its answer. `dispatch` returns
    /// `None` if the request may have run without an answer.
    pub async fn run<F>(self, dispatch: impl FnOnce() -> F) -> QueryAnswer
    where
        F: Future<Output = Option<QueryAnswer>>,
    {
        let permit = match self.request_permission().await {
            Permission::Answer(answer) => {
                self.count_result("refused");
                return *answer;
            }
            Permission::Dispatch(permit) => permit,
        };
        // This check stops a process that was paused since the grant; later pauses are caught by
        // the check right before the bytes are sent, and by the leaf.
        if let Err(refusal) =
            check_before_dispatch(self.expires, Clock.wall(), self.claims.settings())
        {
            self.abandon(&permit);
            return self.not_run_answer(refusal.to_string(), None);
        }
        self.count_result("dispatched");
        let answer = match dispatch().await {
            Some(answer) => answer,
            None => self.unknown_answer("the root ended without an answer".to_owned(), None),
        };
        if answer.outcome == Outcome::NotRun {
            self.abandon(&permit);
        } else {
            let mut answers = self.claims.answers.lock();
            answers.finish(&self.key, permit.claim, answer.clone());
        }
        answer
    }

    async fn request_permission(&self) -> Permission {
        let wall = Clock.wall();
        if let Err(refusal) = check_before_dispatch(self.expires, wall, self.claims.settings()) {
            // An earlier request with the key may have run.
            let reason = format!("not run now: {refusal}");
            return Permission::Answer(Box::new(self.unknown_answer(reason, None)));
        }
        let begin = self
            .claims
            .answers
            .lock()
            .begin(&self.key, self.expires, wall);
        match begin {
            BeginOutcome::Known(status) => Permission::Answer(Box::new(self.known_answer(status))),
            BeginOutcome::Full => {
                let reason = "too many keys are in use".to_owned();
                let answer = self.not_run_answer(reason, Some(RETRY_AFTER_IN_PROGRESS));
                Permission::Answer(Box::new(answer))
            }
            BeginOutcome::Claim(claim) => self.acquire_claim(claim).await,
        }
    }

    fn known_answer(&self, status: AnswerStatus) -> QueryAnswer {
        match status {
            AnswerStatus::Finished(answer) => self.repeated_answer(*answer),
            AnswerStatus::InProgress => self.in_progress_answer(),
            AnswerStatus::NotRun { .. } | AnswerStatus::Unknown => {
                let reason = "a request with this key may have run; its answer is not held";
                self.unknown_answer(reason.to_owned(), None)
            }
        }
    }

    async fn acquire_claim(&self, claim: ClaimId) -> Permission {
        let Some(view) = self.claims.view() else {
            self.claims.answers.lock().mark_not_run(&self.key, claim);
            let reason = "there are no claim members yet".to_owned();
            let answer = self.not_run_answer(reason, Some(RETRY_AFTER_WITHOUT_VIEW));
            return Permission::Answer(Box::new(answer));
        };
        let terms = ClaimTerms {
            key: self.key.clone(),
            claim,
            expires: self.expires,
        };
        let acquired = acquire(&self.claims, &view, terms, self.deadline).await;
        let claim = acquired.claim;
        let answer = match acquired.decision {
            ClaimDecision::Granted(grant) => {
                let permit = Permit { claim, grant, view };
                return Permission::Dispatch(Box::new(permit));
            }
            ClaimDecision::HeldBy { holders } => {
                self.claims.answers.lock().mark_not_run(&self.key, claim);
                self.answer_from_holders(&holders).await
            }
            ClaimDecision::Refused {
                reason,
                retry_after,
                ..
            } => {
                self.claims.answers.lock().mark_not_run(&self.key, claim);
                let reason = format!("no majority of claim members: {reason:?}");
                self.not_run_answer(reason, Some(retry_after))
            }
        };
        Permission::Answer(Box::new(answer))
    }

    /// The answer that follows from what the holders of the key report.
    async fn answer_from_holders(&self, holders: &[ClaimHolder]) -> QueryAnswer {
        let mut in_progress = false;
        let mut never_ran = true;
        for holder in holders {
            let limit = HOLDER_LIMIT.min(Clock.time_left(self.deadline));
            match self.claims.request_outcome(&self.key, *holder, limit).await {
                KeyOutcome::Finished(answer) => return self.repeated_answer(*answer),
                KeyOutcome::InProgress => in_progress = true,
                KeyOutcome::NotRun => continue,
                KeyOutcome::Unknown => {}
            }
            never_ran = false;
        }
        if in_progress {
            return self.in_progress_answer();
        }
        if never_ran {
            let reason = "a claim of this key has just been given up".to_owned();
            return self.not_run_answer(reason, Some(RETRY_AFTER_IN_PROGRESS));
        }
        let reason = "a request with this key may have run; its root does not know".to_owned();
        self.unknown_answer(reason, None)
    }

    /// Gives up a permit under which nothing was or will be dispatched.
    fn abandon(&self, permit: &Permit) {
        self.claims
            .answers
            .lock()
            .mark_not_run(&self.key, permit.claim);
        let view = self
            .claims
            .view()
            .unwrap_or_else(|| Arc::clone(&permit.view));
        release(&self.claims, &view, &permit.grant);
    }

    fn count_result(&self, result: &str) {
        let counter = &self.claims.parts.metrics.claimed_requests;
        counter.with_label_values(&[result]).inc();
    }

    /// An earlier answer, for this repetition.
    fn repeated_answer(&self, answer: QueryAnswer) -> QueryAnswer {
        QueryAnswer {
            request: self.request.clone(),
            ..answer
        }
    }

    fn in_progress_answer(&self) -> QueryAnswer {
        let reason = "a request with this key is in progress".to_owned();
        self.unknown_answer(reason, Some(RETRY_AFTER_IN_PROGRESS))
    }

    fn unknown_answer(&self, reason: String, retry_after: Option<Duration>) -> QueryAnswer {
        QueryAnswer::without_results(self.request.clone(), Outcome::Unknown, reason, retry_after)
    }

    fn not_run_answer(&self, reason: String, retry_after: Option<Duration>) -> QueryAnswer {
        QueryAnswer::without_results(self.request.clone(), Outcome::NotRun, reason, retry_after)
    }
}
