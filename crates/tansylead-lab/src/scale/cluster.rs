//! The cluster of one size: store, health of the leafs, hollow and real daemons.

use super::configuration::{self, ConfigurationSize, SNAPSHOT};
use super::fleet::HollowFleet;
use super::real::RealProcess;
use crate::deployment::RunDirectory;
use crate::http::{self, json_reply};
use crate::process::{ChildProcess, Programs};
use crate::store::{StoreControl, seed_objects};
use eyre::WrapErr;
use hyper::StatusCode;
use std::net::{Ipv4Addr, SocketAddr};
use tansylead_types::leaf::{LeafHealth, LeafLoad};
use tokio::net::TcpListener;
use tokio_util::sync::{CancellationToken, DropGuard};

/// How clusters are made up.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// Real daemon processes.
    pub real: usize,
    /// Services of the configuration.
    pub services: usize,
    /// Whether settings and logs are kept.
    pub keep_logs: bool,
}

/// A cluster whose daemons are not yet started. Dropping it ends all its processes.
pub struct ScaleCluster {
    /// Hollow daemons; their processes run.
    pub hollow: HollowFleet,
    /// Number of hollow daemons.
    pub hollow_count: usize,
    /// Control of the store.
    pub store: StoreControl,
    /// How large the configuration is.
    pub configuration: ConfigurationSize,
    store_address: SocketAddr,
    real_count: usize,
    programs: Programs,
    _store_process: ChildProcess,
    _leafs: DropGuard,
    directory: RunDirectory,
}

impl ScaleCluster {
    /// Starts the store with its configuration, and the processes of hollow daemons.
    pub async fn prepare(size: usize, options: &ClusterOptions) -> eyre::Result<Self> {
        let mut directory = RunDirectory::create()?;
        if options.keep_logs {
            println!("logs: {}", directory.path().display());
            directory.keep();
        }
        let lab = std::env::current_exe().wrap_err("find the path of this program")?;
        let programs = Programs::lab_only(&lab);
        let stop = CancellationToken::new();
        let leaf_address = serve_leaf_health(stop.clone()).await?;
        let command = programs.lab_command("store");
        let log = directory.file("store.log");
        let (store_process, store_address) = ChildProcess::start_standin("store", command, &log)?;
        let store = StoreControl::new(store_address);
        let configuration = ConfigurationSize {
            daemons: size,
            services: options.services,
        };
        seed_objects(
            &store,
            &configuration::objects(configuration, leaf_address)?,
        )
        .await?;
        let hollow_count = size.saturating_sub(options.real);
        let hollow = HollowFleet::start(hollow_count, store_address, &programs, &directory)?;
        Ok(Self {
            hollow,
            hollow_count,
            store,
            configuration,
            store_address,
            real_count: options.real,
            programs,
            _store_process: store_process,
            _leafs: stop.drop_guard(),
            directory,
        })
    }

    /// Starts all daemons at once.
    pub async fn start_daemons(&self) -> eyre::Result<Vec<RealProcess>> {
        let mut real = Vec::new();
        for position in 0..self.real_count {
            let daemon = self.hollow_count + position;
            real.push(RealProcess::start(
                daemon,
                self.store_address,
                &self.programs,
                &self.directory,
            )?);
        }
        let expected_members = self.hollow_count + self.real_count;
        self.hollow.start_daemons(expected_members).await?;
        Ok(real)
    }
}

/// Answers every health poll as an idle leaf would.
async fn serve_leaf_health(stop: CancellationToken) -> eyre::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .wrap_err("listen for health polls")?;
    let address = listener.local_addr()?;
    tokio::spawn(http::serve(listener, stop, |_, _| async {
        let health = LeafHealth {
            healthy: true,
            load: LeafLoad::default(),
            snapshots: vec![SNAPSHOT],
        };
        json_reply(StatusCode::OK, &health)
    }));
    Ok(address)
}
