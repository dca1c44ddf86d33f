//! Prints the cost of claims: bytes of each message, and memory and time of a member that holds the
//! maximum number of claims. `cargo run --release -p tansylead-cluster --example claim_costs`

use std::time::Instant;
use tansylead_cluster::claims::*;
use tansylead_types::{ClaimView, ClaimViewMember, InstanceId, Moment, NodeId, WallTime};

const BOOT: u64 = 1_790_000_000_000_000;
const PAGE_BYTES: u64 = 4_096;
const EXPIRY_MILLIS: u64 = 600_000;

fn instance(node: u16) -> InstanceId {
    InstanceId {
        node: NodeId(([10, 20, 30, 40], 7_000 + node).into()),
        boot: BOOT,
    }
}

fn member(node: u16) -> ClaimViewMember {
    ClaimViewMember {
        instance: instance(node),
        place: format!("place-{}", node % 5).parse().expect("valid name"),
        zone: format!("zone-{}", node % 18).parse().expect("valid name"),
    }
}

fn request(number: u64, body: ClaimRequestBody) -> ClaimRequest {
    let from = instance((number % 2_000) as u16);
    ClaimRequest {
        epoch: 1,
        from,
        to: instance(0),
        body,
    }
}

/// A claim request whose key is as long as a UUID.
fn claim(number: u64) -> ClaimRequest {
    let key = ClaimKey {
        service: "cashier-lookup-1".parse().expect("valid name"),
        key: format!("{number:036}").parse().expect("valid name"),
    };
    let claim = ClaimId {
        sequence: number,
        attempt: 0,
    };
    request(
        number,
        ClaimRequestBody::Claim {
            key,
            claim,
            expires: WallTime(EXPIRY_MILLIS),
        },
    )
}

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").expect("statm can be read");
    let pages: u64 = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .expect("pages");
    pages * PAGE_BYTES
}

fn encoded_bytes<T: serde::Serialize>(message: &T) -> usize {
    postcard::to_stdvec(message).expect("messages encode").len()
}

fn main() {
    let time = ClaimTime {
        now: Moment(0),
        wall: WallTime(1),
    };
    let settings = ClaimSettings::default();
    let mut lone = ClaimMember::new(instance(0), settings.clone(), time.now);
    let view = ClaimView {
        epoch: 1,
        members: vec![member(0)],
        earlier: Vec::new(),
    };
    lone.on_event(
        time,
        ClaimMemberEvent::ViewLearned {
            view,
            generation: 1,
        },
    );

    let first = claim(0);
    let heartbeat = request(1, ClaimRequestBody::Heartbeat { sent: Moment(BOOT) });
    println!("claim request {} B", encoded_bytes(&first));
    println!(
        "claim response {} B",
        encoded_bytes(&lone.on_request(time, &first))
    );
    println!("heartbeat request {} B", encoded_bytes(&heartbeat));
    println!(
        "heartbeat response {} B",
        encoded_bytes(&lone.on_request(time, &heartbeat))
    );

    let before = resident_bytes();
    let start = Instant::now();
    for number in 1..settings.maximum_claims as u64 {
        lone.on_request(time, &claim(number));
    }
    let claims = lone.status().claims;
    let elapsed = start.elapsed();
    println!(
        "{claims} claims held, {} B resident each",
        (resident_bytes() - before) / claims
    );
    println!(
        "{:.2} us for each grant in a group of one",
        elapsed.as_secs_f64() * 1e6 / claims as f64
    );

    let view = ClaimView {
        epoch: 2,
        members: (0..15).map(member).collect(),
        earlier: Vec::new(),
    };
    let copy = ClaimRequest {
        epoch: 2,
        ..request(1, ClaimRequestBody::Copy { view, after: None })
    };
    println!("copy request with 15 members {} B", encoded_bytes(&copy));
    let start = Instant::now();
    let page = lone.on_request(time, &copy);
    println!(
        "copy page of 1000 claims {} B, {} us",
        encoded_bytes(&page),
        start.elapsed().as_micros()
    );
}
