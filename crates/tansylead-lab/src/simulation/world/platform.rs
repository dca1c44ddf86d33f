//! The store in the world: outage, slowness, lost answers and held reads.

use super::{Event, World};
use crate::simulation::daemon::STORE_HOLD;
use crate::simulation::history::AcceptedTable;
use crate::simulation::message::{CallId, Request, Response};
use rand::RngExt;
use std::time::Duration;
use tansylead_types::store::WriteRequest;
use tansylead_types::{ConfigObject, ObjectKey, StoredObject};

const SLOWEST_MILLIS: u64 = 4_000;
const SLOWNESS_MILLIS: std::ops::Range<u64> = 500..SLOWEST_MILLIS;
const LOST_ANSWER_SHARE: f64 = 0.5;

impl World<'_> {
    pub(super) fn store_receives(&mut self, call: CallId, request: Request) {
        if self.store.faults.outages > 0 {
            return;
        }
        if self.store.faults.slowness > 0 {
            let delay = Duration::from_millis(self.random.random_range(SLOWNESS_MILLIS));
            self.queue
                .schedule_after(delay, Event::StoreHandles { call, request });
        } else {
            self.store_performs(call, request);
        }
    }

    pub(super) fn store_performs(&mut self, call: CallId, request: Request) {
        let is_held = matches!(request, Request::ReadStore { hold: true, .. });
        let responses = self.store.on_request(call, request);
        if is_held && responses.is_empty() {
            self.queue
                .schedule_after(STORE_HOLD, Event::StoreReleases { call });
        }
        self.store_responds(responses);
    }

    pub(super) fn store_releases(&mut self, call: CallId) {
        let response = self.store.release(call);
        self.store_responds(
            response
                .into_iter()
                .map(|response| (call, response))
                .collect(),
        );
    }

    /// Writes an object on behalf of whoever owns it; false during an outage.
    pub(super) fn write_directly(&mut self, key: ObjectKey, object: ConfigObject) -> bool {
        if self.store.faults.outages > 0 {
            return false;
        }
        let generation = self.store.get(&key).map_or(0, |stored| stored.generation);
        let change = format!("index-{}", self.now().0);
        let write = WriteRequest {
            expected_generation: generation,
            change: tansylead_types::ChangeId::new(change).expect("generated name is valid"),
            object,
        };
        let written = self.store.write(key, write).is_ok();
        let responses = self.store.answer_held();
        self.store_responds(responses);
        written
    }

    fn store_responds(&mut self, responses: Vec<(CallId, Response)>) {
        for (call, response) in responses {
            if let Response::Written(stored) = &response {
                self.note_accepted(stored);
            }
            let loses = self.store.faults.lost_answers > 0;
            if self.store.faults.outages > 0
                || (loses && self.random.random_bool(LOST_ANSWER_SHARE))
            {
                continue;
            }
            self.respond(call, response);
        }
    }

    fn note_accepted(&mut self, stored: &StoredObject) {
        if let Some(ConfigObject::Table(table)) = &stored.object {
            self.history.accepted_tables.push(AcceptedTable {
                at: self.now(),
                generation: stored.generation,
                change: stored.change.clone(),
                table: table.clone(),
            });
        }
    }
}
