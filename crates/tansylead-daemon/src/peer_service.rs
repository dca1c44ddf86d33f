//! Handles the requests and notices of peers.

use crate::claims::Claims;
use crate::clock::Clock;
use crate::cluster::ClusterHandle;
use crate::configuration::PlacementKey;
use crate::peers::{
    ForwardedAnswer, ForwardedQuery, PeerHandler, PeerNotice, PeerRequest, PeerResponse,
};
use crate::root::{RootCommand, RootDirectory};
use crate::root_service::{RootError, RootService};
use crate::state::DaemonState;
use std::sync::Arc;
use tansylead_types::InstanceId;

/// Handles the requests and notices of peers.
#[derive(Debug)]
pub struct PeerService {
    /// Executes forwarded queries.
    pub roots: Arc<RootService>,
    /// Passes notices on to roots.
    pub directory: RootDirectory,
    /// Serves pulls of the configuration.
    pub cluster: ClusterHandle,
    /// Answers requests to this daemon's claim member.
    pub claims: Arc<Claims>,
    /// Counts queries in progress.
    pub state: Arc<DaemonState>,
}

impl PeerHandler for PeerService {
    async fn handle_request(&self, _from: InstanceId, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::Query(query) => self.query(query).await,
            PeerRequest::PullConfiguration { after } => match self.cluster.pull(after).await {
                Some(list) => PeerResponse::Configuration(list),
                None => PeerResponse::Busy,
            },
            PeerRequest::Claim(request) => {
                PeerResponse::Claim(Box::new(self.claims.on_request(&request)))
            }
            PeerRequest::KeyOutcome { key, holder } => {
                PeerResponse::KeyOutcome(self.claims.key_outcome(&key, holder))
            }
        }
    }

    fn handle_notice(&self, from: InstanceId, notice: PeerNotice) {
        match notice {
            PeerNotice::Share(share) => {
                let key = PlacementKey {
                    service: share.service,
                    place: share.place,
                };
                self.send_to_root(
                    &key,
                    RootCommand::Share {
                        from: from.node,
                        message: share.message,
                    },
                );
            }
            PeerNotice::LeafLeaving(leaving) => {
                let key = PlacementKey {
                    service: leaving.service,
                    place: leaving.place,
                };
                self.send_to_root(&key, RootCommand::LeafLeaving(leaving.leaf));
            }
        }
    }
}

impl PeerService {
    async fn query(&self, query: ForwardedQuery) -> PeerResponse {
        let deadline = Clock.now() + query.request.time_left;
        let key = PlacementKey {
            service: query.request.service.clone(),
            place: query.place,
        };
        if !self.roots.has_root(&key) {
            return PeerResponse::NotRoot;
        }
        let _in_progress = self.state.count_forwarded_query();
        match self.roots.execute(&key, query.request, deadline).await {
            Ok(answered) => PeerResponse::Answer(Box::new(ForwardedAnswer {
                answer: answered.answer,
                report: answered.report,
            })),
            Err(RootError::NotRoot) => PeerResponse::NotRoot,
            Err(RootError::Busy) => PeerResponse::Busy,
            Err(RootError::Lost) => PeerResponse::RootLost,
        }
    }

    fn send_to_root(&self, key: &PlacementKey, command: RootCommand) {
        if let Some(root) = self.directory.get(key) {
            root.send(command);
        }
    }
}
