//! All watches end, and discovery has too many callers: calls wait in its queue, and some fail. Servers begin to
//! drain.

#[path = "../standins-2/rig.rs"]
mod rig;

use std::sync::Arc;

use rig::*;

/// Nodes of the fleet: real ones, and others of which only the calls to discovery are seen.
const NODES: usize = 8;
const OTHERS: usize = 22;
/// How long discovery takes for one call.
const CALL_MS: f64 = 400.0;
/// Servers, and those that begin to drain: a quarter.
const SERVERS: usize = 12;
const DRAINING: usize = 3;
/// A change counts as told so long after discovery had it and could be reached, at the latest.
const TOLD_AFTER_MS: f64 = 6000.0;
/// `Contract.DrainGrace`, and 50 ms more for a rule on sockets.
const GRACE_MS: f64 = 750.0 + 50.0;

fn main() {
    let case = begin();
    let work: Script = Arc::new(|_| Treatment { work_ms: 30.0, ..Treatment::default() });
    let servers: Vec<Server> = (1..=SERVERS).map(|n| Server::start(&format!("app-{n}"), work.clone())).collect();
    let discovery = Discovery::new(&servers);
    let address = discovery.listen();
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|node| {
            // Spread over the fleet's numbers, as the others are.
            let number = node * (NODES + OTHERS) / NODES;
            Node::start(
                &case,
                NodeSetup {
                    name: format!("n{number}"),
                    number,
                    nodes: NODES + OTHERS,
                    listen: free_port(),
                    management: None,
                    discovery: address,
                    known: discovery.known(),
                    arguments: String::new(),
                },
            )
        })
        .collect();
    nodes.iter().for_each(|n| n.wait_ready(30_000));
    (0..OTHERS).for_each(|_| other_node(address));
    let doors: Vec<_> = nodes.iter().map(|n| (n.setup.name.clone(), n.setup.listen)).collect();
    let load = Load::start(&doors, 2, 50.0, &["lookup", "signup", "fee-payment"]);
    sleep_ms(3000);

    let ended_ms = now_ms();
    discovery.slow_down(CALL_MS);
    if case.trouble {
        discovery.end_watches();
    }
    sleep_until(ended_ms + 500.0);
    let drain_ms = (1..=DRAINING).map(|n| discovery.drain(&format!("app-{n}"))).fold(0.0, f64::max);
    let told_ms = if case.trouble { drain_ms + TOLD_AFTER_MS } else { drain_ms };
    sleep_until(ended_ms + 25_000.0);
    let outcomes = load.finish();
    say(&summary(&outcomes));
    need(nodes.iter_mut().all(Node::runs), "a node has ended");

    let runs: Vec<Run> = servers[..DRAINING].iter().flat_map(Server::runs).collect();
    need(runs.iter().any(|r| r.first_ms < drain_ms), "the servers got no request before they drained");
    let mut late: Vec<&Run> = runs.iter().filter(|r| r.first_ms > told_ms + GRACE_MS).collect();
    late.sort_by(|a, b| a.first_ms.total_cmp(&b.first_ms));
    say(&format!("told at {told_ms:.0} ms at the latest; {} sends to them later than {GRACE_MS} ms after that", late.len()));
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        say(&format!(
            "broken: the first {} at {:.0} ms, the last {} at {:.0} ms",
            first.id, first.first_ms, last.id, last.first_ms
        ));
        end(1);
    }
    say("held");
    end(0);
}
