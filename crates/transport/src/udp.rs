//! Datagrams over UDP: a non-blocking socket, written by [`Transport::send`] and read by [`Transport::poll`].

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use magpietally_os_error::{classify, retry, Call, Class};

use crate::envelope::{self, FleetId, Header, MessageType, RecipientId, ENVELOPE_MAX_BYTES};
use crate::name::Name;
use crate::sessions::{
    SessionStatus, SessionTable, OLDER_SESSION, OTHER_FLEET, OTHER_NODE, OWN_NAME, PEERS_MAX,
    PEER_TABLE_FULL, UNEXPECTED_TYPE,
};
use crate::transport::{Capabilities, Event, Kind, Peer, SendError, Transport};

/// The largest datagram, with its envelope, in bytes. It fits one Ethernet frame, so that no datagram is
/// fragmented.
pub const DATAGRAM_MAX_BYTES: usize = 1400;

/// The largest message, without the envelope, in bytes.
pub const MESSAGE_MAX_BYTES: usize = DATAGRAM_MAX_BYTES - ENVELOPE_MAX_BYTES;

/// The maximum number of datagrams queued for one peer while the socket accepts none: 90 KB, as much again as
/// the socket's own buffer holds.
const PEER_QUEUE_MAX: usize = 64;
/// The maximum number of errors of earlier sends that one poll skips.
const RECV_ERRORS_MAX: usize = 16;

/// The maximum number of datagrams queued for all peers together: 1.4 MB.
const TOTAL_QUEUE_MAX: usize = 1024;

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages passed to the kernel.
    pub sent: u64,
    /// Messages that the kernel refused (no route, no buffer). They are lost, as any datagram may be.
    pub refused: u64,
    /// Messages received from peers of the fleet.
    pub received: u64,
    /// Received datagrams that were dropped; each is reported as an [`Event::Dropped`].
    pub dropped: u64,
}

/// A peer and the datagrams queued for it.
struct UdpPeer {
    address: SocketAddr,
    queue: VecDeque<Vec<u8>>,
}

/// The datagram transport of one node, over UDP.
pub struct Udp {
    me: Peer,
    fleet: FleetId,
    socket: UdpSocket,
    peers: BTreeMap<Name, UdpPeer>,
    /// The number of datagrams queued for all peers.
    queued: usize,
    sessions: SessionTable,
    /// The message to return after an [`Event::NewSession`] of its sender.
    pending_message: Option<Event>,
    buffer: Vec<u8>,
    counts: Counts,
}

impl Udp {
    /// Binds a socket; port 0 selects a free port.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn bind(me: Peer, fleet: FleetId, at: SocketAddr) -> io::Result<Self> {
        let socket = retry::at_start(Call::Create, "datagrams", || UdpSocket::bind(at))?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            me,
            fleet,
            socket,
            peers: BTreeMap::new(),
            queued: 0,
            sessions: SessionTable::default(),
            pending_message: None,
            // One byte more than the maximum, so that longer datagrams are detected.
            buffer: vec![0; DATAGRAM_MAX_BYTES + 1],
            counts: Counts::default(),
        })
    }

    /// Returns the address that the socket is bound to.
    ///
    /// # Errors
    /// The system call failed.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Adds a peer or changes its address. Returns false if there are 4,096 other peers already.
    pub fn set_peer(&mut self, name: Name, address: SocketAddr) -> bool {
        let has_capacity = self.peers.len() < PEERS_MAX;
        match self.peers.get_mut(&name) {
            Some(peer) => peer.address = address,
            None if has_capacity => {
                self.peers.insert(name, UdpPeer { address, queue: VecDeque::new() });
            }
            None => return false,
        }
        true
    }

    /// Removes a peer and the messages queued for it.
    pub fn remove_peer(&mut self, name: &Name) {
        if let Some(peer) = self.peers.remove(name) {
            self.queued -= peer.queue.len();
        }
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Sends queued datagrams until the socket accepts no more.
    fn flush(&mut self) {
        for peer in self.peers.values_mut() {
            while let Some(datagram) = peer.queue.front() {
                if !send_datagram(&self.socket, &mut self.counts, datagram, peer.address) {
                    return;
                }
                peer.queue.pop_front();
                self.queued -= 1;
            }
        }
    }

    fn drop_datagram(&mut self, reason: &'static str) -> Event {
        self.counts.dropped += 1;
        Event::Dropped(reason)
    }

    /// Decodes and checks the datagram in the first `length` bytes of the buffer.
    fn receive(&mut self, length: usize) -> Event {
        if length > DATAGRAM_MAX_BYTES {
            return self.drop_datagram("a datagram larger than 1400 bytes");
        }
        let (header, body) = match envelope::decode(&self.buffer[..length]) {
            Ok((header, body)) => (header, body.to_vec()),
            Err(error) => return self.drop_datagram(error.as_str()),
        };
        if header.fleet != self.fleet {
            return self.drop_datagram(OTHER_FLEET);
        }
        if header.to != RecipientId::from_name(&self.me.name) {
            return self.drop_datagram(OTHER_NODE);
        }
        if header.message_type != MessageType::Message {
            return self.drop_datagram(UNEXPECTED_TYPE);
        }
        if header.from.name == self.me.name {
            return self.drop_datagram(OWN_NAME);
        }
        let status = self.sessions.observe(&header.from);
        let message = Event::Message { from: header.from.clone(), bytes: body };
        match status {
            SessionStatus::Older => return self.drop_datagram(OLDER_SESSION),
            SessionStatus::TableFull => return self.drop_datagram(PEER_TABLE_FULL),
            SessionStatus::Current | SessionStatus::New => self.counts.received += 1,
        }
        if status == SessionStatus::New {
            self.pending_message = Some(message);
            return Event::NewSession(header.from);
        }
        message
    }
}

/// Sends a datagram. Returns false if it has to stay queued, true if it was sent or lost.
fn send_datagram(socket: &UdpSocket, counts: &mut Counts, datagram: &[u8], to: SocketAddr) -> bool {
    let error = match retry::interrupted(|| socket.send_to(datagram, to)) {
        Ok(_) => {
            counts.sent += 1;
            return true;
        }
        Err(error) => error,
    };
    match classify(Call::Datagram, &error) {
        // The next flush tries again.
        Class::WaitForReadiness | Class::OutOfResources | Class::TryAgain => false,
        Class::ConnectionOver | Class::Permanent => {
            counts.refused += 1;
            true
        }
    }
}

impl Transport for Udp {
    fn me(&self) -> &Peer {
        &self.me
    }

    fn capabilities(&self) -> Capabilities {
        Capabilities {
            kind: Kind::Datagram,
            message_max_bytes: MESSAGE_MAX_BYTES,
            queue_capacity: PEER_QUEUE_MAX,
        }
    }

    fn send(&mut self, to: &Name, message: &[u8]) -> Result<(), SendError> {
        if message.len() > MESSAGE_MAX_BYTES {
            return Err(SendError::TooLarge { size: message.len(), max: MESSAGE_MAX_BYTES });
        }
        let peer = self.peers.get_mut(to).ok_or_else(|| SendError::Unknown(to.clone()))?;
        if peer.queue.len() >= PEER_QUEUE_MAX || self.queued >= TOTAL_QUEUE_MAX {
            return Err(SendError::Full { to: to.clone(), max: PEER_QUEUE_MAX });
        }
        let header = Header {
            fleet: self.fleet,
            to: RecipientId::from_name(to),
            message_type: MessageType::Message,
            from: self.me.clone(),
            number: 0,
        };
        let datagram = envelope::encode(&header, message);
        if !peer.queue.is_empty() || !send_datagram(&self.socket, &mut self.counts, &datagram, peer.address) {
            peer.queue.push_back(datagram);
            self.queued += 1;
        }
        Ok(())
    }

    fn poll(&mut self, _now: Duration) -> Option<Event> {
        self.flush();
        if let Some(event) = self.pending_message.take() {
            return Some(event);
        }
        // The socket reports an error of an earlier send once, on a later call; it says nothing about
        // received data.
        for _ in 0..RECV_ERRORS_MAX {
            let error = match retry::interrupted(|| self.socket.recv_from(&mut self.buffer)) {
                Ok((length, _)) => return Some(self.receive(length)),
                Err(error) => error,
            };
            if classify(Call::Datagram, &error) != Class::ConnectionOver {
                break;
            }
        }
        None
    }
}
