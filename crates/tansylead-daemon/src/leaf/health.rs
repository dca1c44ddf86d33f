//! Polling of one leaf's health endpoint. Its reports may be late or wrong; the engine weighs them.

use crate::leaf::attempt::{LeafTarget, leaf_request, usable_connection};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use std::time::Duration;
use tansylead_http::HttpConnection;
use tansylead_types::leaf::{LEAF_HEALTH_PATH, LeafHealth};

/// How a poll ended.
#[derive(Debug, Default)]
pub struct HealthPoll {
    /// The report; `None` if the leaf gave no valid one within the limit.
    pub report: Option<LeafHealth>,
    /// Open connection on which nothing is in progress.
    pub connection: Option<HttpConnection>,
}

/// Polls once, over the idle connection if it is still open.
pub async fn poll_health(
    idle: Option<HttpConnection>,
    target: LeafTarget,
    limit: Duration,
) -> HealthPoll {
    let polling = poll_once(idle, &target, limit);
    let ended = tokio::time::timeout(limit, polling).await;
    ended.ok().flatten().unwrap_or_default()
}

async fn poll_once(
    idle: Option<HttpConnection>,
    target: &LeafTarget,
    limit: Duration,
) -> Option<HealthPoll> {
    let mut connection = usable_connection(idle, target, limit).await?;
    let request = leaf_request(Method::GET, LEAF_HEALTH_PATH, target.address, Bytes::new())?;
    let exchange = connection.exchange(request, target.maximum_answer_bytes);
    let reply = exchange.await.ok()?;
    if reply.status != StatusCode::OK {
        return None;
    }
    let report = serde_json::from_slice(&reply.body).ok();
    let connection = report.is_some().then_some(connection);
    Some(HealthPoll { report, connection })
}
