//! Case 5: the daemons start right after the store has come back from a copy, while a replica of it still shows what was lost.

#[path = "platform.rs"]
mod platform;

use platform::{BROKEN, Daemon, HELD, LeafEntry, NOT_RUN, Record, Store, configuration};
use platform::{has_trouble, read_message, unix_millis};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["bkk", "cnx", "hkt"];
const SLOTS: usize = 5;
/// Leafs that were there before, and those that are added shortly before the drill.
const OLD_LEAFS: usize = 3;
const NEW_LEAFS: usize = 6;
/// Period at which a leaf writes its entry, and what a new one says of its warm-up each time.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const WARM_UP: [u64; 4] = [3_000, 1_800, 600, 0];
/// How long the store is away, and how long a replica lags after it is back.
const AWAY: Duration = Duration::from_secs(1);
const REPLICA_LAG: Duration = Duration::from_secs(3);
/// Delay after which the platform starts a killed process again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// `contact_ms`, `drain_ms`, and how much longer a leaf that leaves serves.
const CONTACT: Duration = Duration::from_secs(5);
const DRAIN: Duration = Duration::from_secs(3);
const SERVES_ON: Duration = Duration::from_secs(4);
/// Time that a leaf works on a post.
const WORK: Duration = Duration::from_millis(200);
/// Clients of each daemon.
const CLIENTS: usize = 10;
const DEADLINE: Duration = Duration::from_millis(2_000);
const GRACE_SECONDS: u32 = 6;

/// What all threads share.
struct World {
    record: Record,
    is_over: AtomicBool,
    /// Runs: request, leaf, when it arrived there, and whether the leaf ended meanwhile.
    runs: Mutex<Vec<Run>>,
    answers: Mutex<Vec<(String, u16)>>,
}

#[derive(Debug, Clone)]
struct Run {
    id: String,
    leaf: String,
    arrived: Instant,
    was_cut: bool,
}

fn main() {
    let record = Record::create();
    let code = run(&record).unwrap_or_else(|error| {
        record.line(format!("could not run: {error}"));
        NOT_RUN
    });
    record.line(format!("exit code {code}"));
    std::process::exit(code);
}

fn run(record: &Record) -> io::Result<i32> {
    let world = Arc::new(World {
        record: record.clone(),
        is_over: AtomicBool::new(false),
        runs: Mutex::default(),
        answers: Mutex::default(),
    });
    let store = Store::start()?;
    store.set_era(1);
    store.put(
        "config",
        "main",
        configuration("unsafe", "desk", 2_000, 400, 110),
    );
    let mut leafs = Vec::new();
    for number in 0..OLD_LEAFS {
        let leaf = Leaf::start(number, &world)?;
        store.put("servers", &leaf.id, leaf.entry.text("ready", 0));
        leafs.push(leaf);
    }
    let mut daemons = Daemon::start_all(&ZONES, &store, GRACE_SECONDS)?;
    if !daemons
        .iter()
        .all(|daemon| daemon.wait_until_ready(Duration::from_secs(10)))
    {
        record.line("a daemon did not become ready");
        return Ok(NOT_RUN);
    }
    let mut clients = Vec::new();
    for (zone, daemon) in ZONES.iter().zip(&daemons) {
        for number in 0..CLIENTS {
            let (world, front) = (Arc::clone(&world), daemon.front);
            let name = format!("{zone}-{number}");
            clients.push(thread::spawn(move || post(&world, front, &name)));
        }
    }
    thread::sleep(Duration::from_secs(3));
    let copy = store.copy();
    add_leafs(&store, &world, &mut leafs)?;
    record.line(format!(
        "{NEW_LEAFS} leafs were added; revision {}",
        store.revision()
    ));
    if has_trouble() {
        hold_drill(&store, copy, &leafs, &mut daemons, record)?;
    }
    // The daemons are in touch, and the store is stable.
    thread::sleep(CONTACT + Duration::from_secs(2));
    let leaf = &leafs[0];
    store.put("servers", &leaf.id, leaf.entry.text("draining", 0));
    let acknowledged = Instant::now();
    record.line(format!(
        "leaf {} says that it leaves; revision {}",
        leaf.id,
        store.revision()
    ));
    thread::sleep(DRAIN + SERVES_ON);
    leaf.end();
    store.remove("servers", &leaf.id);
    record.line(format!("leaf {} ends", leaf.id));
    thread::sleep(Duration::from_secs(1));
    world.is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    Ok(judge(&world, &leaf.id, acknowledged))
}

/// Empty leafs are added; each says four times how much longer it is slow.
fn add_leafs(store: &Store, world: &Arc<World>, leafs: &mut Vec<Leaf>) -> io::Result<()> {
    for number in OLD_LEAFS..OLD_LEAFS + NEW_LEAFS {
        leafs.push(Leaf::start(number, world)?);
    }
    for warmup_left in WARM_UP {
        for leaf in &leafs[OLD_LEAFS..] {
            store.put("servers", &leaf.id, leaf.entry.text("ready", warmup_left));
        }
        thread::sleep(HEARTBEAT);
    }
    Ok(())
}

/// The store is away and comes back from a copy of before the leafs were added; all daemons are killed. What the leafs
/// wrote since the copy is written again.
fn hold_drill(
    store: &Store,
    copy: platform::StoreCopy,
    leafs: &[Leaf],
    daemons: &mut [Daemon],
    record: &Record,
) -> io::Result<()> {
    store.go_away();
    record.line("the store is away");
    thread::sleep(AWAY);
    for daemon in daemons.iter_mut() {
        daemon.kill();
    }
    store.restore(copy);
    record.line(format!(
        "the store is back from a copy; revision {}; all daemons are killed",
        store.revision()
    ));
    let lagging = store.clone();
    thread::spawn(move || {
        thread::sleep(REPLICA_LAG);
        lagging.catch_up_replica();
    });
    thread::sleep(RESTART_DELAY);
    for daemon in daemons.iter_mut() {
        daemon.start_again()?;
    }
    for leaf in &leafs[OLD_LEAFS..] {
        store.put("servers", &leaf.id, leaf.entry.text("ready", 0));
        thread::sleep(HEARTBEAT / NEW_LEAFS as u32);
    }
    record.line(format!(
        "the daemons run again, the leafs have written again; revision {}",
        store.revision()
    ));
    Ok(())
}

/// DRAIN: a request reaches the leaf later than `drain_ms` after the store acknowledged that it leaves.
fn judge(world: &World, leaf: &str, acknowledged: Instant) -> i32 {
    let runs = world.runs.lock().unwrap();
    let answers = world.answers.lock().unwrap();
    for (id, status) in answers.iter() {
        let by = runs
            .iter()
            .filter(|run| run.id == *id)
            .map(|run| run.leaf.as_str());
        let by: Vec<&str> = by.collect();
        world.record.line(format!(
            "sent {id}, answered {status}, run by {}",
            by.join(" ")
        ));
    }
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    let since = |run: &Run| run.arrived.saturating_duration_since(acknowledged);
    let late: Vec<&Run> = runs
        .iter()
        .filter(|run| run.leaf == leaf && since(run) > DRAIN)
        .collect();
    for run in &late {
        let cut = if run.was_cut {
            ", and was cut when the leaf ended"
        } else {
            ""
        };
        world.record.line(format!(
            "DRAIN: {} reached {leaf} {} ms after the acknowledgement{cut}",
            run.id,
            since(run).as_millis()
        ));
    }
    let cut = late.iter().filter(|run| run.was_cut).count();
    world.record.line(format!(
        "{} requests, {served} served; {} reached {leaf} later than drain_ms after it said that it leaves, {cut} of them were cut",
        answers.len(),
        late.len()
    ));
    match (served, late.len()) {
        (0, _) => NOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    }
}

/// Posts one request after another on a kept connection, until the end.
fn post(world: &World, front: SocketAddr, name: &str) {
    let mut connection: Option<(TcpStream, BufReader<TcpStream>)> = None;
    let mut number = 0;
    while !world.is_over.load(Ordering::Relaxed) {
        let id = format!("{name}-{number}");
        number += 1;
        let status = exchange(&mut connection, front, &id);
        world.answers.lock().unwrap().push((id, status));
        if status != 200 {
            connection = None;
            thread::sleep(Duration::from_millis(100));
        }
    }
}

/// The status of the answer to one post; 0 if there is none.
fn exchange(
    connection: &mut Option<(TcpStream, BufReader<TcpStream>)>,
    front: SocketAddr,
    id: &str,
) -> u16 {
    if connection.is_none() {
        let Ok(stream) = TcpStream::connect(front) else {
            return 0;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(DEADLINE + Duration::from_secs(1)));
        let Ok(writer) = stream.try_clone() else {
            return 0;
        };
        *connection = Some((writer, BufReader::new(stream)));
    }
    let Some((writer, reader)) = connection.as_mut() else {
        return 0;
    };
    let body = "amount=100";
    let text = format!(
        "POST /desk/{id} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        DEADLINE.as_millis(),
        body.len(),
    );
    if writer.write_all(text.as_bytes()).is_err() {
        return 0;
    }
    let answer = read_message(reader).filter(|answer| answer.is_complete);
    answer.map_or(0, |answer| answer.status())
}

/// A sound leaf.
struct Leaf {
    id: String,
    entry: LeafEntry,
    state: Arc<LeafState>,
}

/// What the connections of a leaf share.
struct LeafState {
    has_ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    running: AtomicU64,
}

impl Leaf {
    fn start(number: usize, world: &Arc<World>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let leaf = Self {
            id: format!("i-{number}"),
            entry: LeafEntry {
                service: "desk".to_owned(),
                address: listener.local_addr()?,
                zone: ZONES[number % ZONES.len()].to_owned(),
                slots: SLOTS,
                born: unix_millis(),
            },
            state: Arc::new(LeafState {
                has_ended: AtomicBool::new(false),
                connections: Mutex::default(),
                running: AtomicU64::new(0),
            }),
        };
        let (id, state, world) = (leaf.id.clone(), Arc::clone(&leaf.state), Arc::clone(world));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if state.has_ended.load(Ordering::Relaxed) {
                    return;
                }
                if let Ok(handle) = stream.try_clone() {
                    state.connections.lock().unwrap().push(handle);
                }
                let (id, state, world) = (id.clone(), Arc::clone(&state), Arc::clone(&world));
                thread::spawn(move || {
                    // A connection that fails ends; so does its thread.
                    let _ = serve(stream, &id, &state, &world);
                });
            }
        });
        Ok(leaf)
    }

    /// Ends: no connection is accepted any more, and the open ones are closed.
    fn end(&self) {
        self.state.has_ended.store(true, Ordering::Relaxed);
        for connection in self.state.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.entry.address);
    }
}

fn serve(mut stream: TcpStream, leaf: &str, state: &LeafState, world: &World) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_message(&mut reader) {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        if request
            .header("target-instance")
            .is_some_and(|target| target != leaf)
        {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(text.as_bytes())?;
            continue;
        }
        if state.running.fetch_add(1, Ordering::Relaxed) >= 2 * SLOTS as u64 {
            state.running.fetch_sub(1, Ordering::Relaxed);
            let text = format!(
                "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(text.as_bytes())?;
            continue;
        }
        let arrived = Instant::now();
        thread::sleep(WORK);
        state.running.fetch_sub(1, Ordering::Relaxed);
        let was_cut = state.has_ended.load(Ordering::Relaxed);
        world.runs.lock().unwrap().push(Run {
            id: id.clone(),
            leaf: leaf.to_owned(),
            arrived,
            was_cut,
        });
        if was_cut {
            return Ok(());
        }
        let body = format!("account of {id}");
        let text = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nAnswer-Stamp: {leaf}.{id}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len(),
        );
        stream.write_all(text.as_bytes())?;
    }
    Ok(())
}
