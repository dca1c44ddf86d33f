//! Reads of the configuration that run beside the event loop: pulls from a peer and reads of the
//! platform's store.
//!
//! Invariants: at most one pull and one read of the store are pending; starting another of its kind
//! or stopping it aborts the pending one; a result that was already sent by then is recognized by
//! its number and dropped.

use crate::peers::{PeerClient, PeerRequest, PeerResponse};
use crate::platform::StoreClient;
use std::sync::Arc;
use std::time::Duration;
use tansylead_types::store::ObjectList;
use tansylead_types::{Moment, NodeId, StepError};
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;

/// Result of a read.
pub(super) type ReadResult = Result<ObjectList, StepError>;

/// The report of a read that has ended.
#[derive(Debug)]
pub(super) enum ReadEnded {
    /// A pull from a peer.
    Pull {
        number: u64,
        peer: NodeId,
        after: u64,
        result: ReadResult,
    },
    /// A read of the store.
    Store {
        number: u64,
        after: u64,
        result: ReadResult,
    },
}

/// A read in progress; it is aborted when this is dropped.
#[derive(Debug)]
struct PendingRead {
    number: u64,
    _task: AbortOnDropHandle<()>,
}

/// The pending reads and the channel on which they report.
#[derive(Debug)]
pub(super) struct ConfigurationReads {
    last_number: u64,
    pull: Option<PendingRead>,
    store: Option<PendingRead>,
    ended_sender: mpsc::UnboundedSender<ReadEnded>,
    ended: mpsc::UnboundedReceiver<ReadEnded>,
}

impl ConfigurationReads {
    /// No read is pending.
    pub(super) fn new() -> Self {
        let (ended_sender, ended) = mpsc::unbounded_channel();
        Self {
            last_number: 0,
            pull: None,
            store: None,
            ended_sender,
            ended,
        }
    }

    /// Waits for the next report. Dropping the future loses no report.
    pub(super) async fn next_ended(&mut self) -> Option<ReadEnded> {
        self.ended.recv().await
    }

    /// Removes the pending read that this report belongs to. Returns false if it is no longer
    /// pending.
    pub(super) fn remove_pending(&mut self, ended: &ReadEnded) -> bool {
        let (pending, number) = match ended {
            ReadEnded::Pull { number, .. } => (&mut self.pull, *number),
            ReadEnded::Store { number, .. } => (&mut self.store, *number),
        };
        pending
            .take_if(|pending| pending.number == number)
            .is_some()
    }

    /// Starts a pull from a peer of all objects after a revision.
    pub(super) fn start_pull(
        &mut self,
        peers: &Arc<PeerClient>,
        peer: NodeId,
        after: u64,
        deadline: Moment,
    ) {
        let number = self.take_number();
        let (peers, ended) = (Arc::clone(peers), self.ended_sender.clone());
        let task = tokio::spawn(async move {
            let result = pull(&peers, peer, after, deadline).await;
            let _ = ended.send(ReadEnded::Pull {
                number,
                peer,
                after,
                result,
            });
        });
        self.pull = Some(PendingRead {
            number,
            _task: AbortOnDropHandle::new(task),
        });
    }

    /// Starts a read of the store: a watch held for `watch_wait`, or a list if that is `None`.
    pub(super) fn start_store(
        &mut self,
        store: &StoreClient,
        after: u64,
        watch_wait: Option<Duration>,
    ) {
        let number = self.take_number();
        let (store, ended) = (store.clone(), self.ended_sender.clone());
        let task = tokio::spawn(async move {
            let result = match watch_wait {
                Some(wait) => store.watch(after, wait).await,
                None => store.list(after).await,
            };
            let _ = ended.send(ReadEnded::Store {
                number,
                after,
                result,
            });
        });
        self.store = Some(PendingRead {
            number,
            _task: AbortOnDropHandle::new(task),
        });
    }

    /// Aborts the pending read of the store.
    pub(super) fn stop_store(&mut self) {
        self.store = None;
    }

    fn take_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}

async fn pull(
    peers: &PeerClient,
    peer: NodeId,
    after: u64,
    deadline: Moment,
) -> Result<ObjectList, StepError> {
    const STEP: &str = "pull configuration";
    let request = PeerRequest::PullConfiguration { after };
    match peers.call(peer, request, deadline).await {
        Ok(PeerResponse::Configuration(list)) => Ok(list),
        Ok(_) => Err(StepError::new(STEP, peer, "the peer is busy")),
        Err(error) => Err(StepError::new(STEP, peer, error)),
    }
}
