//! Clients that send several requests at once on a connection that the node wants to close: every request that it
//! has received is answered first, and the last response announces the close.

mod peers;

use std::net::TcpListener;
use std::time::Duration;

use peers::*;

/// Requests that a client sends at once.
const AT_ONCE: usize = 4;
/// From this time after the start of a drain responses close their connections.
const DRAIN_CLOSES_AFTER: Duration = Duration::from_millis(300);

fn site() -> (ScriptedServer, Registry) {
    let server = ScriptedServer::healthy("served");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    (server, registry)
}

/// Sends the requests in one write and asserts that each is served, and that the last response alone announces
/// the close of the connection.
fn assert_all_served(client: &mut Client, case: &str) {
    let ids: Vec<String> = (0..AT_ONCE).map(|number| format!("{case}-{number}")).collect();
    client.send(&ids.iter().map(|id| request("look", id, 5000)).collect::<String>());
    for (number, id) in ids.iter().enumerate() {
        let response = client.receive().unwrap_or_else(|| panic!("{id} has no answer"));
        assert_eq!(response.status(), 200, "{id}");
        let closes = response.header("connection") == Some("close");
        assert_eq!(closes, number + 1 == AT_ONCE, "{id}: {}", response.head);
    }
    assert!(client.closed(), "{case}: the connection is closed in order");
}

/// Guards against review case 7: with many idle connections the first response of a new one closed it, and the
/// requests behind the first were never answered.
#[test]
fn requests_sent_at_once_are_answered_where_many_connections_are_idle() {
    let (_server, registry) = site();
    let node = Node::ready(&config(registry.address));
    let mut idle: Vec<Client> = (0..20).map(|_| Client::to(&node)).collect();
    for (number, client) in idle.iter_mut().enumerate() {
        let response = client.exchange(&request("look", &format!("idle-{number}"), 5000));
        assert_eq!(response.status(), 200);
        // With a second request it is a client that uses its connection; the node keeps it longer.
        if response.header("connection") != Some("close") {
            client.exchange(&request("look", &format!("again-{number}"), 5000));
        }
    }
    for round in 0..5 {
        assert_all_served(&mut Client::to(&node), &format!("many-idle-{round}"));
    }
}

/// Guards against the same while the node drains.
#[test]
fn requests_sent_at_once_are_answered_while_the_node_drains() {
    let (_server, registry) = site();
    let mut config = config(registry.address);
    config["management"] = "127.0.0.1:0".into();
    let node = Node::ready(&config);
    assert_eq!(node.management_call("PUT", "/v1/node/drain").status(), 200);
    std::thread::sleep(DRAIN_CLOSES_AFTER * 2);
    for round in 0..5 {
        assert_all_served(&mut Client::to(&node), &format!("drain-{round}"));
    }
}

/// Guards against the same in a hand-over, whose first process closes its connections from SIGTERM on.
#[test]
fn requests_sent_at_once_are_answered_by_the_first_process_of_a_handover() {
    let (_server, registry) = site();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut config = config(registry.address);
    config["listen"] = listener.local_addr().expect("bound").to_string().into();
    let first = Node::with_inherited_socket(&config, &listener, "3");
    first.wait_ready();
    let mut client = Client::to(&first);
    assert_eq!(client.exchange(&request("look", "before", 5000)).status(), 200);
    first.terminate();
    wait_until("it stops", || first.logged("stop requested"));
    assert_all_served(&mut client, "handover");
}
