//! The tier's own cost: processor time per query and per leaf attempt, latency added to a direct
//! call, memory per connection.
//!
//! A service of one shard and a service of many shards are loaded one after the other. What a
//! query costs is `per_query + shards * per_attempt`, so the two loads give both slopes; what the
//! daemons use without load is taken off first.

use crate::deployment::plan::{FIRST_SNAPSHOT, leaf_name};
use crate::experiment::cluster::Cluster;
use crate::experiment::file::{CostPlan, Scenario, ServiceShape, Shape, Variant};
use crate::experiment::usage;
use crate::load::driver::{LoadPlan, run_load};
use crate::load::recorder::{LatencyHistogram, Recorder};
use crate::load::schedule::{RateRamp, Stream, poisson_schedule};
use bytes::Bytes;
use eyre::WrapErr;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;
use tabled::builder::Builder;
use tabled::settings::Style;
use tansylead_types::leaf::{LEAF_SEARCH_PATH, LeafRequest};
use tansylead_types::{AttemptId, PlaceName, QueryId, RequestId, ShardId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Daemons of the measured cluster.
const DAEMONS: u16 = 2;
/// Every phase waits this long before its first query.
const LEAD: Duration = Duration::from_millis(200);
/// Connections opened at once when memory is measured.
const CONNECTIONS_AT_ONCE: usize = 50;
/// Buffer for the answer to one request on a connection that then stays idle.
const ANSWER_BUFFER_BYTES: usize = 4_096;

/// The tier's own cost as measured.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CostReport {
    /// Processor time of all daemons without load, as a share of one core.
    pub idle_cores: f64,
    /// Processor time per query, without its attempts.
    pub cpu_per_query_us: f64,
    /// Processor time per leaf attempt.
    pub cpu_per_attempt_us: f64,
    /// Median of a direct call to a leaf.
    pub direct_p50_ms: f64,
    /// 99th percentile of a direct call to a leaf.
    pub direct_p99_ms: f64,
    /// Median latency that the tier adds to a query of one shard.
    pub added_p50_ms: f64,
    /// 99th percentile through the tier less that of a direct call.
    pub added_p99_ms: f64,
    /// Resident memory per idle caller connection.
    pub memory_per_connection_kib: f64,
    /// Queries without a complete answer in any phase.
    pub incomplete: u64,
}

/// The report as a table.
pub fn table(report: &CostReport) -> String {
    let mut builder = Builder::default();
    builder.push_record(["figure", "value"]);
    let rows = [
        ("idle_cores", report.idle_cores),
        ("cpu_per_query_us", report.cpu_per_query_us),
        ("cpu_per_attempt_us", report.cpu_per_attempt_us),
        ("direct_p50_ms", report.direct_p50_ms),
        ("direct_p99_ms", report.direct_p99_ms),
        ("added_p50_ms", report.added_p50_ms),
        ("added_p99_ms", report.added_p99_ms),
        (
            "memory_per_connection_kib",
            report.memory_per_connection_kib,
        ),
        ("incomplete", report.incomplete as f64),
    ];
    for (name, value) in rows {
        builder.push_record([name.to_owned(), format!("{value:.3}")]);
    }
    builder.build().with(Style::markdown()).to_string()
}

/// Measures the cost on a fresh cluster.
pub async fn measure(plan: &CostPlan, seed: u64) -> eyre::Result<CostReport> {
    let shape = shape_of(plan)?;
    let scenario = scenario_of();
    let cluster = Cluster::start(&shape, &scenario, Variant::Product, seed).await?;
    let meter = Meter {
        plan,
        shape: &shape,
        cluster: &cluster,
        seed,
    };
    // A first phase that is not counted opens connections and warms everything up.
    meter.through_tier(&plan.single).await?;
    meter.through_tier(&plan.wide).await?;
    let idle = meter.cpu_during(tokio::time::sleep(meter.phase())).await?.1;
    let (single, single_cpu) = meter.through_tier(&plan.single).await?;
    let (wide, wide_cpu) = meter.through_tier(&plan.wide).await?;
    let direct = meter.direct(&plan.single).await?;
    let memory = meter.memory_per_connection().await?;
    let per_query = |recorder: &Recorder, cpu: Duration| {
        let used = cpu.saturating_sub(idle).as_secs_f64() * 1_000_000.0;
        used / recorder.totals().queries.max(1) as f64
    };
    let (single_cost, wide_cost) = (per_query(&single, single_cpu), per_query(&wide, wide_cpu));
    let more_shards = f64::from(plan.wide.shards) - f64::from(plan.single.shards);
    let per_attempt = (wide_cost - single_cost) / more_shards;
    let through = &single.totals().served_latency;
    let added = |quantile| through.quantile_millis(quantile) - direct.quantile_millis(quantile);
    Ok(CostReport {
        idle_cores: idle.as_secs_f64() / meter.phase().as_secs_f64(),
        cpu_per_query_us: single_cost - per_attempt * f64::from(plan.single.shards),
        cpu_per_attempt_us: per_attempt,
        direct_p50_ms: direct.quantile_millis(0.5),
        direct_p99_ms: direct.quantile_millis(0.99),
        added_p50_ms: added(0.5),
        added_p99_ms: added(0.99),
        memory_per_connection_kib: memory / 1_024.0,
        incomplete: (single.incomplete().len() + wide.incomplete().len()) as u64,
    })
}

fn shape_of(plan: &CostPlan) -> eyre::Result<Shape> {
    Ok(Shape {
        name: "cost".to_owned(),
        places: vec![PlaceName::new("place")?],
        daemons_per_place: DAEMONS,
        services: vec![plan.single.clone(), plan.wide.clone()],
    })
}

fn scenario_of() -> Scenario {
    Scenario {
        name: "cost".to_owned(),
        title: "The tier's own cost".to_owned(),
        shapes: Vec::new(),
        variants: Vec::new(),
        measured_seconds: None,
        load: 1.0,
        limit: None,
        stragglers_percent: 0.0,
        straggler_factor: 1.0,
        fault: None,
    }
}

struct Meter<'a> {
    plan: &'a CostPlan,
    shape: &'a Shape,
    cluster: &'a Cluster,
    seed: u64,
}

impl Meter<'_> {
    fn phase(&self) -> Duration {
        Duration::from_secs(self.plan.phase_seconds)
    }

    fn stream(&self, service: &ServiceShape) -> Stream {
        let rate = self.plan.attempts_per_second / f64::from(service.shards);
        Stream {
            service: service.name.clone(),
            place: self.shape.places[0].clone(),
            rate: RateRamp::steady(rate),
        }
    }

    /// Processor time of all daemons while something goes on.
    async fn cpu_during<T>(&self, work: impl Future<Output = T>) -> eyre::Result<(T, Duration)> {
        let before = self.cluster.daemon_cpu()?;
        let output = work.await;
        let after = self.cluster.daemon_cpu()?;
        Ok((output, after.saturating_sub(before)))
    }

    async fn through_tier(&self, service: &ServiceShape) -> eyre::Result<(Recorder, Duration)> {
        let streams = vec![self.stream(service)];
        let plan = LoadPlan {
            arrivals: poisson_schedule(&streams, self.phase(), self.seed),
            streams,
            daemons: self.cluster.caller_addresses(),
            shard_lists: self.cluster.shard_lists()?,
            deadlines: vec![Duration::from_millis(service.deadline_millis)],
            warm_up: Duration::ZERO,
            run_name: "cost".to_owned(),
        };
        self.cpu_during(run_load(plan, Instant::now() + LEAD)).await
    }

    /// The same load sent straight to the leafs, each in turn.
    async fn direct(&self, service: &ServiceShape) -> eyre::Result<LatencyHistogram> {
        let place = &self.shape.places[0];
        let addresses = self.cluster.leaf_addresses();
        let leafs: Vec<SocketAddr> = (0..service.leafs)
            .filter_map(|index| leaf_name(&service.name, place, index).ok())
            .filter_map(|leaf| addresses.get(&leaf).copied())
            .collect();
        let shard = self.first_shard(service)?;
        let client = Client::builder(TokioExecutor::new()).build_http();
        let arrivals = poisson_schedule(&[self.stream(service)], self.phase(), self.seed);
        let started = Instant::now() + LEAD;
        let mut calls = tokio::task::JoinSet::new();
        for arrival in arrivals {
            let planned = started + arrival.at;
            tokio::time::sleep_until(planned).await;
            let leaf = leafs[arrival.number as usize % leafs.len()];
            let request = leaf_request(service, shard.clone(), arrival.number)?;
            let body = serde_json::to_vec(&request)?;
            let client = client.clone();
            calls.spawn(async move {
                call_leaf(&client, leaf, body).await?;
                eyre::Ok(planned.elapsed())
            });
        }
        let mut latencies = LatencyHistogram::default();
        while let Some(ended) = calls.join_next().await {
            latencies.record(ended??);
        }
        Ok(latencies)
    }

    fn first_shard(&self, service: &ServiceShape) -> eyre::Result<ShardId> {
        let lists = self.cluster.shard_lists()?;
        let list = lists.get(&service.name, FIRST_SNAPSHOT);
        list.and_then(|shards| shards.first().cloned())
            .ok_or_else(|| eyre::eyre!("service {} has no shards", service.name))
    }

    /// Memory that idle connections add to one daemon, in bytes for each.
    async fn memory_per_connection(&self) -> eyre::Result<f64> {
        let daemon = &self.cluster.deployment.daemons[0];
        let before = usage::resident_bytes(daemon.process.id())?;
        let mut connections = Vec::new();
        while connections.len() < self.plan.connections as usize {
            let opening = (0..CONNECTIONS_AT_ONCE).map(|_| open_idle(daemon.caller_address()));
            connections.extend(futures_util::future::try_join_all(opening).await?);
        }
        let after = usage::resident_bytes(daemon.process.id())?;
        Ok(after.saturating_sub(before) as f64 / connections.len() as f64)
    }
}

fn leaf_request(service: &ServiceShape, shard: ShardId, number: u64) -> eyre::Result<LeafRequest> {
    Ok(LeafRequest {
        request: RequestId::new(format!("direct-{number}"))?,
        root: "direct".to_owned(),
        query: QueryId(number),
        attempt: AttemptId(0),
        service: service.name.clone(),
        shard,
        snapshot: FIRST_SNAPSHOT,
        time_left_millis: service.deadline_millis,
        expires: None,
        idempotency_key: None,
        body: format!(r#"{{"subject":"direct-{number}"}}"#),
    })
}

async fn call_leaf(
    client: &Client<HttpConnector, Full<Bytes>>,
    leaf: SocketAddr,
    body: Vec<u8>,
) -> eyre::Result<()> {
    let request = Request::post(format!("http://{leaf}{LEAF_SEARCH_PATH}"))
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))?;
    let response = client.request(request).await.wrap_err("call a leaf")?;
    if !response.status().is_success() {
        eyre::bail!("leaf {leaf} answered {}", response.status());
    }
    response
        .into_body()
        .collect()
        .await
        .wrap_err("read a leaf's answer")?;
    Ok(())
}

/// A connection that has carried one request and then stays open.
async fn open_idle(daemon: SocketAddr) -> eyre::Result<TcpStream> {
    let mut stream = TcpStream::connect(daemon)
        .await
        .wrap_err("connect to a daemon")?;
    let request = format!("GET /healthz HTTP/1.1\r\nhost: {daemon}\r\n\r\n");
    stream
        .write_all(request.as_bytes())
        .await
        .wrap_err("send to a daemon")?;
    let mut buffer = [0_u8; ANSWER_BUFFER_BYTES];
    stream
        .read(&mut buffer)
        .await
        .wrap_err("read from a daemon")?;
    Ok(stream)
}
