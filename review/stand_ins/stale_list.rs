//! Case: the daemons start again while one replica of the store, which answers the second page of a list, is behind.

use crate::client;
use crate::leaf::{Leaf, LeafPlan};
use crate::machines::{CONTACT, DRAIN, Machine, NO_ROLL_OUTS, Network, TemporaryFolder};
use crate::record::Record;
use crate::store::Store;
use crate::{CaseResult, trouble};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

const ZONES: [(&str, &str); 3] = [
    ("bkk-hall-a", "bkk"),
    ("cnx-hall-1", "cnx"),
    ("hkt-hall-1", "hkt"),
];
const HOST: &str = "leno12.example";
/// Shards with three leafs each, and leafs of the service that the requests go to: 69 entries, two pages.
const SHARDS: usize = 20;
const APPEALS_LEAFS: usize = 9;
/// The replica is this far behind, as in `platform_compact` of the bench ("stale reads are x s (3) behind").
const LAG: Duration = Duration::from_secs(3);
/// A leaving leaf serves on for `drain_ms`, and "at times many seconds" more.
const SERVES_ON: Duration = Duration::from_secs(13);
const CLIENTS_PER_MACHINE: u64 = 12;
const DEADLINE: Duration = Duration::from_secs(4);
const WORK: Duration = Duration::from_millis(400);

pub fn run(record: &Record) -> io::Result<CaseResult> {
    let folder = TemporaryFolder::create()?;
    let network = Network::of_this_process();
    let store = Store::start(network.store(), record.clone())?;
    store.put("config", "main", &configuration());
    let leafs = start_leafs(network, &store, record)?;
    let leaving = leafs.last().expect("there are leafs");
    // All entries are older than the replica's lag.
    thread::sleep(LAG + Duration::from_millis(500));
    let mut machines = Vec::new();
    for number in 0..ZONES.len() {
        let mut machine = Machine::new(network, number, &ZONES, NO_ROLL_OUTS, &folder.0)?;
        machine.start(record)?;
        machines.push(machine);
    }
    for machine in &machines {
        if !machine.wait_until_ready(Duration::from_secs(10)) {
            record.say(format!("{}: not ready", machine.name));
            return Ok(CaseResult::CouldNotRun);
        }
    }
    let stop = Arc::new(AtomicBool::new(false));
    let tally = Arc::new(Tally::default());
    let clients = start_clients(&machines, record, &stop, &tally);
    thread::sleep(Duration::from_secs(8));

    if trouble() {
        store.set_lag(LAG);
        record.say(format!("store: replica 2 is {} ms behind", LAG.as_millis()));
    }
    store.put("servers", &leaving.plan.id, &leaving.plan.entry("draining"));
    let acknowledged = record.elapsed();
    record.say(format!(
        "leaf {}: draining, acknowledged by the store",
        leaving.plan.id
    ));
    let mut calm_since = acknowledged;
    if trouble() {
        thread::sleep(Duration::from_millis(300));
        for machine in &mut machines {
            machine.kill(record);
        }
        thread::sleep(Duration::from_millis(500));
        for machine in &mut machines {
            machine.start(record)?;
        }
        thread::sleep(LAG);
        store.set_lag(Duration::ZERO);
        record.say("store: replica 2 has caught up");
        calm_since = record.elapsed();
    }
    let ends = acknowledged + DRAIN + SERVES_ON;
    thread::sleep(ends.saturating_sub(record.elapsed()));
    // It ends while it works, as a leaf does that nobody has told not to.
    let mut in_progress = count_unanswered(leaving);
    for _ in 0..100 {
        if !trouble() || in_progress >= 2 {
            break;
        }
        thread::sleep(Duration::from_millis(20));
        in_progress = count_unanswered(leaving);
    }
    leaving.end();
    store.remove("servers", &leaving.plan.id);
    record.say(format!(
        "leaf {}: has left, {in_progress} requests were in progress",
        leaving.plan.id
    ));
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    Ok(judge(record, leaving, acknowledged, calm_since, &tally))
}

/// Requests that the leaf is working on.
fn count_unanswered(leaf: &Leaf) -> usize {
    leaf.runs().iter().filter(|run| !run.is_answered).count()
}

/// DRAIN: no request of a machine in touch reaches the leaf later than `drain_ms` after the acknowledgement. A machine
/// is in touch once it and the store have been without disruption for `contact_ms`.
fn judge(
    record: &Record,
    leaf: &Leaf,
    acknowledged: Duration,
    calm_since: Duration,
    tally: &Tally,
) -> CaseResult {
    let runs = leaf.runs();
    let bound = (acknowledged + DRAIN).max(calm_since + CONTACT);
    let late = runs.iter().filter(|run| run.began > bound);
    let late: Vec<&str> = late.map(|run| run.request.as_str()).collect();
    let cut = runs
        .iter()
        .filter(|run| run.began > bound && !run.is_answered)
        .count();
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    record.say(format!(
        "clients: {} answered, {} refused as not run, {} without an answer of a leaf (502, 504 or a closed connection)",
        count(&tally.answered), count(&tally.refused), count(&tally.lost)
    ));
    record.say(format!(
        "leaf {}: ran {} requests in all",
        leaf.plan.id,
        runs.len()
    ));
    record.say(format!("DRAIN: {} requests of machines in touch reached it later than {} ms after the acknowledgement", late.len(), DRAIN.as_millis()));
    record.say(format!(
        "of these {cut} were still in progress when it ended, and have no answer"
    ));
    if runs.iter().all(|run| run.began > acknowledged) {
        record.say("the leaf got no request before it said that it leaves: nothing is shown");
        return CaseResult::CouldNotRun;
    }
    if late.is_empty() {
        CaseResult::Held
    } else {
        CaseResult::Broken
    }
}

#[derive(Debug, Default)]
struct Tally {
    answered: AtomicU64,
    refused: AtomicU64,
    lost: AtomicU64,
}

fn start_clients(
    machines: &[Machine],
    record: &Record,
    stop: &Arc<AtomicBool>,
    tally: &Arc<Tally>,
) -> Vec<thread::JoinHandle<()>> {
    let mut clients = Vec::new();
    for (number, machine) in machines.iter().enumerate() {
        for client in 0..CLIENTS_PER_MACHINE {
            let (record, stop, tally) = (record.clone(), Arc::clone(stop), Arc::clone(tally));
            let address = machine.front();
            clients.push(thread::spawn(move || {
                let mut count: u64 = 0;
                while !stop.load(Ordering::Relaxed) {
                    count += 1;
                    let id = format!("m{number}c{client}n{count}");
                    let path = format!("/goka902/{id}");
                    let answer = client::send(address, "POST", HOST, &path, &id, DEADLINE, b"note");
                    let status = match &answer {
                        Ok(Some(answer)) => answer.status(),
                        _ => 0,
                    };
                    record.line(format!("client: {id} answered {status}"));
                    let counter = match status {
                        200 => &tally.answered,
                        503 | 429 => &tally.refused,
                        _ => &tally.lost,
                    };
                    counter.fetch_add(1, Ordering::Relaxed);
                    // Clients do not come in step.
                    let pause = if status == 200 { 20 } else { 150 };
                    let pause = pause + (count * 37 + client * 13) % 80;
                    thread::sleep(Duration::from_millis(pause));
                }
            }));
        }
    }
    clients
}

fn start_leafs(network: Network, store: &Store, record: &Record) -> io::Result<Vec<Leaf>> {
    let mut leafs = Vec::new();
    for number in 0..SHARDS * ZONES.len() + APPEALS_LEAFS {
        let service = match number / ZONES.len() {
            shard if shard < SHARDS => format!("shard{shard:02}"),
            _ => "appeals".to_owned(),
        };
        // The last one is in the first zone.
        let zone = ZONES[(ZONES.len() - 1 - number % ZONES.len()) % ZONES.len()].0;
        let plan = LeafPlan {
            id: format!("i-{:04x}", 0x1000 + number),
            service,
            zone: zone.to_owned(),
            version: "v1".to_owned(),
            address: network.leaf(number),
            slots: 5,
            work: WORK,
            body: b"filed".to_vec(),
        };
        store.put("servers", &plan.id, &plan.entry("ready"));
        leafs.push(Leaf::start(plan, record.clone())?);
    }
    Ok(leafs)
}

fn configuration() -> String {
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":0.0}}"
        )
    };
    let shards: Vec<String> = (0..SHARDS)
        .map(|shard| format!("shard{shard:02}"))
        .collect();
    let services: Vec<String> = shards
        .iter()
        .map(|name| service(name))
        .chain([service("appeals")])
        .collect();
    let gather: Vec<String> = shards.iter().map(|name| format!("\"{name}\"")).collect();
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"path_prefix\":\"/goka902/\",\"type\":\"unsafe\",\"timeout_ms\":4000,\"slo_ms\":1000,\"priority\":2,\"service\":\"appeals\",\"max_attempts\":2,\"allowed_regions\":[]}},{{\"name\":\"r-2\",\"host\":\"{HOST}\",\"path_prefix\":\"/nono601/\",\"type\":\"safe\",\"timeout_ms\":4000,\"slo_ms\":250,\"priority\":1,\"gather\":[{}],\"max_attempts\":2,\"top_k\":5,\"min_coverage\":0.75,\"allowed_regions\":[]}}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        gather.join(","),
        services.join(",")
    )
}
