//! The ledger of real nodes: repeated kills under load, and a comparison of the ledgers with the servers'
//! records.

mod peers;

use peers::{
    config, host, ledger_file, magpietally, request, run_with_args, text, unused_path, wait_until, Client,
    Node, Registry, Reply, ScriptedServer,
};
use serde_json::Value;

fn lines(bytes: &[u8]) -> Vec<Value> {
    text(bytes).lines().map(|l| serde_json::from_str(l).expect("an object")).collect()
}

/// A dozen SIGKILLs under load: no server ran a request that no ledger names, and none ran one twice.
/// `docs/measurements/ledger.sh` kills more than 200 times.
#[test]
fn nodes_killed_a_dozen_times_leave_ledgers_that_agree_with_the_servers() {
    let (kept, site) = (unused_path("kills"), unused_path("kills.toml"));
    let demo = text(&magpietally(&["site", "print", "demo"]).stdout);
    let without_faults = demo.split("[[faults]]").next().expect("what is before them");
    // Times scale with the run, from the demo's 20 s to 9 s.
    let kills: String = (0..12)
        .map(|n| {
            let at = 1.0 + 1.5 * f64::from(n);
            format!("[[faults]]\nkind = \"node_crash\"\npart = 0.5\nat_s = {at}\nfor_s = 0.6\n")
        })
        .collect();
    std::fs::write(&site, format!("{without_faults}{kills}")).expect("a file");
    let (kept, site) = (kept.display().to_string(), site.display().to_string());
    let out = magpietally(&[
        "demo",
        "--json",
        "--seconds",
        "9",
        "--rate",
        "150",
        "--site",
        &site,
        "--ledger",
        "process-crash",
        "--keep",
        &kept,
    ]);
    assert!(out.status.success(), "{}{}", text(&out.stdout), text(&out.stderr));
    let result = &lines(&out.stdout)[0];
    let starts: u64 =
        result["nodes"].as_array().expect("a list").iter().filter_map(|n| n["starts"].as_u64()).sum();
    assert_eq!(starts, 2 + 12, "each kill hit a node: {result}");
    let ledgers: Vec<String> = (0..2).map(|n| format!("{kept}/node-{n}-ledger")).collect();
    let boxes: Vec<String> = (0..6).map(|n| format!("{kept}/boxes/app-{n}.jsonl")).collect();
    let mut args = vec!["ledger", "reconcile", "--json"];
    args.extend(ledgers.iter().map(String::as_str));
    args.push("--boxes");
    args.extend(boxes.iter().map(String::as_str));
    let out = magpietally(&args);
    let records = lines(&out.stdout);
    let totals = records.last().unwrap_or_else(|| panic!("{}", text(&out.stderr)));
    let count = |name: &str| totals[name].as_u64().unwrap_or_else(|| panic!("{name}: {totals}"));
    assert_eq!(count("other_differences"), 0, "{records:?}");
    assert!(count("runs") > 100 && count("requests") >= count("runs"), "{totals}");
    assert_eq!(totals["damaged"], false);
    // Without one of the ledgers the requests that its node sent are reported as differences.
    let one = [&args[..3], &args[4..]].concat();
    let out = magpietally(&one);
    let totals = lines(&out.stdout).pop().expect("the sums");
    assert!(out.status.code() == Some(1) && totals["other_differences"].as_u64() > Some(50), "{totals}");
    for ledger in &ledgers {
        let out = magpietally(&["ledger", "verify", "--json", ledger]);
        assert_eq!(out.status.code(), Some(0), "{}", text(&out.stdout));
        // Intents that the servers' records settle are no longer open.
        let args: Vec<&str> = ["ledger", "settle", "--json", ledger, "--boxes"]
            .into_iter()
            .chain(boxes.iter().map(String::as_str))
            .collect();
        let settled = magpietally(&args);
        assert!(settled.status.success(), "{}", text(&settled.stderr));
        assert_eq!(text(&magpietally(&["ledger", "open", "--json", ledger]).stdout), "");
    }
}

/// A node is killed with a request of each class in progress. After its restart their outcomes are unknown:
/// an unsafe request is never sent again, and a keyed one only while all servers remember its key.
#[test]
fn after_a_kill_requests_in_progress_are_unknown_and_not_sent_again() {
    let kept = unused_path("unknown");
    let operators = ledger_file(&kept, "power-loss");
    let ledger = kept.join("ledger").display().to_string();
    let args = ["--operators", operators.as_str()];
    let silent = ScriptedServer::new(|_| Reply::NoResponse);
    let registry = Registry::new(&[host("one", silent.address, "active", 0)]);
    let mut node_config = config(registry.address);
    let class = &mut node_config["settings"]["Classes"][1];
    (class["DedupScope"], class["MemorySpan"]) = ("all".into(), 600_000.0.into());
    let mut node = Node::with_args(&node_config, &args);
    let mut clients = [Client::to(&node), Client::to(&node), Client::to(&node)];
    clients[0].send(&request("slip", "txn-1", 15_000));
    clients[1].send(&request("pay", "txn-2", 15_000));
    clients[2].send(&request("look", "txn-3", 15_000));
    wait_until("all are at the server", || silent.requests().len() >= 3);
    node.kill();
    let open = magpietally(&["ledger", "open", &ledger]);
    let open = text(&open.stdout);
    assert!(open.contains("slip txn-1 ") && open.contains("pay txn-2 ") && !open.contains("txn-3"), "{open}");
    assert!(open.ends_with("2 open\n"), "no finding: {open}");
    assert!(!open.contains("k1"), "keys are not written: {open}");

    let good = ScriptedServer::healthy("two");
    let registry = Registry::new(&[host("two", good.address, "active", 0)]);
    node_config["discovery"] = registry.address.to_string().into();
    let mut node = Node::with_args(&node_config, &args);
    let ask = |words: String| Client::to(&node).exchange(&words);
    wait_until("it has the list", || ask(request("look", "txn-0", 5000)).status() == 200);
    assert!(
        node.logged("2 intents of earlier lives are unknown") && node.logged("unknown: slip txn-1 at one")
    );
    let rejected = ask(request("slip", "txn-1", 5000));
    assert_eq!((rejected.status(), rejected.header("x-failed-because")), (502, Some("id-may-have-run")));
    assert_eq!(ask(request("slip", "txn-4", 5000)).status(), 200, "another one is none of its business");
    assert_eq!(ask(request("pay", "txn-5", 5000)).status(), 200, "all boxes know the key for one by now");
    let received = |id: &str| good.requests().iter().any(|m| m.header("x-txn") == Some(id));
    assert!(!received("txn-1") && received("txn-4") && received("txn-5"));
    let (code, words) = run_with_args(&node_config, &args);
    assert!(code == Some(1) && words.contains("lock: held by process"), "one node a directory: {words}");
    // An orderly exit, so that the records after the responses are written.
    node.terminate();
    assert_eq!(node.exit_code(), Some(0));
    node_config["name"] = "n1".into();
    let (code, words) = run_with_args(&node_config, &args);
    assert!(code == Some(1) && words.contains("this is the ledger of n0"), "a copy of another's: {words}");
    // Only some of the servers would know the key.
    (node_config["name"], node_config["settings"]["Classes"][1]["DedupScope"]) = ("n0".into(), "cell".into());
    let node = Node::with_args(&node_config, &args);
    let rejected = Client::to(&node).exchange(&request("pay", "txn-6", 5000));
    assert_eq!((rejected.status(), rejected.header("x-failed-because")), (502, Some("key-elsewhere")));

    let shown = text(&magpietally(&["ledger", "show", "--id", "txn-4", &ledger]).stdout);
    let words: Vec<&str> = shown.lines().filter_map(|l| l.split(' ').nth(2)).collect();
    assert_eq!(words, ["intent", "outcome", "answer"], "{shown}");
    let followed = text(&magpietally(&["ledger", "follow", "--json", "--seconds", "0", &ledger]).stdout);
    let exported = text(&magpietally(&["ledger", "export", &ledger]).stdout);
    assert_eq!(followed, exported, "who follows from the beginning sees what is there");
}

#[test]
fn invalid_use_of_the_ledger_commands_exits_with_two() {
    let none = unused_path("none");
    std::fs::create_dir_all(&none).expect("a directory");
    let none = none.display().to_string();
    let bad = format!("{none}/bad.jsonl");
    std::fs::write(&bad, "{\"box\": \"app-1\", \"id\": \"x\"}\n{\"box\": 3}\n").expect("a file");
    for (args, words) in [
        (&["ledger", "show", &none][..], "identity"),
        (&["ledger", "reconcile", &none], "--boxes"),
        (&["ledger", "reconcile", &none, "--boxes", &bad], "line 2"),
        (&["ledger", "follow", &none, "--seconds=-1"], "--seconds"),
        (&["node", "--operators", &bad], "line 1"),
    ] {
        let out = magpietally(args);
        assert_eq!(out.status.code(), Some(2), "{args:?}: {}", text(&out.stderr));
        assert!(text(&out.stderr).contains(words), "{args:?}: {}", text(&out.stderr));
    }
}
