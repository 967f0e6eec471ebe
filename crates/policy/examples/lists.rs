//! Lists at size: a whole list, one that renames every box, changes of one box, and an hour of a release that replaces 1%
//! of the boxes each second, while requests come. Prints the time of each and what is held of memory.

mod common;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use common::{entry, memory, settings};
use magpietally_policy::{
    Action, Balancer, Class, Effect, Event, Limits, ListedState, Outcome, RequestId, ServerEntry, ServerId,
    Settings,
};

const BOXES: u64 = 5_000;

struct Node {
    balancer: Balancer,
    now: f64,
    asked: u64,
    served: u64,
    actions: Vec<Action>,
    out: VecDeque<(f64, RequestId, usize, ServerId)>,
}

impl Node {
    fn new(nodes: usize) -> Result<Self, Box<dyn std::error::Error>> {
        let class = Class { aim: 400.0, worth: 1.0, late_worth: 0.0, effect: Effect::Safe };
        let settings = settings(nodes, vec![class]);
        let limits = Limits { second_copies: true, ..settings.limits };
        let balancer = Balancer::new(Settings { limits, ..settings }, 7)?;
        Ok(Self { balancer, now: 1.0, asked: 0, served: 0, actions: Vec::new(), out: VecDeque::new() })
    }

    /// Feeds an event, and the end of each attempt 20 ms after its send; probes succeed at once.
    fn feed(&mut self, event: Event) -> Duration {
        let began = Instant::now();
        self.balancer.handle(self.now, event, &mut self.actions);
        let spent = began.elapsed();
        let mut probes = Vec::new();
        for action in self.actions.drain(..) {
            match action {
                Action::Send { id, server, .. } => self.out.push_back((self.now, id, 0, server)),
                Action::Probe(server) => probes.push(server),
                _ => {}
            }
        }
        for server in probes {
            self.feed(Event::Probed { server, outcome: Outcome::Done, took: 1.0 });
        }
        spent
    }

    fn ask(&mut self) -> Duration {
        self.asked += 1;
        let (id, deadline) = (RequestId(self.asked), self.now + 1000.0);
        self.feed(Event::Request { id, class: 0, tenant: None, deadline, non_replayable: false })
    }

    fn answers(&mut self) {
        while let Some((at, id, attempt, server)) =
            self.out.front().copied().filter(|o| o.0 + 20.0 <= self.now)
        {
            self.out.pop_front();
            self.served += 1;
            let (outcome, took) = (Outcome::Done, self.now - at);
            self.feed(Event::Ended { id, attempt, server, outcome, took, finished: true });
        }
    }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("{BOXES} boxes; milliseconds, but for memory");
    for nodes in [1, 20, 200] {
        let mut node = Node::new(nodes)?;
        let all = |from: u64| -> Vec<ServerEntry> {
            (from..from + BOXES).map(|n| entry(n, ListedState::Up, None)).collect()
        };
        let before = memory();
        let ms = |spent: Duration| spent.as_secs_f64() * 1e3;
        let whole = ms(node.feed(Event::List { entries: all(0), saved: false }));
        let per_box = (memory() - before) as f64 * 1024.0 / BOXES as f64;
        let renamed = ms(node.feed(Event::List { entries: all(BOXES), saved: false }));
        let one = |node: &mut Node, state| {
            let spans =
                (0..200).map(|n| ms(node.feed(Event::ListChange(vec![entry(BOXES + 25 * n, state, None)]))));
            spans.sum::<f64>() / 200.0
        };
        let (leaves, comes) = (one(&mut node, ListedState::Draining), one(&mut node, ListedState::Up));
        println!(
            "{nodes:>4} nodes: whole list {whole:.2}, all renamed {renamed:.2}, one box leaves {leaves:.3}, one comes \
             {comes:.3}; {per_box:.0} bytes a box"
        );
    }
    // An hour: each second 1% of the boxes are replaced by new ones, cold at first; 200 requests a second come.
    let mut node = Node::new(20)?;
    let first: Vec<ServerEntry> = (0..BOXES).map(|n| entry(n, ListedState::Up, None)).collect();
    node.feed(Event::List { entries: first, saved: false });
    let (mut oldest, mut worst_list, mut worst_ask) = (0, Duration::ZERO, Duration::ZERO);
    let began = Instant::now();
    let hour = std::env::args().nth(1).map_or(Ok(3600u64), |w| w.parse())?;
    for second in 0..hour {
        let (count, now) = (BOXES / 100, node.now);
        let gone = (oldest..oldest + count).map(|n| entry(n, ListedState::Gone, None));
        let new = (oldest + BOXES..oldest + BOXES + count).map(|n| entry(n, ListedState::Up, Some(now)));
        let change: Vec<ServerEntry> = gone.chain(new).collect();
        oldest += count;
        worst_list = worst_list.max(node.feed(Event::ListChange(change)));
        for _ in 0..200 {
            node.now += 5.0;
            node.answers();
            worst_ask = worst_ask.max(node.ask());
        }
        if second % (hour / 6).max(1) == 0 || second + 1 == hour {
            println!("{second:>5} s: {} KiB, {} served of {}", memory(), node.served, node.asked);
        }
    }
    let each = began.elapsed().as_secs_f64() * 1e6 / node.asked as f64;
    println!(
        "worst change {:.2} ms, worst request {:.3} ms, {each:.2} us a request with its answer",
        worst_list.as_secs_f64() * 1e3,
        worst_ask.as_secs_f64() * 1e3
    );
    Ok(())
}
