//! A simulated fleet of membership nodes in virtual time, on the simulated network `magpietally_simnet`. It
//! injects loss, delay, duplication, one-way and two-way link failures, and kills, pauses and restarts nodes.
//! It does no I/O and is deterministic: the same seed gives the same run on every machine. The tests and the
//! measurements in `docs/measurements/membership.md` use it.

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

/// A simulated node: maps between the membership protocol, which addresses peers by socket address, and the
/// network, which addresses them by name.
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
            // Datagrams to an address without a node are dropped.
            if let Some(to) = self.names.get(&to) {
                return Some(Outgoing { to: to.clone(), kind: Kind::Datagram, bytes });
            }
        }
    }
}

/// A simulated fleet.
pub struct Fleet {
    settings: Settings,
    world: World<SimNode>,
    names: Rc<BTreeMap<SocketAddrV4, Name>>,
    seed: u64,
}

impl Fleet {
    /// Creates `n` nodes, at most [`magpietally_simnet::NODES_MAX`], named `n0`, `n1` and so on, on a network
    /// with `faults`. Each node joins through node 0, and node 0 through node 1.
    pub fn new(n: usize, settings: &Settings, faults: Faults, seed: u64) -> Self {
        let limits = Limits { datagram_max_bytes: DATAGRAM_MAX_BYTES, ..Limits::default() };
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

    /// Returns the identity of node `i` at its current start.
    pub fn id(&self, i: usize) -> NodeId {
        id(i, &self.world.net().peer(i))
    }

    /// Returns the virtual time.
    pub fn now(&self) -> Duration {
        self.world.now()
    }

    /// Returns the number of nodes, running or not.
    pub fn len(&self) -> usize {
        self.world.len()
    }

    /// Returns whether the fleet has no nodes.
    pub fn is_empty(&self) -> bool {
        self.world.is_empty()
    }

    /// Returns the number of bytes sent by all nodes, from which the cost per node and second is computed.
    pub fn sent_bytes(&self) -> u64 {
        self.world.net().sent_bytes()
    }

    /// Returns a hash of the run so far, which is equal for the same seed and calls.
    pub fn trace(&self) -> u64 {
        self.world.trace()
    }

    /// Sets the network's faults from now on.
    pub fn set_faults(&mut self, faults: Faults) {
        self.world.net_mut().set_faults(faults);
    }

    /// Drops all datagrams from `from` to `to` from now on, in this direction only.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.world.net_mut().cut(from, to);
    }

    /// Cuts every link between a node of `a` and a node of `b` in both directions.
    pub fn partition(&mut self, a: &[usize], b: &[usize]) {
        self.world.net_mut().partition(a, b);
    }

    /// Restores all links.
    pub fn heal(&mut self) {
        self.world.net_mut().heal();
    }

    /// Kills node `i`: it sends nothing, and datagrams to it are lost.
    pub fn kill(&mut self, i: usize) {
        self.world.kill(i);
    }

    /// Starts node `i` with empty state under its name and address, with a later generation.
    pub fn start(&mut self, i: usize) {
        self.start_with_clock_ahead(i, 0);
    }

    /// Starts node `i` as [`Fleet::start`] does, with its generation ahead by `by`, as if its wall clock were
    /// ahead. The generation of its next start is then an earlier one.
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

    /// Pauses (SIGSTOP) or resumes (SIGCONT) node `i`. Datagrams received meanwhile wait in its socket.
    pub fn set_paused(&mut self, i: usize, paused: bool) {
        if paused {
            self.world.pause(i);
        } else {
            self.world.resume(i);
        }
    }

    /// Makes node `i` leave on purpose.
    pub fn leave(&mut self, i: usize) {
        self.world.call(i, |node, now| node.membership.leave(now.boot));
    }

    /// Returns the view of node `i`, if it is running.
    pub fn view(&mut self, i: usize) -> Option<&View> {
        self.world.protocol_mut(i).map(|node| node.membership.view())
    }

    /// Returns the membership of node `i`, if it is running.
    pub fn membership(&self, i: usize) -> Option<&Membership> {
        self.world.protocol(i).map(|node| &node.membership)
    }

    /// Runs the fleet for `d`.
    pub fn run(&mut self, d: Duration) {
        self.world.run(d);
    }

    /// Runs until `done` returns true, checked every [`magpietally_simnet::CONDITION_CHECK_INTERVAL`], for at
    /// most `limit`.
    /// Returns the time it took, or `None` if the limit was reached.
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
            self.run(left.min(magpietally_simnet::CONDITION_CHECK_INTERVAL));
        }
        Some(self.now() - start)
    }

    /// Returns whether every running, unpaused node in `who` sees each node in `who` as `liveness` and each
    /// node in `others` as neither alive nor suspect.
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

    /// Returns the number of other running nodes that see node `j` as `liveness`.
    pub fn count_seeing(&mut self, j: usize, liveness: Liveness) -> usize {
        let name = name(j);
        (0..self.len())
            .filter(|&i| i != j)
            .filter(|&i| self.view(i).and_then(|v| v.liveness_of(name.as_str())) == Some(liveness))
            .count()
    }
}

fn id(i: usize, peer: &Peer) -> NodeId {
    // No test starts a node 2^32 times.
    let generation = u32::try_from(peer.session.0).unwrap_or(u32::MAX);
    NodeId { addr: addr(i), name: peer.name.clone(), generation }
}

fn addr(i: usize) -> SocketAddrV4 {
    // Addresses in the loopback range; no socket is bound to them. They only need to be unique.
    SocketAddrV4::new(Ipv4Addr::new(127, 1, (i / 250) as u8, (i % 250) as u8 + 1), 7000)
}

fn name(i: usize) -> Name {
    // "n" followed by a number is always a valid name.
    Name::new_or_empty(&format!("n{i}")).unwrap_or_default()
}
