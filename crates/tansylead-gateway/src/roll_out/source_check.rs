//! Asks the source for an order when its trial nears its end: whether the source answers decides whether
//! all requests may move over, and the answer has the newest state.
//!
//! Calls to the source are priced: at most one in a second, and one at a time.

use super::source_calls::SourceCalls;
use crate::source::Source;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tansylead_route::RollOut;
use tansylead_types::Moment;
use tokio::task::spawn_local;

/// Least time from one call to the next.
const PERIOD: Duration = Duration::from_secs(1);

/// What came of the calls.
#[derive(Debug, Default)]
struct Asked {
    is_open: Cell<bool>,
    found: RefCell<Vec<RollOut>>,
}

/// The calls.
#[derive(Debug)]
pub struct SourceCheck<S> {
    calls: Rc<SourceCalls<S>>,
    asked_at: Option<Moment>,
    asked: Rc<Asked>,
}

impl<S: Source> SourceCheck<S> {
    /// Nothing asked yet.
    pub fn new(calls: Rc<SourceCalls<S>>) -> Self {
        Self {
            calls,
            asked_at: None,
            asked: Rc::default(),
        }
    }

    /// Asks for an order, unless another call is open or was made within the last second.
    pub fn ask(&mut self, now: Moment, roll_out: &RollOut) {
        let is_recent = self.asked_at.is_some_and(|at| now.since(at) < PERIOD);
        if is_recent || self.asked.is_open.replace(true) {
            return;
        }
        self.asked_at = Some(now);
        let (calls, asked) = (Rc::clone(&self.calls), Rc::clone(&self.asked));
        let roll_out = roll_out.clone();
        spawn_local(async move {
            ask(&calls, &asked, &roll_out).await;
            asked.is_open.set(false);
        });
    }

    /// Takes what was found out: orders that stand as they were given, in whatever state.
    pub fn take_found(&self) -> Vec<RollOut> {
        self.asked.found.take()
    }
}

async fn ask<S: Source>(calls: &SourceCalls<S>, asked: &Asked, held: &RollOut) {
    let service = held.service.as_str();
    match calls.read(&held.service).await {
        Ok(Some(found)) if found.order == held.order && !found.state.is_final() => {
            asked.found.borrow_mut().push(found);
        }
        Ok(_) => {
            log::info!(service = service; "roll-out has ended or changed at the source");
            calls.bring_into_force().await;
        }
        // It was told of, and is asked again.
        Err(_) => {}
    }
}
