//! The TCP relay applies each of its faults.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use magpietally_contracts::relay::{StreamLink, StreamRelay};

const TIMEOUT: Duration = Duration::from_secs(30);
/// Many times longer than loopback and a relay need.
const QUIET_PERIOD: Duration = Duration::from_millis(150);

/// Both ends of a connection from node 0 to node 1 through the relay.
fn pair(relay: &StreamRelay) -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    relay.attach(1, listener.local_addr().expect("bound"));
    let client = TcpStream::connect(relay.frontend(0, 1)).expect("a front");
    let (accepted, _) = listener.accept().expect("the relay connects");
    (client, accepted)
}

/// Reads what arrives within the given time.
fn read(stream: &mut TcpStream, within: Duration) -> Result<Vec<u8>, ErrorKind> {
    stream.set_read_timeout(Some(within)).expect("a timeout");
    let mut buffer = [0; 64];
    stream.read(&mut buffer).map(|n| buffer[..n].to_vec()).map_err(|e| e.kind())
}

#[test]
fn a_held_link_keeps_its_bytes_and_a_silent_one_never_gives_them_back() {
    let relay = StreamRelay::new(2, 1);
    let (mut a, mut b) = pair(&relay);
    relay.set_link(0, 1, StreamLink { paused: true, ..StreamLink::default() });
    a.write_all(b"held").expect("taken");
    assert_eq!(read(&mut b, QUIET_PERIOD), Err(ErrorKind::WouldBlock));
    // The other direction is a separate link.
    b.write_all(b"back").expect("taken");
    assert_eq!(read(&mut a, TIMEOUT), Ok(b"back".to_vec()));
    relay.heal();
    assert_eq!(read(&mut b, TIMEOUT), Ok(b"held".to_vec()));

    relay.set_link(0, 1, StreamLink { blackhole: true, ..StreamLink::default() });
    a.write_all(b"swallowed").expect("taken");
    assert_eq!(read(&mut b, QUIET_PERIOD), Err(ErrorKind::WouldBlock));
    relay.heal();
    a.write_all(b"too").expect("taken");
    assert_eq!(read(&mut b, QUIET_PERIOD), Err(ErrorKind::WouldBlock));
    drop(a);
    assert_eq!(
        read(&mut b, QUIET_PERIOD),
        Err(ErrorKind::WouldBlock),
        "the end of the stream is not forwarded either"
    );
}

#[test]
fn a_reset_ends_what_there_is_and_a_refusal_what_comes() {
    let relay = StreamRelay::new(2, 1);
    let (mut a, mut b) = pair(&relay);
    a.write_all(b"before").expect("taken");
    assert_eq!(read(&mut b, TIMEOUT), Ok(b"before".to_vec()));
    relay.reset(1, 0);
    assert_eq!(read(&mut a, TIMEOUT), Err(ErrorKind::ConnectionReset));
    assert_eq!(read(&mut b, TIMEOUT), Err(ErrorKind::ConnectionReset));
    let (mut a, _b) = pair(&relay);
    relay.partition(&[0], &[1]);
    assert_eq!(read(&mut a, TIMEOUT), Err(ErrorKind::ConnectionReset));
    let mut refused = TcpStream::connect(relay.frontend(0, 1)).expect("a front");
    assert_eq!(read(&mut refused, TIMEOUT), Err(ErrorKind::ConnectionReset));
    assert_eq!(relay.counts(), (2, 3));
}

#[test]
fn a_delay_and_a_rate_are_at_least_what_they_say() {
    let relay = StreamRelay::new(2, 1);
    let (mut a, mut b) = pair(&relay);
    relay.set_link(0, 1, StreamLink { delay: QUIET_PERIOD, ..StreamLink::default() });
    let start = Instant::now();
    a.write_all(b"late").expect("taken");
    assert_eq!(read(&mut b, TIMEOUT), Ok(b"late".to_vec()));
    assert!(start.elapsed() >= QUIET_PERIOD);

    relay.set_link(0, 1, StreamLink { bytes_per_s: Some(100_000), ..StreamLink::default() });
    let start = Instant::now();
    a.write_all(&[7; 20_000]).expect("taken");
    b.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    b.read_exact(&mut [0; 20_000]).expect("all of it");
    assert!(start.elapsed() >= Duration::from_millis(180), "{:?}", start.elapsed());
}

#[test]
fn the_share_of_resets_is_drawn_by_the_seed() {
    let survivors = |seed| {
        let relay = StreamRelay::new(2, seed);
        relay.set_default_link(StreamLink { reset_share: 0.5, ..StreamLink::default() });
        let survived = |_| {
            let (mut a, mut b) = pair(&relay);
            a.write_all(b"?").expect("taken");
            read(&mut b, TIMEOUT) == Ok(b"?".to_vec())
        };
        (0..20).map(survived).collect::<Vec<bool>>()
    };
    let first = survivors(3);
    assert_eq!(first, survivors(3));
    assert!(first.contains(&true) && first.contains(&false), "{first:?}");
}
