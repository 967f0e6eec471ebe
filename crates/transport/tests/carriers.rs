//! The bounds of the real transports that the contract does not know of: strangers, descriptors, memory, names that
//! come back. What every transport holds is played by `crates/contracts`.
#![cfg(feature = "carriers")]

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use magpietally_transport::envelope::{encode, FleetId, Header, MessageType, RecipientId};
use magpietally_transport::tcp::{Settings, Tcp};
use magpietally_transport::udp::{Udp, MESSAGE_MAX_BYTES};
use magpietally_transport::{Event, Name, Peer, SendError, Session, Transport};

/// Only waited for on a fault.
const PATIENCE: Duration = Duration::from_secs(30);

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn peer(text: &str) -> Peer {
    Peer { name: name(text), session: Session(1) }
}

fn tcp(text: &str, settings: Settings) -> Tcp {
    Tcp::bind(peer(text), FleetId::from_name("lahore"), any(), settings).expect("a port")
}

fn quick() -> Settings {
    let ms = Duration::from_millis;
    Settings {
        backoff: ms(5),
        backoff_max: ms(40),
        heartbeat: ms(40),
        liveness_timeout: PATIENCE,
        ..Settings::default()
    }
}

/// The next event for which it holds.
fn wait<T>(end: &mut impl Transport, what: &str, mut take: impl FnMut(Event) -> Option<T>) -> T {
    let start = Instant::now();
    while start.elapsed() < PATIENCE {
        if let Some(out) = end.poll(start.elapsed()).and_then(&mut take) {
            return out;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    panic!("waited in vain: {what}");
}

fn message(end: &mut impl Transport) -> Vec<u8> {
    wait(end, "a message", |e| if let Event::Message { bytes, .. } = e { Some(bytes) } else { None })
}

fn dropped(end: &mut impl Transport) -> &'static str {
    wait(end, "a drop", |e| if let Event::Dropped(why) = e { Some(why) } else { None })
}

/// Whether the other side closes.
fn ends(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
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
fn what_was_meant_for_another_node_is_dropped() {
    let mut a = Udp::bind(peer("a"), FleetId::from_name("lahore"), any()).expect("a port");
    let mut b = Udp::bind(peer("b"), FleetId::from_name("lahore"), any()).expect("a port");
    // The address was another's once, and `a` has not heard.
    assert!(a.set_peer(name("gone"), b.address().expect("bound")));
    a.send(&name("gone"), b"for gone").expect("taken");
    assert_eq!(dropped(&mut b), "a message for another node");
    assert_eq!(b.counts().received, 0);
    assert_eq!(
        a.send(&name("gone"), &[0; MESSAGE_MAX_BYTES + 1]),
        Err(SendError::TooLarge { size: MESSAGE_MAX_BYTES + 1, max: MESSAGE_MAX_BYTES })
    );

    let (mut a, mut b) = (tcp("a", quick()), tcp("b", quick()));
    assert!(a.set_peer(name("gone"), b.address()));
    a.send(&name("gone"), b"for gone").expect("taken");
    assert_eq!(dropped(&mut b), "a message for another node");
}

#[test]
fn a_stranger_is_closed_on_its_first_wrong_frame() {
    let mut end = tcp("a", quick());
    let strange: [(Vec<u8>, &str); 5] = [
        (vec![0xff; 8], "a frame larger than may be"),
        (vec![0, 0, 0, 3, 1, 2, 3], "a message that ends inside its envelope"),
        (vec![0, 0, 0, 6, 9, 2, 3, 4, 5, 6], "a message in another version of the format"),
        (frame(MessageType::Message, "x", "a", 1, b"no hello"), "a message of a kind that has no place here"),
        (frame(MessageType::Hello, "a", "a", 0, b""), "a message under this node's own name"),
    ];
    for (bytes, why) in strange {
        let mut stranger = TcpStream::connect(end.address()).expect("it listens");
        stranger.write_all(&bytes).expect("sent");
        assert_eq!(dropped(&mut end), why);
        assert!(ends(&mut stranger), "still open after {why}");
    }
    assert_eq!(end.counts().dropped, 5);
}

#[test]
fn a_number_is_taken_once_and_a_sender_is_who_it_said() {
    let mut end = tcp("a", quick());
    let dial = |frames: &[Vec<u8>]| {
        let mut stream = TcpStream::connect(end.address()).expect("it listens");
        stream.write_all(&frame(MessageType::Hello, "b", "a", 0, b"")).expect("sent");
        stream.write_all(&frames.concat()).expect("sent");
        stream
    };
    let again = [
        frame(MessageType::Message, "b", "a", 1, b"one"),
        frame(MessageType::Message, "b", "a", 1, b"one again"),
    ];
    assert!(ends(&mut dial(&again)));
    assert!(ends(&mut dial(&[frame(MessageType::Message, "c", "a", 2, b"as c")])));
    let events: Vec<Event> = std::iter::from_fn(|| end.poll(Duration::ZERO)).collect();
    let expected = [
        Event::NewSession(peer("b")),
        Event::Message { from: peer("b"), bytes: b"one".to_vec() },
        Event::Dropped("a message that came before"),
        Event::Dropped("a frame of another sender than the connection's"),
    ];
    assert_eq!(events, expected);
}

#[test]
fn connections_past_the_bound_are_turned_away_and_places_come_back() {
    let mut end =
        tcp("a", Settings { inbound_connections: 2, connect_timeout: Duration::from_millis(300), ..quick() });
    let idle: Vec<TcpStream> =
        (0..2).map(|_| TcpStream::connect(end.address()).expect("it listens")).collect();
    let mut third = TcpStream::connect(end.address()).expect("the kernel takes it");
    assert!(ends(&mut third));
    assert_eq!(end.counts().connections_rejected, 1);
    // Those who never say hello lose their places, and a real peer gets one.
    let mut b = tcp("b", quick());
    assert!(b.set_peer(name("a"), end.address()));
    b.send(&name("a"), b"salaam").expect("taken");
    assert_eq!(message(&mut end), b"salaam");
    drop(idle);
}

/// Connections rest for a minute: a fleet of which each node reaches a few at a time must not wait that out.
#[test]
fn idle_connections_give_way_to_peers_that_have_something_to_say() {
    let few = || Settings { outbound_connections: 2, inbound_connections: 2, ..quick() };
    let mut end = tcp("end", few());
    let mut others: Vec<Tcp> = (0..8).map(|n| tcp(&format!("n{n}"), few())).collect();
    for (n, other) in others.iter_mut().enumerate() {
        assert!(end.set_peer(name(&format!("n{n}")), other.address()));
        assert!(other.set_peer(name("end"), end.address()));
        end.send(&name(&format!("n{n}")), &[n as u8]).expect("taken");
        other.send(&name("end"), &[n as u8]).expect("taken");
    }
    let mut came: Vec<u8> = others.iter().map(|_| message(&mut end)[0]).collect();
    came.sort_unstable();
    assert_eq!(came, (0..8).collect::<Vec<u8>>());
    for (n, other) in others.iter_mut().enumerate() {
        assert_eq!(message(other), [n as u8]);
    }
    assert_eq!(end.counts().lost, 0);
}

#[test]
fn bytes_that_wait_are_bounded_over_all_peers() {
    let mut end = tcp("a", Settings { message_max_bytes: 1000, queue_bytes: 2500, ..quick() });
    for text in ["b", "c", "d"] {
        assert!(end.set_peer(name(text), SocketAddr::from(([127, 0, 0, 1], 1))));
    }
    assert_eq!(end.send(&name("b"), &[0; 1000]), Ok(()));
    assert_eq!(end.send(&name("c"), &[0; 1000]), Ok(()));
    assert_eq!(end.send(&name("d"), &[0; 1000]), Err(SendError::Full { to: name("d"), max: 256 }));
    // What is forgotten is told, and its bytes are free again.
    end.remove_peer(&name("b"));
    assert_eq!(end.poll(Duration::ZERO), Some(Event::Lost { to: name("b"), messages: 1 }));
    assert_eq!(end.send(&name("d"), &[0; 1000]), Ok(()));
    assert_eq!(end.send(&name("b"), b""), Err(SendError::Unknown(name("b"))));
}

#[test]
fn a_peer_forgotten_and_named_again_is_heard_at_once() {
    let (mut a, mut b) = (tcp("a", quick()), tcp("b", quick()));
    for round in 0..4u8 {
        assert!(a.set_peer(name("b"), b.address()));
        for i in 0..3 {
            a.send(&name("b"), &[round, i]).expect("taken");
            assert_eq!(message(&mut b), [round, i]);
        }
        a.remove_peer(&name("b"));
    }
    assert_eq!(b.counts().dropped, 0);
}

#[test]
fn a_peer_that_moves_is_found_at_its_new_address() {
    let (mut a, mut b) = (tcp("a", quick()), tcp("b", quick()));
    assert!(a.set_peer(name("b"), b.address()));
    a.send(&name("b"), b"here").expect("taken");
    assert_eq!(message(&mut b), b"here");
    let moved = Peer { session: Session(2), ..peer("b") };
    let mut b2 = Tcp::bind(moved.clone(), FleetId::from_name("lahore"), any(), quick()).expect("a port");
    // The old one still runs, as one that was only cut off would.
    assert!(a.set_peer(name("b"), b2.address()));
    a.send(&name("b"), b"there").expect("taken");
    assert_eq!(message(&mut b2), b"there");
    wait(&mut a, "the later session", |e| (e == Event::NewSession(moved.clone())).then_some(()));
    // What the old one says is an older session's from now on.
    assert!(b.set_peer(name("a"), a.address()));
    b.send(&name("a"), b"still here").expect("taken");
    assert_eq!(dropped(&mut a), "a message of an older session");
}

#[test]
fn an_idle_connection_gives_its_descriptor_back_and_the_next_message_makes_one() {
    let settings = Settings { idle_timeout: Duration::from_millis(60), ..quick() };
    let (mut a, mut b) = (tcp("a", settings), tcp("b", quick()));
    assert!(a.set_peer(name("b"), b.address()));
    for round in 1..=2u8 {
        a.send(&name("b"), &[round]).expect("taken");
        assert_eq!(message(&mut b), [round]);
        let start = Instant::now();
        while a.counts().connections_opened > u64::from(round) || start.elapsed() < Duration::from_millis(400)
        {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
    assert_eq!(a.counts().connections_opened, 2, "one connection a message, and none between");
    assert_eq!(a.counts().lost, 0);
}

#[test]
fn settings_that_cannot_work_are_refused_with_the_reason() {
    let wrong = [
        Settings { window: 0, ..quick() },
        Settings { queue_bytes: 10, ..quick() },
        Settings { heartbeat: PATIENCE, ..quick() },
        Settings { backoff: Duration::ZERO, ..quick() },
    ];
    for settings in wrong {
        let why = settings.check().expect_err("it can't work");
        let refused =
            Tcp::bind(peer("a"), FleetId::from_name("lahore"), any(), settings).err().expect("refused");
        assert_eq!(refused.to_string(), why);
    }
}
