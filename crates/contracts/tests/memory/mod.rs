//! A simple stream in memory and virtual time, right in itself, and the faults that can be planted in it.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use magpietally_contracts::transport::{name_of, Rig};
use magpietally_transport::{Capabilities, Event, Kind, Name, Peer, SendError, Session, Transport};

pub const LARGEST: usize = 2000;
pub const WAITING: usize = 8;
pub const INBOX: usize = 16;
/// A peer that is silent for so long is told as gone.
const DEAD: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    LosesOnFull,
    QueuesWithoutEnd,
    DeliversTwice,
    CutsTheOversized,
    RefusesTheLargest,
    MixesSessions,
    HearsOldSessions,
    HidesRestarts,
    HearsAnotherFleet,
    AltersAByte,
    InventsAMessage,
    Reorders,
    HidesLoss,
    SwallowsTheEmpty,
    TakesForAnybody,
    NeverMissesAnybody,
    SlowHoldsUpAll,
    DropsUntold,
    BelievesStrangers,
    StaysBroken,
}

struct Node {
    me: Peer,
    inbox: VecDeque<Event>,
    out: BTreeMap<Name, VecDeque<Vec<u8>>>,
    met: BTreeMap<Name, Session>,
    /// Peers that are silent, since when.
    silent: BTreeMap<Name, Duration>,
}

struct Hub {
    fault: Fault,
    now: Duration,
    nodes: BTreeMap<Name, Node>,
    /// What ended nodes had not delivered: only a fault hands it out.
    limbo: Vec<(Name, Name, Vec<u8>)>,
    silent: BTreeSet<(usize, usize)>,
    broken: bool,
    delivered: usize,
}

struct End {
    me: Peer,
    hub: Rc<RefCell<Hub>>,
}

pub struct Memory {
    hub: Rc<RefCell<Hub>>,
    ends: BTreeMap<usize, End>,
    sessions: u64,
}

impl Memory {
    pub fn new(fault: Fault) -> Self {
        let hub = Hub {
            fault,
            now: Duration::ZERO,
            nodes: BTreeMap::new(),
            limbo: Vec::new(),
            silent: BTreeSet::new(),
            broken: false,
            delivered: 0,
        };
        Self { hub: Rc::new(RefCell::new(hub)), ends: BTreeMap::new(), sessions: 0 }
    }
}

impl Transport for End {
    fn me(&self) -> &Peer {
        &self.me
    }

    fn capabilities(&self) -> Capabilities {
        Capabilities { kind: Kind::Stream, message_max_bytes: LARGEST, queue_capacity: WAITING }
    }

    fn send(&mut self, to: &Name, message: &[u8]) -> Result<(), SendError> {
        let mut hub = self.hub.borrow_mut();
        let fault = hub.fault;
        let most = if fault == Fault::RefusesTheLargest { LARGEST - 1 } else { LARGEST };
        let mut message = message.to_vec();
        if message.len() > most {
            if fault != Fault::CutsTheOversized {
                return Err(SendError::TooLarge { size: message.len(), max: most });
            }
            message.truncate(most);
        }
        if !(0..4).any(|n| name_of(n) == *to) {
            return if fault == Fault::TakesForAnybody {
                Ok(())
            } else {
                Err(SendError::Unknown(to.clone()))
            };
        }
        let node = hub.nodes.get_mut(&self.me.name).expect("it runs");
        let queue = node.out.entry(to.clone()).or_default();
        if queue.len() >= WAITING {
            match fault {
                Fault::LosesOnFull => return Ok(()),
                Fault::QueuesWithoutEnd => {}
                _ => return Err(SendError::Full { to: to.clone(), max: WAITING }),
            }
        }
        if !(fault == Fault::SwallowsTheEmpty && message.is_empty()) {
            queue.push_back(message);
        }
        Ok(())
    }

    fn poll(&mut self, _now: Duration) -> Option<Event> {
        self.hub.borrow_mut().nodes.get_mut(&self.me.name)?.inbox.pop_front()
    }
}

impl Hub {
    fn is_silent(&self, a: &Name, b: &Name) -> bool {
        self.silent.iter().any(|&(x, y)| {
            let (x, y) = (name_of(x), name_of(y));
            (x == *a && y == *b) || (x == *b && y == *a)
        })
    }

    fn meet(&mut self, at: &Name, from: &Peer) -> bool {
        let fault = self.fault;
        let node = self.nodes.get_mut(at).expect("it runs");
        let known = node.met.get(&from.name).copied();
        if known.is_some_and(|k| k > from.session) && fault != Fault::HearsOldSessions {
            if fault != Fault::DropsUntold {
                node.inbox.push_back(Event::Dropped("older"));
            }
            return false;
        }
        if known.is_none_or(|k| k < from.session) {
            node.met.insert(from.name.clone(), from.session);
            if !(fault == Fault::HidesRestarts && known.is_some()) {
                node.inbox.push_back(Event::NewSession(from.clone()));
            }
        }
        true
    }

    fn deliver(&mut self, from: &Peer, to: &Name, mut bytes: Vec<u8>) {
        if !self.meet(to, from) {
            return;
        }
        self.delivered += 1;
        let odd = self.delivered % 7 == 6;
        if odd && self.fault == Fault::AltersAByte {
            if let Some(byte) = bytes.last_mut() {
                *byte ^= 0x40;
            }
        }
        let times = if odd && self.fault == Fault::DeliversTwice { 2 } else { 1 };
        let inbox = &mut self.nodes.get_mut(to).expect("it runs").inbox;
        for _ in 0..times {
            inbox.push_back(Event::Message { from: from.clone(), bytes: bytes.clone() });
        }
        if odd && self.fault == Fault::InventsAMessage {
            inbox.push_back(Event::Message {
                from: from.clone(),
                bytes: b"what nobody ever sent to anybody".to_vec(),
            });
        }
        let end = inbox.len();
        if odd && self.fault == Fault::Reorders && end >= 2 {
            if let Event::Message { .. } = inbox[end - 2] {
                inbox.swap(end - 1, end - 2);
            }
        }
    }

    fn carry(&mut self) {
        let names: Vec<Name> = self.nodes.keys().cloned().collect();
        let messages = |n: &Node| n.inbox.iter().filter(|e| matches!(e, Event::Message { .. })).count();
        for from in &names {
            for to in &names {
                let me = self.nodes[from].me.clone();
                if self.is_silent(from, to) {
                    let now = self.now;
                    let hide = self.fault == Fault::NeverMissesAnybody;
                    let node = self.nodes.get_mut(from).expect("it runs");
                    let waiting = node.out.get_mut(to).map(std::mem::take).unwrap_or_default();
                    let since = *node.silent.entry(to.clone()).or_insert(now);
                    if waiting.is_empty() {
                        continue;
                    }
                    if now - since < DEAD {
                        node.out.insert(to.clone(), waiting);
                    } else if !hide {
                        let messages = waiting.len() as u64;
                        node.inbox.push_back(Event::Lost { to: to.clone(), messages });
                    }
                    continue;
                }
                self.nodes.get_mut(from).expect("it runs").silent.remove(to);
                if self.broken && self.fault == Fault::StaysBroken {
                    continue;
                }
                loop {
                    let any_full = self.nodes.values().any(|n| messages(n) >= INBOX);
                    if messages(&self.nodes[to]) >= INBOX || (any_full && self.fault == Fault::SlowHoldsUpAll)
                    {
                        break;
                    }
                    let queue = self.nodes.get_mut(from).and_then(|n| n.out.get_mut(to));
                    let Some(bytes) = queue.and_then(VecDeque::pop_front) else { break };
                    self.deliver(&me, to, bytes);
                }
            }
        }
        // The fault: what an earlier session left comes under the later one's name.
        for (from, to, bytes) in std::mem::take(&mut self.limbo) {
            if let (Some(peer), true) =
                (self.nodes.get(&from).map(|n| n.me.clone()), self.nodes.contains_key(&to))
            {
                self.deliver(&peer, &to, bytes);
            }
        }
    }
}

impl Rig for Memory {
    fn nodes(&self) -> usize {
        4
    }

    fn start(&mut self, node: usize) -> Session {
        self.sessions += 1;
        let session = Session(self.sessions);
        let me = Peer { name: name_of(node), session };
        let fresh = Node {
            me: me.clone(),
            inbox: VecDeque::new(),
            out: BTreeMap::new(),
            met: BTreeMap::new(),
            silent: BTreeMap::new(),
        };
        self.hub.borrow_mut().nodes.insert(me.name.clone(), fresh);
        self.ends.insert(node, End { me, hub: self.hub.clone() });
        session
    }

    fn kill(&mut self, node: usize) {
        self.ends.remove(&node);
        let mut hub = self.hub.borrow_mut();
        hub.broken = false;
        if let (Some(ended), Fault::MixesSessions) = (hub.nodes.remove(&name_of(node)), hub.fault) {
            let left = ended.out.into_iter().flat_map(|(to, q)| q.into_iter().map(move |b| (to.clone(), b)));
            hub.limbo.extend(left.map(|(to, bytes)| (name_of(node), to, bytes)));
        }
    }

    fn at(&mut self, node: usize, act: &mut dyn FnMut(&mut dyn Transport, Duration)) {
        let now = self.hub.borrow().now;
        act(self.ends.get_mut(&node).expect("it runs"), now);
    }

    fn pass(&mut self, time: Duration) {
        let mut hub = self.hub.borrow_mut();
        hub.now += time;
        hub.carry();
    }

    fn patience(&self) -> Duration {
        Duration::from_secs(4)
    }

    fn quiet(&self) -> Duration {
        Duration::from_millis(40)
    }

    fn under_way(&self) -> usize {
        INBOX
    }

    fn ghost(&mut self, ghost: &Name, session: Session, foreign: bool, to: usize, bytes: &[u8]) -> bool {
        let mut hub = self.hub.borrow_mut();
        let (to, fault) = (name_of(to), hub.fault);
        if foreign && fault != Fault::HearsAnotherFleet {
            if fault != Fault::DropsUntold {
                hub.nodes.get_mut(&to).expect("it runs").inbox.push_back(Event::Dropped("another fleet"));
            }
            return true;
        }
        hub.deliver(&Peer { name: ghost.clone(), session }, &to, bytes.to_vec());
        true
    }

    fn inject(&mut self, to: usize, bytes: &[u8]) -> bool {
        let mut hub = self.hub.borrow_mut();
        let event = match hub.fault {
            Fault::BelievesStrangers => {
                let from = hub.nodes[&name_of(1)].me.clone();
                Event::Message { from, bytes: bytes.to_vec() }
            }
            _ => Event::Dropped("strange"),
        };
        hub.nodes.get_mut(&name_of(to)).expect("it runs").inbox.push_back(event);
        true
    }

    fn silence(&mut self, a: usize, b: usize, on: bool) -> bool {
        let mut hub = self.hub.borrow_mut();
        if on {
            hub.silent.insert((a, b));
        } else {
            hub.silent.remove(&(a, b));
        }
        true
    }

    fn reset(&mut self, a: usize, b: usize) -> bool {
        let mut hub = self.hub.borrow_mut();
        hub.broken = true;
        let hide = hub.fault == Fault::HidesLoss;
        for (from, to) in [(a, b), (b, a)] {
            let node = hub.nodes.get_mut(&name_of(from)).expect("it runs");
            let lost = node.out.remove(&name_of(to)).map_or(0, |q| q.len() as u64);
            if lost > 0 && !hide {
                node.inbox.push_back(Event::Lost { to: name_of(to), messages: lost });
            }
        }
        true
    }
}
