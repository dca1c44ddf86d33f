//! A simulated network of daemons in virtual time: membership and spread over the real codec, with
//! packet loss, duplication, delay, partitions between places, suspended, killed and restarted
//! daemons, and a store that fails or is restored from a backup.
//!
//! The oracle is the set of writes that the store accepted; every applied change is checked against
//! it.

#![allow(dead_code)]

pub mod fuzz;

use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;
use tansylead_cluster::codec::GossipCodec;
use tansylead_cluster::membership::*;
use tansylead_cluster::spread::*;
use tansylead_types::store::ObjectList;
use tansylead_types::*;

const LOCAL_DELAY_MICROS: u64 = 1_000;
const REMOTE_DELAY_MICROS: u64 = 12_000;
const TCP_TIMEOUT: Duration = Duration::from_secs(1);
const HOLD_LIMIT: Duration = Duration::from_secs(10);

pub fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// A write without contents; `tag` identifies it.
pub fn write_of(key: ObjectKey, generation: u64, revision: u64, tag: u64) -> StoredObject {
    StoredObject {
        key,
        revision,
        generation,
        change: ChangeId::new(format!("change-{tag}")).unwrap(),
        object: None,
    }
}

/// The simulated configuration store.
#[derive(Clone, Default)]
pub struct Store {
    pub objects: BTreeMap<ObjectKey, StoredObject>,
    pub revision: u64,
    pub down: bool,
    pub reads: u64,
}

impl Store {
    fn list(&self, after: u64) -> ObjectList {
        let changed = self.objects.values().filter(|o| o.revision > after);
        ObjectList {
            revision: self.revision,
            objects: changed.cloned().collect(),
        }
    }
}

#[derive(Clone, Debug)]
enum Event {
    Wakeup,
    Packet {
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    PullRequest {
        from: usize,
        boot: u64,
        after: u64,
    },
    PullReply {
        peer: NodeId,
        after: u64,
        result: Result<ObjectList, StepError>,
    },
    StoreRequest {
        after: u64,
        hold: bool,
        until: Moment,
    },
    StoreReply {
        after: u64,
        result: Result<ObjectList, StepError>,
    },
}

pub struct Daemon {
    pub node: NodeId,
    pub place: PlaceName,
    pub boot: u64,
    pub membership: Membership,
    pub spread: SpreadMachine,
    pub running: bool,
    pub frozen: bool,
    pub replaced: bool,
    pub sent_bytes: u64,
    pub largest_packet: usize,
    pub replies: Vec<(Sequence, InstanceId, ConfigDigest)>,
    held_generations: BTreeMap<ObjectKey, u64>,
    revision: u64,
    scheduled_wakeup: Option<Moment>,
    inbox: Vec<Event>,
}

/// Network faults in effect.
#[derive(Clone, Default)]
pub struct Faults {
    pub loss: f64,
    pub duplication: f64,
    pub extra_delay_micros: u64,
    pub cuts: BTreeSet<(PlaceName, PlaceName)>,
    /// Pairs of daemons whose link is cut.
    pub links: BTreeSet<(NodeId, NodeId)>,
}

pub struct Simulation {
    pub now: Moment,
    pub daemons: Vec<Daemon>,
    pub store: Store,
    pub faults: Faults,
    pub accepted: BTreeSet<(ObjectKey, u64, ChangeId)>,
    pub packet_errors: u64,
    pub seeds: Vec<NodeId>,
    indexes: BTreeMap<NodeId, usize>,
    queue: BinaryHeap<Reverse<(Moment, u64, usize, u64)>>,
    events: BTreeMap<u64, Event>,
    next_id: u64,
    random: Xoshiro256PlusPlus,
    codec: GossipCodec,
}

impl Simulation {
    /// Starts `places` places of `size` daemons each within two seconds.
    pub fn new(seed: u64, places: usize, size: usize) -> Self {
        Self::with_store(seed, places, size, Store::default())
    }

    pub fn with_store(seed: u64, places: usize, size: usize, store: Store) -> Self {
        let mut simulation = Self {
            now: Moment::from_millis(1),
            daemons: Vec::new(),
            store,
            faults: Faults::default(),
            accepted: BTreeSet::new(),
            packet_errors: 0,
            seeds: Vec::new(),
            indexes: BTreeMap::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_id: 0,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            codec: GossipCodec::new("simulated"),
        };
        let address = |place: usize, index: usize| {
            NodeId(
                format!("10.{place}.{}.{}:7000", index / 250, index % 250 + 1)
                    .parse()
                    .unwrap(),
            )
        };
        simulation.seeds = (0..places).map(|place| address(place, 0)).collect();
        for index in 0..size {
            for place in 0..places {
                let name = PlaceName::new(format!("place-{place}")).unwrap();
                simulation.add(address(place, index), name);
            }
            simulation.run(Duration::from_millis(2_000 / size as u64));
        }
        simulation
    }

    fn add(&mut self, node: NodeId, place: PlaceName) {
        let boot = 1;
        self.indexes.insert(node, self.daemons.len());
        let (membership, spread) = self.state_machines(node, &place, boot);
        self.daemons.push(Daemon {
            node,
            place,
            boot,
            membership,
            spread,
            running: true,
            frozen: false,
            replaced: false,
            sent_bytes: 0,
            largest_packet: 0,
            replies: Vec::new(),
            held_generations: BTreeMap::new(),
            revision: 0,
            scheduled_wakeup: None,
            inbox: Vec::new(),
        });
        self.schedule_wakeup(self.daemons.len() - 1);
    }

    fn state_machines(
        &mut self,
        node: NodeId,
        place: &PlaceName,
        boot: u64,
    ) -> (Membership, SpreadMachine) {
        let local = LocalMember {
            instance: InstanceId { node, boot },
            place: place.clone(),
            zone: ZoneName::new(format!("zone-{}", node.0.port() % 2)).unwrap(),
            caller_address: node.0,
            capacity: Capacity::CORE,
        };
        let settings = MembershipSettings {
            expect_machine_list: self.seeds.is_empty(),
            ..MembershipSettings::default()
        };
        let seeds = self.seeds.clone();
        let seed = self.random.random();
        let membership = Membership::new(self.now, local.clone(), seeds, settings, seed);
        let joined = membership.is_joined();
        let settings = SpreadSettings::default();
        let spread = SpreadMachine::new(self.now, local, joined, settings, seed);
        (membership, spread)
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(Reverse((at, id, index, boot))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            let event = self.events.remove(&id).unwrap();
            let daemon = &mut self.daemons[index];
            let is_packet = matches!(event, Event::Packet { .. });
            if !daemon.running || (daemon.boot != boot && !is_packet) {
                continue;
            }
            if daemon.frozen {
                daemon.inbox.push(event);
            } else {
                self.handle(index, event);
            }
        }
        self.now = end;
    }

    /// Runs until the condition holds and returns the time taken; panics with `what` after `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        what: &str,
        holds: impl Fn(&Simulation) -> bool,
    ) -> Duration {
        let start = self.now;
        while !holds(self) {
            assert!(
                self.now.since(start) < limit,
                "not within {limit:?}: {what}"
            );
            self.run(Duration::from_millis(100));
        }
        self.now.since(start)
    }

    pub fn kill(&mut self, index: usize) {
        self.daemons[index].running = false;
        self.daemons[index].frozen = false;
        self.daemons[index].inbox.clear();
    }

    /// Restarts the daemon at the same address, without any state.
    pub fn restart(&mut self, index: usize) {
        self.kill(index);
        let (node, place) = (self.daemons[index].node, self.daemons[index].place.clone());
        let boot = self.daemons[index].boot + 1;
        let (membership, spread) = self.state_machines(node, &place, boot);
        let daemon = &mut self.daemons[index];
        daemon.boot = boot;
        daemon.membership = membership;
        daemon.spread = spread;
        daemon.running = true;
        daemon.held_generations.clear();
        daemon.revision = 0;
        daemon.scheduled_wakeup = None;
        self.schedule_wakeup(index);
    }

    pub fn freeze(&mut self, index: usize) {
        self.daemons[index].frozen = true;
    }

    pub fn resume(&mut self, index: usize) {
        self.daemons[index].frozen = false;
        for event in std::mem::take(&mut self.daemons[index].inbox) {
            self.handle(index, event);
        }
    }

    pub fn cut(&mut self, left: usize, right: usize) {
        let name = |place: usize| PlaceName::new(format!("place-{place}")).unwrap();
        self.faults.cuts.insert((name(left), name(right)));
        self.faults.cuts.insert((name(right), name(left)));
    }

    pub fn cut_link(&mut self, left: usize, right: usize) {
        let (left, right) = (self.daemons[left].node, self.daemons[right].node);
        self.faults.links.insert((left, right));
        self.faults.links.insert((right, left));
    }

    /// An accepted write of the table.
    pub fn write(&mut self, tag: u64) {
        self.write_key(ObjectKey::Table, tag);
    }

    /// An accepted write of any object.
    pub fn write_key(&mut self, key: ObjectKey, tag: u64) {
        let generation = self.store.objects.get(&key).map_or(0, |o| o.generation);
        self.store.revision += 1;
        let object = write_of(key.clone(), generation + 1, self.store.revision, tag);
        self.accepted
            .insert((key.clone(), object.generation, object.change.clone()));
        self.store.objects.insert(key, object);
    }

    pub fn event(&mut self, index: usize, event: MembershipEvent) {
        let actions = self.daemons[index].membership.on_event(self.now, event);
        self.perform(index, actions);
        self.schedule_wakeup(index);
    }

    pub fn query(&mut self, index: usize, to: NodeId, sequence: Sequence) {
        self.event(index, MembershipEvent::QueryRevision { to, sequence });
    }

    /// Delivers a datagram from any source address.
    pub fn inject(&mut self, index: usize, from: SocketAddr, bytes: Vec<u8>) {
        self.handle(index, Event::Packet { from, bytes });
    }

    pub fn running(&self) -> impl Iterator<Item = &Daemon> {
        self.daemons.iter().filter(|daemon| daemon.running)
    }

    /// Whether every running daemon sees exactly the running daemons, with their current boots.
    pub fn members_agree(&self) -> bool {
        let expected: BTreeMap<NodeId, u64> = self.running().map(|d| (d.node, d.boot)).collect();
        self.running().all(|daemon| {
            let seen = daemon.membership.members();
            let seen = seen.filter(|member| member.state.takes_work());
            let seen: BTreeMap<NodeId, u64> = seen.map(|m| (m.node(), m.instance.boot)).collect();
            seen == expected && daemon.membership.is_joined()
        })
    }

    pub fn state_at(&self, viewer: usize, subject: usize) -> Option<MemberState> {
        let node = self.daemons[subject].node;
        self.daemons[viewer]
            .membership
            .member(node)
            .map(|m| m.state)
    }

    pub fn all_hold(&self, revision: u64) -> bool {
        self.running()
            .all(|d| d.spread.replica().is_complete() && d.spread.replica().revision() >= revision)
    }

    pub fn digests_agree(&self) -> bool {
        let digests: BTreeSet<_> = self
            .running()
            .map(|d| d.spread.replica().digest())
            .collect();
        digests.len() == 1 && self.running().all(|d| d.spread.replica().is_complete())
    }

    fn schedule(&mut self, at: Moment, index: usize, boot: u64, event: Event) {
        let id = self.next_id;
        self.next_id += 1;
        self.events.insert(id, event);
        self.queue.push(Reverse((at, id, index, boot)));
    }

    fn schedule_wakeup(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        let due = [daemon.membership.next_wakeup(), daemon.spread.next_wakeup()];
        let Some(due) = due.into_iter().flatten().min() else {
            return;
        };
        if daemon
            .scheduled_wakeup
            .is_none_or(|scheduled| due < scheduled)
        {
            daemon.scheduled_wakeup = Some(due);
            let boot = daemon.boot;
            self.schedule(due.max(self.now), index, boot, Event::Wakeup);
        }
    }

    fn handle(&mut self, index: usize, event: Event) {
        match event {
            Event::Wakeup => {
                self.daemons[index].scheduled_wakeup = None;
                let actions = self.daemons[index]
                    .membership
                    .on_event(self.now, MembershipEvent::Wakeup);
                self.perform(index, actions);
                self.spread_event(index, SpreadEvent::Wakeup);
            }
            Event::Packet { from, bytes } => match self.codec.decode(&bytes) {
                Ok(packet) => {
                    let packet = Box::new(packet);
                    self.event(index, MembershipEvent::Packet { from, packet });
                }
                Err(_) => self.packet_errors += 1,
            },
            Event::PullRequest { from, boot, after } => self.serve(index, from, boot, after),
            Event::PullReply {
                peer,
                after,
                result,
            } => {
                self.spread_event(
                    index,
                    SpreadEvent::PullFinished {
                        peer,
                        after,
                        result,
                    },
                );
            }
            Event::StoreRequest { after, hold, until } => {
                self.serve_store(index, after, hold, until);
            }
            Event::StoreReply { after, result } => {
                self.spread_event(index, SpreadEvent::StoreRead { after, result });
            }
        }
        self.schedule_wakeup(index);
    }

    fn serve(&mut self, index: usize, from: usize, boot: u64, after: u64) {
        let peer = self.daemons[index].node;
        let result = self.daemons[index].spread.serve(after);
        let result = result.map_err(|error| StepError::new("pull", peer, error));
        let at = self.now + self.delay(index, from);
        self.schedule(
            at,
            from,
            boot,
            Event::PullReply {
                peer,
                after,
                result,
            },
        );
    }

    fn serve_store(&mut self, index: usize, after: u64, hold: bool, until: Moment) {
        let changed = self.store.revision != after;
        if hold && !changed && !self.store.down && self.now < until {
            let at = self.now + Duration::from_millis(20);
            let boot = self.daemons[index].boot;
            let request = Event::StoreRequest { after, hold, until };
            return self.schedule(at, index, boot, request);
        }
        let result = if self.store.down {
            Err(StepError::new("read store", "store", "connection refused"))
        } else {
            Ok(self.store.list(after))
        };
        self.spread_event(index, SpreadEvent::StoreRead { after, result });
    }

    fn perform(&mut self, index: usize, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Send { to, packet } => self.send(index, to, &packet),
                MembershipAction::Changed(record) => {
                    self.spread_event(index, SpreadEvent::Member(record));
                }
                MembershipAction::Forgotten(instance) => {
                    self.spread_event(index, SpreadEvent::MemberForgotten(instance.node));
                }
                MembershipAction::PeerConfig { peer, digest } => {
                    self.spread_event(index, SpreadEvent::PeerConfig { peer, digest });
                }
                MembershipAction::RevisionReply {
                    sequence,
                    peer,
                    digest,
                } => {
                    self.daemons[index].replies.push((sequence, peer, digest));
                }
                MembershipAction::Joined => self.spread_event(index, SpreadEvent::Joined),
                MembershipAction::PlaceReachability { .. } => {}
                MembershipAction::Replaced { .. } => self.daemons[index].replaced = true,
            }
        }
    }

    fn spread_event(&mut self, index: usize, event: SpreadEvent) {
        let actions = self.daemons[index].spread.on_event(self.now, event);
        for action in actions {
            match action {
                SpreadAction::Pull { peer, after } => self.request_pull(index, peer, after),
                SpreadAction::ReadStore { after, hold } => {
                    self.store.reads += 1;
                    let at = self.now + Duration::from_millis(2);
                    let boot = self.daemons[index].boot;
                    let until = at + HOLD_LIMIT;
                    let request = Event::StoreRequest { after, hold, until };
                    self.schedule(at, index, boot, request);
                }
                SpreadAction::StopReading => {}
                SpreadAction::Applied { keys, digest } => {
                    self.check_applied(index, &keys, digest);
                    self.event(index, MembershipEvent::Config(digest));
                }
                SpreadAction::Announce { to } => {
                    self.event(index, MembershipEvent::Announce { to });
                }
            }
        }
    }

    /// The oracle: only accepted writes are applied, and no generation or revision decreases.
    fn check_applied(&mut self, index: usize, keys: &[ObjectKey], digest: ConfigDigest) {
        let daemon = &mut self.daemons[index];
        assert!(digest.revision >= daemon.revision, "revision went down");
        daemon.revision = digest.revision;
        for key in keys {
            let object = daemon.spread.replica().get(key).unwrap();
            let write = (key.clone(), object.generation, object.change.clone());
            assert!(self.accepted.contains(&write), "never accepted: {object:?}");
            let before = daemon
                .held_generations
                .insert(key.clone(), object.generation);
            assert!(
                before.unwrap_or(0) <= object.generation,
                "generation went down"
            );
        }
    }

    fn request_pull(&mut self, index: usize, peer: NodeId, after: u64) {
        let boot = self.daemons[index].boot;
        let target = self.indexes.get(&peer).copied();
        match target.filter(|target| self.connected(index, *target)) {
            Some(target) => {
                // Connection setup and request take three one-way delays.
                let at = self.now + self.delay(index, target) * 3;
                let request = Event::PullRequest {
                    from: index,
                    boot,
                    after,
                };
                let target_boot = self.daemons[target].boot;
                self.schedule(at, target, target_boot, request);
            }
            None => {
                let result = Err(StepError::new("pull", peer, "timed out"));
                let at = self.now + TCP_TIMEOUT;
                self.schedule(
                    at,
                    index,
                    boot,
                    Event::PullReply {
                        peer,
                        after,
                        result,
                    },
                );
            }
        }
    }

    fn connected(&self, left: usize, right: usize) -> bool {
        let places = (
            self.daemons[left].place.clone(),
            self.daemons[right].place.clone(),
        );
        let nodes = (self.daemons[left].node, self.daemons[right].node);
        let cut = self.faults.cuts.contains(&places) || self.faults.links.contains(&nodes);
        self.daemons[right].running && !cut
    }

    fn delay(&mut self, left: usize, right: usize) -> Duration {
        let same = self.daemons[left].place == self.daemons[right].place;
        let base = if same {
            LOCAL_DELAY_MICROS
        } else {
            REMOTE_DELAY_MICROS
        };
        let extra = self.random.random_range(0..=self.faults.extra_delay_micros);
        Duration::from_micros(base + extra)
    }

    fn send(&mut self, index: usize, to: NodeId, packet: &GossipPacket) {
        let bytes = self.codec.encode(packet).expect("packets fit the limit");
        let daemon = &mut self.daemons[index];
        daemon.sent_bytes += bytes.len() as u64;
        daemon.largest_packet = daemon.largest_packet.max(bytes.len());
        let from = daemon.node.0;
        let Some(target) = self.indexes.get(&to).copied() else {
            return;
        };
        let copies = 1 + u32::from(self.random.random_bool(self.faults.duplication));
        for _ in 0..copies {
            if !self.connected(index, target) || self.random.random_bool(self.faults.loss) {
                continue;
            }
            let at = self.now + self.delay(index, target);
            let boot = self.daemons[target].boot;
            let packet = Event::Packet {
                from,
                bytes: bytes.clone(),
            };
            self.schedule(at, target, boot, packet);
        }
    }
}
