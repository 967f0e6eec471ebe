//! Large lists: a whole list, one that renames every server, changes of one server, and an hour of a release
//! that replaces 1% of the servers each second under traffic. Prints the time of each and the memory.

mod common;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use common::{entry, memory, settings};
use magpietally_policy::{
    Action, Balancer, Class, Effect, Event, Limits, ListedState, Outcome, RequestId, ServerEntry, ServerId,
    Settings,
};

const SERVERS: u64 = 5_000;

struct Node {
    balancer: Balancer,
    now: f64,
    requests: u64,
    served: u64,
    actions: Vec<Action>,
    in_flight: VecDeque<(f64, RequestId, usize, ServerId)>,
}

impl Node {
    fn new(nodes: usize) -> Result<Self, Box<dyn std::error::Error>> {
        let class = Class { aim: 400.0, worth: 1.0, late_worth: 0.0, effect: Effect::Safe };
        let settings = settings(nodes, vec![class]);
        let limits = Limits { second_copies: true, ..settings.limits };
        let balancer = Balancer::new(Settings { limits, ..settings }, 7)?;
        Ok(Self {
            balancer,
            now: 1.0,
            requests: 0,
            served: 0,
            actions: Vec::new(),
            in_flight: VecDeque::new(),
        })
    }

    /// Feeds an event, and the end of each attempt 20 ms after its send; probes succeed at once.
    fn feed(&mut self, event: Event) -> Duration {
        let began = Instant::now();
        self.balancer.handle(self.now, event, &mut self.actions);
        let spent = began.elapsed();
        let mut probes = Vec::new();
        for action in self.actions.drain(..) {
            match action {
                Action::Send { id, server, .. } => self.in_flight.push_back((self.now, id, 0, server)),
                Action::Probe(server) => probes.push(server),
                _ => {}
            }
        }
        for server in probes {
            self.feed(Event::Probed { server, outcome: Outcome::Done, took: 1.0 });
        }
        spent
    }

    fn request(&mut self) -> Duration {
        self.requests += 1;
        let (id, deadline) = (RequestId(self.requests), self.now + 1000.0);
        self.feed(Event::Request { id, class: 0, tenant: None, deadline, non_replayable: false })
    }

    fn respond(&mut self) {
        while let Some((at, id, attempt, server)) =
            self.in_flight.front().copied().filter(|o| o.0 + 20.0 <= self.now)
        {
            self.in_flight.pop_front();
            self.served += 1;
            let (outcome, took) = (Outcome::Done, self.now - at);
            self.feed(Event::Ended { id, attempt, server, outcome, took, finished: true });
        }
    }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("{SERVERS} servers; times in milliseconds");
    for nodes in [1, 20, 200] {
        let mut node = Node::new(nodes)?;
        let all = |from: u64| -> Vec<ServerEntry> {
            (from..from + SERVERS).map(|n| entry(n, ListedState::Up, None)).collect()
        };
        let before = memory();
        let ms = |spent: Duration| spent.as_secs_f64() * 1e3;
        let whole = ms(node.feed(Event::List { entries: all(0), saved: false }));
        let per_server = (memory() - before) as f64 * 1024.0 / SERVERS as f64;
        let renamed = ms(node.feed(Event::List { entries: all(SERVERS), saved: false }));
        let one = |node: &mut Node, state| {
            let spans = (0..200)
                .map(|n| ms(node.feed(Event::ListChange(vec![entry(SERVERS + 25 * n, state, None)]))));
            spans.sum::<f64>() / 200.0
        };
        let (drains, returns) = (one(&mut node, ListedState::Draining), one(&mut node, ListedState::Up));
        println!(
            "{nodes:>4} nodes: whole list {whole:.2}, all renamed {renamed:.2}, one server drains {drains:.3}, one \
             returns {returns:.3}; {per_server:.0} bytes a server"
        );
    }
    // An hour in which 1% of the servers are replaced each second by new, cold ones, at 200 requests per
    // second.
    let mut node = Node::new(20)?;
    let first: Vec<ServerEntry> = (0..SERVERS).map(|n| entry(n, ListedState::Up, None)).collect();
    node.feed(Event::List { entries: first, saved: false });
    let (mut oldest, mut worst_list, mut worst_request) = (0, Duration::ZERO, Duration::ZERO);
    let began = Instant::now();
    let hour = std::env::args().nth(1).map_or(Ok(3600u64), |w| w.parse())?;
    for second in 0..hour {
        let (count, now) = (SERVERS / 100, node.now);
        let gone = (oldest..oldest + count).map(|n| entry(n, ListedState::Gone, None));
        let new = (oldest + SERVERS..oldest + SERVERS + count).map(|n| entry(n, ListedState::Up, Some(now)));
        let change: Vec<ServerEntry> = gone.chain(new).collect();
        oldest += count;
        worst_list = worst_list.max(node.feed(Event::ListChange(change)));
        for _ in 0..200 {
            node.now += 5.0;
            node.respond();
            worst_request = worst_request.max(node.request());
        }
        if second % (hour / 6).max(1) == 0 || second + 1 == hour {
            println!("{second:>5} s: {} KiB, {} served of {}", memory(), node.served, node.requests);
        }
    }
    let each = began.elapsed().as_secs_f64() * 1e6 / node.requests as f64;
    println!(
        "worst change {:.2} ms, worst request {:.3} ms, {each:.2} us per request and response",
        worst_list.as_secs_f64() * 1e3,
        worst_request.as_secs_f64() * 1e3
    );
    Ok(())
}
