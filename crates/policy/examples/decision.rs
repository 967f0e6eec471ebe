//! The cost of a decision against the number of servers and of held requests: one request that comes and one answer, with
//! every server full and so many requests waiting (with 0: with room everywhere).
//!
//! `decision BOXES HELD PAIRS` prints the nanoseconds of a pair, and what an open request holds of memory on standard error; under callgrind two runs with different PAIRS give the
//! instructions of one. `docs/measurements/decision.sh` does both.

mod common;

use std::collections::VecDeque;
use std::time::Instant;

use common::{entry, memory, settings};
use magpietally_policy::{
    Action, Balancer, Class, DedupScope, Effect, Event, ListedState, Outcome, RequestId, ServerId, Settings,
    Tenant,
};

/// Long aims, so that what is held stays held while it is measured.
const AIM: f64 = 1e6;
/// Such a part of its aim each answer takes that no limit moves.
const TAKES: f64 = 0.35;

struct Node {
    balancer: Balancer,
    now: f64,
    asked: u64,
    actions: Vec<Action>,
    out: VecDeque<(RequestId, ServerId)>,
}

impl Node {
    fn feed(&mut self, event: Event) {
        self.now += 0.001;
        self.balancer.handle(self.now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            if let Action::Send { id, server, .. } = action {
                self.out.push_back((id, server));
            }
        }
    }

    fn ask(&mut self) {
        self.asked += 1;
        let class = (self.asked % 3) as usize;
        let tenant = Some((self.asked % 2) as usize);
        self.feed(Event::Request {
            id: RequestId(self.asked),
            class,
            tenant,
            deadline: self.now + 4.0 * AIM,
            non_replayable: false,
        });
    }

    fn answer(&mut self) {
        if let Some((id, server)) = self.out.pop_front() {
            let (outcome, took) = (Outcome::Done, TAKES * AIM);
            self.feed(Event::Ended { id, attempt: 0, server, outcome, took, finished: true });
        }
    }
}

/// A class of each right to run again, and two tenants.
fn node_settings() -> Settings {
    let class = |effect| Class { aim: AIM, worth: 1.0, late_worth: 0.0, effect };
    let keyed = Effect::Keyed { scope: DedupScope::Zone, memory: AIM };
    let classes = vec![class(Effect::Safe), class(Effect::Unsafe), class(keyed)];
    let tenants = vec![Tenant { quota_per_s: 1e9 }, Tenant { quota_per_s: 1e9 }];
    Settings { tenants, ..settings(1, classes) }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let numbers: Vec<u64> = std::env::args().skip(1).map(|w| w.parse()).collect::<Result<_, _>>()?;
    let [boxes, held, pairs] = numbers[..] else { return Err("BOXES HELD PAIRS".into()) };
    let balancer = Balancer::new(node_settings(), 7)?;
    let mut node = Node { balancer, now: 1.0, asked: 0, actions: Vec::new(), out: VecDeque::new() };
    node.feed(Event::List {
        entries: (1..=boxes).map(|n| entry(n, ListedState::Up, None)).collect(),
        saved: false,
    });
    let before = memory();
    if held > 0 {
        // Until nothing is sent any more every server is full; then so many more are held.
        loop {
            let sent = node.out.len();
            node.ask();
            if node.out.len() == sent {
                break;
            }
        }
        (1..held).for_each(|_| node.ask());
    }
    let waiting = node.balancer.status().queued as u64;
    if waiting != held {
        return Err(format!("{waiting} requests are held, not {held}").into());
    }
    let grown = memory().saturating_sub(before);
    let began = Instant::now();
    for _ in 0..pairs {
        node.ask();
        node.answer();
    }
    let spent = began.elapsed();
    let waiting = node.balancer.status().queued as u64;
    if waiting != held {
        return Err(format!("{waiting} requests are held in the end, not {held}").into());
    }
    let open = node.balancer.status().open.max(1) as f64;
    eprintln!("{open} open requests, {:.0} bytes each", grown as f64 * 1024.0 / open);
    println!("{boxes} {held} {pairs} {:.0}", spent.as_nanos() as f64 / pairs.max(1) as f64);
    Ok(())
}
