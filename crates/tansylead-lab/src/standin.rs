//! What all stand-in processes share: the ready line by which the parent learns the address, and
//! ending when the parent goes away.
//!
//! A stand-in prints one JSON line on standard output once it accepts connections. It ends on
//! SIGINT or SIGTERM, and when its standard input is closed if it was started with
//! `--exit-with-parent`, so that no process outlives the test or demo that started it.

use clap::{Arg, ArgAction, ArgMatches};
use eyre::WrapErr;
use serde::{Deserialize, Serialize};
use std::io::{Read, Write};
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Worker threads of one stand-in process.
const WORKER_THREADS: usize = 2;

/// The line that says a stand-in accepts connections.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReadyLine {
    /// Address of the stand-in's HTTP interface.
    pub address: SocketAddr,
}

/// Prints the ready line.
pub fn announce(address: SocketAddr) -> eyre::Result<()> {
    let line = serde_json::to_string(&ReadyLine { address })?;
    let mut output = std::io::stdout().lock();
    writeln!(output, "{line}").wrap_err("print the ready line")?;
    output.flush().wrap_err("print the ready line")
}

/// The `--listen` flag; port 0 picks a free one.
pub fn listen_argument() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("ADDRESS")
        .value_parser(clap::value_parser!(SocketAddr))
        .default_value("127.0.0.1:0")
        .help("Address to listen on; port 0 picks a free port, told in the ready line")
}

/// The `--exit-with-parent` flag.
pub fn exit_with_parent_argument() -> Arg {
    Arg::new("exit-with-parent")
        .long("exit-with-parent")
        .action(ArgAction::SetTrue)
        .help("End when standard input is closed")
}

/// The address given by `--listen`.
pub fn listen_address(matches: &ArgMatches) -> eyre::Result<SocketAddr> {
    matches
        .get_one::<SocketAddr>("listen")
        .copied()
        .ok_or_else(|| eyre::eyre!("--listen has no value"))
}

/// Runs a stand-in on a runtime of its own until it is told to end.
pub fn run_until_told<F, Fut>(matches: &ArgMatches, main: F) -> eyre::Result<()>
where
    F: FnOnce(CancellationToken) -> Fut,
    Fut: Future<Output = eyre::Result<()>>,
{
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .wrap_err("start the runtime")?;
    let stop = CancellationToken::new();
    if matches.get_flag("exit-with-parent") {
        watch_standard_input(stop.clone());
    }
    runtime.block_on(async {
        watch_signals(stop.clone())?;
        main(stop).await
    })
}

/// Runs a stand-in that is one server: listens on the address given by `--listen`, prints the
/// ready line and serves until it is told to end.
pub fn serve_until_told<F, Fut>(matches: &ArgMatches, serve: F) -> eyre::Result<()>
where
    F: FnOnce(TcpListener, CancellationToken) -> Fut,
    Fut: Future<Output = ()>,
{
    let address = listen_address(matches)?;
    run_until_told(matches, |stop| async move {
        let listener = TcpListener::bind(address)
            .await
            .wrap_err_with(|| format!("listen on {address}"))?;
        announce(listener.local_addr()?)?;
        serve(listener, stop).await;
        Ok(())
    })
}

/// Cancels the token when standard input reaches its end.
pub fn watch_standard_input(stop: CancellationToken) {
    std::thread::spawn(move || {
        let mut buffer = [0_u8; 64];
        let mut input = std::io::stdin().lock();
        while matches!(input.read(&mut buffer), Ok(count) if count > 0) {}
        stop.cancel();
    });
}

fn watch_signals(stop: CancellationToken) -> eyre::Result<()> {
    let signals = StopSignals::listen()?;
    tokio::spawn(async move {
        signals.next().await;
        stop.cancel();
    });
    Ok(())
}

/// Waits for SIGTERM or SIGINT and returns its name.
pub async fn told_to_end() -> eyre::Result<&'static str> {
    Ok(StopSignals::listen()?.next().await)
}

struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn listen() -> eyre::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).wrap_err("listen for SIGTERM")?,
            interrupt: signal(SignalKind::interrupt()).wrap_err("listen for SIGINT")?,
        })
    }

    async fn next(mut self) -> &'static str {
        tokio::select! {
            _ = self.terminate.recv() => "SIGTERM",
            _ = self.interrupt.recv() => "SIGINT",
        }
    }
}
