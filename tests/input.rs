//! Bad input at the program's ports and files, and what is seen of it.

mod peers;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

use peers::*;
use serde_json::{json, Value};

/// A directory, a pipe that nobody writes to and a device without an end in the place of each file that is read at a start:
/// one line that names the file, an exit code, and no memory filled.
#[test]
fn what_stands_in_the_place_of_a_file_is_named() {
    let made = unused_path("in-place");
    std::fs::create_dir_all(&made).expect("a directory");
    let (made, fifo) = (made.display().to_string(), made.join("fifo").display().to_string());
    make_fifo(&fifo);
    let good = format!("{made}/config.json");
    let told = config("127.0.0.1:1".parse().expect("an address"));
    std::fs::write(&good, told.to_string()).expect("a file");
    for odd in [made.as_str(), &fifo, "/dev/zero"] {
        for (args, config, code) in
            [(&["node"][..], odd, 1), (&["node", "--operators", odd], good.as_str(), 2)]
        {
            let (ended, words) = run_with_memory_limit(args, config);
            assert_eq!(ended, Some(code), "{args:?} {config}: {words}");
            assert!(words.contains(odd) && words.lines().count() == 1, "{args:?} {config}: {words}");
        }
    }
    // What people give a command may be a pipe.
    for odd in [made.as_str(), "/dev/zero"] {
        for args in [
            &["site", "check", odd][..],
            &["experiment", odd],
            &["boxes", "check", odd],
            &["boxes", "sum", odd],
            &["ledger", "reconcile", &made, "--boxes", odd],
        ] {
            let (ended, words) = run_with_memory_limit(args, &good);
            assert_eq!(ended, Some(2), "{args:?}: {words}");
            assert!(words.contains(odd) && words.lines().count() == 1, "{args:?}: {words}");
        }
    }
}

/// The same at a reload: the node goes on by what it has.
#[test]
fn a_pipe_in_the_place_of_the_configuration_holds_up_no_request() {
    let server = ScriptedServer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let told = config(registry.address);
    let mut node = Node::ready(&told);
    node.reload_from(make_fifo);
    wait_until("the node says so", || node.logged("not a file; the old configuration stays"));
    for odd in ["{", "[[[[[[[[[[[[[[[[[[[[[[[[[[", "\u{0}"] {
        node.reload(odd);
        assert_eq!(Client::to(&node).exchange(&request("look", "t1", 15_000)).status(), 200);
    }
    node.reload(&"[".repeat(100_000));
    wait_until("the node says so, too", || node.logged("not JSON: recursion limit exceeded"));
    node.terminate();
    assert_eq!(node.exit_code(), Some(0));
}

/// Settings whose numbers make no sense end the start with one line that names the file and the field.
#[test]
fn numbers_that_make_no_sense_are_named() {
    let good = config("127.0.0.1:1".parse().expect("an address"));
    type Spoil = fn(&mut Value);
    let cases: [(&str, Spoil); 14] = [
        ("settings.Limits.OpenCap", |c| c["settings"]["Limits"]["OpenCap"] = json!(-1)),
        ("settings.Limits.OpenCap", |c| c["settings"]["Limits"]["OpenCap"] = json!(0)),
        ("settings.Limits.Keepalive", |c| c["settings"]["Limits"]["Keepalive"] = json!(-1.0)),
        ("settings.Classes[1].Deadline", |c| c["settings"]["Classes"][1]["Deadline"] = json!(-5)),
        ("settings.PeersTotal", |c| c["settings"]["PeersTotal"] = json!(-3)),
        ("settings.PeersTotal", |c| c["settings"]["PeersTotal"] = json!(u64::MAX)),
        ("settings.Limits.AttemptsCap", |c| c["settings"]["Limits"]["AttemptsCap"] = json!(1.5)),
        ("settings.Me: 1000000000000000000: own number", |c| c["settings"]["Me"] = json!(1e18)),
        ("settings.Contract.ColdShare", |c| c["settings"]["Contract"]["ColdShare"] = json!(7)),
        ("settings.Limits.ConnectTimeout", |c| c["settings"]["Limits"]["ConnectTimeout"] = json!(-0.5)),
        ("settings.Classes[0].Slo", |c| c["settings"]["Classes"][0]["Slo"] = json!(0)),
        ("limits.sockets", |c| c["limits"]["sockets"] = json!(3)),
        ("limits.memory_mb", |c| c["limits"]["memory_mb"] = json!(-64)),
        ("not JSON: number out of range", |c| c["seed"] = json!("WEIGHT")),
    ];
    for (words, spoil) in cases {
        let mut config = good.clone();
        spoil(&mut config);
        let text = config.to_string().replace("\"WEIGHT\"", "1e999");
        let file = unused_path("numbers.json").display().to_string();
        std::fs::write(&file, text).expect("a file");
        let (code, told) = run_with_memory_limit(&["node"], &file);
        assert_eq!(code, Some(1), "{words}: {told}");
        let begins = format!("magpietally: BALANCER_CONFIG: {file}: {words}");
        assert!(told.starts_with(&begins) && told.lines().count() == 1, "{words}: {told}");
    }
}

/// Lines of discovery that can't be right change nothing: the list stays, and the whole is asked for.
#[test]
fn lines_of_discovery_that_can_not_be_right_change_nothing() {
    let server = ScriptedServer::healthy("a");
    let hosts = [host("s0", server.address, "active", 1)];
    let registry = Registry::new(&hosts);
    let node = Node::ready(&config(registry.address));
    let spoilt = |from: &str, to: &str| line(2, true, &hosts).replace(from, to);
    let lines = [
        spoilt("\"active\"", "\"resting\""),
        spoilt("\"share\":1.0", "\"share\":1e999"),
        spoilt("\"share\":1.0", "\"share\":NaN"),
        spoilt("\"seq\":2", "\"seq\":-2"),
        spoilt("\"seq\":2", "\"seq\":2.5"),
        spoilt("\"dial\"", "\"dail\""),
        spoilt(&server.address.to_string(), "nowhere:80"),
        "[".repeat(50_000),
        format!("\"{}\"", "x".repeat(5 << 20)),
    ];
    for (n, line) in lines.iter().enumerate() {
        let watches = registry.watches();
        registry.push_line(line);
        wait_until("the node watches anew", || registry.watches() > watches);
        let whole = registry.calls().iter().filter(|c| *c == "/v1/endpoints").count();
        assert!(whole > n, "line {n}: the whole list is asked for");
        assert_eq!(Client::to(&node).exchange(&request("look", "t1", 15_000)).status(), 200, "line {n}");
    }
}

/// Lists that are odd and legal: weights of any size, a server named twice, one that was never there, thousands at once,
/// none at all. Requests go on, or are refused at once while there is nobody.
#[test]
fn odd_lists_are_served_by() {
    let (a, b) = (ScriptedServer::healthy("a"), ScriptedServer::healthy("b"));
    let hosts = [host("s0", a.address, "active", 1), host("s1", b.address, "active", 1)];
    let registry = Registry::new(&hosts);
    let node = Node::ready(&config(registry.address));
    let mut seq = 10;
    let mut tell = |hosts: &[Value], changes: &[Value]| {
        seq += 1;
        registry.publish(seq, hosts, changes);
    };
    let mut client = Client::to(&node);
    let mut ask = move || client.exchange(&request("look", "t1", 15_000));
    for weight in [json!(0), json!(-4.0), json!(1e-300), json!(1e300), json!(1e18)] {
        let mut odd = hosts.clone();
        odd[0]["share"] = weight.clone();
        tell(&odd, &odd);
        assert!((0..10).all(|_| ask().status() == 200), "{weight}");
    }
    tell(&hosts, &hosts);
    tell(&hosts, &[host("never", "127.0.0.1:9".parse().expect("an address"), "left", 1)]);
    // A restart told in one line: what is said last holds.
    tell(&hosts, &[host("s0", a.address, "left", 1), host("s0", a.address, "active", 1)]);
    tell(&hosts[..1], &[host("s1", b.address, "left", 1)]);
    wait_until("s1 is gone and s0 is back", || (0..4).all(|_| ask().body == b"a"));
    let many: Vec<Value> = (0..3000).map(|n| host(&format!("t{n}"), b.address, "active", 1)).collect();
    tell(&many, &many);
    tell(&many, &[host("s0", a.address, "left", 1)]);
    wait_until("thousands are served by", || (0..4).all(|_| ask().body == b"b"));
    let gone: Vec<Value> = (0..3000).map(|n| host(&format!("t{n}"), b.address, "left", 1)).collect();
    tell(&[], &gone);
    wait_until("nobody is left", || ask().status() == 503);
    assert!(ask().header("retry-after").is_some());
    tell(&hosts, &hosts);
    wait_until("both are back", || ask().status() == 200);
}

/// Changes of an older version come late, or from a source that has lost its place: a server that drains since gets nothing
/// on the strength of them.
#[test]
fn changes_of_an_older_version_bring_no_drained_server_back() {
    let (a, b) = (ScriptedServer::healthy("a"), ScriptedServer::healthy("b"));
    let (up, drains) = (host("s0", a.address, "active", 1), host("s0", a.address, "leaving", 1));
    let other = host("s1", b.address, "active", 1);
    let registry = Registry::new(&[up.clone(), other.clone()]);
    let node = Node::ready(&config(registry.address));
    let mut client = Client::to(&node);
    let mut ask = move || client.exchange(&request("look", "t1", 15_000)).body;
    registry.publish(7, &[drains.clone(), other], &[drains]);
    wait_until("the drain is known", || (0..4).all(|_| ask() == b"b"));
    registry.push_line(&line(3, false, &[up]));
    wait_until("the node says so", || node.logged("seq: 3 after 7"));
    assert!((0..10).all(|_| ask() == b"b"));
    wait_until("the whole list is asked for", || registry.calls().iter().any(|c| c == "/v1/endpoints"));
    assert!((0..10).all(|_| ask() == b"b"));
}

/// Bytes that never make a line are no sign of life: what has to be told waits behind them.
#[test]
fn a_watch_that_trickles_without_a_line_is_given_up() {
    let server = ScriptedServer::healthy("a");
    let source = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = source.local_addr().expect("bound");
    let list = line(1, true, &[host("s0", server.address, "active", 1)]);
    let (again, calls) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for stream in source.incoming().flatten() {
            let (list, again) = (list.clone(), again.clone());
            std::thread::spawn(move || -> std::io::Result<()> {
                let mut stream = stream;
                let _ = stream.read(&mut [0; 4096])?;
                // Nobody counts any more once the test is over.
                let _ = again.send(());
                write!(stream, "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")?;
                write!(stream, "{:x}\r\n{list}\n\r\n", list.len() + 1)?;
                loop {
                    std::thread::sleep(Duration::from_millis(100));
                    stream.write_all(b"1\r\n{\r\n")?;
                }
            });
        }
    });
    let node = Node::ready(&config(at));
    calls.recv_timeout(WAIT_TIMEOUT).expect("the first call");
    calls.recv_timeout(WAIT_TIMEOUT).expect("a second call");
    assert_eq!(Client::to(&node).exchange(&request("look", "t1", 15_000)).status(), 200);
}

/// Requests whose numbers or repeated headers make no sense are answered at once and reach no server; one whose time is over
/// is refused at once.
#[test]
fn odd_numbers_and_headers_of_clients_reach_no_server() {
    let server = ScriptedServer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let good = request("pay", "t1", 15_000);
    let time = |words: &str| good.replace("X-Remaining-Ms: 15000", &format!("X-Remaining-Ms: {words}"));
    let header = |words: &str| good.replace("X-Txn: t1", &format!("X-Txn: t1\r\n{words}"));
    let cases = [
        (400, time("1.5")),
        (400, time("1e3")),
        (400, time("+5")),
        (400, time("0x10")),
        (400, time("99999999999999999999")),
        (400, time("5\r\nX-Remaining-Ms: 6")),
        (400, time("")),
        (400, header("Idempotency-Key: k2")),
        (400, good.replace("X-Txn: t1", &format!("X-Txn: {}", "t".repeat(257)))),
        (400, good.replace("Content-Length: 4", "Content-Length: -4")),
        (400, good.replace("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5")),
        (400, good.replace("Content-Length: 4", "Content-Length: 99999999999999999999999")),
        (431, header(&format!("X-Long: {}", "x".repeat(500_000)))),
        (503, time("0")),
    ];
    for (status, words) in cases {
        assert_eq!(Client::to(&node).exchange(&words).status(), status, "{}", &words[..200.min(words.len())]);
    }
    assert!(server.requests().is_empty(), "{:?}", server.requests());
    assert_eq!(
        Client::to(&node).exchange(&header("X-Org: a\r\nX-Org: b")).status(),
        200,
        "a tenant is no matter"
    );
    // However long a client says it waits.
    assert_eq!(Client::to(&node).exchange(&time("18446744073709551615")).status(), 200);
}

/// A server that never comes to the point: 1xx without end, a head without end, an answer in single bytes. The request ends
/// by its time, and the node holds none of it.
#[test]
fn answers_that_never_come_to_the_point_end_with_their_time() {
    type Write1 = fn(&mut std::net::TcpStream, usize) -> std::io::Result<()>;
    let ways: [(&str, Write1); 3] = [
        ("1xx", |to, _| to.write_all(&b"HTTP/1.1 103 X\r\nA: b\r\n\r\n".repeat(50))),
        ("head", |to, n| to.write_all(if n == 0 { "HTTP/1.1 200 X\r\n" } else { "A: b\r\n" }.as_bytes())),
        ("body", |to, n| {
            to.write_all(
                if n == 0 { "HTTP/1.1 200 X\r\nContent-Length: 60000\r\n\r\n" } else { "x" }.as_bytes(),
            )
        }),
    ];
    for (what, way) in ways {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("bound");
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                std::thread::spawn(move || {
                    let _ = stream.read(&mut [0; 4096]);
                    // Ends with the node's connection, or by itself.
                    for n in 0..20_000 {
                        if way(&mut stream, n).is_err() {
                            return;
                        }
                        std::thread::sleep(Duration::from_millis(2));
                    }
                });
            }
        });
        let mut told = config(Registry::new(&[host("s0", at, "active", 1)]).address);
        told["settings"]["Limits"]["Probes"] = json!(false);
        let node = Node::ready(&told);
        let heard = Client::to(&node).exchange(&request("slip", "t1", 1200));
        assert!([502, 504].contains(&heard.status()), "{what}: {}", heard.head);
        assert!(node.memory_kib() < 64 << 10, "{what}: {} KiB", node.memory_kib());
    }
}
