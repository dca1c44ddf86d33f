//! Cases 4 and 6: some leafs hand out wrong bytes for a few seconds. The second argument names the fault.

#[path = "platform.rs"]
mod platform;

use platform::{
    BROKEN, Daemon, HELD, Message, NOT_RUN, Record, Store, configuration, has_trouble, leaf_entry,
    read_message,
};
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Leafs of the service.
const LEAFS: usize = 5;
/// Length of a spell of wrong bytes, and the time from one to the next.
const SPELL: Duration = Duration::from_secs(5);
const SPELL_PERIOD: Duration = Duration::from_secs(10);
const SPELLS: u32 = 3;
/// `slots` of a leaf, and how many requests it queues beyond them.
const SLOTS: usize = 2;
const QUEUE: usize = 1;
/// Time that a leaf works on a request.
const WORK: Duration = Duration::from_millis(12);
/// Clients of each daemon, and the time that each takes from an answer to its next request.
const CLIENTS: usize = 6;
const THINK_TIME: Duration = Duration::from_millis(5);
/// `Deadline-Ms` of a request.
const DEADLINE: Duration = Duration::from_millis(2_000);
/// `grace_s`.
const GRACE_SECONDS: u32 = 6;

/// What a faulty leaf does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// After a whole answer it sends another one, a refusal without an id, where the next answer is due.
    StrayRefusal,
    /// It spoils a byte in the head of a success: the one with the signature.
    SpoiledHead,
}

impl Fault {
    /// How many of the leafs are faulty: shares of 0.6 and of 0.4.
    fn faulty_leafs(self) -> usize {
        match self {
            Self::StrayRefusal => 3,
            Self::SpoiledHead => 2,
        }
    }

    /// A faulty leaf spoils one in this many of the answers that the fault applies to: shares of 0.029 and of 0.02.
    fn one_in(self) -> u64 {
        match self {
            Self::StrayRefusal => 34,
            Self::SpoiledHead => 50,
        }
    }
}

/// What all threads share.
struct World {
    fault: Fault,
    is_spell: AtomicBool,
    is_over: AtomicBool,
    /// Leafs that ran each request.
    runs: Mutex<BTreeMap<String, Vec<String>>>,
    spoiled: AtomicU64,
    record: Record,
}

/// How a request ended for its client.
struct Seen {
    id: String,
    status: u16,
    has_signature: bool,
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
    let fault = match std::env::args().nth(2).as_deref() {
        Some("stray-refusal") => Fault::StrayRefusal,
        Some("spoiled-head") => Fault::SpoiledHead,
        _ => return Err(io::Error::other("the second argument names no fault")),
    };
    let world = Arc::new(World {
        fault,
        is_spell: AtomicBool::new(false),
        is_over: AtomicBool::new(false),
        runs: Mutex::default(),
        spoiled: AtomicU64::new(0),
        record: record.clone(),
    });
    // Payments may not be repeated, look-ups may.
    let kind = if fault == Fault::StrayRefusal {
        "unsafe"
    } else {
        "safe"
    };
    let store = Store::start()?;
    store.put(
        "config",
        "main",
        configuration(kind, "desk", 2_000, 400, 110),
    );
    let zones = ["bkk", "cnx", "hkt"];
    for number in 0..LEAFS {
        Leaf::start(&store, number, zones[number % zones.len()], &world)?;
    }
    let daemons = Daemon::start_all(&zones, &store, GRACE_SECONDS)?;
    if !daemons
        .iter()
        .all(|daemon| daemon.wait_until_ready(Duration::from_secs(10)))
    {
        record.line("a daemon did not become ready");
        return Ok(NOT_RUN);
    }
    let mut clients = Vec::new();
    for (zone, daemon) in zones.iter().zip(&daemons) {
        for number in 0..CLIENTS {
            let (world, front, name) =
                (Arc::clone(&world), daemon.front, format!("{zone}-{number}"));
            clients.push(thread::spawn(move || {
                send_requests(&world, front, &name, kind)
            }));
        }
    }
    for spell in 0..SPELLS {
        thread::sleep(SPELL_PERIOD - SPELL);
        if has_trouble() {
            let (faulty, one_in) = (fault.faulty_leafs(), fault.one_in());
            record.line(format!(
                "spell {spell}: {faulty} of {LEAFS} leafs spoil one in {one_in} answers"
            ));
            world.is_spell.store(true, Ordering::Relaxed);
        }
        thread::sleep(SPELL);
        world.is_spell.store(false, Ordering::Relaxed);
    }
    world.is_over.store(true, Ordering::Relaxed);
    let seen: Vec<Seen> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    // The leafs finish what they still run.
    thread::sleep(Duration::from_millis(500));
    Ok(judge(&world, &seen))
}

fn judge(world: &World, seen: &[Seen]) -> i32 {
    let runs = world.runs.lock().unwrap();
    let served = seen.iter().filter(|seen| seen.status == 200).count();
    let refused = seen
        .iter()
        .filter(|seen| matches!(seen.status, 429 | 503 | 408 | 421))
        .count();
    let spoiled = world.spoiled.load(Ordering::Relaxed);
    for seen in seen {
        let leafs = runs
            .get(&seen.id)
            .map_or("none".to_owned(), |leafs| leafs.join(" "));
        world.record.line(format!(
            "sent {}, answered {}, run by {leafs}",
            seen.id, seen.status
        ));
    }
    world.record.line(format!(
        "{} requests: {served} served, {refused} refused; {spoiled} answers spoiled",
        seen.len()
    ));
    let broken = match world.fault {
        Fault::StrayRefusal => {
            let twice: Vec<_> = runs.iter().filter(|(_, leafs)| leafs.len() > 1).collect();
            for (id, leafs) in &twice {
                world
                    .record
                    .line(format!("TWICE: {id} was run by {}", leafs.join(" and by ")));
            }
            let is_promise = |seen: &&Seen| {
                matches!(seen.status, 429 | 503 | 408 | 421) && runs.contains_key(&seen.id)
            };
            for refused in seen.iter().filter(is_promise) {
                let leafs = runs[&refused.id].join(" and by ");
                world.record.line(format!(
                    "REFUSED too: {} got {}, and was run by {leafs}",
                    refused.id, refused.status
                ));
            }
            twice.len()
        }
        Fault::SpoiledHead => {
            let unsigned: Vec<_> = seen
                .iter()
                .filter(|seen| seen.status / 100 == 2 && !seen.has_signature)
                .collect();
            for seen in &unsigned {
                world.record.line(format!(
                    "MIXED: {} got {} without Answer-Stamp",
                    seen.id, seen.status
                ));
            }
            unsigned.len()
        }
    };
    if served == 0 {
        return NOT_RUN;
    }
    if broken > 0 { BROKEN } else { HELD }
}

/// Sends one request after another on a kept connection, until the end.
fn send_requests(world: &World, front: SocketAddr, name: &str, kind: &str) -> Vec<Seen> {
    let mut seen = Vec::new();
    let mut connection: Option<(TcpStream, BufReader<TcpStream>)> = None;
    let method = if kind == "unsafe" { "POST" } else { "GET" };
    while !world.is_over.load(Ordering::Relaxed) {
        let id = format!("{name}-{}", seen.len());
        let answer = exchange(&mut connection, front, method, &id);
        let status = answer.as_ref().map_or(0, Message::status);
        let has_signature = answer
            .as_ref()
            .is_some_and(|answer| answer.header("answer-stamp").is_some());
        seen.push(Seen {
            id,
            status,
            has_signature,
        });
        // A client comes back as told; a failed one opens a new connection.
        let wait = answer
            .as_ref()
            .and_then(|answer| answer.header("retry-after")?.parse::<f64>().ok());
        let wait = wait.map_or(THINK_TIME, |wait| {
            Duration::from_secs_f64(wait.min(DEADLINE.as_secs_f64() / 3.0))
        });
        thread::sleep(wait);
        if status == 0 || answer.is_some_and(|answer| answer.header("connection") == Some("close"))
        {
            connection = None;
        }
    }
    seen
}

fn exchange(
    connection: &mut Option<(TcpStream, BufReader<TcpStream>)>,
    front: SocketAddr,
    method: &str,
    id: &str,
) -> Option<Message> {
    if connection.is_none() {
        let stream = TcpStream::connect(front).ok()?;
        stream.set_nodelay(true).ok()?;
        stream
            .set_read_timeout(Some(DEADLINE + Duration::from_secs(1)))
            .ok()?;
        *connection = Some((stream.try_clone().ok()?, BufReader::new(stream)));
    }
    let (writer, reader) = connection.as_mut()?;
    let body = if method == "POST" { "amount=100" } else { "" };
    let text = format!(
        "{method} /desk/{id} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        DEADLINE.as_millis(),
        body.len(),
    );
    writer.write_all(text.as_bytes()).ok()?;
    read_message(reader).filter(|answer| answer.is_complete)
}

/// A leaf: it works on `SLOTS` requests at a time, queues `QUEUE` more, and sheds the others.
struct Leaf {
    id: String,
    is_faulty: bool,
    /// Requests that run or are queued.
    held: AtomicUsize,
    running: Mutex<usize>,
    slot_free: Condvar,
    answers: AtomicU64,
    world: Arc<World>,
}

impl Leaf {
    fn start(store: &Store, number: usize, zone: &str, world: &Arc<World>) -> io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let id = format!("i-{number}");
        store.put(
            "servers",
            &id,
            leaf_entry("desk", listener.local_addr()?, zone, SLOTS),
        );
        let leaf = Arc::new(Self {
            id,
            is_faulty: number < world.fault.faulty_leafs(),
            held: AtomicUsize::new(0),
            running: Mutex::new(0),
            slot_free: Condvar::new(),
            answers: AtomicU64::new(0),
            world: Arc::clone(world),
        });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let leaf = Arc::clone(&leaf);
                thread::spawn(move || {
                    // A connection that fails ends; so does its thread.
                    let _ = leaf.serve(stream);
                });
            }
        });
        Ok(())
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        const STRAY_REFUSAL: &str =
            "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut owes_stray = false;
        while let Some(request) = read_message(&mut reader) {
            let id = request.header("request-id").unwrap_or_default().to_owned();
            if std::mem::take(&mut owes_stray) {
                self.world.record.line(format!(
                    "leaf {} sends the stray refusal while {id} waits for its own",
                    self.id
                ));
                stream.write_all(STRAY_REFUSAL.as_bytes())?;
            }
            if request
                .header("target-instance")
                .is_some_and(|target| target != self.id)
            {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                );
                stream.write_all(text.as_bytes())?;
                continue;
            }
            if self.held.fetch_add(1, Ordering::Relaxed) >= SLOTS + QUEUE {
                self.held.fetch_sub(1, Ordering::Relaxed);
                let text = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                stream.write_all(text.as_bytes())?;
                owes_stray = self.world.fault == Fault::StrayRefusal && self.spoils_answer();
                continue;
            }
            self.work(&id);
            self.held.fetch_sub(1, Ordering::Relaxed);
            let mut name = "Answer-Stamp";
            if self.world.fault == Fault::SpoiledHead && self.spoils_answer() {
                name = "Answer-Stamq";
                self.world.record.line(format!(
                    "leaf {} spoils the head of its answer to {id}",
                    self.id
                ));
            }
            let body = format!("account of {id}");
            let text = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n{name}: {}.{id}\r\nContent-Length: {}\r\n\r\n{body}",
                self.id,
                body.len(),
            );
            stream.write_all(text.as_bytes())?;
            owes_stray = self.world.fault == Fault::StrayRefusal && self.spoils_answer();
        }
        Ok(())
    }

    /// Waits for a slot and runs a request.
    fn work(&self, id: &str) {
        let mut running = self.running.lock().unwrap();
        while *running >= SLOTS {
            running = self.slot_free.wait(running).unwrap();
        }
        *running += 1;
        drop(running);
        self.world
            .runs
            .lock()
            .unwrap()
            .entry(id.to_owned())
            .or_default()
            .push(self.id.clone());
        let began = Instant::now();
        thread::sleep(WORK.saturating_sub(began.elapsed()));
        *self.running.lock().unwrap() -= 1;
        self.slot_free.notify_one();
    }

    /// Whether this answer is one of those that the leaf spoils.
    fn spoils_answer(&self) -> bool {
        if !self.is_faulty || !self.world.is_spell.load(Ordering::Relaxed) {
            return false;
        }
        let is_spoiled =
            self.answers.fetch_add(1, Ordering::Relaxed) % self.world.fault.one_in() == 0;
        self.world
            .spoiled
            .fetch_add(u64::from(is_spoiled), Ordering::Relaxed);
        is_spoiled
    }
}
