//! Case: a machine is stopped while a client reads an answer at the rate of its link.

use crate::client::request_head;
use crate::http::read_head;
use crate::leaf::{Leaf, LeafPlan};
use crate::machines::{GRACE, Machine, NO_ROLL_OUTS, Network, SIGTERM, TemporaryFolder};
use crate::record::Record;
use crate::store::Store;
use crate::{CaseResult, trouble};
use std::io::{self, BufReader, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [(&str, &str); 3] = [
    ("bkk-hall-a", "bkk"),
    ("cnx-hall-1", "cnx"),
    ("hkt-hall-1", "hkt"),
];
const HOST: &str = "hufi27.example";
/// Size of the file that the client asks for.
const ANSWER_BYTES: usize = 512 * 1024;
/// The client's link: 1.6 Mbit/s. The whole answer takes 2.6 s, and would be there well before the end of `grace_s`.
const BYTES_PER_SECOND: usize = 200_000;
const DEADLINE: Duration = Duration::from_secs(15);
/// The client sends its request this long after the SIGTERM, on a connection that it has kept.
const SENT_AFTER: Duration = Duration::from_millis(2_500);

pub fn run(record: &Record) -> io::Result<CaseResult> {
    let folder = TemporaryFolder::create()?;
    let network = Network::of_this_process();
    let store = Store::start(network.store(), record.clone())?;
    store.put("config", "main", &configuration());
    let mut leafs = Vec::new();
    for (number, (zone, _)) in ZONES.iter().enumerate() {
        let plan = LeafPlan {
            id: format!("i-{:04x}", 0x7000 + number),
            service: "appeals".to_owned(),
            zone: (*zone).to_owned(),
            version: "v1".to_owned(),
            address: network.leaf(number),
            slots: 3,
            work: Duration::from_millis(220),
            body: vec![b'f'; ANSWER_BYTES],
        };
        store.put("servers", &plan.id, &plan.entry("ready"));
        leafs.push(Leaf::start(plan, record.clone())?);
    }
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
    thread::sleep(Duration::from_secs(6));

    let machine = &mut machines[0];
    let mut client = SlowClient::connect(machine.front(), record.clone())?;
    // The first request shows that the connection is kept.
    let first = client.ask("short", "c1n1")?;
    if first.status != 200 || !first.is_complete() {
        record.say("the first answer was not complete");
        return Ok(CaseResult::CouldNotRun);
    }
    let stopped = Instant::now();
    if trouble() {
        machine.signal(SIGTERM, record);
    }
    thread::sleep(SENT_AFTER);
    let second = client.ask("file", "c1n2")?;
    let after = stopped.elapsed();
    let is_run = leafs
        .iter()
        .any(|leaf| leaf.runs().iter().any(|run| run.request == "c1n2"));
    record.say(format!(
        "c1n2: run by a leaf {is_run}; status {}, {} of {} bytes, connection ended {} ms after the SIGTERM (grace_s {})",
        second.status, second.received, second.length, after.as_millis(), GRACE.as_secs()
    ));
    if trouble() {
        let until = stopped + GRACE;
        while !machine.has_ended() && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        record.say(format!(
            "{}: process ended {} ms after the SIGTERM",
            machine.name,
            stopped.elapsed().as_millis()
        ));
    }
    if !is_run {
        return Ok(CaseResult::CouldNotRun);
    }
    Ok(if second.is_complete() {
        CaseResult::Held
    } else {
        CaseResult::Broken
    })
}

/// An answer as the client saw it.
#[derive(Debug, Default)]
struct Seen {
    status: u16,
    length: usize,
    received: usize,
}

impl Seen {
    fn is_complete(&self) -> bool {
        self.status == 200 && self.received == self.length && self.length > 0
    }
}

/// A client that reads at the rate of its link.
struct SlowClient {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
    record: Record,
}

impl SlowClient {
    fn connect(address: SocketAddr, record: Record) -> io::Result<Self> {
        let stream = connect_with_ethernet_segments(address)?;
        stream.set_read_timeout(Some(DEADLINE))?;
        Ok(Self {
            writer: stream.try_clone()?,
            reader: BufReader::with_capacity(1024, stream),
            record,
        })
    }

    fn ask(&mut self, what: &str, id: &str) -> io::Result<Seen> {
        let path = format!("/goka902/{what}/{id}");
        let head = request_head("GET", HOST, &path, id, DEADLINE, 0);
        self.writer.write_all(head.as_bytes())?;
        self.record.line(format!("client: sent {id}"));
        let Some(head) = read_head(&mut self.reader)? else {
            self.record
                .line(format!("client: {id}: connection closed without an answer"));
            return Ok(Seen::default());
        };
        let length = head
            .header("content-length")
            .and_then(|length| length.parse().ok());
        let mut seen = Seen {
            status: head.status(),
            length: length.unwrap_or(0),
            received: 0,
        };
        self.record.line(format!(
            "client: {id}: status {}, length {}, connection {:?}",
            seen.status,
            seen.length,
            head.header("connection")
        ));
        let began = Instant::now();
        let mut buffer = [0; 4 * 1024];
        while seen.received < seen.length {
            let due = Duration::from_secs_f64(seen.received as f64 / BYTES_PER_SECOND as f64);
            thread::sleep(due.saturating_sub(began.elapsed()));
            let wanted = buffer.len().min(seen.length - seen.received);
            match self.reader.read(&mut buffer[..wanted]) {
                Ok(0) => break,
                Ok(count) => seen.received += count,
                Err(error) => {
                    self.record.line(format!("client: {id}: {error}"));
                    break;
                }
            }
        }
        self.record.line(format!(
            "client: {id}: {} of {} bytes received",
            seen.received, seen.length
        ));
        Ok(seen)
    }
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddressV4, length: u32) -> i32;
}

#[repr(C)]
struct SocketAddressV4 {
    family: u16,
    port: [u8; 2],
    host: [u8; 4],
    zero: [u8; 8],
}

/// Connects with the segment size of an Ethernet link and a small window. With those of the loopback interface, the
/// system's buffers would hold megabytes.
fn connect_with_ethernet_segments(address: SocketAddr) -> io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    const WINDOW_BYTES: i32 = 4 * 1024;
    const SEGMENT_BYTES: i32 = 1_460;
    let IpAddr::V4(host) = address.ip() else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let target = SocketAddressV4 {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        host: host.octets(),
        zero: [0; 8],
    };
    // SAFETY: plain socket calls with values that live until they return; the descriptor is owned by the stream.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &WINDOW_BYTES, 4);
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT_BYTES, 4);
        if connect(descriptor, &target, size_of::<SocketAddressV4>() as u32) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"path_prefix\":\"/goka902/\",\"type\":\"unsafe\",\"timeout_ms\":15000,\"slo_ms\":1000,\"priority\":2,\"service\":\"appeals\",\"max_attempts\":2,\"allowed_regions\":[]}}],\"services\":[{{\"name\":\"appeals\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}
