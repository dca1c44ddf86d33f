//! The `seed` subcommand: writes a deployment's configuration objects to a store.

use super::plan::LeafAddresses;
use super::running::load_plan;
use crate::leaf::LeafControl;
use crate::store::{StoreControl, seed_objects};
use clap::{Arg, ArgAction, ArgMatches, Command};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("seed")
        .about("Write the configuration objects of a deployment to a store")
        .arg(
            Arg::new("directory")
                .required(true)
                .value_name("DIRECTORY")
                .value_parser(clap::value_parser!(PathBuf))
                .help("Directory with deployment.toml and table.csv"),
        )
        .arg(
            Arg::new("store")
                .long("store")
                .required(true)
                .value_name("ADDRESS")
                .value_parser(clap::value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("leafs")
                .long("leafs")
                .required(true)
                .value_name("ADDRESS")
                .action(ArgAction::Append)
                .value_parser(clap::value_parser!(SocketAddr))
                .help("Control interface of a process of stand-in leafs; may be repeated"),
        )
}

/// Carries it out.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    let directory = matches
        .get_one::<PathBuf>("directory")
        .ok_or_else(|| eyre::eyre!("no directory given"))?;
    let store = matches
        .get_one::<SocketAddr>("store")
        .ok_or_else(|| eyre::eyre!("no store given"))?;
    let controls = matches.get_many::<SocketAddr>("leafs").unwrap_or_default();
    let plan = load_plan(directory)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut addresses = LeafAddresses::new();
        for control in controls {
            let statuses = LeafControl::new(*control).leafs().await?;
            addresses.extend(statuses.into_iter().map(|leaf| (leaf.leaf, leaf.address)));
        }
        let objects = plan.objects(&addresses)?;
        let revision = seed_objects(&StoreControl::new(*store), &objects).await?;
        println!("{} objects written, revision {revision}", objects.len());
        Ok(())
    })
}
