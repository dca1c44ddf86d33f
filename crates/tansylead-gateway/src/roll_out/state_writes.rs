//! Writes of roll-out states by this daemon to the source: at most one task for each order.

use super::source_calls::SourceCalls;
use crate::source::Source;
use std::collections::BTreeMap;
use std::rc::Rc;
use tansylead_route::{OrderId, RollOut, RollOutState, RollOuts, StateWriteEnd};
use tansylead_types::ServiceName;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};

/// A write of a state that has ended.
#[derive(Debug, Clone, PartialEq)]
pub struct EndedWrite {
    /// The order as it was when the write began.
    pub roll_out: RollOut,
    /// The state that was to be written.
    pub wanted: RollOutState,
    /// How it ended.
    pub end: StateWriteEnd,
}

#[derive(Debug)]
struct StartedWrite {
    order: OrderId,
    wanted: RollOutState,
    task: AbortHandle,
}

/// The writes of one daemon. A started write is kept, so that it is not started again, until the order has ended here.
#[derive(Debug)]
pub struct StateWrites<S> {
    calls: Rc<SourceCalls<S>>,
    started: BTreeMap<ServiceName, StartedWrite>,
    ended: mpsc::UnboundedSender<EndedWrite>,
}

impl<S: Source> StateWrites<S> {
    /// No writes; ended ones are sent to `ended`.
    pub fn new(calls: Rc<SourceCalls<S>>, ended: mpsc::UnboundedSender<EndedWrite>) -> Self {
        Self {
            calls,
            started: BTreeMap::new(),
            ended,
        }
    }

    /// Starts to write a state, unless a write for the order was started before. The write of a conclusion replaces
    /// that of a beginning. Returns whether it was started.
    pub fn start(&mut self, roll_out: &RollOut, wanted: RollOutState) -> bool {
        if let Some(started) = self.started.get(&roll_out.service) {
            let is_conclusion = !started.wanted.is_final() && wanted.is_final();
            if started.order == roll_out.order && !is_conclusion {
                return false;
            }
            started.task.abort();
        }
        let calls = Rc::clone(&self.calls);
        let ended = self.ended.clone();
        let write = write(calls, roll_out.clone(), wanted, ended);
        let started = StartedWrite {
            order: roll_out.order,
            wanted,
            task: spawn_local(write).abort_handle(),
        };
        self.started.insert(roll_out.service.clone(), started);
        true
    }

    /// Forgets the write for an order, so that it may be started again.
    pub fn forget(&mut self, order: &RollOut) {
        self.started
            .retain(|service, started| *service != order.service || started.order != order.order);
    }

    /// Aborts the writes for orders that have ended, were removed or replaced.
    pub fn set_orders(&mut self, orders: &RollOuts) {
        self.started.retain(|service, started| {
            let order = orders.get(service);
            let is_current =
                order.is_some_and(|order| order.order == started.order && !order.state.is_final());
            if !is_current {
                started.task.abort();
            }
            is_current
        });
    }
}

async fn write<S: Source>(
    calls: Rc<SourceCalls<S>>,
    roll_out: RollOut,
    wanted: RollOutState,
    ended: mpsc::UnboundedSender<EndedWrite>,
) {
    let end = calls.write_until_confirmed(roll_out.clone(), wanted).await;
    let is_beginning = matches!(end, StateWriteEnd::Confirmed(_)) && !wanted.is_final();
    // The receiver is gone only if this daemon is stopping.
    let _ = ended.send(EndedWrite {
        roll_out,
        wanted,
        end,
    });
    if !is_beginning {
        calls.read_and_apply_all().await;
    }
}
