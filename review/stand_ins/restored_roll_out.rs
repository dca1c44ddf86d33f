//! Case: the store comes back from a copy of just before a roll-out completed, and all daemons are killed at the moment.

use crate::client;
use crate::leaf::{Leaf, LeafPlan};
use crate::machines::{Machine, Network, ROLL_OUTS, TemporaryFolder};
use crate::record::Record;
use crate::store::Store;
use crate::{CaseResult, trouble};
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const ZONES: [(&str, &str); 3] = [
    ("colombo-a", "western"),
    ("kandy-a", "central"),
    ("galle-a", "southern"),
];
const HOST: &str = "fizi45.example";
const SERVICE: &str = "terminal-admin";
const CLIENTS_PER_MACHINE: u64 = 4;
const DEADLINE: Duration = Duration::from_millis(2_500);
const WORK: Duration = Duration::from_millis(60);
/// Time from the order to its deadline, as in the pages' example.
const ORDER_SECONDS: u64 = 12;
/// The store comes back from a copy of this age.
const COPY_AGE: Duration = Duration::from_secs(3);
/// How long the store is away, and the daemons are down.
const AWAY: Duration = Duration::from_millis(500);
const DOWN: Duration = Duration::from_millis(1_000);
/// Entries go after three heartbeats of silence.
const ENTRY_LAPSE: Duration = Duration::from_millis(3_600);
/// Bounds of `newcomers/kmcaa-tansy-grown.toml`.
const RECOVER: Duration = Duration::from_secs(15);
const DRAIN: Duration = Duration::from_secs(5);
/// How long requests are counted after `recover_s`.
const COUNTED: Duration = Duration::from_secs(10);

/// A request: when it was sent, and its status.
type Sent = (Duration, u16);

pub fn run(record: &Record) -> io::Result<CaseResult> {
    let folder = TemporaryFolder::create()?;
    let network = Network::of_this_process();
    let store = Store::start(network.store(), record.clone())?;
    store.put("config", "main", &configuration());
    let old = start_leafs(network, &store, record, "v1", 0)?;
    let mut machines = Vec::new();
    for number in 0..ZONES.len() {
        let mut machine = Machine::new(network, number, &ZONES, ROLL_OUTS, &folder.0)?;
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
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients = start_clients(&machines, record, &stop, &sent);
    thread::sleep(Duration::from_secs(6));

    let order = format!(
        "{{\"service\":\"{SERVICE}\",\"target_version\":\"v2\",\"duration_s\":{ORDER_SECONDS}}}"
    );
    store.put("rollouts", SERVICE, &order);
    record.say("operator: ordered v2; its leafs start beside the old ones");
    let new = start_leafs(network, &store, record, "v2", old.len())?;
    if !wait_for_state(&store, "completed", Duration::from_secs(ORDER_SECONDS + 6)) {
        record.say("the roll-out did not complete");
        return Ok(CaseResult::CouldNotRun);
    }
    // The platform stops the old leafs at once.
    for leaf in &old {
        leaf.end();
        store.remove("servers", &leaf.plan.id);
    }
    record.say("platform: the old leafs have stopped");
    let fault = record.elapsed();
    if trouble() {
        store.go_away();
        for machine in &mut machines {
            machine.kill(record);
        }
        thread::sleep(AWAY);
        store.come_back_from_copy(COPY_AGE);
        record.say(format!(
            "store: back from a copy {} ms old; rollouts/{SERVICE} is {}",
            COPY_AGE.as_millis(),
            store.get("rollouts", SERVICE).unwrap_or_default()
        ));
        // What the leafs wrote is written again.
        for leaf in &new {
            store.put("servers", &leaf.plan.id, &leaf.plan.entry("ready"));
        }
        thread::sleep(DOWN.saturating_sub(AWAY));
        for machine in &mut machines {
            machine.start(record)?;
        }
    }
    let back = record.elapsed();
    if trouble() {
        thread::sleep(ENTRY_LAPSE.saturating_sub(DOWN - AWAY));
        for leaf in &old {
            store.remove("servers", &leaf.plan.id);
        }
        record.say("store: the entries of the old leafs have lapsed");
    }
    follow_end(&store, &new, record, back + RECOVER + COUNTED);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().expect("no holder panics").clone();
    Ok(judge(record, &sent, fault, back))
}

/// Waits until the time, and lets the new leafs drain some seconds after a roll-back, as the platform does.
fn follow_end(store: &Store, new: &[Leaf], record: &Record, until: Duration) {
    let mut rolled_back = None;
    let mut has_drained = false;
    while record.elapsed() < until {
        thread::sleep(Duration::from_millis(50));
        let status = store.get("rollouts", SERVICE).unwrap_or_default();
        if rolled_back.is_none() && status.contains("rolled_back") {
            rolled_back = Some(record.elapsed());
        }
        let is_due = rolled_back.is_some_and(|at| record.elapsed() > at + DRAIN);
        if is_due && !has_drained {
            has_drained = true;
            for leaf in new {
                store.put("servers", &leaf.plan.id, &leaf.plan.entry("draining"));
            }
            record.say("platform: the leafs of v2 drain, as it was rolled back");
        }
    }
}

/// RECOVER: a quarter or more was served before the final fault, and less than a quarter of the requests sent later than
/// `recover_s` after the machines are back.
fn judge(record: &Record, sent: &[Sent], fault: Duration, back: Duration) -> CaseResult {
    let share = |name: &str, from: Duration, to: Duration| {
        let inside: Vec<&Sent> = sent
            .iter()
            .filter(|(at, _)| *at >= from && *at < to)
            .collect();
        let served = inside.iter().filter(|(_, status)| *status == 200).count();
        record.say(format!(
            "{name}: {served} of {} requests served",
            inside.len()
        ));
        (served, inside.len())
    };
    let (served_before, before) = share("before the final fault", Duration::ZERO, fault);
    share("within recover_s", back, back + RECOVER);
    let (served_after, after) = share("later than recover_s", back + RECOVER, Duration::MAX);
    if served_before * 4 < before || after == 0 {
        return CaseResult::CouldNotRun;
    }
    if served_after * 4 < after {
        CaseResult::Broken
    } else {
        CaseResult::Held
    }
}

fn wait_for_state(store: &Store, state: &str, limit: Duration) -> bool {
    let text = format!("\"state\":\"{state}\"");
    let steps = limit.as_millis() / 20;
    (0..steps).any(|_| {
        thread::sleep(Duration::from_millis(20));
        let object = store.get("rollouts", SERVICE);
        object.is_some_and(|object| object.contains(&text))
    })
}

fn start_clients(
    machines: &[Machine],
    record: &Record,
    stop: &Arc<AtomicBool>,
    sent: &Arc<Mutex<Vec<Sent>>>,
) -> Vec<thread::JoinHandle<()>> {
    let mut clients = Vec::new();
    for (number, machine) in machines.iter().enumerate() {
        for client in 0..CLIENTS_PER_MACHINE {
            let (record, stop, sent) = (record.clone(), Arc::clone(stop), Arc::clone(sent));
            let address = machine.front();
            clients.push(thread::spawn(move || {
                let mut count: u64 = 0;
                while !stop.load(Ordering::Relaxed) {
                    count += 1;
                    let id = format!("m{number}c{client}n{count}");
                    let path = format!("/rano592/{id}");
                    let at = record.elapsed();
                    let answer = client::send(address, "GET", HOST, &path, &id, DEADLINE, b"");
                    let status = answer.ok().flatten().map_or(0, |answer| answer.status());
                    record.line(format!("client: {id} answered {status}"));
                    sent.lock().expect("no holder panics").push((at, status));
                    let pause = if status == 200 { 20 } else { 150 };
                    thread::sleep(Duration::from_millis(
                        pause + (count * 37 + client * 13) % 30,
                    ));
                }
            }));
        }
    }
    clients
}

fn start_leafs(
    network: Network,
    store: &Store,
    record: &Record,
    version: &str,
    first: usize,
) -> io::Result<Vec<Leaf>> {
    let mut leafs = Vec::new();
    for (number, (zone, _)) in ZONES.iter().enumerate() {
        let plan = LeafPlan {
            id: format!("i-{:04x}", 0x7000 + first + number),
            service: SERVICE.to_owned(),
            zone: (*zone).to_owned(),
            version: version.to_owned(),
            address: network.leaf(first + number),
            slots: 6,
            work: WORK,
            body: b"profile".to_vec(),
        };
        store.put("servers", &plan.id, &plan.entry("ready"));
        leafs.push(Leaf::start(plan, record.clone())?);
    }
    Ok(leafs)
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"path_prefix\":\"/rano592/\",\"type\":\"safe\",\"timeout_ms\":2500,\"slo_ms\":400,\"priority\":2,\"service\":\"{SERVICE}\",\"max_attempts\":2,\"allowed_regions\":[]}}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_conns\":460,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}
