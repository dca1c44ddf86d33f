//! Messages about roll-outs on membership's socket, and the judges in a fleet that has just formed.

mod roll_out_world;

use roll_out_world::faulty_source::service;
use roll_out_world::fleet::until;
use roll_out_world::gateway;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;
use tansylead_gateway::cluster::{ClusterView, MemberDriver};
use tansylead_gateway::roll_out::{GrantMessage, RollOutLink, RollOutMessage};
use tansylead_route::{Grant, OrderId, Stage};
use tansylead_types::{NodeId, PlaceName};
use tokio::task::{LocalSet, spawn_local};

fn free_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("binds");
    socket.local_addr().expect("bound")
}

/// Runs membership of a daemon with these seeds.
async fn member(seeds: Vec<SocketAddr>) -> (NodeId, Rc<ClusterView>, Rc<RollOutLink>) {
    let gateway = gateway(free_address(), seeds.clone());
    let node = NodeId(gateway.settings.peer_address);
    let place = PlaceName::new("north").expect("valid name");
    let view = Rc::new(ClusterView::new(node, place.clone(), 1, seeds));
    let link = Rc::new(RollOutLink::default());
    let driver = MemberDriver::bind(gateway, Rc::clone(&view), Rc::clone(&link), place).await;
    spawn_local(driver.expect("binds").run());
    (node, view, link)
}

fn grant(sequence: u64) -> RollOutMessage {
    RollOutMessage::Grant(GrantMessage {
        service: service(),
        order: OrderId(1),
        judge: NodeId(([10, 0, 0, 1], 1).into()),
        boot: 1,
        sequence,
        grant_number: 0,
        grant: Grant {
            stage: Stage::Trial,
            limit: 1,
            valid: Duration::from_secs(1),
        },
    })
}

#[tokio::test]
async fn a_daemon_without_others_judges_by_itself() {
    let running = async {
        let (node, view, _) = member(Vec::new()).await;
        until("it is known that there is nobody", || view.is_joined()).await;
        assert_eq!(view.judges(&service()), vec![node]);
        assert!(view.boot() > 0);
    };
    LocalSet::new().run_until(running).await;
}

#[tokio::test]
async fn daemons_that_have_joined_rank_the_same_judges_and_pass_messages() {
    let running = async {
        let (first, first_view, first_link) = member(Vec::new()).await;
        let (second, second_view, second_link) = member(vec![first.0]).await;
        let have_met = |view: &ClusterView| view.is_joined() && view.member_nodes().len() == 2;
        until("they have met", || {
            have_met(&first_view) && have_met(&second_view)
        })
        .await;
        let judges = first_view.judges(&service());
        assert_eq!(judges, second_view.judges(&service()));
        let messages: Vec<RollOutMessage> = (0..100).map(grant).collect();
        for message in &messages {
            first_link.send(second, message.clone());
        }
        let received = std::cell::RefCell::new(Vec::new());
        until("all have come", || {
            received.borrow_mut().extend(second_link.take_received());
            received.borrow().len() == messages.len()
        })
        .await;
        assert_eq!(received.take(), messages);
    };
    LocalSet::new().run_until(running).await;
}

#[tokio::test]
async fn messages_that_are_not_taken_are_bounded_and_counted() {
    let link = RollOutLink::default();
    link.receive((0..5_000).map(grant).collect());
    let waiting = link.take_received().len() as u64;
    assert!(waiting < 1_000);
    assert_eq!(waiting + link.take_dropped(), 5_000);
    assert_eq!(link.take_dropped(), 0, "counted once");
}
