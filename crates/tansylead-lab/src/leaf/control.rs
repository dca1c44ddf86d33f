//! The control interface of a process of stand-in leafs: faults, holdings, counters, executions.

use super::counters::LeafCounters;
use super::execution_log::{ExecutionLog, ExecutionPage};
use super::faults::LeafFaultsRequest;
use super::spec::Holding;
use super::standin_leaf::StandInLeaf;
use crate::http::{self, JsonClient, Reply, json_reply, numeric_parameter, read_json, text_reply};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use tansylead_types::leaf::LeafLoad;
use tansylead_types::{LeafId, PlaceName, ServiceName, StepError};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Path that replaces the faults of some leafs.
pub const FAULTS_PATH: &str = "/lab/faults";
/// Path that replaces what one leaf holds.
pub const HOLDINGS_PATH: &str = "/lab/holdings";
/// Path of the execution log; parameters `after` and `limit`.
pub const EXECUTIONS_PATH: &str = "/lab/executions";
/// Path of the list of leafs with their counters.
pub const LEAFS_PATH: &str = "/lab/leafs";
/// Entries in one page of the execution log, unless the reader asks for fewer.
const PAGE_ENTRIES: usize = 20_000;

/// Replaces what one leaf holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HoldingsRequest {
    /// Which leaf.
    pub leaf: LeafId,
    /// What it holds from now on.
    pub holdings: Vec<Holding>,
}

/// One leaf as the control interface shows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeafStatus {
    /// Name.
    pub leaf: LeafId,
    /// Service.
    pub service: ServiceName,
    /// Place.
    pub place: PlaceName,
    /// Address it listens on.
    pub address: SocketAddr,
    /// True load.
    pub load: LeafLoad,
    /// Counters.
    pub counters: LeafCounters,
}

/// Serves the control interface until the token is cancelled.
pub async fn serve(
    listener: TcpListener,
    leafs: Arc<Vec<Arc<StandInLeaf>>>,
    log: Arc<ExecutionLog>,
    stop: CancellationToken,
) {
    let control = Arc::new(Control { leafs, log });
    http::serve(listener, stop, move |request, _peer| {
        let control = Arc::clone(&control);
        async move { control.handle(request).await }
    })
    .await;
}

struct Control {
    leafs: Arc<Vec<Arc<StandInLeaf>>>,
    log: Arc<ExecutionLog>,
}

impl Control {
    async fn handle(&self, request: Request<Incoming>) -> Reply {
        let path = request.uri().path().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::GET, LEAFS_PATH) => json_reply(StatusCode::OK, &self.statuses()),
            (Method::GET, EXECUTIONS_PATH) => {
                let after = numeric_parameter(request.uri(), "after").unwrap_or(0);
                let limit = numeric_parameter(request.uri(), "limit")
                    .and_then(|limit| usize::try_from(limit).ok())
                    .unwrap_or(PAGE_ENTRIES);
                json_reply(StatusCode::OK, &self.log.page(after, limit))
            }
            (Method::POST, FAULTS_PATH) => match read_json(request.into_body()).await {
                Ok(faults) => self.set_faults(faults),
                Err(reply) => reply,
            },
            (Method::POST, HOLDINGS_PATH) => match read_json(request.into_body()).await {
                Ok(holdings) => self.set_holdings(holdings),
                Err(reply) => reply,
            },
            _ => text_reply(StatusCode::NOT_FOUND, "no such control path"),
        }
    }

    fn statuses(&self) -> Vec<LeafStatus> {
        let status = |leaf: &Arc<StandInLeaf>| LeafStatus {
            leaf: leaf.spec.leaf.clone(),
            service: leaf.spec.service.clone(),
            place: leaf.spec.place.clone(),
            address: leaf.address,
            load: leaf.load(),
            counters: leaf.counters(),
        };
        self.leafs.iter().map(status).collect()
    }

    fn find(&self, name: &LeafId) -> Result<&Arc<StandInLeaf>, Reply> {
        self.leafs
            .iter()
            .find(|leaf| leaf.spec.leaf == *name)
            .ok_or_else(|| text_reply(StatusCode::NOT_FOUND, format!("no leaf `{name}` here")))
    }

    fn set_faults(&self, request: LeafFaultsRequest) -> Reply {
        let named: Result<Vec<_>, Reply> =
            request.leafs.iter().map(|name| self.find(name)).collect();
        let chosen = match named {
            Ok(chosen) if chosen.is_empty() => self.leafs.iter().collect(),
            Ok(chosen) => chosen,
            Err(reply) => return reply,
        };
        log::info!("faults of {} leafs: {:?}", chosen.len(), request.faults);
        for leaf in chosen {
            leaf.set_faults(request.faults.clone());
        }
        json_reply(StatusCode::OK, &request)
    }

    fn set_holdings(&self, request: HoldingsRequest) -> Reply {
        match self.find(&request.leaf) {
            Ok(leaf) => {
                leaf.set_holdings(&request.holdings);
                json_reply(StatusCode::OK, &request)
            }
            Err(reply) => reply,
        }
    }
}

/// Client of the control interface.
#[derive(Debug, Clone)]
pub struct LeafControl {
    http: JsonClient,
}

impl LeafControl {
    /// A client for the control interface at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: JsonClient::new(address),
        }
    }

    /// All leafs of the process.
    pub async fn leafs(&self) -> Result<Vec<LeafStatus>, StepError> {
        self.http.get(LEAFS_PATH).await
    }

    /// Replaces the faults of some leafs.
    pub async fn set_faults(
        &self,
        request: &LeafFaultsRequest,
    ) -> Result<LeafFaultsRequest, StepError> {
        self.http.post(FAULTS_PATH, request).await
    }

    /// Replaces what one leaf holds.
    pub async fn set_holdings(
        &self,
        request: &HoldingsRequest,
    ) -> Result<HoldingsRequest, StepError> {
        self.http.post(HOLDINGS_PATH, request).await
    }

    /// The execution log after a cursor, to its end.
    pub async fn executions(&self, after: u64) -> Result<ExecutionPage, StepError> {
        let mut all = ExecutionPage {
            entries: Vec::new(),
            next: after,
        };
        loop {
            let path = format!("{EXECUTIONS_PATH}?after={}", all.next);
            let page: ExecutionPage = self.http.get(&path).await?;
            if page.entries.is_empty() {
                return Ok(all);
            }
            all.next = page.next;
            all.entries.extend(page.entries);
        }
    }
}
