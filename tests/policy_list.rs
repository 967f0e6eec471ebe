//! The server list of a fleet whose policy changes: the decision module that starts with the new version goes on
//! where the old one was with its calls to discovery.

mod peers;

use std::time::{Duration, Instant};

use peers::*;

/// A change of the list counts as known this long after discovery has it and can be reached; attempts may still
/// begin for the drain's grace, with the allowance for measurements on sockets.
const CHANGE_APPLIED_WITHIN: Duration = Duration::from_millis(6000 + 750 + 50);

/// Three nodes of a fleet and their discovery, which lists the first of two servers.
struct Site {
    nodes: Vec<Node>,
    old: ScriptedServer,
    new: ScriptedServer,
    registry: Registry,
}

impl Site {
    fn new(name: &str, fleet: u8) -> Self {
        let directory = unused_path(name);
        let (old, new) = (ScriptedServer::healthy("old"), ScriptedServer::healthy("new"));
        let registry = Registry::new(&[host("old", old.address, "active", 1)]);
        let start = |node: usize| {
            let file = three_nodes::file(&directory, fleet, node);
            Node::listening_with_args(&three_nodes::config(&registry, node), &["--fleet", &file])
        };
        let nodes: Vec<Node> = (0..3).map(start).collect();
        nodes.iter().for_each(Node::wait_ready);
        Self { nodes, old, new, registry }
    }

    /// Changes a setting of the decision module, and has each node decide a request under the new version.
    fn change_policy(&self) {
        let document = "[retry]\nmost = 8.0\n";
        wait_until("a document is taken", || {
            let _ = self.nodes[0].management_exchange(&three_nodes::proposal(document));
            self.nodes.iter().all(|node| node.logged("version 1, ready"))
        });
        for (number, node) in self.nodes.iter().enumerate() {
            Client::to(node).exchange(&request("look", &format!("switch-{number}"), 5000));
            wait_until("it decides by the new settings", || node.logged("decided under version 1"));
        }
    }

    /// Replaces the old server by the new one in the list of this discovery.
    fn replace_server(&self, registry: &Registry) {
        let gone = host("old", self.old.address, "gone", 1);
        let active = host("new", self.new.address, "active", 1);
        registry.publish(2, std::slice::from_ref(&active), &[gone, active.clone()]);
    }

    /// Asserts that all nodes send to the new server alone within the time that a change may take.
    fn assert_change_applied(&self) {
        std::thread::sleep(CHANGE_APPLIED_WITHIN);
        let (before, start) = (self.old.requests().len(), Instant::now());
        while start.elapsed() < Duration::from_secs(1) {
            for (number, node) in self.nodes.iter().enumerate() {
                let id = format!("late-{number}-{}", start.elapsed().as_micros());
                let answer = Client::to(node).exchange(&request("look", &id, 5000));
                assert_eq!((answer.status(), text(&answer.body).as_str()), (200, "new"), "node {number}");
            }
        }
        assert_eq!(self.old.requests().len(), before, "sent to a server that is gone");
    }
}

/// Guards against review case 10: under a policy that was taken while discovery was down no node called discovery
/// ever again.
#[test]
fn a_policy_taken_while_discovery_is_down_does_not_end_the_calls_to_it() {
    let site = Site::new("policy-list-down", 0);
    site.registry.set_down(true);
    std::thread::sleep(Duration::from_secs(1));
    site.change_policy();
    site.replace_server(&site.registry);
    site.registry.set_down(false);
    site.assert_change_applied();
}

/// Guards against the same where the watch is open during the change and breaks later.
#[test]
fn a_watch_that_breaks_behind_a_change_of_policy_is_opened_again() {
    let site = Site::new("policy-list-watch", 1);
    site.change_policy();
    site.registry.set_down(true);
    std::thread::sleep(Duration::from_secs(2));
    site.replace_server(&site.registry);
    site.registry.set_down(false);
    site.assert_change_applied();
}

/// Guards against the same where discovery moves behind the change: the new address is called at once.
#[test]
fn a_new_address_of_discovery_is_called_behind_a_change_of_policy() {
    let site = Site::new("policy-list-moved", 2);
    site.change_policy();
    let moved = Registry::new(&[]);
    site.replace_server(&moved);
    for (number, node) in site.nodes.iter().enumerate() {
        let mut config = three_nodes::config(&site.registry, number);
        config["discovery"] = moved.address.to_string().into();
        node.reload(&config.to_string());
    }
    site.assert_change_applied();
}
