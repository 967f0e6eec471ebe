//! A fleet of seven nodes on loopback with fault-injecting relays for UDP and TCP between them and clients at
//! every node, under kill -9, SIGSTOP and partitions while the policy changes and quotas are in use. At the
//! end the checkers read the records that every node wrote before it acted.

mod peers;

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use magpietally_consensus::check as log_check;
use magpietally_contracts::relay::{DatagramLink, DatagramRelay, StreamRelay};
use magpietally_policy_change::check as policy_check;
use magpietally_quota::check as quota_check;
use peers::*;
use serde_json::{json, Value};

const NODES: usize = 7;
/// The number of voters; the other nodes are learners.
const VOTERS: usize = 3;
/// Short, so that a change does not wait long for dead nodes; long compared with a busy machine's delays.
const LEASE_MS: u64 = 3000;
const ALL: [usize; NODES] = [0, 1, 2, 3, 4, 5, 6];

struct Fleet {
    folder: PathBuf,
    datagrams: DatagramRelay,
    streams: StreamRelay,
    nodes: Vec<Option<Node>>,
    config: Value,
    load: Vec<(Arc<AtomicBool>, std::thread::JoinHandle<u64>)>,
    /// The number of requests answered with 200 so far.
    served: Arc<AtomicU64>,
    /// The nodes with an injected fault, and which fault.
    injected_fault: Option<(&'static [usize], &'static str)>,
    /// The node under a limit of the shell's `ulimit`, if any.
    limited: Option<(usize, &'static str)>,
    _server: ScriptedServer,
    _registry: Registry,
}

impl Fleet {
    fn new(name: &str, seed: u64, injected_fault: Option<(&'static [usize], &'static str)>) -> Self {
        let server = ScriptedServer::healthy("a");
        let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
        let mut config = config(registry.address);
        config["management"] = json!("127.0.0.1:0");
        config["settings"]["Customers"] = json!([{"Name": "punjab-clubs", "QuotaPerS": 1000.0}]);
        let folder = unused_path(name);
        std::fs::create_dir_all(&folder).expect("a directory");
        std::fs::write(folder.join("policy.toml"), "").expect("a file");
        let mut fleet = Self {
            folder,
            datagrams: DatagramRelay::new(NODES, seed),
            streams: StreamRelay::new(NODES, seed),
            nodes: (0..NODES).map(|_| None).collect(),
            config,
            load: Vec::new(),
            served: Arc::default(),
            injected_fault,
            limited: None,
            _server: server,
            _registry: registry,
        };
        for i in 0..NODES {
            std::fs::create_dir_all(fleet.folder.join(format!("store-{i}"))).expect("a directory");
            fleet.start(i);
        }
        fleet
    }

    fn records(&self, i: usize) -> PathBuf {
        self.folder.join(format!("records-{i}.jsonl"))
    }

    /// The policy document, which node 6 watches.
    fn file(&self, i: usize) -> String {
        let path = |p: &Path| format!("{:?}", p.display().to_string());
        let voters: Vec<String> = (0..VOTERS).map(|v| format!("\"f{v}\"")).collect();
        let mut text = format!(
            "fleet = \"test\"\nvoters = [{}]\nstore = {}\ndatagrams = \"127.0.0.1:0\"\nstreams = \"127.0.0.1:0\"\n\
             lease_ms = {LEASE_MS}\nrecords = {}\n",
            voters.join(", "),
            path(&self.folder.join(format!("store-{i}"))),
            path(&self.records(i)),
        );
        if i == 6 {
            text += &format!("policy_file = {}\n", path(&self.folder.join("policy.toml")));
        }
        if let Some((_, fault)) = self.injected_fault.filter(|(nodes, _)| nodes.contains(&i)) {
            text += &format!("planted = \"{fault}\"\n");
        }
        for j in (0..NODES).filter(|&j| j != i) {
            let (datagrams, streams) = (self.datagrams.frontend(j), self.streams.frontend(i, j));
            text += &format!("[peers.f{j}]\ndatagrams = \"{datagrams}\"\nstreams = \"{streams}\"\n");
        }
        let file = self.folder.join(format!("fleet-{i}.toml"));
        std::fs::write(&file, text).expect("a file");
        file.display().to_string()
    }

    fn start(&mut self, i: usize) {
        let mut config = self.config.clone();
        config["name"] = json!(format!("f{i}"));
        let args = ["--fleet", &self.file(i)];
        let node = match self.limited.filter(|(limited, _)| *limited == i) {
            Some((_, limit)) => Node::limited_with_args(&config, &args, limit),
            None => Node::listening_with_args(&config, &args),
        };
        let mut own = None;
        wait_until("the fleet's sockets are open", || {
            own = node.logged_after(" of test at ").and_then(|rest| {
                let (datagrams, streams) = rest.split_once(" and ")?;
                Some((datagrams.parse().ok()?, streams.trim().parse().ok()?))
            });
            own.is_some()
        });
        let (datagrams, streams) = own.expect("found");
        self.datagrams.attach(i, datagrams);
        self.streams.attach(i, streams);
        self.nodes[i] = Some(node);
    }

    fn node(&self, i: usize) -> &Node {
        self.nodes[i].as_ref().expect("it runs")
    }

    fn wait_ready(&self, which: &[usize]) {
        for &i in which {
            self.node(i).wait_ready();
        }
    }

    /// Replaces the document as operators do: writes a new file and renames it.
    fn write_policy(&self, text: &str) {
        let new = self.folder.join("policy.next");
        std::fs::write(&new, text).expect("a file");
        std::fs::rename(&new, self.folder.join("policy.toml")).expect("renamed");
    }

    /// Waits until all of these nodes report that they are ready under one version, this one or a later: a
    /// proposal that a busy node answered too late is repeated under the next number.
    fn wait_version(&self, least: u64, which: &[usize]) -> u64 {
        let mut found = None;
        wait_until(&format!("nodes {which:?} are ready under version {least} or later"), || {
            let has = |v: u64| which.iter().all(|&i| self.node(i).logged(&format!("version {v}, ready")));
            found = (least..least + 8).find(|&v| has(v));
            found.is_some()
        });
        found.expect("found")
    }

    /// Runs a client at node `i`: one request after another, each with an id of its own, until the end;
    /// returns how many were served.
    fn load(&mut self, i: usize, life: u64) {
        let (stop, address) = (Arc::new(AtomicBool::new(false)), self.node(i).address);
        let (stopping, all) = (stop.clone(), self.served.clone());
        let client = std::thread::spawn(move || {
            let mut served = 0;
            for n in 0u64.. {
                if stopping.load(Ordering::SeqCst) {
                    break;
                }
                // One connection for each: the node may be killed, suspended or not answer.
                let words = request("look", &format!("{i}-{life}-{n}"), 2000);
                let words = words.replace("X-Txn", "x-org: punjab-clubs\r\nX-Txn");
                let good = u64::from(ask_once(address, &words) == Some(200));
                served += good;
                all.fetch_add(good, Ordering::SeqCst);
                std::thread::sleep(Duration::from_millis(4));
            }
            served
        });
        self.load.push((stop, client));
    }

    /// Partitions a node from all others, on both transports.
    fn cut(&self, i: usize) {
        let others: Vec<usize> = ALL.into_iter().filter(|&j| j != i).collect();
        self.datagrams.partition(&[i], &others);
        self.streams.partition(&[i], &others);
    }

    fn heal(&self) {
        self.datagrams.heal();
        self.streams.heal();
    }

    /// Stops the clients; returns how many requests were served.
    fn end_load(&mut self) -> u64 {
        for (stop, _) in &self.load {
            stop.store(true, Ordering::SeqCst);
        }
        self.load.drain(..).map(|(_, client)| client.join().expect("a client ends")).sum()
    }

    /// The records of all nodes, by checker.
    fn all_records(&self) -> (Vec<policy_check::Record>, Vec<quota_check::Record>, Vec<log_check::Record>) {
        let (mut policy, mut quota, mut log) = (Vec::new(), Vec::new(), Vec::new());
        let mut versions = std::collections::BTreeSet::new();
        for i in ALL {
            let text = std::fs::read_to_string(self.records(i)).expect("its records");
            for line in text.lines() {
                // A kill may truncate the last line of an incarnation; what it records had no effect then.
                let Ok(value) = serde_json::from_str::<Value>(line) else { continue };
                let read = |name: &str| value.get(name).cloned();
                if let Some(record) = read("policy") {
                    policy.push(serde_json::from_value(record).expect("a record"));
                } else if let Some(record) = read("log") {
                    log.push(serde_json::from_value(record).expect("a record"));
                } else if let Some(record) = read("quota") {
                    quota.push(serde_json::from_value::<quota_check::Record>(record).expect("a record"));
                }
            }
        }
        quota.sort_by_key(|r| r.at);
        // A policy takes effect at one moment; each node logs it when it learns of it.
        quota.retain(|r| match &r.what {
            quota_check::Observation::Policy(p) => versions.insert(p.version),
            _ => true,
        });
        (policy, quota, log)
    }
}

/// Sends one request on a connection of its own; returns the response's status if it arrived within two
/// seconds.
fn ask_once(address: std::net::SocketAddr, words: &str) -> Option<u16> {
    use std::io::{Read, Write};
    let mut to = std::net::TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    to.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    to.write_all(words.as_bytes()).ok()?;
    let mut head = [0; 12];
    to.read_exact(&mut head).ok()?;
    std::str::from_utf8(&head[9..]).ok()?.parse().ok()
}

const QUOTA: &str = "[tenants.punjab-clubs]\nrate_per_s = 60.0\nburst = 60\n";

#[test]
fn a_change_takes_effect_everywhere_or_nowhere_while_nodes_are_killed_suspended_and_partitioned() {
    let mut fleet = Fleet::new("fleet-policy", 21, None);
    fleet.wait_ready(&ALL);
    for i in ALL {
        fleet.load(i, 0);
    }

    // Version 1: a quota over all seven nodes.
    fleet.write_policy(QUOTA);
    let first = fleet.wait_version(1, &ALL);

    // An invalid document is rejected by the node that watches it, with line and field, and changes nothing.
    fleet.write_policy(&QUOTA.replace("burst = 60", "burst = 60\ncost.refund = 2"));
    wait_until("the bad document is refused", || {
        fleet.node(6).logged("tenants.punjab-clubs.cost.refund: no such class")
    });

    // The same via the management address of another node, which would propose a valid document.
    let put = |body: &str| {
        let words = format!(
            "PUT /v1/fleet/policy HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        fleet.node(2).management_exchange(&words).expect("an answer")
    };
    let answer = put("[limits]\nattempts = 9\n");
    assert_eq!(answer.status(), 400);
    assert!(text(&answer.body).starts_with("line 2: limits.attempts: 9 is more"), "{}", text(&answer.body));

    // One learner is killed, one suspended, one partitioned: the change waits for their leases to expire and
    // takes effect without them.
    fleet.nodes[3].as_mut().expect("it runs").kill();
    fleet.node(4).pause(true);
    fleet.cut(5);
    fleet.write_policy(&QUOTA.replace("60.0", "80.0"));
    let second = fleet.wait_version(first + 1, &[0, 1, 2, 6]);

    // The suspended node resumes, the partitioned one is reachable again, the killed one restarts: none
    // serves before it has caught up.
    fleet.node(4).pause(false);
    fleet.heal();
    fleet.start(3);
    fleet.wait_version(second, &[3, 4, 5]);
    fleet.wait_ready(&ALL);
    fleet.load(3, 1);

    // A voter is killed with a change just written: its outcome is the same on all nodes, and the fleet goes
    // on.
    fleet.write_policy(&QUOTA.replace("60.0", "100.0"));
    fleet.nodes[0].as_mut().expect("it runs").kill();
    fleet.start(0);
    fleet.load(0, 1);
    fleet.wait_ready(&ALL);
    // Its document may have been accepted or not; a later one takes effect in any case, under the following
    // version.
    fleet.write_policy(&QUOTA.replace("60.0", "50.0"));
    fleet.wait_version(second + 1, &ALL);

    let state = || text(&fleet.node(4).management_call("GET", "/v1/fleet").body);
    wait_until("all seven hold a lease", || state().contains("7 members hold a lease"));
    assert!(state().contains("under version"), "{}", state());
    let served = fleet.end_load();
    assert!(served > 100, "{served} requests served: the records say little");
    let (policy, quota, log) = fleet.all_records();
    let decided = policy.iter().filter(|r| matches!(r.what, policy_check::Event::Decided { .. })).count();
    assert!(decided > 100, "{decided} decisions on record");
    assert_eq!(policy_check::check(&policy), []);
    assert_eq!(quota_check::check(&quota), []);
    assert_eq!(log_check::check(&log), []);
    assert!(log.len() > NODES, "{} entries on record", log.len());
    // Node 5 noticed the partition itself, not only a change that it received late.
    let lost = format!("version {first}, not ready");
    assert!(fleet.node(5).logged(&lost), "node 5 held its lease through the cut");
}

#[test]
fn a_node_that_serves_after_its_lease_is_found_by_the_checker() {
    let mut fleet = Fleet::new("fleet-planted", 22, Some((&[5], "serves-after-lease")));
    fleet.wait_ready(&ALL);
    // No quota: a partitioned node has little of one, and here it should answer many requests.
    fleet.write_policy("[retry]\nshare = 0.05\n");
    let first = fleet.wait_version(1, &ALL);
    for i in ALL {
        fleet.load(i, 0);
    }
    fleet.cut(5);
    fleet.write_policy("[retry]\nshare = 0.04\n");
    fleet.wait_version(first + 1, &[0, 1, 2, 3, 4, 6]);
    // Responses are sent under the new version while the faulty node goes on under the old one.
    let mut found = Vec::new();
    wait_until("the checker finds going back", || {
        found = policy_check::check(&fleet.all_records().0);
        found.iter().any(|breach| breach.rule == policy_check::Rule::NoGoingBack)
    });
    fleet.end_load();
    let (_, _, log) = fleet.all_records();
    assert_eq!(log_check::check(&log), [], "the log is not what is at fault");
}

/// Moves the demand from one node to another, repeatedly: each receives requests until it has served the
/// given number, for ten seconds at most.
fn move_demand(fleet: &mut Fleet, rate: f64, max_served: u64) -> Vec<quota_check::Violation> {
    fleet.wait_ready(&ALL);
    fleet.write_policy(&format!("[tenants.punjab-clubs]\nrate_per_s = {rate:.1}\nburst = 400\n"));
    fleet.wait_version(1, &ALL);
    for (round, node) in [1, 4, 2].into_iter().enumerate() {
        let before = fleet.served.load(Ordering::SeqCst);
        for client in 0..4 {
            fleet.load(node, (10 * round + client) as u64);
        }
        let start = Instant::now();
        while fleet.served.load(Ordering::SeqCst) < before + max_served
            && start.elapsed() < Duration::from_secs(10)
        {
            std::thread::sleep(Duration::from_millis(20));
        }
        fleet.end_load();
    }
    let (_, quota, _) = fleet.all_records();
    let admitted =
        quota.iter().filter(|r| matches!(r.what, quota_check::Observation::Admitted { .. })).count();
    assert!(admitted > 100, "{admitted} requests admitted: the records say little");
    quota_check::check(&quota)
}

#[test]
fn no_quota_is_exceeded_when_demand_moves_and_a_fleet_that_moves_tokens_with_it_is_found() {
    let mut sound = Fleet::new("fleet-quota", 23, None);
    assert_eq!(move_demand(&mut sound, 50.0, 100), []);
    let mut faulty = Fleet::new("fleet-quota-planted", 24, Some((&ALL, "level-moves")));
    // The rate is so low that even a busy machine spends the moved tokens before the quota could have
    // refilled.
    let found = move_demand(&mut faulty, 5.0, 250);
    let over =
        |fault: &quota_check::Violation| matches!(fault, quota_check::Violation::WindowExceeded { .. });
    assert!(found.iter().any(over), "the checker found nothing over: {found:?}");
}

#[test]
fn a_voter_whose_disk_is_full_says_so_and_the_fleet_decides_on_through_loss_and_a_one_way_link() {
    let mut fleet = Fleet::new("fleet-full", 25, None);
    fleet.wait_ready(&ALL);
    fleet.write_policy("[retry]\nshare = 0.05\n");
    let first = fleet.wait_version(1, &ALL);
    // A voter restarts under a limit of the file size that its log soon reaches.
    fleet.nodes[1].as_mut().expect("it runs").kill();
    fleet.limited = Some((1, "-f 8"));
    fleet.start(1);
    wait_until("the full disk is told", || fleet.node(1).logged("the store refuses: no space left"));
    // A tenth of the datagrams is lost, some are duplicated and delayed, and a link between two voters works
    // one way.
    fleet.datagrams.set_default_link(DatagramLink {
        drop_share: 0.1,
        duplicate_share: 0.1,
        delay: Duration::from_millis(5),
        cut: false,
    });
    fleet.datagrams.set_link(0, 2, DatagramLink { cut: true, ..DatagramLink::default() });
    let mut version = first;
    for share in [0.04, 0.03] {
        fleet.write_policy(&format!("[retry]\nshare = {share}\n"));
        version = fleet.wait_version(version + 1, &[0, 2, 3, 4, 5, 6]);
    }
    fleet.heal();
    let (policy, _, log) = fleet.all_records();
    assert_eq!(policy_check::check(&policy), []);
    assert_eq!(log_check::check(&log), []);
    assert!(fleet.nodes[1].as_mut().is_some_and(Node::running), "a full disk ended the node");
}
