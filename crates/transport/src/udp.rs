//! Datagrams over UDP: a socket that is never waited for, sent by [`Transport::send`] and read by [`Transport::poll`].

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use magpietally_os_error::{classify, retry, Call, Class};

use crate::envelope::{self, FleetId, Header, MessageType, RecipientId, ENVELOPE_MAX_BYTES};
use crate::name::Name;
use crate::sessions::{
    Seen, Sessions, MISPLACED, OLDER, OTHER_FLEET, OTHER_NODE, OWN_NAME, PEERS_MOST, TOO_MANY,
};
use crate::transport::{Capabilities, Event, Kind, Peer, SendError, Transport};

/// The largest datagram, envelope and all, in bytes: within one Ethernet frame, so that none is fragmented.
pub const DATAGRAM_MAX_BYTES: usize = 1400;

/// The largest message, in bytes.
pub const MESSAGE_MAX_BYTES: usize = DATAGRAM_MAX_BYTES - ENVELOPE_MAX_BYTES;

/// Datagrams that wait for one peer while the socket takes none: 90 KB, what a socket's own buffer holds again.
const WAITING: usize = 64;
/// Errors of earlier sends that are passed over in one poll.
const ERRORS_IN_A_ROW: usize = 16;

/// And for all peers together: 1.4 MB.
const WAITING_ALL: usize = 1024;

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages handed to the kernel.
    pub sent: u64,
    /// Messages that the kernel refused (no route, no buffer): lost, as a datagram may be.
    pub refused: u64,
    /// Messages that came and were of our fleet.
    pub received: u64,
    /// Datagrams that were dropped; each is an [`Event::Dropped`].
    pub dropped: u64,
}

struct Known {
    address: SocketAddr,
    waiting: VecDeque<Vec<u8>>,
}

/// One node's end of datagrams over UDP.
pub struct Udp {
    me: Peer,
    fleet: FleetId,
    socket: UdpSocket,
    peers: BTreeMap<Name, Known>,
    /// Datagrams that wait, for all peers.
    waiting: usize,
    sessions: Sessions,
    /// The message behind the `Met` that was just told.
    next: Option<Event>,
    buffer: Vec<u8>,
    counts: Counts,
}

impl Udp {
    /// Binds a socket; port 0 takes any that is free.
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
            waiting: 0,
            sessions: Sessions::default(),
            next: None,
            // One byte more than may come, so that what is longer is seen to be.
            buffer: vec![0; DATAGRAM_MAX_BYTES + 1],
            counts: Counts::default(),
        })
    }

    /// Where it is bound.
    ///
    /// # Errors
    /// The socket does not say.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Where messages to `name` go from now on; false where so many peers are known already (4,096).
    pub fn set_peer(&mut self, name: Name, address: SocketAddr) -> bool {
        let room = self.peers.len() < PEERS_MOST;
        match self.peers.get_mut(&name) {
            Some(known) => known.address = address,
            None if room => {
                self.peers.insert(name, Known { address, waiting: VecDeque::new() });
            }
            None => return false,
        }
        true
    }

    /// No messages go to `name` any more.
    pub fn remove_peer(&mut self, name: &Name) {
        if let Some(known) = self.peers.remove(name) {
            self.waiting -= known.waiting.len();
        }
    }

    /// What was counted since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Sends what waits, as far as the socket takes it.
    fn flush(&mut self) {
        for known in self.peers.values_mut() {
            while let Some(wire) = known.waiting.front() {
                if !hand_over(&self.socket, &mut self.counts, wire, known.address) {
                    return;
                }
                known.waiting.pop_front();
                self.waiting -= 1;
            }
        }
    }

    fn dropped(&mut self, why: &'static str) -> Event {
        self.counts.dropped += 1;
        Event::Dropped(why)
    }

    fn take(&mut self, length: usize) -> Event {
        if length > DATAGRAM_MAX_BYTES {
            return self.dropped("a datagram larger than 1400 bytes");
        }
        let (head, body) = match envelope::decode(&self.buffer[..length]) {
            Ok((head, body)) => (head, body.to_vec()),
            Err(strange) => return self.dropped(strange.as_str()),
        };
        if head.fleet != self.fleet {
            return self.dropped(OTHER_FLEET);
        }
        if head.to != RecipientId::from_name(&self.me.name) {
            return self.dropped(OTHER_NODE);
        }
        if head.message_type != MessageType::Message {
            return self.dropped(MISPLACED);
        }
        if head.from.name == self.me.name {
            return self.dropped(OWN_NAME);
        }
        let seen = self.sessions.see(&head.from);
        let message = Event::Message { from: head.from.clone(), bytes: body };
        match seen {
            Seen::Older => return self.dropped(OLDER),
            Seen::TooMany => return self.dropped(TOO_MANY),
            Seen::Same | Seen::New => self.counts.received += 1,
        }
        if seen == Seen::New {
            self.next = Some(message);
            return Event::NewSession(head.from);
        }
        message
    }
}

/// True where the datagram is off our hands, sent or lost.
fn hand_over(socket: &UdpSocket, counts: &mut Counts, wire: &[u8], to: SocketAddr) -> bool {
    let error = match retry::interrupted(|| socket.send_to(wire, to)) {
        Ok(_) => {
            counts.sent += 1;
            return true;
        }
        Err(error) => error,
    };
    match classify(Call::Datagram, &error) {
        // It waits for the next flush.
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
        Capabilities { kind: Kind::Datagram, message_max_bytes: MESSAGE_MAX_BYTES, queue_capacity: WAITING }
    }

    fn send(&mut self, to: &Name, message: &[u8]) -> Result<(), SendError> {
        if message.len() > MESSAGE_MAX_BYTES {
            return Err(SendError::TooLarge { size: message.len(), max: MESSAGE_MAX_BYTES });
        }
        let known = self.peers.get_mut(to).ok_or_else(|| SendError::Unknown(to.clone()))?;
        if known.waiting.len() >= WAITING || self.waiting >= WAITING_ALL {
            return Err(SendError::Full { to: to.clone(), max: WAITING });
        }
        let head = Header {
            fleet: self.fleet,
            to: RecipientId::from_name(to),
            message_type: MessageType::Message,
            from: self.me.clone(),
            number: 0,
        };
        let wire = envelope::encode(&head, message);
        if !known.waiting.is_empty() || !hand_over(&self.socket, &mut self.counts, &wire, known.address) {
            known.waiting.push_back(wire);
            self.waiting += 1;
        }
        Ok(())
    }

    fn poll(&mut self, _now: Duration) -> Option<Event> {
        self.flush();
        if let Some(event) = self.next.take() {
            return Some(event);
        }
        // An error of an earlier send is told once, and says nothing of what came.
        for _ in 0..ERRORS_IN_A_ROW {
            let error = match retry::interrupted(|| self.socket.recv_from(&mut self.buffer)) {
                Ok((length, _)) => return Some(self.take(length)),
                Err(error) => error,
            };
            if classify(Call::Datagram, &error) != Class::ConnectionOver {
                break;
            }
        }
        None
    }
}
