//! A leaf whose answers a script controls down to the bytes sent.

use super::http::{json_reply, read_message};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tansylead_types::leaf::{
    LeafAnswer, LeafHealth, LeafLoad, LeafRefusal, LeafRequest, RefusalReason,
};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::task::AbortOnDropHandle;

/// What the leaf does with one request.
#[derive(Debug, Clone)]
pub enum Step {
    /// Answers validly, after a delay.
    Answer(Duration),
    /// Answers validly, then closes the connection.
    AnswerAndClose,
    /// Answers with this text as the result.
    AnswerWith(String),
    /// Answers as if to another root.
    AnswerOtherRoot,
    /// Refuses validly.
    Refuse(RefusalReason),
    /// Refuses as if the request were another attempt.
    RefuseOtherAttempt,
    /// Writes the first half of a valid answer, then closes the connection.
    HalfAnswer,
    /// Closes the connection after reading the request.
    Close,
    /// Never answers.
    Silence,
    /// Answers with this status and body.
    Raw(u16, String),
}

/// The running leaf.
pub struct ScriptedLeaf {
    pub address: SocketAddr,
    pub requests: Arc<Mutex<Vec<LeafRequest>>>,
    pub connections: Arc<AtomicUsize>,
    _task: AbortOnDropHandle<()>,
}

type Script = Arc<dyn Fn(usize, &LeafRequest) -> Step + Send + Sync>;

impl ScriptedLeaf {
    /// Starts a leaf; `script` gets the number of the request (from 0) and the request.
    pub async fn start(
        script: impl Fn(usize, &LeafRequest) -> Step + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let connections = Arc::new(AtomicUsize::new(0));
        let script: Script = Arc::new(script);
        let (log, count) = (Arc::clone(&requests), Arc::clone(&connections));
        let task = tokio::spawn(async move {
            let mut serving = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                count.fetch_add(1, Ordering::SeqCst);
                serving.spawn(serve(stream, Arc::clone(&script), Arc::clone(&log)));
            }
        });
        Self {
            address,
            requests,
            connections,
            _task: AbortOnDropHandle::new(task),
        }
    }

    pub fn request_count(&self) -> usize {
        self.requests.lock().len()
    }

    pub fn connection_count(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }
}

async fn serve(mut stream: TcpStream, script: Script, log: Arc<Mutex<Vec<LeafRequest>>>) {
    while let Some((head, body)) = read_message(&mut stream).await {
        if head.starts_with("GET") {
            let health = LeafHealth {
                healthy: true,
                ..LeafHealth::default()
            };
            let text = serde_json::to_string(&health).expect("encode");
            let _ = stream.write_all(json_reply(200, &text).as_bytes()).await;
            continue;
        }
        let request: LeafRequest = serde_json::from_slice(&body).expect("leaf request");
        let step = {
            let mut log = log.lock();
            log.push(request.clone());
            script(log.len() - 1, &request)
        };
        if !perform(&mut stream, &request, step).await {
            return;
        }
    }
}

/// Performs a step. Returns false if the connection is to be closed.
async fn perform(stream: &mut TcpStream, request: &LeafRequest, step: Step) -> bool {
    let (text, keep_open) = match step {
        Step::Answer(delay) => {
            tokio::time::sleep(delay).await;
            (answer(request, "\"found\"", &request.root), true)
        }
        Step::AnswerAndClose => (answer(request, "\"found\"", &request.root), false),
        Step::AnswerWith(result) => (answer(request, &result, &request.root), true),
        Step::AnswerOtherRoot => (answer(request, "\"found\"", "other"), true),
        Step::Refuse(reason) => (refusal(request, reason, 0), true),
        Step::RefuseOtherAttempt => (refusal(request, RefusalReason::Overloaded, 1), true),
        Step::HalfAnswer => {
            let whole = answer(request, "\"found\"", &request.root);
            (whole[..whole.len() / 2].to_owned(), false)
        }
        Step::Close => return false,
        Step::Silence => std::future::pending().await,
        Step::Raw(status, body) => (json_reply(status, &body), true),
    };
    stream.write_all(text.as_bytes()).await.is_ok() && keep_open
}

fn answer(request: &LeafRequest, result: &str, root: &str) -> String {
    let answer = LeafAnswer {
        request: request.request.clone(),
        root: root.to_owned(),
        query: request.query,
        attempt: request.attempt,
        shard: request.shard.clone(),
        snapshot: request.snapshot,
        result: result.to_owned(),
        load: LeafLoad::default(),
    };
    json_reply(200, &serde_json::to_string(&answer).expect("encode"))
}

fn refusal(request: &LeafRequest, reason: RefusalReason, attempt_offset: u32) -> String {
    let refusal = LeafRefusal {
        root: request.root.clone(),
        query: request.query,
        attempt: tansylead_types::AttemptId(request.attempt.0 + attempt_offset),
        reason,
        retry_after_millis: None,
        load: LeafLoad::default(),
    };
    json_reply(503, &serde_json::to_string(&refusal).expect("encode"))
}
