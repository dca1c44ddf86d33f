//! Every root, including later ones, is sent a notice about a leaving leaf, and the notice is
//! repeated.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use tansylead_cluster::routing::{LeavingNotice, LeavingNotices, RENEWAL_PERIOD};
use tansylead_types::{LeafId, Moment, NodeId};

const NOW: Moment = Moment(1_000_000);

fn node(number: u8) -> NodeId {
    NodeId(SocketAddr::from(([10, 0, 0, number], 7_000)))
}

fn leafs(names: &[&str]) -> BTreeSet<LeafId> {
    names
        .iter()
        .map(|name| LeafId::new(*name).unwrap())
        .collect()
}

fn notice(number: u8, leaf: &str) -> LeavingNotice {
    let leaf = LeafId::new(leaf).unwrap();
    LeavingNotice {
        to: node(number),
        leaf,
    }
}

#[test]
fn a_root_that_comes_later_is_told_and_nobody_twice() {
    let mut notices = LeavingNotices::default();
    let leaving = leafs(&["a"]);
    let two = BTreeSet::from([node(1), node(2)]);
    let three = BTreeSet::from([node(1), node(2), node(3)]);
    assert_eq!(notices.due(NOW, node(1), &leaving, &two), [notice(2, "a")]);
    assert_eq!(notices.due(NOW, node(1), &leaving, &two), []);
    assert_eq!(
        notices.due(NOW, node(1), &leaving, &three),
        [notice(3, "a")]
    );
}

#[test]
fn a_notice_that_failed_is_sent_again() {
    let mut notices = LeavingNotices::default();
    let roots = BTreeSet::from([node(1), node(2)]);
    let first = notices.due(NOW, node(1), &leafs(&["a"]), &roots);
    notices.on_delivery_failed(&first[0]);
    assert_eq!(notices.due(NOW, node(1), &leafs(&["a"]), &roots), first);
}

#[test]
fn a_root_that_left_and_came_back_is_told_again() {
    let mut notices = LeavingNotices::default();
    let leaving = leafs(&["a"]);
    let both = BTreeSet::from([node(1), node(2)]);
    let alone = BTreeSet::from([node(1)]);
    assert_eq!(notices.due(NOW, node(1), &leaving, &both), [notice(2, "a")]);
    assert_eq!(notices.due(NOW, node(1), &leaving, &alone), []);
    assert_eq!(notices.due(NOW, node(1), &leaving, &both), [notice(2, "a")]);
}

#[test]
fn a_leaf_that_leaves_again_is_told_again() {
    let mut notices = LeavingNotices::default();
    let roots = BTreeSet::from([node(1), node(2)]);
    assert_eq!(notices.due(NOW, node(1), &leafs(&["a"]), &roots).len(), 1);
    assert_eq!(notices.due(NOW, node(1), &leafs(&[]), &roots), []);
    assert_eq!(notices.due(NOW, node(1), &leafs(&["a"]), &roots).len(), 1);
}

#[test]
fn a_notice_is_repeated_while_it_holds() {
    let mut notices = LeavingNotices::default();
    let roots = BTreeSet::from([node(1), node(2)]);
    let leaving = leafs(&["a"]);
    assert_eq!(notices.due(NOW, node(1), &leaving, &roots).len(), 1);
    let later = NOW + RENEWAL_PERIOD;
    assert_eq!(notices.due(later, node(1), &leaving, &roots).len(), 1);
    assert_eq!(notices.due(later, node(1), &leaving, &roots), []);
}
