//! Accepts connections of callers, and stops accepting without interrupting any request.

use super::router::Router;
use crate::clock::Clock;
use crate::state::{DaemonState, GaugeGuard};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tansylead_types::{Moment, StepError};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Delay after a failed accept (for example: no file descriptors left).
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Period of checking whether a planned stop can end.
const DRAIN_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Time limits of the server for callers.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Time a caller may take to send its headers.
    pub header_read: Duration,
    /// During a planned stop, idle connections are closed once no query has arrived for this long.
    pub drain_idle: Duration,
    /// During a planned stop, connections are accepted for at least this long.
    pub drain_minimum: Duration,
    /// Time into a planned stop after which new queries are refused.
    pub drain_accept: Duration,
}

/// The listener and all callers' connections.
#[derive(Debug)]
pub struct CallerServer {
    listener: TcpListener,
    router: Arc<Router>,
    state: Arc<DaemonState>,
    limits: ServerLimits,
    clock: Clock,
    close_idle: CancellationToken,
    last_request: Arc<Mutex<Moment>>,
}

impl CallerServer {
    /// Binds the address.
    pub async fn bind(
        address: SocketAddr,
        router: Arc<Router>,
        state: Arc<DaemonState>,
        limits: ServerLimits,
    ) -> Result<Self, StepError> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|cause| StepError::new("listen for callers", address, cause))?;
        Ok(Self {
            listener,
            router,
            state,
            limits,
            clock: Clock,
            close_idle: CancellationToken::new(),
            last_request: Arc::new(Mutex::new(Clock.now())),
        })
    }

    /// The bound address.
    pub fn local_address(&self) -> Result<SocketAddr, StepError> {
        let address = self.listener.local_addr();
        address.map_err(|cause| StepError::new("listen for callers", "own socket", cause))
    }

    /// Serves until `drain` is cancelled, then until all open requests have been answered.
    pub async fn run(self, drain: CancellationToken) {
        loop {
            tokio::select! {
                accepted = self.listener.accept() => self.on_accept(accepted).await,
                () = drain.cancelled() => break,
            }
        }
        self.drain().await;
    }

    /// Keeps accepting and serving, each answer with `Connection: close`, until no query has
    /// arrived for a while and none is open. Callers that keep sending queries are eventually
    /// refused with a retry time, so that an idle moment comes in which no request is interrupted.
    async fn drain(self) {
        let started = self.clock.now();
        loop {
            tokio::select! {
                accepted = self.listener.accept() => self.on_accept(accepted).await,
                () = tokio::time::sleep(DRAIN_CHECK_PERIOD) => {}
            }
            if self.clock.now().since(started) >= self.limits.drain_accept {
                self.state.set_refusing();
            }
            if self.can_stop(started) {
                break;
            }
        }
        self.close_idle.cancel();
        drop(self.listener);
        while self.state.metrics().caller_connections.get() > 0 {
            tokio::time::sleep(DRAIN_CHECK_PERIOD).await;
        }
    }

    fn can_stop(&self, drain_started: Moment) -> bool {
        let now = self.clock.now();
        let idle_for = now.since(*self.last_request.lock());
        let connections = self.state.metrics().caller_connections.get();
        let is_minimum_over = now.since(drain_started) >= self.limits.drain_minimum;
        let is_idle = connections == 0 || idle_for >= self.limits.drain_idle;
        let has_recent_forward = now.since(self.state.last_forwarded()) < self.limits.drain_idle;
        is_minimum_over && is_idle && !has_recent_forward && self.state.queries_in_progress() == 0
    }

    async fn on_accept(&self, accepted: std::io::Result<(TcpStream, SocketAddr)>) {
        match accepted {
            Ok((stream, _)) => self.serve(stream),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let router = Arc::clone(&self.router);
        let last_request = Arc::clone(&self.last_request);
        let clock = self.clock;
        let service = service_fn(move |request: hyper::Request<hyper::body::Incoming>| {
            // Health checks and scrapes go on during a planned stop and must not prolong it.
            if request.method() == hyper::Method::POST {
                *last_request.lock() = clock.now();
            }
            let router = Arc::clone(&router);
            async move { Ok::<_, Infallible>(router.handle(request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.header_read)
            .serve_connection(TokioIo::new(stream), service);
        let close_idle = self.close_idle.clone();
        let open = GaugeGuard::new(&self.state.metrics().caller_connections);
        tokio::spawn(async move {
            let _open = open;
            tokio::pin!(connection);
            tokio::select! {
                // Failures of a caller's connection affect that caller only.
                _ = connection.as_mut() => return,
                () = close_idle.cancelled() => {}
            }
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        });
    }
}
