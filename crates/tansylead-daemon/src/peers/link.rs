//! A link: the task that owns the client side of one connection to a peer.

use super::codec::{MAXIMUM_FRAME_BYTES, decode_message, encode_message, hello_codec};
use super::message::{
    ClientFrame, Hello, HelloReply, PeerNotice, PeerRequest, PeerResponse, RequestNumber,
    ServerFrame,
};
use super::traffic::{TrafficCounters, is_answer, is_query};
use crate::clock::Clock;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tansylead_http::end_after_silence;
use tansylead_types::{Moment, NodeId, StepError};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;
type FrameSink = SplitSink<FramedStream, bytes::Bytes>;
type FrameSource = SplitStream<FramedStream>;

/// A link ends when its peer has acknowledged nothing, not even TCP keepalive probes, for this long;
/// the next call opens another.
pub(super) const LINK_SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Why a call on a link got no response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The frame was never handed to a connection.
    #[error("not sent: {0}")]
    NotSent(StepError),
    /// The peer may have received it.
    #[error("may have been received: {0}")]
    MaybeReceived(StepError),
}

/// Command to the task of a link.
#[derive(Debug)]
pub(super) enum LinkCommand {
    /// Send a request.
    Call(Box<Call>),
    /// The response is no longer wanted.
    Cancel(RequestNumber),
    /// Send a notice.
    Notify(Box<PeerNotice>),
}

/// Time subtracted from a query's deadline for the round trip to the root. Never more than half of
/// the time left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ForwardAllowance(pub Duration);

impl ForwardAllowance {
    fn time_left_for_peer(self, time_left: Duration) -> Duration {
        time_left.saturating_sub(self.0).max(time_left / 2)
    }
}

/// A request waiting to be sent.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) number: RequestNumber,
    pub(super) request: PeerRequest,
    /// The request is not sent after this.
    pub(super) deadline: Moment,
    /// Subtracted from the time left that is sent to the peer.
    pub(super) allowance: ForwardAllowance,
    pub(super) reply: oneshot::Sender<Result<PeerResponse, CallError>>,
}

type Pending = Arc<Mutex<HashMap<RequestNumber, oneshot::Sender<Result<PeerResponse, CallError>>>>>;

/// Limits of a link.
#[derive(Debug, Clone)]
pub(super) struct LinkLimits {
    pub(super) connect: Duration,
    pub(super) idle: Duration,
}

/// Connects and serves commands until the connection fails or has been idle for long. Calls that
/// were not sent fail as not sent.
pub(super) async fn run_link(
    peer: NodeId,
    hello: Arc<Hello>,
    limits: LinkLimits,
    traffic: TrafficCounters,
    mut commands: mpsc::Receiver<LinkCommand>,
) {
    let connecting = tokio::time::timeout(limits.connect, connect(peer, &hello));
    let connected = match connecting.await {
        Ok(connected) => connected,
        Err(_) => {
            let cause = format!("no handshake within {} ms", limits.connect.as_millis());
            Err(StepError::new("connect to peer", peer, cause))
        }
    };
    let error = match connected {
        Ok(stream) => serve(peer, stream, &limits, &mut commands, &traffic).await,
        Err(error) => error,
    };
    fail_unsent_calls(&mut commands, &error);
}

/// Fails the calls that were never sent, including those queued until the last sender sees that the
/// channel is closed.
fn fail_unsent_calls(commands: &mut mpsc::Receiver<LinkCommand>, error: &StepError) {
    commands.close();
    while let Ok(command) = commands.try_recv() {
        if let LinkCommand::Call(call) = command {
            let _ = call.reply.send(Err(CallError::NotSent(error.clone())));
        }
    }
}

async fn connect(peer: NodeId, hello: &Hello) -> Result<FramedStream, StepError> {
    const STEP: &str = "connect to peer";
    let failed = |cause: String| StepError::new(STEP, peer, cause);
    let stream = TcpStream::connect(peer.0)
        .await
        .map_err(|cause| failed(cause.to_string()))?;
    stream
        .set_nodelay(true)
        .map_err(|cause| failed(cause.to_string()))?;
    end_after_silence(&stream, LINK_SILENCE_LIMIT);
    let mut framed = Framed::new(stream, hello_codec());
    let bytes = encode_message(hello).map_err(|cause| failed(cause.to_string()))?;
    framed
        .send(bytes)
        .await
        .map_err(|cause| failed(cause.to_string()))?;
    let reply = framed
        .next()
        .await
        .ok_or_else(|| failed("closed during the handshake".to_owned()))?
        .map_err(|cause| failed(cause.to_string()))?;
    match decode_message(&reply).map_err(|cause| failed(cause.to_string()))? {
        HelloReply::Accepted { by } if by.node == peer => {
            framed.codec_mut().set_max_frame_length(MAXIMUM_FRAME_BYTES);
            Ok(framed)
        }
        HelloReply::Accepted { by } => Err(failed(format!("answered as {}", by.node))),
        HelloReply::Refused { reason } => Err(failed(reason)),
    }
}

async fn serve(
    peer: NodeId,
    stream: FramedStream,
    limits: &LinkLimits,
    commands: &mut mpsc::Receiver<LinkCommand>,
    traffic: &TrafficCounters,
) -> StepError {
    let pending = Pending::default();
    let (sink, source) = stream.split();
    let reading = read_responses(peer, source, Arc::clone(&pending), traffic);
    let writing = write_commands(peer, sink, limits, commands, &pending, traffic);
    let error = tokio::select! {
        error = reading => error,
        error = writing => error,
    };
    for (_, reply) in pending.lock().drain() {
        let _ = reply.send(Err(CallError::MaybeReceived(error.clone())));
    }
    error
}

async fn read_responses(
    peer: NodeId,
    mut source: FrameSource,
    pending: Pending,
    traffic: &TrafficCounters,
) -> StepError {
    const STEP: &str = "read from peer";
    loop {
        let bytes = match source.next().await {
            None => return StepError::new(STEP, peer, "closed by the peer"),
            Some(Err(cause)) => return StepError::new(STEP, peer, cause),
            Some(Ok(bytes)) => bytes,
        };
        match decode_message::<ServerFrame>(&bytes) {
            Err(cause) => return StepError::new(STEP, peer, cause),
            Ok(frame) => {
                traffic.count_received(is_answer(&frame.response), bytes.len());
                // An unknown number belongs to a response to a cancelled request.
                if let Some(reply) = pending.lock().remove(&frame.number) {
                    let _ = reply.send(Ok(frame.response));
                }
            }
        }
    }
}

async fn write_commands(
    peer: NodeId,
    mut sink: FrameSink,
    limits: &LinkLimits,
    commands: &mut mpsc::Receiver<LinkCommand>,
    pending: &Pending,
    traffic: &TrafficCounters,
) -> StepError {
    const STEP: &str = "write to peer";
    loop {
        let command = match tokio::time::timeout(limits.idle, commands.recv()).await {
            Ok(Some(command)) => command,
            Ok(None) => return StepError::new(STEP, peer, "no longer needed"),
            Err(_) if pending.lock().is_empty() => {
                return StepError::new(STEP, peer, "closed after being idle");
            }
            Err(_) => continue,
        };
        let mut next = Some(command);
        while let Some(command) = next {
            if let Err(cause) = feed(&mut sink, command, pending, traffic).await {
                return StepError::new(STEP, peer, cause);
            }
            next = commands.try_recv().ok();
        }
        if let Err(cause) = sink.flush().await {
            return StepError::new(STEP, peer, cause);
        }
    }
}

/// Hands one command to the connection. From the moment its bytes are handed over, a request counts
/// as possibly received.
async fn feed(
    sink: &mut FrameSink,
    command: LinkCommand,
    pending: &Pending,
    traffic: &TrafficCounters,
) -> Result<(), std::io::Error> {
    let frame = match command {
        LinkCommand::Call(call) => match request_frame(*call, pending) {
            Some(frame) => frame,
            None => return Ok(()),
        },
        LinkCommand::Cancel(number) => {
            if pending.lock().remove(&number).is_none() {
                return Ok(());
            }
            ClientFrame::Cancel { number }
        }
        LinkCommand::Notify(notice) => ClientFrame::Notice(notice),
    };
    let bytes = encode_message(&frame).map_err(std::io::Error::other)?;
    traffic.count_sent(is_query(&frame), bytes.len());
    sink.feed(bytes).await
}

/// The frame of a call whose response is still awaited and whose deadline has not passed. Checks
/// the time last, right before the frame is handed over: a process that was paused until now must
/// not send it.
fn request_frame(call: Call, pending: &Pending) -> Option<ClientFrame> {
    if call.reply.is_closed() {
        return None;
    }
    let time_left = Clock.time_left(call.deadline);
    if time_left.is_zero() {
        let error = StepError::new("write to peer", "connection", "the deadline has passed");
        let _ = call.reply.send(Err(CallError::NotSent(error)));
        return None;
    }
    let mut request = call.request;
    if let PeerRequest::Query(query) = &mut request {
        query.request.time_left = call.allowance.time_left_for_peer(time_left);
    }
    pending.lock().insert(call.number, call.reply);
    Some(ClientFrame::Request {
        number: call.number,
        request: Box::new(request),
    })
}
