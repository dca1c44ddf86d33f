//! A source of roll-out orders, with one revision counter and injected faults.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_gateway::source::{
    Freshness, Source, SourceContent, SourceError, SourceUpdate, Topic, WriteEnd,
};
use tansylead_route::{Era, OrderId, Revision, RollOut, RollOutState, RollOuts};
use tansylead_types::{ServiceName, SoftwareVersion, StepError};

/// The outcome of a write or a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It is refused and not applied.
    Refused,
    /// It is not applied, and no answer comes.
    NotDone,
    /// It is applied, but no answer comes.
    AnswerLost,
    /// No answer comes; it is applied once the order was read.
    DoneAfterRead,
    /// Nothing comes at all, not even the end of the connection.
    Silent,
}

/// The source with its faults.
#[derive(Debug)]
pub struct FaultySource {
    orders: RefCell<RollOuts>,
    /// Writes that are applied after the next read.
    late: RefCell<Vec<(RollOut, RollOutState)>>,
    /// Outcomes of the next writes.
    pub write_faults: RefCell<VecDeque<Fault>>,
    /// Outcomes of the next reads.
    pub read_faults: RefCell<VecDeque<Fault>>,
    /// Whether everything is refused.
    pub is_away: Cell<bool>,
    /// States for which a write was requested.
    pub writes: RefCell<Vec<RollOutState>>,
    /// Reads of single orders.
    pub reads: Cell<usize>,
}

/// The service of all orders here.
pub fn service() -> ServiceName {
    ServiceName::new("screening").expect("valid name")
}

/// An order with a duration.
pub fn order(number: u64, duration: Duration, changed_at: Revision) -> RollOut {
    RollOut {
        order: OrderId(number),
        service: service(),
        target: SoftwareVersion::new("v2").expect("valid name"),
        duration,
        state: RollOutState::Ordered,
        changed_at,
    }
}

impl FaultySource {
    /// A source without orders.
    pub fn new() -> Self {
        Self {
            orders: RefCell::new(RollOuts {
                at: Revision::first_era(10),
                ..RollOuts::default()
            }),
            late: RefCell::default(),
            write_faults: RefCell::default(),
            read_faults: RefCell::default(),
            is_away: Cell::new(false),
            writes: RefCell::default(),
            reads: Cell::new(0),
        }
    }

    /// Gives the service an order, in place of an earlier one. Returns it.
    pub fn add_order(&self, number: u64, duration: Duration) -> RollOut {
        let changed_at = self.next_revision();
        let order = order(number, duration, changed_at);
        let mut orders = self.orders.borrow_mut();
        orders.orders.insert(service(), order.clone());
        order
    }

    /// Removes the order.
    pub fn remove_order(&self) {
        self.next_revision();
        self.orders.borrow_mut().orders.clear();
    }

    /// Restores a copy from before the order was begun.
    pub fn restore(&self) {
        let mut orders = self.orders.borrow_mut();
        orders.at.era = Era(orders.at.era.0 + 1);
        let at = orders.at;
        for order in orders.orders.values_mut() {
            order.state = RollOutState::Ordered;
            order.changed_at = at;
        }
    }

    /// All orders.
    pub fn orders(&self) -> RollOuts {
        self.orders.borrow().clone()
    }

    /// The current state of the order.
    pub fn current(&self) -> Option<RollOut> {
        self.orders.borrow().get(&service()).cloned()
    }

    /// Changes the state as another judge would.
    pub fn set_state(&self, state: RollOutState) {
        let held = self.current().expect("ordered");
        self.put(&held, state);
    }

    fn next_revision(&self) -> Revision {
        let mut orders = self.orders.borrow_mut();
        orders.at.number += 1;
        orders.at
    }

    /// A conditional write.
    fn put(&self, held: &RollOut, state: RollOutState) -> WriteEnd {
        let current = self.current();
        if current.as_ref() != Some(held) {
            return WriteEnd::Conflict(current.map(Box::new));
        }
        let changed_at = self.next_revision();
        let written = RollOut {
            state,
            changed_at,
            ..held.clone()
        };
        self.orders.borrow_mut().orders.insert(service(), written);
        WriteEnd::Written(changed_at)
    }

    fn next_read_fault(&self) -> Option<Fault> {
        let refused = self.is_away.get().then_some(Fault::Refused);
        refused.or_else(|| self.read_faults.borrow_mut().pop_front())
    }
}

fn no_answer() -> SourceError {
    SourceError::Failed(StepError::new("call source", "source", "connection reset"))
}

fn refusal() -> SourceError {
    SourceError::Refused(StepError::new("call source", "source", "too many calls"))
}

async fn fail(fault: Fault) -> SourceError {
    match fault {
        Fault::Refused => refusal(),
        Fault::Silent => std::future::pending().await,
        Fault::NotDone | Fault::AnswerLost | Fault::DoneAfterRead => no_answer(),
    }
}

impl Source for FaultySource {
    async fn read(&self, topic: Topic, _: Freshness) -> Result<SourceUpdate, SourceError> {
        assert_eq!(topic, Topic::RollOuts, "nothing else is asked for");
        if let Some(fault) = self.next_read_fault() {
            return Err(fail(fault).await);
        }
        let orders = self.orders();
        Ok(SourceUpdate {
            at: orders.at,
            content: SourceContent::RollOuts(Some(orders)),
            skipped: 0,
        })
    }

    async fn watch(&self, _: Topic, _: Revision, _: Duration) -> Result<SourceUpdate, SourceError> {
        std::future::pending().await
    }

    async fn write_roll_out_state(
        &self,
        roll_out: &RollOut,
        state: RollOutState,
    ) -> Result<WriteEnd, SourceError> {
        self.writes.borrow_mut().push(state);
        let fault = self.write_faults.borrow_mut().pop_front();
        let refused = self.is_away.get().then_some(Fault::Refused);
        let Some(fault) = refused.or(fault) else {
            return Ok(self.put(roll_out, state));
        };
        match fault {
            Fault::AnswerLost => drop(self.put(roll_out, state)),
            Fault::DoneAfterRead => {
                let late = (roll_out.clone(), state);
                self.late.borrow_mut().push(late);
            }
            Fault::Refused | Fault::NotDone | Fault::Silent => {}
        }
        Err(fail(fault).await)
    }

    async fn read_roll_out(&self, of: &ServiceName) -> Result<Option<RollOut>, SourceError> {
        self.reads.set(self.reads.get() + 1);
        if let Some(fault) = self.next_read_fault() {
            return Err(fail(fault).await);
        }
        let found = self.orders.borrow().get(of).cloned();
        for (held, state) in self.late.take() {
            self.put(&held, state);
        }
        Ok(found)
    }

    async fn register(&self, _: SocketAddr) -> Result<(), SourceError> {
        Ok(())
    }

    async fn registered(&self) -> Result<Vec<SocketAddr>, SourceError> {
        Ok(Vec::new())
    }
}
