//! The calls to the source that a judge makes: writing a state until it is confirmed, reading one order, and reading
//! and applying all orders.

use super::source_contact::SourceContact;
use crate::clock::Clock;
use crate::source::{Freshness, Source, SourceContent, SourceError, SourceUpdate, Topic, WriteEnd};
use crate::state::Gateway;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tansylead_route::{RollOut, RollOutState, StateWrite, StateWriteEnd, WriteStep};
use tansylead_types::{ServiceName, StepError};

/// Timeout of a call: less than the time for a shift.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The write of a beginning is given up after this time: the judge that evaluates the trial then starts another one,
/// if the order has not ended meanwhile.
const BEGINNING_WRITE_LIMIT: Duration = Duration::from_secs(3);
/// Backoff after the first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff after a failure, so that a source that is back is noticed soon.
const MAXIMUM_BACKOFF: Duration = Duration::from_secs(1);

/// Calls of a judge to the source.
#[derive(Debug)]
pub struct SourceCalls<S> {
    gateway: Rc<Gateway>,
    source: Rc<S>,
    contact: SourceContact,
}

impl<S: Source> SourceCalls<S> {
    /// Calls to a source that has not answered yet.
    pub fn new(gateway: Rc<Gateway>, source: Rc<S>) -> Self {
        Self {
            gateway,
            source,
            contact: SourceContact::default(),
        }
    }

    /// Whether the source has answered one of these calls recently.
    pub fn is_fresh(&self) -> bool {
        self.contact.is_fresh(Clock.now())
    }

    /// Repeats a write until the state is confirmed or the order has ended otherwise, however long that takes. Only the
    /// write of a beginning is given up: after a suspension of this process, the order may have ended and the source
    /// been restored from a copy that has the beginning still to come.
    pub async fn write_until_confirmed(
        &self,
        roll_out: RollOut,
        wanted: RollOutState,
    ) -> StateWriteEnd {
        let service = roll_out.service.clone();
        let mut write = StateWrite::new(roll_out, wanted);
        let began = Clock.now();
        loop {
            if !wanted.is_final() && Clock.now().since(began) > BEGINNING_WRITE_LIMIT {
                return StateWriteEnd::Expired;
            }
            match write.next(Clock.now()) {
                WriteStep::Write { roll_out } => {
                    let result = self.write(&roll_out, wanted).await;
                    let result = result.map_err(|error| error.write_failure());
                    write.on_write(Clock.now(), result, rand::random());
                }
                WriteStep::Read => {
                    let result = self.read(&service).await;
                    let result = result.as_ref().map(Option::as_ref);
                    let result = result.map_err(|error| error.write_failure());
                    write.on_read(Clock.now(), result, rand::random());
                }
                WriteStep::WaitUntil(moment) => {
                    Clock.sleep_until(moment).await;
                }
                WriteStep::Ended(end) => return end,
            }
        }
    }

    /// Reads the current state of an order.
    pub async fn read(&self, service: &ServiceName) -> Result<Option<RollOut>, SourceError> {
        let call = self.source.read_roll_out(service);
        let result = self.call("read roll-out", service, call).await;
        if let Err(error) = &result {
            log::warn!(service = service.as_str(), error:% = error; "source does not tell of the roll-out");
        }
        result
    }

    /// Reads all orders and applies them here; repeats the read until it succeeds.
    ///
    /// A single order that is newer than the others known here cannot be applied alone: the orders are known
    /// up to one revision, and decide on all leafs whose entries are not newer than it.
    pub async fn read_and_apply_all(&self) {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let call = self.source.read(Topic::RollOuts, Freshness::Current);
            match self.call("read roll-outs", "all", call).await {
                Ok(SourceUpdate {
                    content: SourceContent::RollOuts(Some(roll_outs)),
                    ..
                }) => return self.gateway.apply_roll_outs(roll_outs),
                Ok(_) => return,
                Err(error) => log::warn!(error:% = error; "roll-outs could not be read"),
            }
            back_off(&mut backoff).await;
        }
    }

    async fn write(
        &self,
        roll_out: &RollOut,
        wanted: RollOutState,
    ) -> Result<WriteEnd, SourceError> {
        let call = self.source.write_roll_out_state(roll_out, wanted);
        let result = self.call("write roll-out", &roll_out.service, call).await;
        self.gateway.metrics.on_roll_out_write(&result);
        let service = roll_out.service.as_str();
        let (state, under) = (wanted.label(), roll_out.changed_at.number);
        match &result {
            Ok(WriteEnd::Written(revision)) => {
                log::info!(service = service, state = state, under = under, revision = revision.number; "roll-out written");
            }
            Ok(WriteEnd::Conflict(found)) => {
                let found = found.as_ref().map_or("gone", |found| found.state.label());
                log::info!(service = service, state = state, under = under, found = found; "roll-out changed before it was written");
            }
            Err(error) => {
                log::warn!(service = service, state = state, under = under, error:% = error; "roll-out not known to be written");
            }
        }
        result
    }

    async fn call<T>(
        &self,
        step: &'static str,
        what: impl std::fmt::Display,
        call: impl Future<Output = Result<T, SourceError>>,
    ) -> Result<T, SourceError> {
        let result = tokio::time::timeout(CALL_TIMEOUT, call).await;
        let result = result.unwrap_or_else(|_| {
            let error = StepError::new(step, what, "no answer in time");
            Err(SourceError::Failed(error))
        });
        self.contact.on_call(Clock.now(), &result);
        let end = match &result {
            Ok(_) => "answered",
            Err(SourceError::HistoryGone) => "history_gone",
            Err(SourceError::Refused(_)) => "refused",
            Err(SourceError::Failed(_)) => "failed",
        };
        self.gateway.metrics.on_source_call(Topic::RollOuts, end);
        result
    }
}

/// Waits before a call is repeated, and doubles the next backoff.
async fn back_off(backoff: &mut Duration) {
    tokio::time::sleep(backoff.mul_f64(rand::random_range(0.5..1.5))).await;
    *backoff = (*backoff * 2).min(MAXIMUM_BACKOFF);
}
