//! Rigs of the real transports on loopback, straight or through a relay.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use magpietally_contracts::relay::{Link, Relay, Stream, Streams};
use magpietally_contracts::transport::{name_of, Rig};
use magpietally_transport::envelope::{encode, FleetId, Header, MessageType, RecipientId};
use magpietally_transport::tcp::{Settings, Tcp};
use magpietally_transport::udp::Udp;
use magpietally_transport::{Name, Peer, Session, Transport};

/// Only waited for on a fault, so generous beyond any busy machine.
const PATIENCE: Duration = Duration::from_secs(30);
const QUIET: Duration = Duration::from_millis(120);

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Where nobody listens: a node that never ran.
fn nowhere() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn fleet(foreign: bool) -> FleetId {
    FleetId::from_name(if foreign { "karachi" } else { "lahore" })
}

/// UDP, with a relay where there is a link to put on every way.
pub struct Datagrams {
    origin: Instant,
    sessions: u64,
    relay: Option<(Relay, Link)>,
    ends: BTreeMap<usize, Udp>,
    at: BTreeMap<usize, SocketAddr>,
}

impl Datagrams {
    const NODES: usize = 6;

    pub fn new(link: Option<Link>) -> Self {
        let relay = link.map(|link| {
            let relay = Relay::new(Self::NODES, 28);
            relay.set_all(link);
            (relay, link)
        });
        Self { origin: Instant::now(), sessions: 0, relay, ends: BTreeMap::new(), at: BTreeMap::new() }
    }

    /// Datagrams that the relay passed and dropped.
    pub fn relayed(&self) -> (u64, u64) {
        self.relay.as_ref().map_or((0, 0), |(relay, _)| relay.counts())
    }

    fn way(&self, to: usize) -> SocketAddr {
        let own = self.at.get(&to).copied().unwrap_or_else(nowhere);
        self.relay.as_ref().map_or(own, |(relay, _)| relay.front(to))
    }
}

impl Rig for Datagrams {
    fn nodes(&self) -> usize {
        Self::NODES
    }

    fn start(&mut self, node: usize) -> Session {
        self.sessions += 1;
        let session = Session(self.sessions);
        let me = Peer { name: name_of(node), session };
        let mut end = Udp::bind(me, fleet(false), any()).expect("a port");
        let own = end.address().expect("bound");
        self.at.insert(node, own);
        if let Some((relay, _)) = &self.relay {
            relay.attach(node, own);
        }
        for other in (0..Self::NODES).filter(|o| *o != node) {
            assert!(end.set_peer(name_of(other), self.way(other)));
        }
        let way = self.way(node);
        for other in self.ends.values_mut() {
            assert!(other.set_peer(name_of(node), way));
        }
        self.ends.insert(node, end);
        session
    }

    fn kill(&mut self, node: usize) {
        self.ends.remove(&node);
    }

    fn at(&mut self, node: usize, act: &mut dyn FnMut(&mut dyn Transport, Duration)) {
        act(self.ends.get_mut(&node).expect("it runs"), self.origin.elapsed());
    }

    fn pass(&mut self, time: Duration) {
        std::thread::sleep(time);
    }

    fn patience(&self) -> Duration {
        PATIENCE
    }

    fn quiet(&self) -> Duration {
        QUIET
    }

    fn under_way(&self) -> usize {
        0
    }

    fn faulty(&self) -> bool {
        self.relay.is_some()
    }

    fn ghost(&mut self, ghost: &Name, session: Session, foreign: bool, to: usize, bytes: &[u8]) -> bool {
        let from = Peer { name: ghost.clone(), session };
        let to_name = RecipientId::from_name(&name_of(to));
        let head = Header {
            fleet: fleet(foreign),
            to: to_name,
            message_type: MessageType::Message,
            from,
            number: 0,
        };
        self.inject(to, &encode(&head, bytes))
    }

    fn inject(&mut self, to: usize, bytes: &[u8]) -> bool {
        let socket = UdpSocket::bind(any()).expect("a port");
        socket.send_to(bytes, self.at[&to]).is_ok()
    }

    fn silence(&mut self, a: usize, b: usize, on: bool) -> bool {
        let Some((relay, usual)) = &self.relay else { return false };
        for (from, to) in [(a, b), (b, a)] {
            relay.set(from, to, Link { cut: on, ..*usual });
        }
        true
    }
}

/// Framed TCP, with a relay where there is a link to put on every way.
pub struct Frames {
    origin: Instant,
    sessions: u64,
    settings: Settings,
    relay: Option<(Streams, Stream)>,
    ends: BTreeMap<usize, Tcp>,
    at: BTreeMap<usize, SocketAddr>,
    ghosts: Vec<Tcp>,
}

impl Frames {
    const NODES: usize = 5;

    pub fn new(link: Option<Stream>) -> Self {
        let relay = link.map(|link| {
            let relay = Streams::new(Self::NODES, 28);
            relay.set_all(link);
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
            // Without a fault nothing may be lost: a thread that a busy machine held up is no broken connection.
            (settings.liveness_timeout, settings.connect_timeout) = (PATIENCE, PATIENCE);
        }
        Self {
            origin: Instant::now(),
            sessions: 0,
            settings,
            relay,
            ends: BTreeMap::new(),
            at: BTreeMap::new(),
            ghosts: Vec::new(),
        }
    }

    /// Connections that the relay passed and broke.
    pub fn relayed(&self) -> (u64, u64) {
        self.relay.as_ref().map_or((0, 0), |(relay, _)| relay.counts())
    }

    fn way(&self, from: usize, to: usize) -> SocketAddr {
        let own = self.at.get(&to).copied().unwrap_or_else(nowhere);
        self.relay.as_ref().map_or(own, |(relay, _)| relay.front(from, to))
    }
}

impl Rig for Frames {
    fn nodes(&self) -> usize {
        Self::NODES
    }

    fn start(&mut self, node: usize) -> Session {
        self.sessions += 1;
        let session = Session(self.sessions);
        self.ghosts.clear();
        let me = Peer { name: name_of(node), session };
        let mut end = Tcp::bind(me, fleet(false), any(), self.settings.clone()).expect("a port");
        self.at.insert(node, end.address());
        if let Some((relay, _)) = &self.relay {
            relay.attach(node, end.address());
        }
        for other in (0..Self::NODES).filter(|o| *o != node) {
            assert!(end.set_peer(name_of(other), self.way(node, other)));
        }
        let ways: Vec<SocketAddr> = self.ends.keys().map(|o| self.way(*o, node)).collect();
        for (other, way) in self.ends.values_mut().zip(ways) {
            assert!(other.set_peer(name_of(node), way));
        }
        self.ends.insert(node, end);
        session
    }

    fn kill(&mut self, node: usize) {
        self.ghosts.clear();
        self.ends.remove(&node);
        if let Some((relay, _)) = &self.relay {
            relay.detach(node);
        }
    }

    fn at(&mut self, node: usize, act: &mut dyn FnMut(&mut dyn Transport, Duration)) {
        act(self.ends.get_mut(&node).expect("it runs"), self.origin.elapsed());
    }

    fn pass(&mut self, time: Duration) {
        std::thread::sleep(time);
    }

    fn patience(&self) -> Duration {
        PATIENCE
    }

    fn quiet(&self) -> Duration {
        QUIET
    }

    fn under_way(&self) -> usize {
        // The window, the inbox, and one that was read as the inbox filled, from each of two.
        self.settings.window + self.settings.inbox_messages + 2
    }

    fn faulty(&self) -> bool {
        self.relay.is_some()
    }

    fn ghost(&mut self, ghost: &Name, session: Session, foreign: bool, to: usize, bytes: &[u8]) -> bool {
        let me = Peer { name: ghost.clone(), session };
        let mut end = Tcp::bind(me, fleet(foreign), any(), self.settings.clone()).expect("a port");
        assert!(end.set_peer(name_of(to), self.at[&to]));
        let said = end.send(&name_of(to), bytes).is_ok();
        self.ghosts.push(end);
        said
    }

    fn inject(&mut self, to: usize, bytes: &[u8]) -> bool {
        let Ok(mut stranger) = TcpStream::connect(self.at[&to]) else { return false };
        stranger.write_all(bytes).is_ok()
    }

    fn silence(&mut self, a: usize, b: usize, on: bool) -> bool {
        let Some((relay, usual)) = &self.relay else { return false };
        for (from, to) in [(a, b), (b, a)] {
            relay.set(from, to, Stream { silent: on, ..*usual });
        }
        true
    }

    fn reset(&mut self, a: usize, b: usize) -> bool {
        let Some((relay, _)) = &self.relay else { return false };
        relay.reset(a, b);
        true
    }
}
