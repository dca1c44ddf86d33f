//! States of roll-outs that this daemon writes to the source: one task at most for each order.

use super::source_calls::SourceCalls;
use crate::source::Source;
use std::collections::BTreeMap;
use std::rc::Rc;
use tansylead_route::{OrderId, RollOut, RollOutState, RollOuts, StateWriteEnd};
use tansylead_types::ServiceName;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};

/// How the writing of a state ended.
#[derive(Debug, Clone, PartialEq)]
pub struct EndedWrite {
    /// The order as it was when the writing began.
    pub roll_out: RollOut,
    /// What was to be written.
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

/// The writes of one daemon. What was started for an order is remembered until the order has ended here.
#[derive(Debug)]
pub struct StateWrites<S> {
    calls: Rc<SourceCalls<S>>,
    started: BTreeMap<ServiceName, StartedWrite>,
    ended: mpsc::UnboundedSender<EndedWrite>,
}

impl<S: Source> StateWrites<S> {
    /// No writes; ends are told through `ended`.
    pub fn new(calls: Rc<SourceCalls<S>>, ended: mpsc::UnboundedSender<EndedWrite>) -> Self {
        Self {
            calls,
            started: BTreeMap::new(),
            ended,
        }
    }

    /// Starts to write a state, unless a write for the order was started before. A conclusion replaces the
    /// note of a beginning. Returns whether it was started.
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

    /// Ends the writes for orders that have ended, are gone or were replaced.
    pub fn set_orders(&mut self, orders: &RollOuts) {
        self.started.retain(|service, started| {
            let order = orders.get(service);
            let stands =
                order.is_some_and(|order| order.order == started.order && !order.state.is_final());
            if !stands {
                started.task.abort();
            }
            stands
        });
    }
}

async fn write<S: Source>(
    calls: Rc<SourceCalls<S>>,
    roll_out: RollOut,
    wanted: RollOutState,
    ended: mpsc::UnboundedSender<EndedWrite>,
) {
    let end = calls.write_until_it_stands(roll_out.clone(), wanted).await;
    let is_beginning = matches!(end, StateWriteEnd::Confirmed(_)) && !wanted.is_final();
    // The receiver is gone only if this daemon is stopping.
    let _ = ended.send(EndedWrite {
        roll_out,
        wanted,
        end,
    });
    if !is_beginning {
        calls.bring_into_force().await;
    }
}
