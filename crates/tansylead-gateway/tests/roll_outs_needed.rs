//! Up to which revision the roll-out orders must be known for the known leafs, and how the source is read for that.

mod common;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tansylead_gateway::cluster::{ClusterView, SourceFeed};
use tansylead_gateway::source::{
    Freshness, Source, SourceContent, SourceError, SourceUpdate, Topic, WriteEnd,
};
use tansylead_gateway::state::Gateway;
use tansylead_gateway::{Clock, GatewaySettings, HeaderNames};
use tansylead_route::{
    DirectoryChange, DirectoryDelta, LeafEntry, Revision, RollOut, RollOutState, RollOuts,
};
use tansylead_types::{NodeId, PlaceName, ServiceName, SoftwareVersion, StepError};
use tokio::task::{LocalSet, spawn_local};

/// Ends a test that would hang.
const HANG_LIMIT: Duration = Duration::from_secs(60);
/// The shortest time between reads that leafs need.
const READ_PERIOD: Duration = Duration::from_millis(200);

fn gateway(follow_roll_outs: bool) -> Gateway {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/gateway");
    let mut settings = GatewaySettings::load(&root.join("settings.toml")).expect("settings");
    settings.bounds.follow_roll_outs = follow_roll_outs;
    let gateway = Gateway::new(settings, HeaderNames::default());
    gateway.apply_directory(DirectoryDelta::Everything {
        at: Revision::first_era(1).into(),
        entries: Vec::new(),
    });
    gateway
}

fn leaf(name: &str, version: &str, changed_at: u64) -> LeafEntry {
    let service = ServiceName::new("desk").expect("valid name");
    let mut entry = common::entry(name, &service, ([127, 0, 0, 1], 1).into());
    entry.version = SoftwareVersion::new(version).ok();
    entry.changed_at = Revision::first_era(changed_at);
    entry
}

/// Adds a leaf's entry.
fn appear(gateway: &Gateway, entry: LeafEntry) {
    let after = gateway.directory().revision().expect("known");
    gateway.apply_directory(DirectoryDelta::Changes {
        after,
        at: after.max(entry.changed_at),
        changes: vec![DirectoryChange::Present(entry)],
    });
}

fn no_orders(at: u64) -> RollOuts {
    RollOuts {
        at: Revision::first_era(at),
        ..RollOuts::default()
    }
}

#[test]
fn the_first_leaf_of_a_version_needs_the_orders_up_to_its_entry() {
    let gateway = gateway(true);
    gateway.apply_roll_outs(no_orders(10));
    appear(&gateway, leaf("a", "v1", 5));
    assert_eq!(gateway.needed_roll_outs(), None, "older than the orders");
    appear(&gateway, leaf("b", "v1", 12));
    assert_eq!(gateway.needed_roll_outs(), None, "a known version");
    appear(&gateway, leaf("c", "v2", 13));
    appear(&gateway, leaf("d", "v2", 14));
    assert_eq!(gateway.needed_roll_outs(), Some(Revision::first_era(13)));
    gateway.advance_roll_outs_to(Revision::first_era(12));
    assert_eq!(gateway.needed_roll_outs(), Some(Revision::first_era(13)));
    gateway.advance_roll_outs_to(Revision::first_era(13));
    assert_eq!(gateway.needed_roll_outs(), None);
}

#[test]
fn the_leafs_of_a_service_that_has_one_version_need_nothing() {
    // Regression: as the leafs of a hundred services came up at the start of a deployment, the daemons that watch
    // the source read the orders five times a second for two seconds.
    let gateway = gateway(true);
    gateway.apply_roll_outs(no_orders(10));
    appear(&gateway, leaf("a", "v1", 11));
    appear(&gateway, leaf("b", "v1", 12));
    assert_eq!(gateway.needed_roll_outs(), None, "nothing to choose from");
    appear(&gateway, leaf("c", "v2", 13));
    assert_eq!(gateway.needed_roll_outs(), Some(Revision::first_era(13)));
}

#[test]
fn the_need_covers_every_leaf_of_a_service_that_has_two_versions() {
    let gateway = gateway(true);
    gateway.apply_roll_outs(no_orders(10));
    appear(&gateway, leaf("new", "v2", 13));
    appear(&gateway, leaf("old", "v1", 11));
    assert_eq!(gateway.needed_roll_outs(), Some(Revision::first_era(13)));
}

#[test]
fn a_leaf_whose_entry_comes_back_is_as_old_as_it_was() {
    let gateway = gateway(true);
    gateway.apply_roll_outs(no_orders(10));
    appear(&gateway, leaf("a", "v1", 5));
    let service = gateway.service(&ServiceName::new("desk").expect("valid name"));
    let only = service.regular()[0].entry().leaf.clone();
    let gone = DirectoryDelta::Changes {
        after: Revision::first_era(5),
        at: Revision::first_era(11),
        changes: vec![DirectoryChange::Gone(only)],
    };
    gateway.apply_directory(gone);
    appear(&gateway, leaf("a", "v1", 12));
    assert_eq!(gateway.needed_roll_outs(), None);
    assert_eq!(
        service.regular()[0].entry().changed_at,
        Revision::first_era(5)
    );
}

#[test]
fn a_leaf_without_a_version_or_a_deployment_without_roll_outs_needs_nothing() {
    let followed = gateway(true);
    followed.apply_roll_outs(no_orders(10));
    let mut unversioned = leaf("a", "v1", 12);
    unversioned.version = None;
    appear(&followed, unversioned);
    assert_eq!(followed.needed_roll_outs(), None);
    let not_followed = gateway(false);
    appear(&not_followed, leaf("a", "v1", 12));
    assert_eq!(not_followed.needed_roll_outs(), None);
}

#[test]
fn a_set_that_arrives_late_changes_nothing() {
    let gateway = gateway(true);
    let newest = common::orders(
        "desk",
        "v2",
        RollOutState::RolledBack,
        Revision::first_era(20),
    );
    gateway.apply_roll_outs(newest.clone());
    gateway.apply_roll_outs(no_orders(19));
    let earlier = common::orders("desk", "v2", RollOutState::Running, Revision::first_era(15));
    gateway.apply_roll_outs(earlier);
    assert_eq!(gateway.roll_outs(), Some(newest));
}

/// A source that announces no changes, and returns no orders as of the revision that the test has set.
#[derive(Debug, Default)]
struct QuietSource {
    /// Revision of the source; the test raises it with each leaf.
    revision: Cell<u64>,
    reads: Cell<u32>,
    asked: RefCell<Vec<Freshness>>,
}

fn update(at: u64, content: Option<RollOuts>) -> SourceUpdate {
    SourceUpdate {
        at: Revision::first_era(at),
        content: SourceContent::RollOuts(content),
        skipped: 0,
    }
}

impl Source for QuietSource {
    async fn read(&self, _: Topic, freshness: Freshness) -> Result<SourceUpdate, SourceError> {
        self.asked.borrow_mut().push(freshness);
        if freshness == Freshness::Current {
            self.reads.set(self.reads.get() + 1);
        }
        let at = self.revision.get();
        Ok(update(at, Some(no_orders(at))))
    }

    async fn watch(&self, _: Topic, _: Revision, _: Duration) -> Result<SourceUpdate, SourceError> {
        // Longer than the test: changes are learned only by reads.
        std::future::pending().await
    }

    async fn write_roll_out_state(
        &self,
        _: &RollOut,
        _: RollOutState,
    ) -> Result<WriteEnd, SourceError> {
        let error = StepError::new("write state of roll-out", "quiet source", "read only");
        Err(SourceError::Refused(error))
    }

    async fn read_roll_out(&self, _: &ServiceName) -> Result<Option<RollOut>, SourceError> {
        Ok(None)
    }

    async fn register(&self, _: SocketAddr) -> Result<(), SourceError> {
        Ok(())
    }

    async fn registered(&self) -> Result<Vec<SocketAddr>, SourceError> {
        Ok(Vec::new())
    }
}

async fn until_not_needed(gateway: &Gateway) {
    let mut changes = gateway.changes();
    let met = changes.wait_for(|_| gateway.needed_roll_outs().is_none());
    let met = tokio::time::timeout(HANG_LIMIT, met).await;
    met.expect("the source is read").expect("the daemon runs");
}

#[tokio::test]
async fn a_daemon_that_watches_reads_the_orders_at_once_but_not_for_each_leaf() {
    const LEAFS: u64 = 20;
    let gateway = Rc::new(gateway(true));
    let source = Rc::new(QuietSource::default());
    source.revision.set(10);
    let place = PlaceName::new("bangkok").expect("valid name");
    let own = gateway.settings.peer_address;
    let view = ClusterView::new(NodeId(own), place, 2, vec![own]);
    let feed = SourceFeed::new(
        Rc::clone(&gateway),
        Rc::new(view),
        Rc::clone(&source),
        Topic::RollOuts,
    );
    let watching = async {
        spawn_local(feed.run());
        let mut changes = gateway.changes();
        let known = changes.wait_for(|_| gateway.knows(Topic::RollOuts)).await;
        known.expect("the daemon runs");
        assert_eq!(source.reads.get(), 0, "only the cached read so far");
        appear(&gateway, leaf("first", "first", 5));
        let began = Clock.now();
        for number in 0..LEAFS {
            // Each is the first leaf of its version.
            let revision = source.revision.get() + 1;
            source.revision.set(revision);
            let name = format!("leaf-{number}");
            appear(&gateway, leaf(&name, &format!("v{number}"), revision));
            if number == 0 {
                until_not_needed(&gateway).await;
                assert_eq!(source.reads.get(), 1);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        until_not_needed(&gateway).await;
        let periods = Clock.now().since(began).as_millis() / READ_PERIOD.as_millis();
        let maximum = u32::try_from(periods).expect("small") + 1;
        assert!(source.reads.get() <= maximum, "{}", source.reads.get());
        assert_eq!(source.asked.borrow()[0], Freshness::Cached);
    };
    LocalSet::new().run_until(watching).await;
}

#[test]
fn the_orders_may_be_stale_while_none_is_open() {
    // Regression: a fourth topic that was read as often as the others raised the calls to the source by up to 0.4
    // of what they had been.
    let gateway = gateway(true);
    assert!(gateway.must_be_fresh(Topic::RollOuts), "nothing is known");
    gateway.apply_roll_outs(no_orders(1));
    assert!(!gateway.must_be_fresh(Topic::RollOuts));
    for topic in [Topic::Configuration, Topic::Leafs, Topic::Evacuations] {
        assert!(gateway.must_be_fresh(topic), "{topic:?}");
    }
    let states = [
        (RollOutState::Ordered, true),
        (RollOutState::Running, true),
        (RollOutState::Completed, false),
        (RollOutState::RolledBack, false),
    ];
    for (at, (state, must_be_fresh)) in (2..).zip(states) {
        gateway.apply_roll_outs(common::orders("desk", "v2", state, Revision::first_era(at)));
        assert_eq!(
            gateway.must_be_fresh(Topic::RollOuts),
            must_be_fresh,
            "{state:?}"
        );
    }
}
