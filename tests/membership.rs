//! Membership of five nodes on loopback with a fault-injecting relay between them, under kill -9, SIGSTOP and
//! restarts. Every bound below is stated in docs/operate/membership.md.

#[path = "membership/node_names.rs"]
mod node_names;
mod peers;

use std::net::UdpSocket;
use std::time::{Duration, Instant};

use magpietally_contracts::relay::DatagramLink;
use peers::member_fleet::{query_view, MemberFleet, AGREE_WITHIN};
use peers::*;

const NODES: usize = 5;
const ALL: [usize; NODES] = [0, 1, 2, 3, 4];

#[test]
fn a_fleet_agrees_after_kills_pauses_partitions_and_restarts() {
    let mut fleet = MemberFleet::new(11, NODES, 0);
    fleet.wait_agree("the start", &ALL, &[], "dead");

    // A pause of 5 s (SIGSTOP): no node declares it dead meanwhile, and all see it as alive afterwards.
    fleet.node(3).pause(true);
    let paused = Instant::now();
    while paused.elapsed() < Duration::from_secs(5) {
        assert_eq!(
            fleet.count_seen_dead(&[0, 1, 2, 4], 3),
            0,
            "declared dead {:?} into a pause of 5 s",
            paused.elapsed()
        );
        std::thread::sleep(Duration::from_millis(200));
    }
    fleet.node(3).pause(false);
    fleet.wait_agree("after a pause of 5 s", &ALL, &[], "dead");

    // kill -9: all others see the node as dead.
    fleet.kill(4);
    let took = fleet.wait_agree("after a kill", &[0, 1, 2, 3], &[4], "dead");
    eprintln!("a killed node was dead to all within {took:?}");

    // A restart under the old name: all see it as alive again.
    fleet.start(4, "m4");
    fleet.wait_agree("after a restart under the old name", &ALL, &[], "dead");

    // A partition into two and three nodes: each side sees the other as dead; after it heals all agree.
    fleet.relay.partition(&[0, 1], &[2, 3, 4]);
    fleet.wait_agree("side one of a cut", &[0, 1], &[2, 3, 4], "dead");
    fleet.wait_agree("side two of a cut", &[2, 3, 4], &[0, 1], "dead");
    fleet.relay.heal();
    fleet.wait_agree("after the heal", &ALL, &[], "dead");

    // A link that works one way, and 30% loss with duplicates and delay on all links: no node stays declared
    // dead.
    fleet.relay.set_link(0, 1, DatagramLink { cut: true, ..DatagramLink::default() });
    fleet.relay.set_default_link(DatagramLink {
        drop_share: 0.3,
        duplicate_share: 0.1,
        delay: Duration::from_millis(20),
        cut: false,
    });
    std::thread::sleep(Duration::from_secs(10));
    fleet.relay.heal();
    fleet.wait_agree("after a one-way link and 30% loss", &ALL, &[], "dead");
    let (passed, dropped) = fleet.relay.counts();
    assert!(passed > 0 && dropped > 0, "the relay passed {passed} and dropped {dropped}");

    // SIGTERM: the node leaves, and is seen as left, not dead.
    fleet.node(2).terminate();
    fleet.wait_agree("after a leave", &[0, 1, 3, 4], &[2], "left");
}

#[test]
fn malformed_datagrams_are_counted_and_a_second_node_with_a_name_in_use_exits() {
    let mut fleet = MemberFleet::new(12, NODES, 1);
    fleet.wait_agree("the start", &ALL, &[], "dead");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let mut malformed =
        vec![vec![], vec![0x53], vec![0x53, 1, 2, 3], vec![0x4c, 0xff], vec![0x99; 40], vec![0x53; 2000]];
    malformed.push(vec![0x51, 0]);
    for datagram in &malformed {
        socket.send_to(datagram, fleet.own(1)).expect("sent");
    }
    wait_until("the malformed datagrams are counted", || {
        query_view(fleet.own(1))
            .is_some_and(|t| t.lines().last().is_some_and(|l| !l.contains(" 0 malformed")))
    });
    fleet.wait_agree("after malformed datagrams", &ALL, &[], "dead");

    // Another process starts later with node 4's name, at another address and through the same relay.
    fleet.start(NODES, "m4");
    let start = Instant::now();
    let status = loop {
        if let Some(status) = fleet.node(NODES).exit_status() {
            break status;
        }
        assert!(start.elapsed() < AGREE_WITHIN, "a node under a taken name went on");
        std::thread::sleep(Duration::from_millis(100));
    };
    assert_eq!(status.code(), Some(1));
    assert!(fleet.node(NODES).logged("the name m4 is taken by the node at"), "no clear error");
    assert!(fleet.node(4).exit_status().is_none(), "the first node under the name ended");
}
