//! The real daemon processes of a scale run, and their figures as their own metrics tell them.

use super::figures::RealDaemon;
use super::topology;
use crate::deployment::directory::RunDirectory;
use crate::experiment::usage;
use crate::process::{ChildProcess, Programs, free_address};
use bytes::Bytes;
use eyre::WrapErr;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::time::Duration;

/// Bytes of a megabyte.
pub const MEGABYTE: f64 = 1e6;

/// A real daemon process.
pub struct RealProcess {
    process: ChildProcess,
    caller_address: SocketAddr,
}

/// Counters of a real daemon at one moment.
#[derive(Debug, Clone, Copy)]
pub struct RealReading {
    cpu: Duration,
    control_in: f64,
    control_out: f64,
}

impl RealProcess {
    /// Starts the n-th daemon as a process.
    pub fn start(
        daemon: usize,
        store: SocketAddr,
        programs: &Programs,
        directory: &RunDirectory,
    ) -> eyre::Result<Self> {
        let caller_address = free_address()?;
        let settings = topology::settings(daemon, caller_address, store)?;
        let name = format!("daemon-{daemon}");
        let file = directory.file(&format!("{name}.toml"));
        std::fs::write(&file, toml::to_string(&settings)?).wrap_err("write settings")?;
        let command = programs.daemon_command(&file);
        let log = directory.file(&format!("{name}.log"));
        let process = ChildProcess::start(&name, command, &log)?;
        Ok(Self {
            process,
            caller_address,
        })
    }

    /// Reads its counters.
    pub async fn read(&self) -> eyre::Result<RealReading> {
        let text = self.metrics().await?;
        Ok(RealReading {
            cpu: usage::process_cpu(self.process.id())?,
            control_in: control_bytes(&text, "in"),
            control_out: control_bytes(&text, "out"),
        })
    }

    /// Its figures since an earlier reading.
    pub async fn figures(
        &self,
        earlier: RealReading,
        window: Duration,
    ) -> eyre::Result<RealDaemon> {
        let now = self.read().await?;
        let text = self.metrics().await?;
        let connections = values(&text, "tansylead_leaf_connections{", "");
        let seconds = window.as_secs_f64();
        let cpu = now.cpu.saturating_sub(earlier.cpu).as_secs_f64();
        let resident = usage::resident_bytes(self.process.id())?;
        Ok(RealDaemon {
            cpu_percent: cpu / seconds * 100.0,
            resident_megabytes: resident as f64 / MEGABYTE,
            control_in: (now.control_in - earlier.control_in) / seconds,
            control_out: (now.control_out - earlier.control_out) / seconds,
            roots: connections.iter().filter(|count| **count > 0.0).count(),
            leaf_connections: connections.iter().sum(),
        })
    }

    async fn metrics(&self) -> eyre::Result<String> {
        let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
        let request = Request::get(format!("http://{}/metrics", self.caller_address));
        let request = request.body(Empty::new())?;
        let response = client.request(request).await.wrap_err("read metrics")?;
        let body = response.into_body().collect().await?.to_bytes();
        Ok(String::from_utf8_lossy(&body).into_owned())
    }
}

/// Sum of the control bytes in one direction.
fn control_bytes(text: &str, direction: &str) -> f64 {
    let label = format!("direction=\"{direction}\"");
    values(text, "tansylead_control_bytes_total{", &label)
        .iter()
        .sum()
}

/// Values in the text of the metrics whose lines start and contain what is given.
fn values(text: &str, start: &str, label: &str) -> Vec<f64> {
    text.lines()
        .filter(|line| line.starts_with(start) && line.contains(label))
        .filter_map(|line| line.rsplit_once(' '))
        .filter_map(|(_, value)| value.parse().ok())
        .collect()
}
