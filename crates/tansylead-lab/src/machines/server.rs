//! The HTTP interface of the stand-in machine list.

use super::history::MachineHistory;
use crate::http::{self, Reply, json_reply, read_json, text_reply};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tansylead_types::Moment;
use tansylead_types::store::{MACHINES_PATH, MachineList};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Path that replaces the faults in force.
pub const FAULTS_PATH: &str = "/lab/faults";
/// Path that replaces the true list of machines.
pub const TRUE_MACHINES_PATH: &str = "/lab/machines";

/// Faults in force; a request replaces them all. The default is no fault.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MachinesFaults {
    /// The list shown is this old, in milliseconds.
    pub lag_millis: u64,
    /// Connections are closed without an answer.
    pub outage: bool,
}

#[derive(Debug)]
struct Machines {
    started: Instant,
    history: Mutex<MachineHistory>,
    faults: Mutex<MachinesFaults>,
}

/// Serves the machine list until the token is cancelled.
pub async fn serve(listener: TcpListener, stop: CancellationToken) {
    let machines = Arc::new(Machines {
        started: Instant::now(),
        history: Mutex::new(MachineHistory::default()),
        faults: Mutex::new(MachinesFaults::default()),
    });
    http::serve(listener, stop, move |request, _peer| {
        let machines = Arc::clone(&machines);
        async move { machines.handle(request).await }
    })
    .await;
}

impl Machines {
    async fn handle(&self, request: Request<Incoming>) -> Reply {
        let path = request.uri().path().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::GET, MACHINES_PATH) => self.list(),
            (Method::POST, TRUE_MACHINES_PATH) => match read_json(request.into_body()).await {
                Ok(list) => self.set_list(list),
                Err(reply) => reply,
            },
            (Method::POST, FAULTS_PATH) => match read_json(request.into_body()).await {
                Ok(faults) => self.set_faults(faults),
                Err(reply) => reply,
            },
            _ => text_reply(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn now(&self) -> Moment {
        Moment::default() + self.started.elapsed()
    }

    fn list(&self) -> Reply {
        let faults = self.faults.lock().clone();
        if faults.outage {
            return Reply::CloseWithoutAnswer;
        }
        let lag = Duration::from_millis(faults.lag_millis);
        json_reply(StatusCode::OK, &self.history.lock().seen(self.now(), lag))
    }

    fn set_list(&self, list: MachineList) -> Reply {
        self.history.lock().set(self.now(), list.clone());
        json_reply(StatusCode::OK, &list)
    }

    fn set_faults(&self, faults: MachinesFaults) -> Reply {
        *self.faults.lock() = faults.clone();
        json_reply(StatusCode::OK, &faults)
    }
}
