//! Asks daemons whether they are ready.

use bytes::Bytes;
use http_body_util::Empty;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::time::Duration;

/// Pause between two probes.
pub const PROBE_PERIOD: Duration = Duration::from_millis(25);
/// Time allowed for one probe.
const PROBE_LIMIT: Duration = Duration::from_secs(1);

/// Client for probes; each probe uses a connection of its own.
#[derive(Debug, Clone)]
pub struct ProbeClient {
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl Default for ProbeClient {
    fn default() -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build_http();
        Self { client }
    }
}

impl ProbeClient {
    /// Whether a path answers with a success status.
    pub async fn is_ok(&self, address: SocketAddr, path: &str) -> bool {
        let uri = format!("http://{address}{path}");
        let Ok(request) = Request::get(uri).body(Empty::new()) else {
            return false;
        };
        let answer = tokio::time::timeout(PROBE_LIMIT, self.client.request(request)).await;
        matches!(answer, Ok(Ok(response)) if response.status().is_success())
    }
}
