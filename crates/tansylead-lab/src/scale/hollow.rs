//! A process of many hollow daemons: the control planes of real daemons, without callers and
//! roots, under the control of the scale run.

use super::message::{
    Done, HollowReport, KILL_PATH, MemberRequest, REPORT_PATH, START_PATH, StartRequest, Totals,
    WATCH_PATH,
};
use super::observer::{Notes, Observer, root_slots};
use crate::http::{self, Reply, json_reply, read_json, text_reply};
use crate::standin;
use clap::{ArgMatches, Command};
use eyre::WrapErr;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;
use tansylead_daemon::Tuning;
use tansylead_daemon::control::ControlPlane;
use tansylead_types::{NodeId, Settings};
use tokio::net::TcpListener;
use tokio_util::task::AbortOnDropHandle;

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("hollow")
        .about("Run a process of hollow daemons for the scale run")
        .hide(true)
        .arg(standin::listen_argument())
        .arg(standin::exit_with_parent_argument())
}

/// Carries it out.
pub fn run(matches: &ArgMatches) -> eyre::Result<()> {
    // Lines of each daemon about each member would be the square of their number.
    log::set_max_level(log::LevelFilter::Error);
    let address = standin::listen_address(matches)?;
    standin::run_until_told(matches, |stop| async move {
        let listener = TcpListener::bind(address)
            .await
            .wrap_err_with(|| format!("listen on {address}"))?;
        standin::announce(listener.local_addr()?)?;
        let process = Arc::new(HollowProcess::default());
        http::serve(listener, stop, move |request, _| {
            let process = Arc::clone(&process);
            async move { process.handle(request).await }
        })
        .await;
        Ok(())
    })
}

/// One hollow daemon and its observer.
struct HollowDaemon {
    control: ControlPlane,
    _observer: AbortOnDropHandle<()>,
}

/// All hollow daemons of the process.
#[derive(Default)]
struct HollowProcess {
    daemons: Mutex<BTreeMap<NodeId, HollowDaemon>>,
    notes: Arc<Mutex<Notes>>,
}

impl HollowProcess {
    async fn handle(&self, request: Request<Incoming>) -> Reply {
        let path = request.uri().path().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::GET, REPORT_PATH) => json_reply(StatusCode::OK, &self.report()),
            (Method::POST, START_PATH) => match read_json(request.into_body()).await {
                Ok(start) => self.start(start).await,
                Err(reply) => reply,
            },
            (Method::POST, KILL_PATH) => match read_json(request.into_body()).await {
                Ok(member) => self.kill(member),
                Err(reply) => reply,
            },
            (Method::POST, WATCH_PATH) => match read_json(request.into_body()).await {
                Ok(member) => self.watch(member),
                Err(reply) => reply,
            },
            _ => text_reply(StatusCode::NOT_FOUND, "no such control path"),
        }
    }

    async fn start(&self, start: StartRequest) -> Reply {
        for settings in start.daemons {
            if let Err(error) = self.start_one(settings, start.expected_members).await {
                return text_reply(StatusCode::INTERNAL_SERVER_ERROR, format!("{error:#}"));
            }
        }
        self.done()
    }

    async fn start_one(&self, settings: Settings, expected_members: usize) -> eyre::Result<()> {
        let control = ControlPlane::start(settings, Tuning::default()).await?;
        let observer = Observer::new(&control, Arc::clone(&self.notes), expected_members);
        let observer = AbortOnDropHandle::new(tokio::spawn(observer.run()));
        let daemon = HollowDaemon {
            control,
            _observer: observer,
        };
        self.daemons.lock().insert(daemon.control.node(), daemon);
        Ok(())
    }

    fn kill(&self, member: MemberRequest) -> Reply {
        let ended = self.daemons.lock().remove(&member.node);
        match ended {
            Some(_) => self.done(),
            None => text_reply(StatusCode::NOT_FOUND, "no such daemon here"),
        }
    }

    fn watch(&self, member: MemberRequest) -> Reply {
        self.notes.lock().watched = Some(member.node);
        self.done()
    }

    fn done(&self) -> Reply {
        let running = self.daemons.lock().len();
        json_reply(StatusCode::OK, &Done { running })
    }

    fn report(&self) -> HollowReport {
        let daemons = self.daemons.lock();
        let each = daemons.values().map(|daemon| totals(&daemon.control));
        let first = daemons.values().next();
        let notes = self.notes.lock();
        HollowReport {
            running: daemons.len(),
            totals: each.fold(Totals::default(), Totals::plus),
            whole_at_micros: notes.whole_at_micros.clone(),
            ready_at_micros: notes.ready_at_micros.clone(),
            in_force: notes.in_force.clone(),
            losses: notes.losses.clone(),
            root_slots: first.map_or(0, |daemon| root_slots(daemon.control.routes())),
        }
    }
}

/// Counters of one daemon.
fn totals(control: &ControlPlane) -> Totals {
    let metrics = control.metrics();
    let bytes = |kind, direction| {
        let labels = [kind, direction];
        metrics.control_bytes.with_label_values(&labels).get()
    };
    let reads = |result| metrics.store_reads.with_label_values(&[result]).get();
    let status = control.status();
    let counters = status.borrow().counters;
    Totals {
        udp_in: bytes("gossip", "in"),
        udp_out: bytes("gossip", "out"),
        tcp_in: bytes("peer", "in"),
        tcp_out: bytes("peer", "out"),
        packets_in: counters.packets_received,
        packets_out: counters.packets_sent,
        store_reads: reads("ok") + reads("error"),
        suspicions: counters.suspicions_raised,
    }
}
