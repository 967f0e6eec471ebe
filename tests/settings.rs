//! The program under the settings of another deployment, under invalid settings, and under changes while it
//! runs.

mod peers;

use peers::*;
use serde_json::{json, Value};

/// A field that is missing or has the wrong type or value (numbers aside) is reported in one line that names
/// the file and the field.
#[test]
fn missing_and_invalid_fields_are_named() {
    let good = config("127.0.0.1:1".parse().expect("an address"));
    let without = |pointer: &str| {
        let mut config = good.clone();
        let (parent, key) = pointer.rsplit_once('/').expect("a path");
        config.pointer_mut(parent).expect("it is there").as_object_mut().expect("an object").remove(key);
        config
    };
    let with = |pointer: &str, to: Value| {
        let mut config = good.clone();
        *config.pointer_mut(pointer).expect("it is there") = to;
        config
    };
    let named = |name: &str| with("/settings/Classes/1/Name", json!(name));
    let of = |name: &str| with("/settings/Customers", json!([{"Name": name, "QuotaPerS": 1.0}]));
    let cases = [
        (json!([]), "object expected"),
        (json!("x"), "object expected"),
        (without("/name"), "name is missing"),
        (with("/name", json!(7)), "name: text expected"),
        (without("/listen"), "listen is missing"),
        (with("/listen", json!("here")), "listen: IP address and port expected, not \"here\""),
        (with("/discovery", Value::Null), "discovery is missing"),
        (with("/discovery", json!({})), "discovery: text expected"),
        (without("/seed"), "seed is missing"),
        (with("/seed", json!("0x1")), "seed: hex digits expected, not \"0x1\""),
        (with("/limits", json!([1])), "limits: object expected"),
        (with("/limits/sockets", json!("256")), "limits.sockets: whole number expected"),
        (with("/known", json!({"seq": 1, "whole": true})), "known: missing field `hosts`"),
        (without("/settings"), "settings is missing"),
        (with("/settings", json!("none")), "settings: object expected"),
        (without("/settings/Limits"), "settings.Limits is missing"),
        (without("/settings/Contract/Fall"), "settings.Contract.Fall is missing"),
        (without("/settings/Classes/2/Slo"), "settings.Classes[2].Slo is missing"),
        (with("/settings/Classes/2", json!(1)), "settings.Classes[2]: object expected"),
        (with("/settings/Weights", json!("heavy")), "settings.Weights: heavy is unknown"),
        (
            with("/settings/Classes/1/Idempotency", json!("twice")),
            "settings.Classes[1].Idempotency: twice is unknown",
        ),
        (named("look"), "settings.Classes[1].Name: look comes twice"),
        (named(""), "settings.Classes[1].Name: empty"),
        (named("a/b"), "settings.Classes[1].Name: \"a/b\" can't be a part of a path"),
        (named("a?b"), "settings.Classes[1].Name: \"a?b\" can't be a part of a path"),
        (named("a b"), "settings.Classes[1].Name: \"a b\" can't be a part of a path"),
        (named("zahlung-ü"), "settings.Classes[1].Name: \"zahlung-ü\" can't be a part of a path"),
        (named(".."), "settings.Classes[1].Name: \"..\" can't be a part of a path"),
        (of("a\nb"), "settings.Customers[0].Name: \"a\\nb\" can't be the value of a header"),
        (of(" a"), "settings.Customers[0].Name: \" a\" can't be the value of a header"),
    ];
    for (config, expected) in cases {
        let file = unused_path("kinds.json").display().to_string();
        std::fs::write(&file, config.to_string()).expect("a file");
        let (code, stderr) = run_with_memory_limit(&["node"], &file);
        assert_eq!(code, Some(1), "{expected}: {stderr}");
        let prefix = format!("magpietally: BALANCER_CONFIG: {file}: {expected}");
        assert!(stderr.starts_with(&prefix) && stderr.lines().count() == 1, "{expected}: {stderr}");
    }
}

/// A deployment with other classes: the methods that each of the five accepts follow from its effect alone.
#[test]
fn classes_of_another_deployment_are_served_by_their_effects() {
    let server = ScriptedServer::healthy("done");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut config = config(registry.address);
    let class = |name: &str, effect: &str, n: f64| {
        json!({"Name": name, "Idempotency": effect, "DedupScope": "cell", "MemorySpan": 450.0 + n, "Slo": 2000.0 + n,
            "Deadline": 20000.0 + n, "Value": n, "LateValue": 0.0})
    };
    config["settings"]["Classes"] = json!([
        class("trace", "pure", 1.0),
        class("quote.v2~x", "pure", 2.0),
        class("hand-in", "side_effect", 4.0),
        class("pay:duty", "token", 9.0),
        class("look", "side_effect", 3.0)
    ]);
    config["settings"]["Customers"] = json!([{"Name": "heron freight & co", "QuotaPerS": 5.0, "Share": 1.0}]);
    let node = Node::ready(&config);
    let ask = |method: &str, class: &str, key: &str| {
        let text = format!(
            "{method} /{class}/7 HTTP/1.1\r\nHost: x\r\nX-Txn: {method}{class}\r\nX-Remaining-Ms: 15000\r\n\
             X-Org: heron freight & co\r\n{key}Content-Length: 0\r\n\r\n"
        );
        Client::to(&node).exchange(&text).status()
    };
    let key = "Idempotency-Key: k1\r\n";
    for (class, effect) in
        [("trace", 's'), ("quote.v2~x", 's'), ("hand-in", 'u'), ("pay:duty", 'k'), ("look", 'u')]
    {
        let statuses = if effect == 's' { (200, 400) } else { (400, 200) };
        assert_eq!((ask("GET", class, key), ask("POST", class, key)), statuses, "{class}");
        if effect == 'k' {
            assert_eq!(ask("POST", class, ""), 400, "{class} without its key");
        }
    }
    assert_eq!(ask("GET", "lookup", ""), 404, "no class of this site");
}

/// A reload applies a new discovery address. Any other change is named in the log and takes effect at the
/// next start.
#[test]
fn a_reload_applies_discovery_and_logs_other_changes() {
    let (a, b) = (ScriptedServer::healthy("a"), ScriptedServer::healthy("b"));
    let list = |at| [host("s0", at, "active", 1)];
    let (old, new) = (Registry::new(&list(a.address)), Registry::new(&list(b.address)));
    let node_config = config(old.address);
    let mut node = Node::ready(&node_config);
    let ask = |node: &Node, class: &str, id: &str| Client::to(node).exchange(&request(class, id, 15_000));
    assert_eq!(ask(&node, "look", "t1").body, b"a");
    let mut other = config(new.address);
    other["settings"]["Classes"][0]["Name"] = json!("glance");
    other["settings"]["Classes"][1]["Idempotency"] = json!("pure");
    other["settings"]["Limits"]["Keepalive"] = json!(1.0);
    node.reload(&other.to_string());
    wait_until("it says so", || node.logged("settings.Classes[0].Name is another in the file"));
    wait_until("discovery has moved", || ask(&node, "look", "t2").body == b"b");
    assert_eq!(ask(&node, "glance", "t3").status(), 404, "the classes are those of the start");
    assert_eq!(ask(&node, "pay", "t4").status(), 200, "and their effects");
    // Fields used only at a start, and discovery itself, do not count as changes.
    let mut same = config(old.address);
    (same["seed"], same["known"]) = (json!("77"), json!({"seq": 9, "whole": true, "hosts": []}));
    (same["limits"]["sockets"], same["limits"]["memory_mb"]) = (json!(256), json!(192));
    node.reload(&same.to_string());
    wait_until("discovery has moved back", || ask(&node, "look", "t5").body == b"a");
    same["limits"]["sockets"] = json!(300);
    node.reload(&same.to_string());
    wait_until("it says so", || node.logged("limits.sockets is another in the file"));
    assert!(!node.logged("seed is another") && !node.logged("known is another"));
    // An invalid configuration changes nothing, not even discovery's address.
    let mut bad = other.clone();
    bad["settings"]["Classes"][0]["Slo"] = json!(-1.0);
    node.reload(&bad.to_string());
    wait_until("it says so", || {
        node.logged("settings.Classes[0].Slo: -1: must be above 0; the old configuration stays")
    });
    assert_eq!(ask(&node, "look", "t6").body, b"a");
    node.terminate();
    assert_eq!(node.exit_code(), Some(0));
}

/// A client that claims ten minutes of remaining time, followed by a rejection, must not make the node treat
/// all other requests of the class as retries and reject them.
#[test]
fn a_client_that_claims_more_time_than_its_class_allows_gets_no_others_rejected() {
    let server = ScriptedServer::healthy("done");
    let hosts = [host("s0", server.address, "active", 1)];
    let registry = Registry::new(&hosts);
    let mut node_config = config(registry.address);
    let class = &mut node_config["settings"]["Classes"][2];
    (class["LateValue"], class["Slo"], class["Deadline"]) = (json!(0.0), json!(4000.0), json!(20_000.0));
    let node = Node::ready(&node_config);
    let ask = |id: &str, left| Client::to(&node).exchange(&request("slip", id, left)).status();
    assert_eq!(ask("claims", 600_000), 200);
    registry.publish(2, &[], &[host("s0", server.address, "left", 1)]);
    wait_until("nobody is left, and one is refused", || ask("refused", 20_000) == 503);
    registry.publish(3, &hosts, &hosts);
    wait_until("it is back", || Client::to(&node).exchange(&request("look", "look", 15_000)).status() == 200);
    assert_eq!(ask("ordinary", 19_500), 200);
}
