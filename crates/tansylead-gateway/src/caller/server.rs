//! Accepts callers, and stops without interrupting any request.
//!
//! Invariant: a connection is closed only between requests, unless reading a request's head or writing its answer
//! takes longer than the idle timeout, or than `CLOSE_LIMIT` in a planned stop.

use super::handler::handle;
use crate::clock::Clock;
use crate::listener::{accept_each, bind};
use crate::metrics::BadInput;
use crate::state::{Gateway, StopPhase};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tansylead_types::{Moment, StepError};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Idle timeout until a configuration sets one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// A connection that was asked to close is dropped after this time without a request.
const CLOSE_LIMIT: Duration = Duration::from_secs(1);
/// Buffer size per connection; headers must fit.
const BUFFER_BYTES: usize = 32 * 1024;

/// The listener for callers.
#[derive(Debug)]
pub struct CallerServer {
    listener: TcpListener,
    gateway: Rc<Gateway>,
}

/// Activity of a connection, for its idle timeout.
#[derive(Debug)]
struct Activity {
    requests: Cell<u32>,
    last: Cell<Moment>,
}

impl CallerServer {
    /// Binds the callers' address.
    pub async fn bind(gateway: Rc<Gateway>) -> Result<Self, StepError> {
        let address = gateway.settings.caller_address;
        let listener = bind(address, "listen for callers").await?;
        Ok(Self { listener, gateway })
    }

    /// Accepts until the task is ended.
    pub async fn run(self) {
        accept_each(self.listener, |stream, caller| {
            spawn_local(serve(Rc::clone(&self.gateway), stream, caller.ip()));
        })
        .await;
    }
}

async fn serve(gateway: Rc<Gateway>, stream: TcpStream, caller: IpAddr) {
    let _ = stream.set_nodelay(true);
    let _open = OpenConnection::new(Rc::clone(&gateway));
    let activity = Rc::new(Activity {
        requests: Cell::new(0),
        last: Cell::new(Clock.now()),
    });
    let service = {
        let gateway = Rc::clone(&gateway);
        let activity = Rc::clone(&activity);
        service_fn(move |request| {
            let gateway = Rc::clone(&gateway);
            let running = RunningRequest::new(Rc::clone(&activity));
            async move {
                let response = handle(&gateway, request, caller).await;
                drop(running);
                Ok::<_, Infallible>(response)
            }
        })
    };
    let connection = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        ended = connection.as_mut() => {
            // A failed connection affects only its own caller.
            if ended.is_err_and(|error| error.is_parse()) {
                gateway.metrics.on_bad_input(BadInput::CallerBytes);
            }
            return;
        }
        () = until_idle_too_long(&gateway, &activity) => {}
    }
    connection.as_mut().graceful_shutdown();
    loop {
        let limit = tokio::time::timeout(CLOSE_LIMIT, connection.as_mut());
        if limit.await.is_ok() || activity.requests.get() == 0 {
            return;
        }
    }
}

/// Waits until the connection has been idle too long, or a planned stop is to close it.
async fn until_idle_too_long(gateway: &Gateway, activity: &Activity) {
    let mut stop = gateway.stop_phases();
    loop {
        let limit = gateway.active().map_or(DEFAULT_IDLE_TIMEOUT, |active| {
            active.configuration.limits.idle_timeout
        });
        let due = if activity.requests.get() > 0 {
            Clock.now() + limit
        } else {
            activity.last.get() + limit
        };
        if due <= Clock.now() {
            return;
        }
        tokio::select! {
            () = Clock.sleep_until(due) => {}
            _ = stop.wait_for(|phase| *phase >= StopPhase::Closing) => return,
        }
    }
}

/// Counts a request of a connection while it runs.
struct RunningRequest {
    activity: Rc<Activity>,
}

impl RunningRequest {
    fn new(activity: Rc<Activity>) -> Self {
        activity.requests.set(activity.requests.get() + 1);
        Self { activity }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let requests = self.activity.requests.get();
        self.activity.requests.set(requests.saturating_sub(1));
        self.activity.last.set(Clock.now());
    }
}

/// Counts a caller's connection while it is open.
struct OpenConnection {
    gateway: Rc<Gateway>,
}

impl OpenConnection {
    fn new(gateway: Rc<Gateway>) -> Self {
        let open = gateway.connections();
        open.set(open.get() + 1);
        Self { gateway }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let open = self.gateway.connections();
        open.set(open.get().saturating_sub(1));
    }
}
