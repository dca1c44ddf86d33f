//! Steady traffic of many callers: arrival times fixed ahead (Poisson, seeded), each query a task
//! of its own, each reply checked as it arrives.

use super::check::{AnswerFault, check_reply};
use super::client::{Asked, CallerClient, CallerRequest, NonRepeatableKey, Sending};
use super::shards::ShardLists;
use crate::deployment::{CallerGroup, CallerKind};
use crate::wall_clock;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::{Distribution, Exp};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tansylead_types::{IdempotencyKey, PlaceName, RequestId, WallTime};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Every so many posts the same key is sent again through another daemon.
const REPEATED_KEY_PERIOD: u64 = 5;
/// Time between a post and the same key sent again.
const REPEATED_KEY_DELAY: Duration = Duration::from_millis(3);
/// Begins the labels of the first asking of a query.
const FIRST_LABEL: &str = "a";
/// Begins the labels of the same key sent again.
const AGAIN_LABEL: &str = "b";
/// Expiry that callers give their posts.
const POST_EXPIRY: Duration = Duration::from_secs(60);

/// Where a daemon is reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonAddress {
    /// Its place.
    pub place: PlaceName,
    /// Its address for callers.
    pub address: SocketAddr,
}

/// What to send where.
#[derive(Debug, Clone)]
pub struct TrafficPlan {
    /// Callers.
    pub groups: Vec<CallerGroup>,
    /// Places in which callers are, in turn.
    pub places: Vec<PlaceName>,
    /// Daemons.
    pub daemons: Vec<DaemonAddress>,
    /// Shard lists, for checks.
    pub shard_lists: ShardLists,
    /// One-way delay between callers and daemons.
    pub one_way_delay: Duration,
    /// Seed of the arrival times.
    pub seed: u64,
    /// Tells request ids and keys of one run from those of another.
    pub run_name: String,
}

/// One query and what came of it.
#[derive(Debug, Clone)]
pub struct QueryRecord {
    /// Index of the group of callers.
    pub group: usize,
    /// When it was due, since the start of the traffic.
    pub due: Duration,
    /// The query; its sendings have request ids that begin with this one's.
    pub request: CallerRequest,
    /// What came of it.
    pub asked: Asked,
    /// What came of sending the same key again, where that was done.
    pub repeated: Option<Asked>,
    /// The first fault found in any reply.
    pub fault: Option<AnswerFault>,
}

impl QueryRecord {
    /// All sendings of the query.
    pub fn sendings(&self) -> impl Iterator<Item = &Sending> {
        let askings = std::iter::once(&self.asked).chain(&self.repeated);
        askings.flat_map(|asked| &asked.sendings)
    }
}

/// Traffic that flows until it is stopped.
pub struct Traffic {
    stop: CancellationToken,
    groups: JoinSet<()>,
    shared: Arc<Shared>,
}

struct Shared {
    plan: TrafficPlan,
    client: CallerClient,
    started: Instant,
    records: Mutex<Vec<QueryRecord>>,
}

impl Traffic {
    /// Starts the traffic.
    pub fn start(plan: TrafficPlan) -> Self {
        let shared = Arc::new(Shared {
            client: CallerClient::new(plan.one_way_delay),
            started: Instant::now(),
            records: Mutex::new(Vec::new()),
            plan,
        });
        let stop = CancellationToken::new();
        let mut groups = JoinSet::new();
        for group in 0..shared.plan.groups.len() {
            groups.spawn(send_group(Arc::clone(&shared), group, stop.clone()));
        }
        Self {
            stop,
            groups,
            shared,
        }
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Duration {
        self.shared.started.elapsed()
    }

    /// Queries that are over.
    pub fn finished(&self) -> usize {
        self.shared.records.lock().len()
    }

    /// Sends nothing new, waits for what is open, and returns all records.
    pub async fn stop(mut self) -> Vec<QueryRecord> {
        self.stop.cancel();
        while self.groups.join_next().await.is_some() {}
        std::mem::take(&mut *self.shared.records.lock())
    }
}

/// Sends the queries of one group when they are due, then waits for those that are open.
async fn send_group(shared: Arc<Shared>, group: usize, stop: CancellationToken) {
    let callers = &shared.plan.groups[group];
    let Ok(gaps) = Exp::new(callers.queries_per_second) else {
        return;
    };
    let mut random = StdRng::seed_from_u64(shared.plan.seed.wrapping_add(group as u64));
    let mut queries = JoinSet::new();
    let mut due = Duration::ZERO;
    for number in 0.. {
        due += Duration::from_secs_f64(gaps.sample(&mut random));
        let wait = tokio::time::sleep_until(shared.started + due);
        if stop.run_until_cancelled(wait).await.is_none() {
            break;
        }
        queries.spawn(send_query(Arc::clone(&shared), group, number, due));
        while queries.try_join_next().is_some() {}
    }
    while queries.join_next().await.is_some() {}
}

async fn send_query(shared: Arc<Shared>, group: usize, number: u64, due: Duration) {
    let Some(request) = build_request(&shared.plan, group, number) else {
        return;
    };
    let daemons = daemons_in_turn(&shared.plan, number);
    let sends_again = request.key.is_some() && number.is_multiple_of(REPEATED_KEY_PERIOD);
    let first = shared.client.ask(&daemons, &request, FIRST_LABEL);
    let again = async {
        if !sends_again {
            return Ok(None);
        }
        tokio::time::sleep(REPEATED_KEY_DELAY).await;
        let others: Vec<SocketAddr> = daemons.iter().rev().copied().collect();
        let asked = shared.client.ask(&others, &request, AGAIN_LABEL).await;
        asked.map(Some)
    };
    let (Ok(asked), Ok(repeated)) = tokio::join!(first, again) else {
        return;
    };
    let mut record = QueryRecord {
        group,
        due,
        request,
        asked,
        repeated,
        fault: None,
    };
    record.fault = first_fault(&record, &shared.plan.shard_lists);
    shared.records.lock().push(record);
}

fn first_fault(record: &QueryRecord, shard_lists: &ShardLists) -> Option<AnswerFault> {
    record.sendings().find_map(|sending| {
        let reply = sending.result.as_ref().ok()?;
        let request = CallerRequest {
            request: sending.request.clone(),
            ..record.request.clone()
        };
        check_reply(&request, shard_lists, reply).err()
    })
}

fn build_request(plan: &TrafficPlan, group: usize, number: u64) -> Option<CallerRequest> {
    let callers = &plan.groups[group];
    let service_index = usize::try_from(number).ok()? % callers.services.len();
    let name = format!("{}-{}-{number}", plan.run_name, callers.name);
    let is_post = callers.kind == CallerKind::Post;
    let is_keyed = callers.kind != CallerKind::Lookup;
    let key = NonRepeatableKey {
        key: IdempotencyKey::new(name.clone()).ok()?,
        expires: expiry(),
    };
    Some(CallerRequest {
        request: RequestId::new(name).ok()?,
        service: callers.services[service_index].clone(),
        query: callers.query_text(number),
        routing_key: is_keyed.then(|| number.to_string()),
        deadline: Duration::from_millis(callers.deadline_millis),
        key: is_post.then_some(key),
    })
}

fn expiry() -> WallTime {
    let expires = wall_clock::since_epoch() + POST_EXPIRY;
    WallTime(u64::try_from(expires.as_millis()).unwrap_or(u64::MAX))
}

/// The daemons of the caller's place in turn, then all others in turn.
fn daemons_in_turn(plan: &TrafficPlan, number: u64) -> Vec<SocketAddr> {
    let turn = usize::try_from(number).unwrap_or(0);
    let place = &plan.places[turn % plan.places.len()];
    let (mut near, mut far): (Vec<&DaemonAddress>, Vec<&DaemonAddress>) = plan
        .daemons
        .iter()
        .partition(|daemon| daemon.place == *place);
    let rotation = turn / plan.places.len();
    rotate(&mut near, rotation);
    rotate(&mut far, rotation);
    let all = near.into_iter().chain(far);
    all.map(|daemon| daemon.address).collect()
}

fn rotate(daemons: &mut [&DaemonAddress], rotation: usize) {
    if !daemons.is_empty() {
        daemons.rotate_left(rotation % daemons.len());
    }
}
