//! A fleet of rooms in virtual time, on the network that all rooms share (`magpietally_simnet`), with the faults of a
//! real one between them: loss, delay, duplication, links cut one way or both, nodes killed, paused and restarted. Pure
//! and seeded: the same seed gives the same run on every machine. The tests and the measurements of
//! `docs/measurements/membership.md` play on it.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

pub use magpietally_simnet::Faults;
use magpietally_simnet::{Clocks, Limits, World};
use magpietally_transport::{Kind, Name, Now, Outgoing, Peer};

use crate::codec::DATAGRAM_MAX_BYTES;
use crate::id::NodeId;
use crate::protocol::{Membership, Settings};
use crate::view::{Liveness, View};

/// A room whose peers are addresses, on a network whose nodes are names.
struct SimNode {
    membership: Membership,
    names: Rc<BTreeMap<SocketAddrV4, Name>>,
}

impl magpietally_transport::Protocol for SimNode {
    fn on_message(&mut self, now: Now, _from: &Peer, bytes: &[u8]) {
        self.membership.on_datagram(now.boot, bytes);
    }

    fn tick(&mut self, now: Now) {
        self.membership.tick(now.boot);
    }

    fn next_due(&self) -> Option<Duration> {
        self.membership.next_due()
    }

    fn take_outgoing(&mut self) -> Option<Outgoing> {
        loop {
            let (to, bytes) = self.membership.take_outgoing()?;
            // An address that is nobody's swallows what is sent there.
            if let Some(to) = self.names.get(&to) {
                return Some(Outgoing { to: to.clone(), kind: Kind::Datagram, bytes });
            }
        }
    }
}

/// The fleet.
pub struct Fleet {
    settings: Settings,
    world: World<SimNode>,
    names: Rc<BTreeMap<SocketAddrV4, Name>>,
    seed: u64,
}

impl Fleet {
    /// `n` nodes named `n0`…, each joining through node 0, on a network with `faults`. At most
    /// [`magpietally_simnet::NODES_MAX`]; what is over is not there.
    pub fn new(n: usize, settings: &Settings, faults: Faults, seed: u64) -> Self {
        let limits = Limits { datagram: DATAGRAM_MAX_BYTES, ..Limits::default() };
        let mut world = World::new(seed, faults, limits, 0);
        let names: BTreeMap<SocketAddrV4, Name> = (0..n)
            .map(|i| (addr(i), name(i)))
            .take_while(|(_, name)| world.add(name, Clocks::default()).is_ok())
            .collect();
        let mut fleet = Self { settings: settings.clone(), world, names: Rc::new(names), seed };
        for i in 0..fleet.len() {
            fleet.start(i);
        }
        fleet
    }

    /// The identity of node `i` at its current start.
    pub fn id(&self, i: usize) -> NodeId {
        id(i, &self.world.net().peer(i))
    }

    /// The clock.
    pub fn now(&self) -> Duration {
        self.world.now()
    }

    /// How many nodes there are, dead or alive.
    pub fn len(&self) -> usize {
        self.world.len()
    }

    /// No node at all.
    pub fn is_empty(&self) -> bool {
        self.world.is_empty()
    }

    /// Bytes sent by all nodes, for the cost a node and second.
    pub fn sent_bytes(&self) -> u64 {
        self.world.net().sent_bytes()
    }

    /// A number for the whole run so far: equal for the same seed and calls.
    pub fn trace(&self) -> u64 {
        self.world.trace()
    }

    /// The network's faults from now on.
    pub fn set_faults(&mut self, faults: Faults) {
        self.world.net_mut().set_faults(faults);
    }

    /// Datagrams from `from` to `to` are lost from now on (one way).
    pub fn cut(&mut self, from: usize, to: usize) {
        self.world.net_mut().cut(from, to);
    }

    /// Every link between a node of `a` and one of `b` is cut both ways.
    pub fn partition(&mut self, a: &[usize], b: &[usize]) {
        self.world.net_mut().partition(a, b);
    }

    /// All links work again.
    pub fn heal(&mut self) {
        self.world.net_mut().heal();
    }

    /// Node `i` is killed: it says nothing, and what comes to it is lost.
    pub fn kill(&mut self, i: usize) {
        self.world.kill(i);
    }

    /// Node `i` starts again from nothing, under its name and address, with a later generation.
    pub fn start(&mut self, i: usize) {
        self.start_with_clock_ahead(i, 0);
    }

    /// The same while its wall clock, which generations are taken from, is ahead by so many of their units: the next life's
    /// generation is an earlier one.
    pub fn start_with_clock_ahead(&mut self, i: usize, by: u32) {
        let (settings, names, seed) = (&self.settings, &self.names, self.seed);
        let seeds: &[SocketAddrV4] = match i {
            0 if names.len() > 1 => &[addr(1)],
            0 => &[],
            _ => &[addr(0)],
        };
        self.world.start(i, |peer, now| {
            let mut id = id(i, &peer);
            id.generation = id.generation.saturating_add(by);
            let seed = seed ^ ((i as u64) << 20) ^ u64::from(id.generation);
            let mut membership = Membership::new(id, settings, seed);
            membership.join(now.boot, seeds);
            SimNode { membership, names: Rc::clone(names) }
        });
    }

    /// Node `i` stops running (SIGSTOP) or runs again (SIGCONT); what came meanwhile waits in its socket.
    pub fn set_paused(&mut self, i: usize, paused: bool) {
        if paused {
            self.world.pause(i);
        } else {
            self.world.resume(i);
        }
    }

    /// Node `i` leaves on purpose.
    pub fn leave(&mut self, i: usize) {
        self.world.act(i, |node, now| node.membership.leave(now.boot));
    }

    /// Node `i`'s view, if it runs.
    pub fn view(&mut self, i: usize) -> Option<&View> {
        self.world.room_mut(i).map(|node| node.membership.view())
    }

    /// The stats of node `i`, if it runs.
    pub fn membership(&self, i: usize) -> Option<&Membership> {
        self.world.room(i).map(|node| &node.membership)
    }

    /// Runs the fleet for `d`.
    pub fn run(&mut self, d: Duration) {
        self.world.run(d);
    }

    /// Runs until `done` holds, checked every [`magpietally_simnet::LOOK`], for at most `limit`; the time it took, if it
    /// came.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut done: impl FnMut(&mut Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now();
        while !done(self) {
            let left = (start + limit).saturating_sub(self.now());
            if left.is_zero() {
                return None;
            }
            self.run(left.min(magpietally_simnet::LOOK));
        }
        Some(self.now() - start)
    }

    /// Whether every running, unpaused node among `who` takes each of `who` for `liveness` and each of `others` for
    /// neither alive nor suspect.
    pub fn all_see(&mut self, who: &[usize], liveness: Liveness, others: &[usize]) -> bool {
        for &i in who {
            if self.world.is_paused(i) || self.membership(i).is_none() {
                continue;
            }
            for &j in who {
                let name = name(j);
                if self.view(i).and_then(|v| v.liveness_of(name.as_str())) != Some(liveness) {
                    return false;
                }
            }
            for &j in others {
                let name = name(j);
                if self.view(i).and_then(|v| v.liveness_of(name.as_str())).is_some_and(Liveness::is_active) {
                    return false;
                }
            }
        }
        true
    }

    /// How many running nodes take node `j` for `liveness`.
    pub fn count_seeing(&mut self, j: usize, liveness: Liveness) -> usize {
        let name = name(j);
        (0..self.len())
            .filter(|&i| i != j)
            .filter(|&i| self.view(i).and_then(|v| v.liveness_of(name.as_str())) == Some(liveness))
            .count()
    }
}

fn id(i: usize, peer: &Peer) -> NodeId {
    // No test starts a node four billion times.
    let generation = u32::try_from(peer.session.0).unwrap_or(u32::MAX);
    NodeId { addr: addr(i), name: peer.name.clone(), generation }
}

fn addr(i: usize) -> SocketAddrV4 {
    // Loopback addresses that no socket is bound to: the simulation only needs them unique.
    SocketAddrV4::new(Ipv4Addr::new(127, 1, (i / 250) as u8, (i % 250) as u8 + 1), 7000)
}

fn name(i: usize) -> Name {
    // "n" and a number is always a valid name.
    Name::new_or_empty(&format!("n{i}")).unwrap_or_default()
}
