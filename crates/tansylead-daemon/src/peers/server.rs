//! Answers the requests of peers.

use super::codec::{MAXIMUM_FRAME_BYTES, decode_message, encode_message, hello_codec};
use super::link::LINK_SILENCE_LIMIT;
use super::message::{
    ClientFrame, Hello, HelloReply, PEER_PROTOCOL_VERSION, PeerNotice, PeerRequest, PeerResponse,
    RequestNumber, ServerFrame,
};
use super::traffic::{TrafficCounters, is_answer, is_query};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tansylead_http::end_after_silence;
use tansylead_types::{InstanceId, NodeId, StepError};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Delay after a failed accept (for example: no file descriptors left).
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Handles the requests and notices of peers.
pub trait PeerHandler: Send + Sync + 'static {
    /// Answers a request. The future is dropped if the peer cancels the request or disconnects.
    fn handle_request(
        &self,
        from: InstanceId,
        request: PeerRequest,
    ) -> impl Future<Output = PeerResponse> + Send;

    /// Handles a notice.
    fn handle_notice(&self, from: InstanceId, notice: PeerNotice);
}

/// Limits of the server.
#[derive(Debug, Clone)]
pub struct PeerServerLimits {
    /// Time a peer may take for the handshake.
    pub handshake: Duration,
    /// Maximum number of requests in progress on one connection; more are answered as busy.
    pub in_progress: usize,
}

impl Default for PeerServerLimits {
    fn default() -> Self {
        Self {
            handshake: Duration::from_secs(2),
            in_progress: 4_096,
        }
    }
}

/// The listener for peers.
#[derive(Debug)]
pub struct PeerServer<H> {
    listener: TcpListener,
    local: Hello,
    limits: PeerServerLimits,
    handler: Arc<H>,
    traffic: TrafficCounters,
}

impl<H: PeerHandler> PeerServer<H> {
    /// A server on a bound listener.
    pub fn new(
        listener: TcpListener,
        local: Hello,
        limits: PeerServerLimits,
        handler: Arc<H>,
        traffic: TrafficCounters,
    ) -> Self {
        Self {
            listener,
            local,
            limits,
            handler,
            traffic,
        }
    }

    /// Serves until its task is ended, which closes all connections.
    pub async fn run(self) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        let limits = self.limits.clone();
                        let handler = Arc::clone(&self.handler);
                        let (local, traffic) = (self.local.clone(), self.traffic.clone());
                        connections.spawn(serve(stream, local, limits, handler, traffic));
                    }
                    Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
                },
                // Failures of one peer's connection affect that peer only.
                Some(_) = connections.join_next() => {}
            }
        }
    }
}

async fn serve<H: PeerHandler>(
    stream: TcpStream,
    local: Hello,
    limits: PeerServerLimits,
    handler: Arc<H>,
    traffic: TrafficCounters,
) {
    let _ = stream.set_nodelay(true);
    end_after_silence(&stream, LINK_SILENCE_LIMIT);
    let framed = Framed::new(stream, hello_codec());
    let accepting = tokio::time::timeout(limits.handshake, handshake(framed, &local));
    let Ok(Ok((from, framed))) = accepting.await else {
        return;
    };
    let (sink, source) = framed.split();
    let (responses, queue) = mpsc::unbounded_channel();
    let connection = Connection {
        from,
        limits,
        handler,
        responses,
        traffic: traffic.clone(),
        in_progress: HashMap::new(),
        tasks: JoinSet::new(),
    };
    tokio::select! {
        () = connection.read(source) => {}
        () = write_responses(sink, queue, traffic) => {}
    }
}

async fn handshake(
    mut framed: FramedStream,
    local: &Hello,
) -> Result<(InstanceId, FramedStream), StepError> {
    const STEP: &str = "handshake with peer";
    let failed = |cause: String| StepError::new(STEP, "incoming connection", cause);
    let bytes = framed
        .next()
        .await
        .ok_or_else(|| failed("closed".to_owned()))?
        .map_err(|cause| failed(cause.to_string()))?;
    let hello: Hello = decode_message(&bytes).map_err(|cause| failed(cause.to_string()))?;
    let refusal = refusal_reason(&hello, local);
    let reply = match &refusal {
        Some(reason) => HelloReply::Refused {
            reason: reason.clone(),
        },
        None => HelloReply::Accepted { by: local.from },
    };
    let bytes = encode_message(&reply).map_err(|cause| failed(cause.to_string()))?;
    framed
        .send(bytes)
        .await
        .map_err(|cause| failed(cause.to_string()))?;
    match refusal {
        Some(reason) => Err(failed(reason)),
        None => {
            framed.codec_mut().set_max_frame_length(MAXIMUM_FRAME_BYTES);
            Ok((hello.from, framed))
        }
    }
}

fn refusal_reason(hello: &Hello, local: &Hello) -> Option<String> {
    if hello.protocol_version != PEER_PROTOCOL_VERSION {
        let (theirs, ours) = (hello.protocol_version, PEER_PROTOCOL_VERSION);
        return Some(format!("protocol version {theirs}, expected {ours}"));
    }
    if hello.cluster != local.cluster {
        return Some(format!(
            "this daemon belongs to cluster `{}`",
            local.cluster
        ));
    }
    None
}

async fn write_responses(
    mut sink: SplitSink<FramedStream, bytes::Bytes>,
    mut queue: mpsc::UnboundedReceiver<ServerFrame>,
    traffic: TrafficCounters,
) {
    while let Some(frame) = queue.recv().await {
        let mut next = Some(frame);
        while let Some(frame) = next {
            let Ok(bytes) = encode_message(&frame) else {
                return;
            };
            traffic.count_sent(is_answer(&frame.response), bytes.len());
            if sink.feed(bytes).await.is_err() {
                return;
            }
            next = queue.try_recv().ok();
        }
        if sink.flush().await.is_err() {
            return;
        }
    }
}

/// One connection of a peer. Dropping it cancels all its requests.
struct Connection<H> {
    from: InstanceId,
    limits: PeerServerLimits,
    handler: Arc<H>,
    responses: mpsc::UnboundedSender<ServerFrame>,
    traffic: TrafficCounters,
    in_progress: HashMap<RequestNumber, AbortHandle>,
    tasks: JoinSet<RequestNumber>,
}

impl<H: PeerHandler> Connection<H> {
    async fn read(mut self, mut source: SplitStream<FramedStream>) {
        loop {
            tokio::select! {
                frame = source.next() => {
                    let Some(Ok(bytes)) = frame else {
                        return;
                    };
                    let Ok(frame) = decode_message(&bytes) else {
                        return;
                    };
                    self.traffic.count_received(is_query(&frame), bytes.len());
                    self.on_frame(frame);
                }
                Some(ended) = self.tasks.join_next() => {
                    if let Ok(number) = ended {
                        self.in_progress.remove(&number);
                    }
                }
            }
        }
    }

    fn on_frame(&mut self, frame: ClientFrame) {
        match frame {
            ClientFrame::Request { number, request } => self.on_request(number, *request),
            ClientFrame::Cancel { number } => {
                if let Some(task) = self.in_progress.remove(&number) {
                    task.abort();
                }
            }
            ClientFrame::Notice(notice) => self.handler.handle_notice(self.from, *notice),
        }
    }

    fn on_request(&mut self, number: RequestNumber, request: PeerRequest) {
        let responses = self.responses.clone();
        if self.in_progress.len() >= self.limits.in_progress {
            let response = PeerResponse::Busy;
            let _ = responses.send(ServerFrame { number, response });
            return;
        }
        let handler = Arc::clone(&self.handler);
        let from = self.from;
        let task = self.tasks.spawn(async move {
            let response = handler.handle_request(from, request).await;
            let _ = responses.send(ServerFrame { number, response });
            number
        });
        self.in_progress.insert(number, task);
    }
}

/// Binds the peer address.
pub(crate) async fn bind(address: NodeId) -> Result<TcpListener, StepError> {
    let bound = TcpListener::bind(address.0).await;
    bound.map_err(|cause| StepError::new("listen for peers", address, cause))
}
