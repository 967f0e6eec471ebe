//! The harness for the network in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use magpietally_contracts::transport::{node_name, Harness};
use magpietally_simnet::{Faults, Limits, Net, Port, SharedNet};
use magpietally_transport::{Kind, Session, Transport};

pub struct VirtualHarness {
    net: SharedNet,
    kind: Kind,
    lossy: bool,
    limits: Limits,
    now: Duration,
    ports: BTreeMap<usize, Port>,
}

impl VirtualHarness {
    const NODES: usize = 5;

    pub fn new(kind: Kind, faults: Faults, seed: u64) -> Self {
        // A small queue fills up quickly; everything else keeps its default.
        let limits = Limits { queue_capacity: 64, ..Limits::default() };
        let lossy = faults.loss > 0.0;
        let mut net = Net::new(seed, faults, limits.clone());
        for node in 0..Self::NODES {
            assert_eq!(net.add(&node_name(node)), Some(node));
        }
        Self { net: net.shared(), kind, lossy, limits, now: Duration::ZERO, ports: BTreeMap::new() }
    }

    fn net<T>(&self, act: impl FnOnce(&mut Net) -> T) -> T {
        act(&mut self.net.lock().expect("no panic"))
    }
}

impl Harness for VirtualHarness {
    fn node_count(&self) -> usize {
        Self::NODES
    }

    fn start(&mut self, node: usize) -> Session {
        let port = Port::open(&self.net, &node_name(node), self.kind).expect("it is known");
        let session = port.me().session;
        self.ports.insert(node, port);
        session
    }

    fn kill(&mut self, node: usize) {
        if self.ports.remove(&node).is_some() {
            self.net(|net| net.kill(node));
        }
    }

    fn with_node(&mut self, node: usize, act: &mut dyn FnMut(&mut dyn Transport, Duration)) {
        act(self.ports.get_mut(&node).expect("it runs"), self.now);
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        let now = self.now;
        self.net(|net| while net.step(now).is_some() {});
    }

    fn timeout(&self) -> Duration {
        // Three times what a stream takes to break.
        3 * self.limits.break_after
    }

    fn settle_time(&self) -> Duration {
        Duration::from_secs(1)
    }

    fn in_flight_max(&self) -> usize {
        self.limits.queue_capacity
    }

    fn is_lossy(&self) -> bool {
        self.lossy
    }

    fn set_blackhole(&mut self, a: usize, b: usize, on: bool) -> bool {
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
