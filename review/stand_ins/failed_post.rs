//! Case: leafs run posts and fail them with a status that promises, from the system, that a request has not run.

use crate::client;
use crate::leaf::{Leaf, LeafPlan, Run};
use crate::machines::{Machine, Network, TemporaryFolder};
use crate::record::Record;
use crate::store::Store;
use crate::{CaseResult, trouble};
use std::collections::HashMap;
use std::io;
use std::thread;
use std::time::Duration;

const ZONES: [(&str, &str); 3] = [
    ("bkk-hall-a", "bkk"),
    ("cnx-hall-1", "cnx"),
    ("hkt-hall-1", "hkt"),
];
const HOST: &str = "hufi27.example";
/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
const FAILURE: u16 = 503;
const POSTS: usize = 20;
const DEADLINE: Duration = Duration::from_secs(4);

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
            address: network.leaf(number),
            slots: 3,
            work: Duration::from_millis(100),
            body: b"note".to_vec(),
        };
        store.put("servers", &plan.id, &plan.entry("ready"));
        leafs.push(Leaf::start(plan, record.clone())?);
    }
    let mut machines = Vec::new();
    for number in 0..ZONES.len() {
        let mut machine = Machine::new(network, number, &ZONES, &folder.0)?;
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
    if trouble() {
        leafs[0].fail_with(FAILURE);
        record.say(format!(
            "leaf {}: runs its requests and answers {FAILURE} without Not-Executed",
            leafs[0].plan.id
        ));
    }
    let mut refused = Vec::new();
    for post in 0..POSTS {
        // A client repeats a post after a promise only, as another attempt with an id of its own.
        for attempt in 0..2 {
            let id = format!("p{post}a{attempt}");
            let path = format!("/goka902/default-{post}");
            let answer = client::send(
                machines[0].front(),
                "POST",
                HOST,
                &path,
                &id,
                DEADLINE,
                b"default",
            );
            let answer = answer.ok().flatten();
            let status = answer.as_ref().map_or(0, |answer| answer.status());
            let stamp = answer
                .as_ref()
                .and_then(|answer| answer.header("answer-stamp"));
            record.line(format!(
                "client: {id} answered {status}, Answer-Stamp {stamp:?}"
            ));
            if !PROMISES.contains(&status) {
                break;
            }
            refused.push(id);
        }
    }
    Ok(judge(record, &leafs, &refused))
}

/// REFUSED: no request that was answered with a promise has run.
fn judge(record: &Record, leafs: &[Leaf], refused: &[String]) -> CaseResult {
    let runs: Vec<Run> = leafs.iter().flat_map(Leaf::runs).collect();
    let has_run = |id: &&String| runs.iter().any(|run| run.request == **id);
    let broken = refused.iter().filter(has_run).count();
    let mut by_post: HashMap<&str, usize> = HashMap::new();
    for run in &runs {
        *by_post.entry(&run.target).or_default() += 1;
    }
    let doubled = by_post.values().filter(|count| **count > 1).count();
    record.say(format!(
        "{} attempts were answered with a promise; {broken} of them had run",
        refused.len()
    ));
    record.say(format!(
        "of {POSTS} posts, {doubled} were run more than once, since the client came again"
    ));
    if runs.is_empty() {
        return CaseResult::CouldNotRun;
    }
    if broken > 0 {
        CaseResult::Broken
    } else {
        CaseResult::Held
    }
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"path_prefix\":\"/goka902/\",\"type\":\"unsafe\",\"timeout_ms\":4000,\"slo_ms\":1000,\"priority\":2,\"service\":\"appeals\",\"max_attempts\":2,\"allowed_regions\":[]}}],\"services\":[{{\"name\":\"appeals\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}
