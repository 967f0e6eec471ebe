//! A node that takes part in membership is killed, and comes back some seconds later.

#[path = "../standins-2/rig.rs"]
mod rig;

use std::sync::Arc;

use rig::*;

/// How long the node stays dead.
const DEAD_MS: u64 = 4000;
/// How long it has to run then.
const WATCHED_MS: u64 = 10_000;

fn main() {
    let case = begin();
    let work: Script = Arc::new(|_| Treatment { work_ms: 30.0, ..Treatment::default() });
    let servers: Vec<Server> = (1..=6).map(|n| Server::start(&format!("app-{n}"), work.clone())).collect();
    let discovery = Discovery::new(&servers);
    let address = discovery.listen();
    // Two nodes have ports that the others know; the third joins through them from any free port.
    let seeds = [free_udp_port(), free_udp_port()];
    let setup = |number: usize| {
        let listen = seeds.get(number).map_or("127.0.0.1:0".to_string(), |at| at.to_string());
        let file = case.folder.join(format!("membership-{number}.toml"));
        let text = format!("listen = \"{listen}\"\nseeds = [\"{}\", \"{}\"]\nfleet_size = 3\n", seeds[0], seeds[1]);
        std::fs::write(&file, text).expect("a membership file");
        NodeSetup {
            name: format!("n{number}"),
            number,
            nodes: 3,
            listen: free_port(),
            management: None,
            discovery: address,
            known: discovery.known(),
            limits: (96, 384),
            arguments: format!("--membership {}", file.display()),
        }
    };
    let mut nodes: Vec<Node> = (0..3).map(|number| Node::start(&case, setup(number))).collect();
    nodes.iter().for_each(|n| n.wait_ready(30_000));
    let doors: Vec<_> = nodes.iter().map(|n| (n.setup.name.clone(), n.setup.listen)).collect();
    let load = Load::start(&doors[..2], 4, 100.0, &["lookup", "signup", "fee-payment"]);
    sleep_ms(5000);
    let mut last = nodes.pop().expect("three nodes");
    if case.trouble {
        last.signal("KILL");
        sleep_ms(DEAD_MS);
        need(!last.runs(), "the killed process still runs");
        last = Node::start(&case, last.setup.clone());
    }
    sleep_ms(WATCHED_MS);
    say(&summary(&load.finish()));
    need(nodes.iter_mut().all(Node::runs), "another node has ended");
    record(&format!("log of {}: {}", last.setup.name, last.log()));
    if !last.runs() {
        say(&format!("broken: {} has exited: {}", last.setup.name, last.log().lines().last().unwrap_or("")));
        end(1);
    }
    last.wait_ready(2000);
    say("held");
    end(0);
}
