//! Harnesses for the real transports on loopback, directly or through a relay.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use magpietally_contracts::relay::{DatagramLink, DatagramRelay, StreamLink, StreamRelay};
use magpietally_contracts::transport::{node_name, Harness};
use magpietally_transport::envelope::{encode, FleetId, Header, MessageType, RecipientId};
use magpietally_transport::tcp::{Settings, Tcp};
use magpietally_transport::udp::Udp;
use magpietally_transport::{Name, Peer, Session, Transport};

/// It elapses only on a fault, and is generous so that a busy machine does not reach it.
const TIMEOUT: Duration = Duration::from_secs(30);
const SETTLE_TIME: Duration = Duration::from_millis(120);

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// An address without a listener, for a node that never ran.
fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn fleet(foreign: bool) -> FleetId {
    FleetId::from_name(if foreign { "karachi" } else { "lahore" })
}

/// UDP, through a relay where a link is given, which then applies to every direction.
pub struct UdpHarness {
    origin: Instant,
    sessions: u64,
    relay: Option<(DatagramRelay, DatagramLink)>,
    endpoints: BTreeMap<usize, Udp>,
    addresses: BTreeMap<usize, SocketAddr>,
}

impl UdpHarness {
    const NODES: usize = 6;

    pub fn new(link: Option<DatagramLink>) -> Self {
        let relay = link.map(|link| {
            let relay = DatagramRelay::new(Self::NODES, 28);
            relay.set_default_link(link);
            (relay, link)
        });
        Self {
            origin: Instant::now(),
            sessions: 0,
            relay,
            endpoints: BTreeMap::new(),
            addresses: BTreeMap::new(),
        }
    }

    /// Datagrams that the relay forwarded and dropped.
    pub fn relay_counts(&self) -> (u64, u64) {
        self.relay.as_ref().map_or((0, 0), |(relay, _)| relay.counts())
    }

    fn peer_address(&self, to: usize) -> SocketAddr {
        let address = self.addresses.get(&to).copied().unwrap_or_else(unused_address);
        self.relay.as_ref().map_or(address, |(relay, _)| relay.frontend(to))
    }
}

impl Harness for UdpHarness {
    fn node_count(&self) -> usize {
        Self::NODES
    }

    fn start(&mut self, node: usize) -> Session {
        self.sessions += 1;
        let session = Session(self.sessions);
        let me = Peer { name: node_name(node), session };
        let mut endpoint = Udp::bind(me, fleet(false), loopback()).expect("a port");
        let address = endpoint.address().expect("bound");
        self.addresses.insert(node, address);
        if let Some((relay, _)) = &self.relay {
            relay.attach(node, address);
        }
        for other in (0..Self::NODES).filter(|o| *o != node) {
            assert!(endpoint.set_peer(node_name(other), self.peer_address(other)));
        }
        let address = self.peer_address(node);
        for other in self.endpoints.values_mut() {
            assert!(other.set_peer(node_name(node), address));
        }
        self.endpoints.insert(node, endpoint);
        session
    }

    fn kill(&mut self, node: usize) {
        self.endpoints.remove(&node);
    }

    fn with_node(&mut self, node: usize, act: &mut dyn FnMut(&mut dyn Transport, Duration)) {
        act(self.endpoints.get_mut(&node).expect("it runs"), self.origin.elapsed());
    }

    fn advance(&mut self, time: Duration) {
        std::thread::sleep(time);
    }

    fn timeout(&self) -> Duration {
        TIMEOUT
    }

    fn settle_time(&self) -> Duration {
        SETTLE_TIME
    }

    fn in_flight_max(&self) -> usize {
        0
    }

    fn is_lossy(&self) -> bool {
        self.relay.is_some()
    }

    fn send_as(&mut self, name: &Name, session: Session, foreign: bool, to: usize, bytes: &[u8]) -> bool {
        let from = Peer { name: name.clone(), session };
        let to_name = RecipientId::from_name(&node_name(to));
        let head = Header {
            fleet: fleet(foreign),
            to: to_name,
            message_type: MessageType::Message,
            from,
            number: 0,
        };
        self.inject_bytes(to, &encode(&head, bytes))
    }

    fn inject_bytes(&mut self, to: usize, bytes: &[u8]) -> bool {
        let socket = UdpSocket::bind(loopback()).expect("a port");
        socket.send_to(bytes, self.addresses[&to]).is_ok()
    }

    fn set_blackhole(&mut self, a: usize, b: usize, on: bool) -> bool {
        let Some((relay, default_link)) = &self.relay else { return false };
        for (from, to) in [(a, b), (b, a)] {
            relay.set_link(from, to, DatagramLink { cut: on, ..*default_link });
        }
        true
    }
}

/// Framed TCP, through a relay where a link is given, which then applies to every direction.
pub struct TcpHarness {
    origin: Instant,
    sessions: u64,
    settings: Settings,
    relay: Option<(StreamRelay, StreamLink)>,
    endpoints: BTreeMap<usize, Tcp>,
    addresses: BTreeMap<usize, SocketAddr>,
    impersonators: Vec<Tcp>,
}

impl TcpHarness {
    const NODES: usize = 5;

    pub fn new(link: Option<StreamLink>) -> Self {
        let relay = link.map(|link| {
            let relay = StreamRelay::new(Self::NODES, 28);
            relay.set_default_link(link);
            (relay, link)
        });
        let ms = Duration::from_millis;
        let mut settings = Settings {
            message_max_bytes: 64 << 10,
            queue_messages: 32,
            window: 8,
            inbox_messages: 32,
            heartbeat: ms(40),
            liveness_timeout: ms(400),
            connect_timeout: ms(1000),
            backoff: ms(5),
            backoff_max: ms(40),
            ..Settings::default()
        };
        if relay.is_none() {
            // Without injected faults nothing may be lost: a thread delayed by a busy machine must not count
            // as a broken connection.
            (settings.liveness_timeout, settings.connect_timeout) = (TIMEOUT, TIMEOUT);
        }
        Self {
            origin: Instant::now(),
            sessions: 0,
            settings,
            relay,
            endpoints: BTreeMap::new(),
            addresses: BTreeMap::new(),
            impersonators: Vec::new(),
        }
    }

    /// Connections that the relay forwarded and aborted.
    pub fn relay_counts(&self) -> (u64, u64) {
        self.relay.as_ref().map_or((0, 0), |(relay, _)| relay.counts())
    }

    fn peer_address(&self, from: usize, to: usize) -> SocketAddr {
        let address = self.addresses.get(&to).copied().unwrap_or_else(unused_address);
        self.relay.as_ref().map_or(address, |(relay, _)| relay.frontend(from, to))
    }
}

impl Harness for TcpHarness {
    fn node_count(&self) -> usize {
        Self::NODES
    }

    fn start(&mut self, node: usize) -> Session {
        self.sessions += 1;
        let session = Session(self.sessions);
        self.impersonators.clear();
        let me = Peer { name: node_name(node), session };
        let mut endpoint = Tcp::bind(me, fleet(false), loopback(), self.settings.clone()).expect("a port");
        self.addresses.insert(node, endpoint.address());
        if let Some((relay, _)) = &self.relay {
            relay.attach(node, endpoint.address());
        }
        for other in (0..Self::NODES).filter(|o| *o != node) {
            assert!(endpoint.set_peer(node_name(other), self.peer_address(node, other)));
        }
        let addresses: Vec<SocketAddr> = self.endpoints.keys().map(|o| self.peer_address(*o, node)).collect();
        for (other, address) in self.endpoints.values_mut().zip(addresses) {
            assert!(other.set_peer(node_name(node), address));
        }
        self.endpoints.insert(node, endpoint);
        session
    }

    fn kill(&mut self, node: usize) {
        self.impersonators.clear();
        self.endpoints.remove(&node);
        if let Some((relay, _)) = &self.relay {
            relay.detach(node);
        }
    }

    fn with_node(&mut self, node: usize, act: &mut dyn FnMut(&mut dyn Transport, Duration)) {
        act(self.endpoints.get_mut(&node).expect("it runs"), self.origin.elapsed());
    }

    fn advance(&mut self, time: Duration) {
        std::thread::sleep(time);
    }

    fn timeout(&self) -> Duration {
        TIMEOUT
    }

    fn settle_time(&self) -> Duration {
        SETTLE_TIME
    }

    fn in_flight_max(&self) -> usize {
        // The window, the inbox, and one message from each of two connections that was read while the inbox
        // filled up.
        self.settings.window + self.settings.inbox_messages + 2
    }

    fn is_lossy(&self) -> bool {
        self.relay.is_some()
    }

    fn send_as(&mut self, name: &Name, session: Session, foreign: bool, to: usize, bytes: &[u8]) -> bool {
        let me = Peer { name: name.clone(), session };
        let mut endpoint = Tcp::bind(me, fleet(foreign), loopback(), self.settings.clone()).expect("a port");
        assert!(endpoint.set_peer(node_name(to), self.addresses[&to]));
        let sent = endpoint.send(&node_name(to), bytes).is_ok();
        self.impersonators.push(endpoint);
        sent
    }

    fn inject_bytes(&mut self, to: usize, bytes: &[u8]) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.addresses[&to]) else { return false };
        stream.write_all(bytes).is_ok()
    }

    fn set_blackhole(&mut self, a: usize, b: usize, on: bool) -> bool {
        let Some((relay, default_link)) = &self.relay else { return false };
        for (from, to) in [(a, b), (b, a)] {
            relay.set_link(from, to, StreamLink { blackhole: on, ..*default_link });
        }
        true
    }

    fn reset_connections(&mut self, a: usize, b: usize) -> bool {
        let Some((relay, _)) = &self.relay else { return false };
        relay.reset(a, b);
        true
    }
}
