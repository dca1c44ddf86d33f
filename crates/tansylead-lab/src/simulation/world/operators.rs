//! Operators in the world.

use super::{Event, World};
use crate::simulation::message::{CallId, CallResult, Endpoint, Request};
use crate::simulation::operator::{OperatorStep, OperatorView, STORE_CALL_LIMIT};
use crate::simulation::topology::DAEMONS;

impl World<'_> {
    pub(super) fn operator_edits(&mut self, operator: usize) {
        let steps = self.operators.begin(operator);
        self.operator_does(operator, steps);
    }

    pub(super) fn operator_looks(&mut self, operator: usize) {
        let view = self.operator_view(operator);
        let steps = self.operators.look(view, operator);
        self.operator_does(operator, steps);
    }

    pub(super) fn operator_gets(&mut self, operator: usize, call: CallId, result: CallResult) {
        let view = self.operator_view(operator);
        let steps = self.operators.on_result(view, operator, call, result);
        self.operator_does(operator, steps);
    }

    /// The operator asks one daemon which table is in force.
    fn operator_view(&self, operator: usize) -> OperatorView {
        let daemon = self.process(Endpoint::Daemon(operator % DAEMONS));
        let tables = self.history.tables_in_force.iter();
        let known = tables.filter(|in_force| in_force.process == daemon);
        OperatorView {
            clocks: self.clocks(Endpoint::Operator(operator)),
            known_generation: known.map(|in_force| in_force.generation).max().unwrap_or(0),
        }
    }

    fn operator_does(&mut self, operator: usize, steps: Vec<OperatorStep>) {
        for step in steps {
            match step {
                OperatorStep::Call(request) => {
                    let is_write = matches!(request, Request::WriteObject(..));
                    let from = Endpoint::Operator(operator);
                    let limit = STORE_CALL_LIMIT;
                    let call = self.open_outside_call(from, Endpoint::Store, request, limit);
                    self.operators.note_call(operator, call, is_write);
                }
                OperatorStep::LookAt(at) => {
                    self.queue.schedule(at, Event::OperatorLooks { operator });
                }
                OperatorStep::Done(record) => self.history.operators.push(record),
            }
        }
    }
}
