//! Tests of the UDP and TCP transports beyond the guarantees that `crates/contracts` checks for every
//! transport: invalid input, limits on descriptors and memory, and names that are used again.
#![cfg(feature = "carriers")]

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use magpietally_transport::envelope::{encode, FleetId, Header, MessageType, RecipientId};
use magpietally_transport::tcp::{Settings, Tcp};
use magpietally_transport::udp::{Udp, MESSAGE_MAX_BYTES};
use magpietally_transport::{Event, Name, Peer, SendError, Session, Transport};

/// The limit of all waits; a wait takes this long only when the test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn peer(text: &str) -> Peer {
    Peer { name: name(text), session: Session(1) }
}

fn tcp(text: &str, settings: Settings) -> Tcp {
    Tcp::bind(peer(text), FleetId::from_name("lahore"), any_port(), settings).expect("a port")
}

fn quick_settings() -> Settings {
    let ms = Duration::from_millis;
    Settings {
        backoff: ms(5),
        backoff_max: ms(40),
        heartbeat: ms(40),
        liveness_timeout: WAIT_TIMEOUT,
        ..Settings::default()
    }
}

/// Polls until `select` returns a value for an event, and returns that value.
fn wait<T>(end: &mut impl Transport, what: &str, mut select: impl FnMut(Event) -> Option<T>) -> T {
    let start = Instant::now();
    while start.elapsed() < WAIT_TIMEOUT {
        if let Some(out) = end.poll(start.elapsed()).and_then(&mut select) {
            return out;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    panic!("timed out waiting for {what}");
}

fn next_message(end: &mut impl Transport) -> Vec<u8> {
    wait(end, "a message", |e| if let Event::Message { bytes, .. } = e { Some(bytes) } else { None })
}

fn next_drop(end: &mut impl Transport) -> &'static str {
    wait(end, "a drop", |e| if let Event::Dropped(reason) = e { Some(reason) } else { None })
}

/// Returns whether the other side closes the connection.
fn is_closed(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a timeout");
    let mut rest = Vec::new();
    match stream.read_to_end(&mut rest) {
        Ok(_) => true,
        Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
    }
}

fn frame(message_type: MessageType, from: &str, to: &str, number: u64, body: &[u8]) -> Vec<u8> {
    let to = RecipientId::from_name(&name(to));
    let envelope = encode(
        &Header { fleet: FleetId::from_name("lahore"), to, message_type, from: peer(from), number },
        body,
    );
    [&(envelope.len() as u32).to_be_bytes()[..], &envelope].concat()
}

#[test]
fn a_message_for_another_node_is_dropped() {
    let mut a = Udp::bind(peer("a"), FleetId::from_name("lahore"), any_port()).expect("a port");
    let mut b = Udp::bind(peer("b"), FleetId::from_name("lahore"), any_port()).expect("a port");
    // The address was used by another node before, and `a` does not know of the change yet.
    assert!(a.set_peer(name("gone"), b.address().expect("bound")));
    a.send(&name("gone"), b"for gone").expect("accepted");
    assert_eq!(next_drop(&mut b), "a message for another node");
    assert_eq!(b.counts().received, 0);
    assert_eq!(
        a.send(&name("gone"), &[0; MESSAGE_MAX_BYTES + 1]),
        Err(SendError::TooLarge { size: MESSAGE_MAX_BYTES + 1, max: MESSAGE_MAX_BYTES })
    );

    let (mut a, mut b) = (tcp("a", quick_settings()), tcp("b", quick_settings()));
    assert!(a.set_peer(name("gone"), b.address()));
    a.send(&name("gone"), b"for gone").expect("accepted");
    assert_eq!(next_drop(&mut b), "a message for another node");
}

#[test]
fn a_connection_is_closed_after_its_first_invalid_frame() {
    let mut end = tcp("a", quick_settings());
    let invalid: [(Vec<u8>, &str); 5] = [
        (vec![0xff; 8], "a frame larger than the maximum"),
        (vec![0, 0, 0, 3, 1, 2, 3], "a message that ends inside its envelope"),
        (vec![0, 0, 0, 6, 9, 2, 3, 4, 5, 6], "a message in another version of the format"),
        (frame(MessageType::Message, "x", "a", 1, b"no hello"), "a message of an unexpected type"),
        (frame(MessageType::Hello, "a", "a", 0, b""), "a message under this node's own name"),
    ];
    for (bytes, reason) in invalid {
        let mut client = TcpStream::connect(end.address()).expect("the transport listens");
        client.write_all(&bytes).expect("sent");
        assert_eq!(next_drop(&mut end), reason);
        assert!(is_closed(&mut client), "still open after {reason}");
    }
    assert_eq!(end.counts().dropped, 5);
}

#[test]
fn a_number_is_accepted_once_and_a_connection_has_one_sender() {
    let mut end = tcp("a", quick_settings());
    let dial = |frames: &[Vec<u8>]| {
        let mut stream = TcpStream::connect(end.address()).expect("the transport listens");
        stream.write_all(&frame(MessageType::Hello, "b", "a", 0, b"")).expect("sent");
        stream.write_all(&frames.concat()).expect("sent");
        stream
    };
    let again = [
        frame(MessageType::Message, "b", "a", 1, b"one"),
        frame(MessageType::Message, "b", "a", 1, b"one again"),
    ];
    assert!(is_closed(&mut dial(&again)));
    assert!(is_closed(&mut dial(&[frame(MessageType::Message, "c", "a", 2, b"as c")])));
    let events: Vec<Event> = std::iter::from_fn(|| end.poll(Duration::ZERO)).collect();
    let expected = [
        Event::NewSession(peer("b")),
        Event::Message { from: peer("b"), bytes: b"one".to_vec() },
        Event::Dropped("a message with a number that was already accepted"),
        Event::Dropped("a frame of another sender than the connection's"),
    ];
    assert_eq!(events, expected);
}

#[test]
fn connections_above_the_limit_are_rejected_and_permits_are_freed() {
    let mut end = tcp(
        "a",
        Settings { inbound_connections: 2, connect_timeout: Duration::from_millis(300), ..quick_settings() },
    );
    let idle: Vec<TcpStream> =
        (0..2).map(|_| TcpStream::connect(end.address()).expect("the transport listens")).collect();
    let mut third = TcpStream::connect(end.address()).expect("the kernel accepts it");
    assert!(is_closed(&mut third));
    assert_eq!(end.counts().connections_rejected, 1);
    // Connections that never send a hello are closed, and a real peer can connect.
    let mut b = tcp("b", quick_settings());
    assert!(b.set_peer(name("a"), end.address()));
    b.send(&name("a"), b"salaam").expect("accepted");
    assert_eq!(next_message(&mut end), b"salaam");
    drop(idle);
}

/// Idle connections stay open for a minute. In a fleet in which each node has a few connections at a time,
/// peers with messages must not wait that long for a connection.
#[test]
fn idle_connections_end_early_when_other_peers_have_messages() {
    let few = || Settings { outbound_connections: 2, inbound_connections: 2, ..quick_settings() };
    let mut end = tcp("end", few());
    let mut others: Vec<Tcp> = (0..8).map(|n| tcp(&format!("n{n}"), few())).collect();
    for (n, other) in others.iter_mut().enumerate() {
        assert!(end.set_peer(name(&format!("n{n}")), other.address()));
        assert!(other.set_peer(name("end"), end.address()));
        end.send(&name(&format!("n{n}")), &[n as u8]).expect("accepted");
        other.send(&name("end"), &[n as u8]).expect("accepted");
    }
    let mut received: Vec<u8> = others.iter().map(|_| next_message(&mut end)[0]).collect();
    received.sort_unstable();
    assert_eq!(received, (0..8).collect::<Vec<u8>>());
    for (n, other) in others.iter_mut().enumerate() {
        assert_eq!(next_message(other), [n as u8]);
    }
    assert_eq!(end.counts().lost, 0);
}

#[test]
fn queued_bytes_are_limited_over_all_peers() {
    let mut end = tcp("a", Settings { message_max_bytes: 1000, queue_bytes: 2500, ..quick_settings() });
    for text in ["b", "c", "d"] {
        assert!(end.set_peer(name(text), SocketAddr::from(([127, 0, 0, 1], 1))));
    }
    assert_eq!(end.send(&name("b"), &[0; 1000]), Ok(()));
    assert_eq!(end.send(&name("c"), &[0; 1000]), Ok(()));
    assert_eq!(end.send(&name("d"), &[0; 1000]), Err(SendError::Full { to: name("d"), max: 256 }));
    // The messages of a removed peer are reported as lost, and their bytes are free again.
    end.remove_peer(&name("b"));
    assert_eq!(end.poll(Duration::ZERO), Some(Event::Lost { to: name("b"), messages: 1 }));
    assert_eq!(end.send(&name("d"), &[0; 1000]), Ok(()));
    assert_eq!(end.send(&name("b"), b""), Err(SendError::Unknown(name("b"))));
}

#[test]
fn a_peer_removed_and_added_again_receives_messages_at_once() {
    let (mut a, mut b) = (tcp("a", quick_settings()), tcp("b", quick_settings()));
    for round in 0..4u8 {
        assert!(a.set_peer(name("b"), b.address()));
        for i in 0..3 {
            a.send(&name("b"), &[round, i]).expect("accepted");
            assert_eq!(next_message(&mut b), [round, i]);
        }
        a.remove_peer(&name("b"));
    }
    assert_eq!(b.counts().dropped, 0);
}

#[test]
fn a_peer_that_moves_is_reached_at_its_new_address() {
    let (mut a, mut b) = (tcp("a", quick_settings()), tcp("b", quick_settings()));
    assert!(a.set_peer(name("b"), b.address()));
    a.send(&name("b"), b"here").expect("accepted");
    assert_eq!(next_message(&mut b), b"here");
    let moved = Peer { session: Session(2), ..peer("b") };
    let mut b2 =
        Tcp::bind(moved.clone(), FleetId::from_name("lahore"), any_port(), quick_settings()).expect("a port");
    // The old one still runs, like a node that was only disconnected from the network.
    assert!(a.set_peer(name("b"), b2.address()));
    a.send(&name("b"), b"there").expect("accepted");
    assert_eq!(next_message(&mut b2), b"there");
    wait(&mut a, "the later session", |e| (e == Event::NewSession(moved.clone())).then_some(()));
    // Messages of the old one are of an older session from now on.
    assert!(b.set_peer(name("a"), a.address()));
    b.send(&name("a"), b"still here").expect("accepted");
    assert_eq!(next_drop(&mut a), "a message of an older session");
}

#[test]
fn an_idle_connection_is_closed_and_the_next_message_opens_another() {
    let settings = Settings { idle_timeout: Duration::from_millis(60), ..quick_settings() };
    let (mut a, mut b) = (tcp("a", settings), tcp("b", quick_settings()));
    assert!(a.set_peer(name("b"), b.address()));
    for round in 1..=2u8 {
        a.send(&name("b"), &[round]).expect("accepted");
        assert_eq!(next_message(&mut b), [round]);
        let start = Instant::now();
        while a.counts().connections_opened > u64::from(round) || start.elapsed() < Duration::from_millis(400)
        {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
    assert_eq!(a.counts().connections_opened, 2, "one connection for each message, and none in between");
    assert_eq!(a.counts().lost, 0);
}

#[test]
fn invalid_settings_are_refused_with_the_reason() {
    let invalid = [
        Settings { window: 0, ..quick_settings() },
        Settings { queue_bytes: 10, ..quick_settings() },
        Settings { heartbeat: WAIT_TIMEOUT, ..quick_settings() },
        Settings { backoff: Duration::ZERO, ..quick_settings() },
    ];
    for settings in invalid {
        let reason = settings.check().expect_err("the settings are invalid");
        let refused =
            Tcp::bind(peer("a"), FleetId::from_name("lahore"), any_port(), settings).err().expect("refused");
        assert_eq!(refused.to_string(), reason);
    }
}
