//! The rig of the network in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use magpietally_contracts::transport::{name_of, Rig};
use magpietally_simnet::{Faults, Limits, Net, Port, SharedNet};
use magpietally_transport::{Kind, Session, Transport};

pub struct Virtual {
    net: SharedNet,
    kind: Kind,
    faulty: bool,
    limits: Limits,
    now: Duration,
    ends: BTreeMap<usize, Port>,
}

impl Virtual {
    const NODES: usize = 5;

    pub fn new(kind: Kind, faults: Faults, seed: u64) -> Self {
        // A small queue is full soon; all else as it is everywhere.
        let limits = Limits { queue_capacity: 64, ..Limits::default() };
        let faulty = faults.loss > 0.0;
        let mut net = Net::new(seed, faults, limits.clone());
        for node in 0..Self::NODES {
            assert_eq!(net.add(&name_of(node)), Some(node));
        }
        Self { net: net.shared(), kind, faulty, limits, now: Duration::ZERO, ends: BTreeMap::new() }
    }

    fn net<T>(&self, act: impl FnOnce(&mut Net) -> T) -> T {
        act(&mut self.net.lock().expect("no panic"))
    }
}

impl Rig for Virtual {
    fn nodes(&self) -> usize {
        Self::NODES
    }

    fn start(&mut self, node: usize) -> Session {
        let end = Port::open(&self.net, &name_of(node), self.kind).expect("it is known");
        let session = end.me().session;
        self.ends.insert(node, end);
        session
    }

    fn kill(&mut self, node: usize) {
        if self.ends.remove(&node).is_some() {
            self.net(|net| net.kill(node));
        }
    }

    fn at(&mut self, node: usize, act: &mut dyn FnMut(&mut dyn Transport, Duration)) {
        act(self.ends.get_mut(&node).expect("it runs"), self.now);
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        let now = self.now;
        self.net(|net| while net.step(now).is_some() {});
    }

    fn patience(&self) -> Duration {
        // Three times what a stream takes to break.
        3 * self.limits.break_after
    }

    fn quiet(&self) -> Duration {
        Duration::from_secs(1)
    }

    fn under_way(&self) -> usize {
        self.limits.queue_capacity
    }

    fn faulty(&self) -> bool {
        self.faulty
    }

    fn silence(&mut self, a: usize, b: usize, on: bool) -> bool {
        self.net(|net| {
            for (from, to) in [(a, b), (b, a)] {
                if on {
                    net.cut(from, to);
                } else {
                    net.restore(from, to);
                }
            }
        });
        true
    }
}
