//! A simple, correct stream transport in memory and virtual time, and the faults that can be injected into
//! it.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use magpietally_contracts::transport::{node_name, Harness};
use magpietally_transport::{Capabilities, Event, Kind, Name, Peer, SendError, Session, Transport};

pub const MESSAGE_MAX_BYTES: usize = 2000;
pub const QUEUE_MAX: usize = 8;
pub const INBOX_MAX: usize = 16;
/// A peer that is silent for this long is reported as gone.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    None,
    DropsWhenFull,
    UnboundedQueue,
    DuplicatesMessages,
    TruncatesOversized,
    RejectsLargest,
    MixesSessions,
    AcceptsOldSessions,
    HidesRestarts,
    AcceptsOtherFleet,
    AltersByte,
    InventsMessage,
    Reorders,
    HidesLoss,
    DropsEmpty,
    AcceptsUnknownPeer,
    IgnoresSilence,
    SlowPeerBlocksAll,
    DropsSilently,
    AcceptsUnverified,
    NeverReconnects,
}

struct Node {
    me: Peer,
    inbox: VecDeque<Event>,
    out: BTreeMap<Name, VecDeque<Vec<u8>>>,
    sessions: BTreeMap<Name, Session>,
    /// When each silent peer fell silent.
    silent: BTreeMap<Name, Duration>,
}

struct Network {
    fault: InjectedFault,
    now: Duration,
    nodes: BTreeMap<Name, Node>,
    /// Messages that stopped nodes had not delivered; used only by an injected fault.
    undelivered: Vec<(Name, Name, Vec<u8>)>,
    silent: BTreeSet<(usize, usize)>,
    broken: bool,
    delivered: usize,
}

struct Endpoint {
    me: Peer,
    network: Rc<RefCell<Network>>,
}

pub struct Memory {
    network: Rc<RefCell<Network>>,
    endpoints: BTreeMap<usize, Endpoint>,
    sessions: u64,
}

impl Memory {
    pub fn new(fault: InjectedFault) -> Self {
        let network = Network {
            fault,
            now: Duration::ZERO,
            nodes: BTreeMap::new(),
            undelivered: Vec::new(),
            silent: BTreeSet::new(),
            broken: false,
            delivered: 0,
        };
        Self { network: Rc::new(RefCell::new(network)), endpoints: BTreeMap::new(), sessions: 0 }
    }
}

impl Transport for Endpoint {
    fn me(&self) -> &Peer {
        &self.me
    }

    fn capabilities(&self) -> Capabilities {
        Capabilities { kind: Kind::Stream, message_max_bytes: MESSAGE_MAX_BYTES, queue_capacity: QUEUE_MAX }
    }

    fn send(&mut self, to: &Name, message: &[u8]) -> Result<(), SendError> {
        let mut network = self.network.borrow_mut();
        let fault = network.fault;
        let limit =
            if fault == InjectedFault::RejectsLargest { MESSAGE_MAX_BYTES - 1 } else { MESSAGE_MAX_BYTES };
        let mut message = message.to_vec();
        if message.len() > limit {
            if fault != InjectedFault::TruncatesOversized {
                return Err(SendError::TooLarge { size: message.len(), max: limit });
            }
            message.truncate(limit);
        }
        if !(0..4).any(|n| node_name(n) == *to) {
            return if fault == InjectedFault::AcceptsUnknownPeer {
                Ok(())
            } else {
                Err(SendError::Unknown(to.clone()))
            };
        }
        let node = network.nodes.get_mut(&self.me.name).expect("it runs");
        let queue = node.out.entry(to.clone()).or_default();
        if queue.len() >= QUEUE_MAX {
            match fault {
                InjectedFault::DropsWhenFull => return Ok(()),
                InjectedFault::UnboundedQueue => {}
                _ => return Err(SendError::Full { to: to.clone(), max: QUEUE_MAX }),
            }
        }
        if !(fault == InjectedFault::DropsEmpty && message.is_empty()) {
            queue.push_back(message);
        }
        Ok(())
    }

    fn poll(&mut self, _now: Duration) -> Option<Event> {
        self.network.borrow_mut().nodes.get_mut(&self.me.name)?.inbox.pop_front()
    }
}

impl Network {
    fn is_silent(&self, a: &Name, b: &Name) -> bool {
        self.silent.iter().any(|&(x, y)| {
            let (x, y) = (node_name(x), node_name(y));
            (x == *a && y == *b) || (x == *b && y == *a)
        })
    }

    fn accept_session(&mut self, at: &Name, from: &Peer) -> bool {
        let fault = self.fault;
        let node = self.nodes.get_mut(at).expect("it runs");
        let known = node.sessions.get(&from.name).copied();
        if known.is_some_and(|k| k > from.session) && fault != InjectedFault::AcceptsOldSessions {
            if fault != InjectedFault::DropsSilently {
                node.inbox.push_back(Event::Dropped("older session"));
            }
            return false;
        }
        if known.is_none_or(|k| k < from.session) {
            node.sessions.insert(from.name.clone(), from.session);
            if !(fault == InjectedFault::HidesRestarts && known.is_some()) {
                node.inbox.push_back(Event::NewSession(from.clone()));
            }
        }
        true
    }

    fn deliver(&mut self, from: &Peer, to: &Name, mut bytes: Vec<u8>) {
        if !self.accept_session(to, from) {
            return;
        }
        self.delivered += 1;
        let inject = self.delivered % 7 == 6;
        if inject && self.fault == InjectedFault::AltersByte {
            if let Some(byte) = bytes.last_mut() {
                *byte ^= 0x40;
            }
        }
        let times = if inject && self.fault == InjectedFault::DuplicatesMessages { 2 } else { 1 };
        let inbox = &mut self.nodes.get_mut(to).expect("it runs").inbox;
        for _ in 0..times {
            inbox.push_back(Event::Message { from: from.clone(), bytes: bytes.clone() });
        }
        if inject && self.fault == InjectedFault::InventsMessage {
            inbox.push_back(Event::Message {
                from: from.clone(),
                bytes: b"a message that nobody ever sent".to_vec(),
            });
        }
        let end = inbox.len();
        if inject && self.fault == InjectedFault::Reorders && end >= 2 {
            if let Event::Message { .. } = inbox[end - 2] {
                inbox.swap(end - 1, end - 2);
            }
        }
    }

    fn deliver_queued(&mut self) {
        let names: Vec<Name> = self.nodes.keys().cloned().collect();
        let messages = |n: &Node| n.inbox.iter().filter(|e| matches!(e, Event::Message { .. })).count();
        for from in &names {
            for to in &names {
                let me = self.nodes[from].me.clone();
                if self.is_silent(from, to) {
                    let now = self.now;
                    let hide = self.fault == InjectedFault::IgnoresSilence;
                    let node = self.nodes.get_mut(from).expect("it runs");
                    let queued = node.out.get_mut(to).map(std::mem::take).unwrap_or_default();
                    let since = *node.silent.entry(to.clone()).or_insert(now);
                    if queued.is_empty() {
                        continue;
                    }
                    if now - since < SILENCE_TIMEOUT {
                        node.out.insert(to.clone(), queued);
                    } else if !hide {
                        let messages = queued.len() as u64;
                        node.inbox.push_back(Event::Lost { to: to.clone(), messages });
                    }
                    continue;
                }
                self.nodes.get_mut(from).expect("it runs").silent.remove(to);
                if self.broken && self.fault == InjectedFault::NeverReconnects {
                    continue;
                }
                loop {
                    let any_full = self.nodes.values().any(|n| messages(n) >= INBOX_MAX);
                    if messages(&self.nodes[to]) >= INBOX_MAX
                        || (any_full && self.fault == InjectedFault::SlowPeerBlocksAll)
                    {
                        break;
                    }
                    let queue = self.nodes.get_mut(from).and_then(|n| n.out.get_mut(to));
                    let Some(bytes) = queue.and_then(VecDeque::pop_front) else { break };
                    self.deliver(&me, to, bytes);
                }
            }
        }
        // Injected fault: delivers what an earlier session left under the later session.
        for (from, to, bytes) in std::mem::take(&mut self.undelivered) {
            if let (Some(peer), true) =
                (self.nodes.get(&from).map(|n| n.me.clone()), self.nodes.contains_key(&to))
            {
                self.deliver(&peer, &to, bytes);
            }
        }
    }
}

impl Harness for Memory {
    fn node_count(&self) -> usize {
        4
    }

    fn start(&mut self, node: usize) -> Session {
        self.sessions += 1;
        let session = Session(self.sessions);
        let me = Peer { name: node_name(node), session };
        let new_node = Node {
            me: me.clone(),
            inbox: VecDeque::new(),
            out: BTreeMap::new(),
            sessions: BTreeMap::new(),
            silent: BTreeMap::new(),
        };
        self.network.borrow_mut().nodes.insert(me.name.clone(), new_node);
        self.endpoints.insert(node, Endpoint { me, network: self.network.clone() });
        session
    }

    fn kill(&mut self, node: usize) {
        self.endpoints.remove(&node);
        let mut network = self.network.borrow_mut();
        network.broken = false;
        if let (Some(stopped), InjectedFault::MixesSessions) =
            (network.nodes.remove(&node_name(node)), network.fault)
        {
            let undelivered =
                stopped.out.into_iter().flat_map(|(to, q)| q.into_iter().map(move |b| (to.clone(), b)));
            network.undelivered.extend(undelivered.map(|(to, bytes)| (node_name(node), to, bytes)));
        }
    }

    fn with_node(&mut self, node: usize, act: &mut dyn FnMut(&mut dyn Transport, Duration)) {
        let now = self.network.borrow().now;
        act(self.endpoints.get_mut(&node).expect("it runs"), now);
    }

    fn advance(&mut self, time: Duration) {
        let mut network = self.network.borrow_mut();
        network.now += time;
        network.deliver_queued();
    }

    fn timeout(&self) -> Duration {
        Duration::from_secs(4)
    }

    fn settle_time(&self) -> Duration {
        Duration::from_millis(40)
    }

    fn in_flight_max(&self) -> usize {
        INBOX_MAX
    }

    fn send_as(&mut self, name: &Name, session: Session, foreign: bool, to: usize, bytes: &[u8]) -> bool {
        let mut network = self.network.borrow_mut();
        let (to, fault) = (node_name(to), network.fault);
        if foreign && fault != InjectedFault::AcceptsOtherFleet {
            if fault != InjectedFault::DropsSilently {
                network.nodes.get_mut(&to).expect("it runs").inbox.push_back(Event::Dropped("another fleet"));
            }
            return true;
        }
        network.deliver(&Peer { name: name.clone(), session }, &to, bytes.to_vec());
        true
    }

    fn inject_bytes(&mut self, to: usize, bytes: &[u8]) -> bool {
        let mut network = self.network.borrow_mut();
        let event = match network.fault {
            InjectedFault::AcceptsUnverified => {
                let from = network.nodes[&node_name(1)].me.clone();
                Event::Message { from, bytes: bytes.to_vec() }
            }
            _ => Event::Dropped("malformed"),
        };
        network.nodes.get_mut(&node_name(to)).expect("it runs").inbox.push_back(event);
        true
    }

    fn set_blackhole(&mut self, a: usize, b: usize, on: bool) -> bool {
        let mut network = self.network.borrow_mut();
        if on {
            network.silent.insert((a, b));
        } else {
            network.silent.remove(&(a, b));
        }
        true
    }

    fn reset_connections(&mut self, a: usize, b: usize) -> bool {
        let mut network = self.network.borrow_mut();
        network.broken = true;
        let hide = network.fault == InjectedFault::HidesLoss;
        for (from, to) in [(a, b), (b, a)] {
            let node = network.nodes.get_mut(&node_name(from)).expect("it runs");
            let lost = node.out.remove(&node_name(to)).map_or(0, |q| q.len() as u64);
            if lost > 0 && !hide {
                node.inbox.push_back(Event::Lost { to: node_name(to), messages: lost });
            }
        }
        true
    }
}
