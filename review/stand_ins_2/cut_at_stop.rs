//! Case 6: a daemon gets SIGTERM while clients wait for long answers over a link of 20 Mbit/s.

#[path = "platform.rs"]
mod platform;

use platform::{
    BROKEN, Daemon, HELD, NOT_RUN, Record, Store, configuration, has_trouble, leaf_entry,
    read_message,
};
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::os::fd::FromRawFd;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Speed of the daemon's link, in bytes a second: 20 Mbit/s.
const LINK_BYTES_PER_SECOND: f64 = 2_500_000.0;
/// Time in which the link may catch up after a pause of the readers.
const LINK_BURST: Duration = Duration::from_millis(5);
/// Bytes that a client takes from the link at once.
const READ_BYTES: usize = 4 * 1024;
/// Receive window of a client, and the segment size of an Ethernet link.
const WINDOW_BYTES: i32 = 16 * 1024;
const SEGMENT_BYTES: i32 = 1_448;
/// Length of a long answer.
const ANSWER_BYTES: usize = 2 * 1024 * 1024;
/// Time that a leaf works on a long request.
const WORK: Duration = Duration::from_millis(1_200);
/// Clients of the daemon, each with one kept connection.
const CLIENTS: usize = 2;
/// Time from SIGTERM to the first request, and from one client's request to the next one's.
const FIRST_REQUEST: Duration = Duration::from_millis(1_950);
const REQUEST_GAP: Duration = Duration::from_millis(100);
/// `Deadline-Ms` of a request, and how long a client waits for its answer.
const DEADLINE: Duration = Duration::from_millis(15_000);
/// `grace_s`.
const GRACE_SECONDS: u32 = 6;
/// A leaf that still works this long after SIGTERM excuses the cut: the last sixth of `grace_s`.
const EXCUSED_FROM: Duration = Duration::from_millis(5_000);
const LEAFS: usize = 6;
const SLOTS: usize = 5;

/// A link of limited speed that all clients of the daemon share.
struct Link {
    free_at: Mutex<Instant>,
}

impl Link {
    /// Waits until the link has carried this many bytes.
    fn carry(&self, bytes: usize) {
        let took = Duration::from_secs_f64(bytes as f64 / LINK_BYTES_PER_SECOND);
        let done = {
            let mut free_at = self.free_at.lock().unwrap();
            let earliest = Instant::now()
                .checked_sub(LINK_BURST)
                .unwrap_or_else(Instant::now);
            *free_at = (*free_at).max(earliest) + took;
            *free_at
        };
        thread::sleep(done.saturating_duration_since(Instant::now()));
    }
}

/// The client's end of a connection over the link.
struct LinkReader {
    stream: TcpStream,
    link: Arc<Link>,
}

impl Read for LinkReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let limit = buffer.len().min(READ_BYTES);
        let count = self.stream.read(&mut buffer[..limit])?;
        self.link.carry(count);
        Ok(count)
    }
}

/// How a client's long request ended.
#[derive(Debug, Clone)]
enum End {
    /// A whole answer with this status.
    Answered(u16),
    /// The connection ended after this many bytes of the body, or before the answer began.
    Cut(Option<usize>),
}

/// When the leafs finished their long requests, by id.
type Finished = Arc<Mutex<Vec<(String, Instant)>>>;

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
    let store = Store::start()?;
    store.put(
        "config",
        "main",
        configuration("safe", "files", 15_000, 1_000, 110),
    );
    let finished: Finished = Arc::default();
    let zones = ["bkk", "cnx", "hkt"];
    for number in 0..LEAFS {
        start_leaf(
            &store,
            number,
            zones[number % zones.len()],
            &finished,
            record,
        )?;
    }
    let daemons = Daemon::start_all(&zones, &store, GRACE_SECONDS)?;
    if !daemons
        .iter()
        .all(|daemon| daemon.wait_until_ready(Duration::from_secs(10)))
    {
        record.line("a daemon did not become ready");
        return Ok(NOT_RUN);
    }
    // The daemons have learned of each other by then.
    thread::sleep(Duration::from_secs(5));
    let link = Arc::new(Link {
        free_at: Mutex::new(Instant::now()),
    });
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        clients.push(Client::connect(number, daemons[0].front, &link)?);
    }
    for client in &mut clients {
        let end = client.request("warm");
        if !matches!(end, End::Answered(200)) {
            record.line(format!(
                "client {} was not served before the disruption: {end:?}",
                client.number
            ));
            return Ok(NOT_RUN);
        }
    }
    record.line(format!("{CLIENTS} connections are open and kept"));
    let stopped = Instant::now();
    if has_trouble() {
        daemons[0].terminate();
        record.line("SIGTERM to the daemon of zone bkk");
    }
    let waiting: Vec<_> = clients
        .into_iter()
        .map(|client| ask(client, stopped, record.clone()))
        .collect();
    let ends: Vec<(usize, End)> = waiting
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect();
    Ok(judge(&ends, &finished.lock().unwrap(), stopped, record))
}

/// Sends one long request of a client when its turn comes.
fn ask(mut client: Client, stopped: Instant, record: Record) -> thread::JoinHandle<(usize, End)> {
    thread::spawn(move || {
        let number = client.number;
        let due = stopped + FIRST_REQUEST + REQUEST_GAP * number as u32;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        record.line(format!(
            "client {number} sends long-{number} on its kept connection"
        ));
        let end = client.request("long");
        record.line(format!("client {number} got for long-{number}: {end:?}"));
        (number, end)
    })
}

/// LOST: a request was passed on to a leaf, and its connection ended without a complete answer, between the SIGTERM and
/// 1 s after `grace_s`. A leaf that was still at work in the last sixth of `grace_s` excuses it.
fn judge(
    ends: &[(usize, End)],
    finished: &[(String, Instant)],
    stopped: Instant,
    record: &Record,
) -> i32 {
    let mut lost = 0;
    for (number, end) in ends {
        let End::Cut(bytes) = end else { continue };
        let id = format!("long-{number}");
        let done = finished
            .iter()
            .find(|(done, _)| *done == id)
            .map(|(_, at)| at.duration_since(stopped));
        let is_lost = done.is_some_and(|done| done < EXCUSED_FROM);
        lost += usize::from(is_lost);
        record.line(format!(
            "{id}: cut after {} of {ANSWER_BYTES} bytes; its leaf had answered {} ms after the SIGTERM{}",
            bytes.unwrap_or(0),
            done.map_or(-1, |done| done.as_millis() as i128),
            if is_lost { ": LOST" } else { ", not counted" },
        ));
    }
    record.line(format!("{lost} of {} requests are LOST", ends.len()));
    if lost > 0 { BROKEN } else { HELD }
}

struct Client {
    number: usize,
    writer: TcpStream,
    reader: BufReader<LinkReader>,
}

impl Client {
    fn connect(number: usize, front: SocketAddr, link: &Arc<Link>) -> io::Result<Self> {
        let stream = connect_over_link(front)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(DEADLINE))?;
        let reader = LinkReader {
            stream: stream.try_clone()?,
            link: Arc::clone(link),
        };
        Ok(Self {
            number,
            writer: stream,
            reader: BufReader::with_capacity(READ_BYTES, reader),
        })
    }

    fn request(&mut self, what: &str) -> End {
        let text = format!(
            "GET /desk/{what} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {what}-{}\r\nDeadline-Ms: {}\r\n\r\n",
            self.number,
            DEADLINE.as_millis(),
        );
        if self.writer.write_all(text.as_bytes()).is_err() {
            return End::Cut(None);
        }
        match read_message(&mut self.reader) {
            Some(answer) if answer.is_complete => End::Answered(answer.status()),
            Some(answer) => End::Cut(Some(answer.body.len())),
            None => End::Cut(None),
        }
    }
}

/// Connects with the window and the segment size of a small machine's link: those of loopback are far larger.
fn connect_over_link(front: SocketAddr) -> io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let SocketAddr::V4(front) = front else {
        return Err(io::Error::other("no IPv4 address"));
    };
    // SAFETY: the descriptor is checked, and then owned by the stream; the pointers are to values of the stated sizes.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &WINDOW_BYTES, 4);
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT_BYTES, 4);
        let address = Ipv4Address::new(front);
        match connect(descriptor, &address, size_of::<Ipv4Address>() as u32) {
            0 => Ok(stream),
            _ => Err(io::Error::last_os_error()),
        }
    }
}

/// `struct sockaddr_in`.
#[repr(C)]
struct Ipv4Address {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    padding: [u8; 8],
}

impl Ipv4Address {
    fn new(address: SocketAddrV4) -> Self {
        Self {
            family: 2,
            port: address.port().to_be_bytes(),
            address: address.ip().octets(),
            padding: [0; 8],
        }
    }
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const Ipv4Address, length: u32) -> i32;
}

/// Starts a sound leaf.
fn start_leaf(
    store: &Store,
    number: usize,
    zone: &str,
    finished: &Finished,
    record: &Record,
) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let id = format!("i-{number}");
    store.put(
        "servers",
        &id,
        leaf_entry("files", listener.local_addr()?, zone, SLOTS),
    );
    let (finished, record) = (Arc::clone(finished), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, finished, record) = (id.clone(), Arc::clone(&finished), record.clone());
            thread::spawn(move || serve(stream, &id, &finished, &record));
        }
    });
    Ok(())
}

fn serve(mut stream: TcpStream, leaf: &str, finished: &Finished, record: &Record) {
    let _ = stream.set_nodelay(true);
    let Ok(read_half) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(read_half);
    while let Some(request) = read_message(&mut reader) {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let is_long = request.target() == "/desk/long";
        let mut length = 64;
        if is_long {
            record.line(format!("leaf {leaf} runs {id}"));
            thread::sleep(WORK);
            length = ANSWER_BYTES;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nAnswer-Stamp: {leaf}.{id}\r\nContent-Length: {length}\r\n\r\n"
        );
        let sent = stream
            .write_all(head.as_bytes())
            .and_then(|()| stream.write_all(&vec![b'x'; length]));
        if sent.is_err() {
            return;
        }
        if is_long {
            finished.lock().unwrap().push((id.clone(), Instant::now()));
            record.line(format!("leaf {leaf} has answered {id} with {length} bytes"));
        }
    }
}
