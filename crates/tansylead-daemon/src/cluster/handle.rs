//! Handle through which the rest of the daemon sends messages to the cluster task.

use std::time::Duration;
use tansylead_cluster::spread::InForceReport;
use tansylead_types::store::{MachineList, ObjectList};
use tokio::sync::{mpsc, oneshot};

/// Message to the cluster task.
#[derive(Debug)]
pub enum ClusterInput {
    /// This daemon begins a planned stop.
    Leave,
    /// This daemon is about to exit; answered when the last packets are sent.
    Exit(oneshot::Sender<()>),
    /// The machine list was read.
    MachineList(MachineList),
    /// A peer pulls all objects after a revision.
    ServePull {
        /// The revision.
        after: u64,
        /// Where the objects go.
        reply: oneshot::Sender<ObjectList>,
    },
    /// Find out on which daemons a revision is in force.
    CheckInForce {
        /// The revision.
        revision: u64,
        /// How long to wait for it.
        limit: Duration,
        /// Where the report goes.
        reply: oneshot::Sender<InForceReport>,
    },
}

/// Sends messages to the cluster task.
#[derive(Debug, Clone)]
pub struct ClusterHandle {
    inputs: mpsc::UnboundedSender<ClusterInput>,
}

impl ClusterHandle {
    /// A handle, and what the task receives from it.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<ClusterInput>) {
        let (inputs, receiver) = mpsc::unbounded_channel();
        (Self { inputs }, receiver)
    }

    /// Begins a planned stop.
    pub fn leave(&self) {
        let _ = self.inputs.send(ClusterInput::Leave);
    }

    /// Tells the peers that this daemon exits, and waits until the last packets are sent.
    pub async fn exit(&self) {
        let (reply, done) = oneshot::channel();
        if self.inputs.send(ClusterInput::Exit(reply)).is_ok() {
            let _ = done.await;
        }
    }

    /// Passes on a machine list.
    pub fn send_machine_list(&self, list: MachineList) {
        let _ = self.inputs.send(ClusterInput::MachineList(list));
    }

    /// All configuration objects after a revision; `None` if there is nothing to serve.
    pub async fn pull(&self, after: u64) -> Option<ObjectList> {
        let (reply, list) = oneshot::channel();
        let input = ClusterInput::ServePull { after, reply };
        self.inputs.send(input).ok()?;
        list.await.ok()
    }

    /// On which daemons a revision is in force; `None` if the task has ended.
    pub async fn in_force(&self, revision: u64, limit: Duration) -> Option<InForceReport> {
        let (reply, report) = oneshot::channel();
        let input = ClusterInput::CheckInForce {
            revision,
            limit,
            reply,
        };
        self.inputs.send(input).ok()?;
        report.await.ok()
    }
}
