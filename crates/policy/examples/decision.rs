//! The cost of a decision by the number of servers and of queued requests: one arriving request and one
//! response, with every server at its limit and so many requests queued (with 0: with all servers below their
//! limits).
//!
//! `decision SERVERS QUEUED PAIRS` prints the nanoseconds of a pair, and the memory of an open request on
//! standard error; under callgrind two runs with different PAIRS give the instructions of one pair.
//! `docs/measurements/decision.sh` does both.

mod common;

use std::collections::VecDeque;
use std::time::Instant;

use common::{entry, memory, settings};
use magpietally_policy::{
    Action, Balancer, Class, DedupScope, Effect, Event, ListedState, Outcome, RequestId, ServerId, Settings,
    Tenant,
};

/// Long latency targets, so that requests stay queued during the measurement.
const TARGET: f64 = 1e6;
/// Response time over the latency target at which no limit changes.
const PACE: f64 = 0.35;

struct Node {
    balancer: Balancer,
    now: f64,
    requests: u64,
    actions: Vec<Action>,
    in_flight: VecDeque<(RequestId, ServerId)>,
}

impl Node {
    fn feed(&mut self, event: Event) {
        self.now += 0.001;
        self.balancer.handle(self.now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            if let Action::Send { id, server, .. } = action {
                self.in_flight.push_back((id, server));
            }
        }
    }

    fn request(&mut self) {
        self.requests += 1;
        let class = (self.requests % 3) as usize;
        let tenant = Some((self.requests % 2) as usize);
        self.feed(Event::Request {
            id: RequestId(self.requests),
            class,
            tenant,
            deadline: self.now + 4.0 * TARGET,
            non_replayable: false,
        });
    }

    fn respond(&mut self) {
        if let Some((id, server)) = self.in_flight.pop_front() {
            let (outcome, took) = (Outcome::Done, PACE * TARGET);
            self.feed(Event::Ended { id, attempt: 0, server, outcome, took, finished: true });
        }
    }
}

/// One class of each effect, and two tenants.
fn node_settings() -> Settings {
    let class = |effect| Class { aim: TARGET, worth: 1.0, late_worth: 0.0, effect };
    let keyed = Effect::Keyed { scope: DedupScope::Zone, memory: TARGET };
    let classes = vec![class(Effect::Safe), class(Effect::Unsafe), class(keyed)];
    let tenants = vec![Tenant { quota_per_s: 1e9 }, Tenant { quota_per_s: 1e9 }];
    Settings { tenants, ..settings(1, classes) }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let numbers: Vec<u64> = std::env::args().skip(1).map(|w| w.parse()).collect::<Result<_, _>>()?;
    let [servers, wanted, pairs] = numbers[..] else { return Err("SERVERS QUEUED PAIRS".into()) };
    let balancer = Balancer::new(node_settings(), 7)?;
    let mut node = Node { balancer, now: 1.0, requests: 0, actions: Vec::new(), in_flight: VecDeque::new() };
    node.feed(Event::List {
        entries: (1..=servers).map(|n| entry(n, ListedState::Up, None)).collect(),
        saved: false,
    });
    let before = memory();
    if wanted > 0 {
        // Once nothing is sent any more, every server is at its limit; further requests are queued.
        loop {
            let sent = node.in_flight.len();
            node.request();
            if node.in_flight.len() == sent {
                break;
            }
        }
        (1..wanted).for_each(|_| node.request());
    }
    let queued = node.balancer.status().queued as u64;
    if queued != wanted {
        return Err(format!("{queued} requests are queued, not {wanted}").into());
    }
    let grown = memory().saturating_sub(before);
    let began = Instant::now();
    for _ in 0..pairs {
        node.request();
        node.respond();
    }
    let spent = began.elapsed();
    let queued = node.balancer.status().queued as u64;
    if queued != wanted {
        return Err(format!("{queued} requests are queued at the end, not {wanted}").into());
    }
    let open = node.balancer.status().open.max(1) as f64;
    eprintln!("{open} open requests, {:.0} bytes each", grown as f64 * 1024.0 / open);
    println!("{servers} {wanted} {pairs} {:.0}", spent.as_nanos() as f64 / pairs.max(1) as f64);
    Ok(())
}
