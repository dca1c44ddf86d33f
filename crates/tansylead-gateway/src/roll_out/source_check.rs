//! Reads an order from the source when its trial nears its end: only if the source answers may all requests move
//! to the new version, and the answer has the newest state.
//!
//! Calls to the source are charged for: at most one in a second, and one at a time.

use super::source_calls::SourceCalls;
use crate::source::Source;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tansylead_route::RollOut;
use tansylead_types::Moment;
use tokio::task::spawn_local;

/// Least time between the starts of two calls.
const PERIOD: Duration = Duration::from_secs(1);

/// State of the calls, shared with the task that makes them.
#[derive(Debug, Default)]
struct Reads {
    is_in_flight: Cell<bool>,
    found: RefCell<Vec<RollOut>>,
}

/// The rate-limited reads.
#[derive(Debug)]
pub struct SourceCheck<S> {
    calls: Rc<SourceCalls<S>>,
    read_at: Option<Moment>,
    reads: Rc<Reads>,
}

impl<S: Source> SourceCheck<S> {
    /// No call was made yet.
    pub fn new(calls: Rc<SourceCalls<S>>) -> Self {
        Self {
            calls,
            read_at: None,
            reads: Rc::default(),
        }
    }

    /// Reads an order, unless another call is in flight or was made within the last second.
    pub fn read(&mut self, now: Moment, roll_out: &RollOut) {
        let is_recent = self.read_at.is_some_and(|at| now.since(at) < PERIOD);
        if is_recent || self.reads.is_in_flight.replace(true) {
            return;
        }
        self.read_at = Some(now);
        let (calls, reads) = (Rc::clone(&self.calls), Rc::clone(&self.reads));
        let roll_out = roll_out.clone();
        spawn_local(async move {
            read(&calls, &reads, &roll_out).await;
            reads.is_in_flight.set(false);
        });
    }

    /// Takes the orders that were read and have neither ended nor been replaced.
    pub fn take_found(&self) -> Vec<RollOut> {
        self.reads.found.take()
    }
}

async fn read<S: Source>(calls: &SourceCalls<S>, reads: &Reads, held: &RollOut) {
    let service = held.service.as_str();
    match calls.read(&held.service).await {
        Ok(Some(found)) if found.order == held.order && !found.state.is_final() => {
            reads.found.borrow_mut().push(found);
        }
        Ok(_) => {
            log::info!(service = service; "roll-out has ended or changed at the source");
            calls.read_and_apply_all().await;
        }
        // The failure was logged, and the read is repeated.
        Err(_) => {}
    }
}
