//! Measures the speed of the simulated network, for `docs/design/simnet.md`:
//!
//!     cargo run --release -p magpietally-simnet --example speed -- 500
//!
//! The argument is the number of nodes. For one minute of virtual time each node sends 100 bytes to a
//! randomly chosen node every 10 ms, first by datagrams, then by streams, with 1% loss.

use std::time::{Duration, Instant};

use magpietally_simnet::{Clocks, Faults, Limits, World};
use magpietally_transport::{Kind, Name, Now, Outgoing, Peer, Protocol};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const SEND_INTERVAL: Duration = Duration::from_millis(10);

struct Sender {
    names: std::rc::Rc<Vec<Name>>,
    kind: Kind,
    next: Duration,
    rng: Pcg64,
    out: Option<Outgoing>,
}

impl Protocol for Sender {
    fn on_message(&mut self, _now: Now, _from: &Peer, _bytes: &[u8]) {}

    fn tick(&mut self, now: Now) {
        self.next = now.boot + SEND_INTERVAL;
        let to = self.names[self.rng.random_range(0..self.names.len())].clone();
        self.out = Some(Outgoing { to, kind: self.kind, bytes: vec![7; 100] });
    }

    fn next_due(&self) -> Option<Duration> {
        Some(self.next)
    }

    fn take_outgoing(&mut self) -> Option<Outgoing> {
        self.out.take()
    }
}

fn main() {
    let n: usize = std::env::args().nth(1).and_then(|a| a.parse().ok()).unwrap_or(500);
    println!("| nodes | kind | messages | seconds of one core | messages a second |");
    println!("| ---: | --- | ---: | ---: | ---: |");
    for kind in [Kind::Datagram, Kind::Stream] {
        let names: Vec<Name> = (0..n).filter_map(|i| Name::new(&format!("n{i}")).ok()).collect();
        let names = std::rc::Rc::new(names);
        let mut world = World::new(1, Faults { loss: 0.01, ..Faults::default() }, Limits::default(), 0);
        for (i, name) in names.iter().enumerate() {
            if world.add(name, Clocks::default()) != Ok(i) {
                println!("at most {} nodes", magpietally_simnet::NODES_MAX);
                return;
            }
            world.start(i, |_, now| Sender {
                names: std::rc::Rc::clone(&names),
                kind,
                next: now.boot,
                rng: Pcg64::seed_from_u64(i as u64),
                out: None,
            });
        }
        let start = Instant::now();
        world.run(Duration::from_secs(60));
        let took = start.elapsed().as_secs_f64();
        let received: u64 = (0..n).map(|i| world.counts(i).received).sum();
        println!("| {n} | {kind:?} | {received} | {took:.1} | {:.0} |", received as f64 / took);
    }
}
