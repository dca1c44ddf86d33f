//! Accepts callers, and stops without interrupting any request.
//!
//! Invariant: a connection is closed only between requests, unless its caller takes longer than a time limit to send a
//! head or to read any of an answer, or memory is short. A planned stop waits for answers.

use super::answer::AnswerBody;
use super::connection::{BUFFER_BYTES, CallerConnection, EndCause};
use super::handler::handle;
use super::lingering_close::close_after_answer;
use super::socket::{ReceiveBuffers, bind};
use super::stream::CallerStream;
use crate::listener::accept_each;
use crate::metrics::BadInput;
use crate::state::{Gateway, StopPhase};
use hyper::Request;
use hyper::Response;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::poll_fn;
use std::net::IpAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tansylead_types::StepError;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// A connection that was asked to close is dropped after this time without a request.
const CLOSE_LIMIT: Duration = Duration::from_secs(1);

/// The listener for callers.
#[derive(Debug)]
pub struct CallerServer {
    listener: TcpListener,
    gateway: Rc<Gateway>,
    receive_buffers: Rc<ReceiveBuffers>,
}

impl CallerServer {
    /// Binds the callers' address.
    pub async fn bind(gateway: Rc<Gateway>) -> Result<Self, StepError> {
        let address = gateway.settings.caller_address;
        let listener =
            bind(address).map_err(|cause| StepError::new("listen for callers", address, cause))?;
        let resources = &gateway.settings.resources;
        let receive_buffers =
            ReceiveBuffers::new(resources.receive_bytes(), resources.caller_connections());
        Ok(Self {
            listener,
            gateway,
            receive_buffers: Rc::new(receive_buffers),
        })
    }

    /// Accepts until the task is ended.
    pub async fn run(self) {
        accept_each(self.listener, |stream, caller| {
            let Some(open) = OpenConnection::accept(&self.gateway) else {
                return;
            };
            let buffers = Rc::clone(&self.receive_buffers);
            spawn_local(async move {
                let _buffer = buffers.assign(&stream);
                serve(&open.gateway, &open.connection, stream, caller.ip()).await;
            });
        })
        .await;
    }
}

/// Serves a connection until it ends. Little is held for it before something has been received.
async fn serve(
    gateway: &Rc<Gateway>,
    connection: &Rc<CallerConnection>,
    stream: TcpStream,
    caller: IpAddr,
) {
    let _ = stream.set_nodelay(true);
    let mut stop = gateway.stop_phases();
    loop {
        tokio::select! {
            biased;
            readable = stream.readable() => match readable {
                Ok(()) => break,
                Err(_) => return,
            },
            () = connection.wait_for_wake() => {
                if let Some(cause) = connection.end_cause(&gateway.caller_limits()) {
                    gateway.on_connection_ended(connection, cause);
                    return;
                }
            }
            _ = stop.wait_for(|phase| *phase >= StopPhase::Closing) => return,
        }
    }
    if connection.on_session().is_err() {
        gateway.on_connection_ended(connection, EndCause::Memory);
        return;
    }
    // Boxed, so that connections on which nothing has been received need no room for it.
    Box::pin(serve_requests(gateway, connection, stream, caller)).await;
}

async fn serve_requests(
    gateway: &Rc<Gateway>,
    connection: &Rc<CallerConnection>,
    stream: TcpStream,
    caller: IpAddr,
) {
    let service = {
        let gateway = Rc::clone(gateway);
        let connection = Rc::clone(connection);
        service_fn(move |request: Request<Incoming>| {
            let gateway = Rc::clone(&gateway);
            let connection = Rc::clone(&connection);
            connection.on_head(!request.body().is_end_stream());
            // Boxed, so that connections at rest need no room for a request.
            Box::pin(async move {
                let response = handle(&gateway, &connection, request, caller).await;
                Ok::<Response<AnswerBody>, Infallible>(response)
            })
        })
    };
    let stream = CallerStream::new(stream, Rc::clone(connection));
    let mut http = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut stop = gateway.stop_phases();
    let is_stopping = stop.wait_for(|phase| *phase >= StopPhase::Closing);
    tokio::pin!(is_stopping);
    let mut is_closing = false;
    loop {
        let step = tokio::select! {
            biased;
            ended = poll_fn(|context| match is_closing {
                // Writes an answer that is being sent to its end before it shuts the socket down.
                true => Pin::new(&mut http).poll(context),
                false => http.poll_without_shutdown(context),
            }) => {
                on_http_end(gateway, connection, &ended);
                if ended.is_ok() && !is_closing {
                    close(connection, http.into_parts().io.into_inner().into_inner()).await;
                }
                return;
            }
            () = connection.wait_for_wake() => next_step(gateway, connection),
            _ = &mut is_stopping, if !is_closing => Step::Close,
            () = tokio::time::sleep(CLOSE_LIMIT), if is_closing && !connection.is_in_use() => Step::Drop,
        };
        match step {
            Step::Serve => {}
            Step::Close => {
                is_closing = true;
                Pin::new(&mut http).graceful_shutdown();
            }
            Step::Drop => return,
        }
    }
}

/// What to do with a connection.
enum Step {
    Serve,
    /// Closes it between requests.
    Close,
    /// Drops it.
    Drop,
}

/// What to do with a connection that may have to end.
fn next_step(gateway: &Gateway, connection: &CallerConnection) -> Step {
    match connection.end_cause(&gateway.caller_limits()) {
        None => Step::Serve,
        // The handler refuses the request first.
        Some(_) if connection.is_receiving_body() => Step::Serve,
        Some(cause) => {
            gateway.on_connection_ended(connection, cause);
            match cause {
                EndCause::Idle => Step::Close,
                _ => Step::Drop,
            }
        }
    }
}

fn on_http_end(gateway: &Gateway, connection: &CallerConnection, ended: &Result<(), hyper::Error>) {
    // A failed connection affects only its own caller.
    let Err(error) = ended else {
        return;
    };
    if error.is_parse() {
        gateway.metrics.on_bad_input(BadInput::CallerBytes);
    } else if connection.is_ending() {
        gateway.on_connection_ended(connection, EndCause::Memory);
    }
}

/// Closes a connection whose last answer was sent.
async fn close(connection: &CallerConnection, mut stream: TcpStream) {
    if connection.leaves_body() {
        close_after_answer(stream).await;
    } else {
        // A caller that has closed the connection itself makes this fail.
        let _ = stream.shutdown().await;
    }
}

/// A caller's connection while it is open.
struct OpenConnection {
    gateway: Rc<Gateway>,
    connection: Rc<CallerConnection>,
}

impl OpenConnection {
    /// Takes a new connection; none if there is no room for it, and it is closed at once.
    fn accept(gateway: &Rc<Gateway>) -> Option<Self> {
        let connections = &gateway.caller_connections;
        let is_full = connections.count() >= gateway.resources().caller_connections();
        if is_full && !connections.make_room() {
            gateway.on_connection_refused(EndCause::Descriptors);
            return None;
        }
        let rate = gateway.resources().stalled_bytes_per_second;
        let number = connections.next_number();
        match CallerConnection::accept(number, &gateway.memory, rate) {
            Ok(connection) => {
                connections.add(&connection);
                Some(Self {
                    gateway: Rc::clone(gateway),
                    connection,
                })
            }
            Err(_) => {
                gateway.on_connection_refused(EndCause::Memory);
                None
            }
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.gateway.caller_connections.remove(&self.connection);
    }
}
