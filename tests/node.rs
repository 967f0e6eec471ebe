//! One node between scripted clients, servers and discovery on loopback sockets.

mod peers;

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use peers::*;
use serde_json::{json, Value};

/// Two servers that reply to the first attempt of each request with `first` and serve later attempts.
fn servers_with_first_reply(
    first: impl Fn() -> Reply + Send + Sync + Clone + 'static,
) -> [ScriptedServer; 2] {
    let tried = std::sync::Arc::new(Mutex::new(BTreeSet::new()));
    [(); 2].map(|()| {
        let (tried, first) = (tried.clone(), first.clone());
        ScriptedServer::new(move |m| {
            let txn = m.header("x-txn").unwrap_or_default().to_string();
            if m.path() != "/health" && tried.lock().expect("no panic").insert(txn) {
                first()
            } else {
                Reply::Respond(response(200, "", "served"))
            }
        })
    })
}

/// Sends one request of a class; returns the response's status and the number of attempts that reached
/// servers.
fn status_and_attempts(
    class: &str,
    cells: [u64; 2],
    first: impl Fn() -> Reply + Send + Sync + Clone + 'static,
) -> (u16, usize) {
    let first_proves_it_never_ran = matches!(first(), Reply::Respond(bytes) if bytes.windows(13).any(|w| w == b"X-Turned-Away")
        && !bytes.starts_with(b"HTTP/1.1 404"));
    let servers = servers_with_first_reply(first);
    let hosts: Vec<Value> =
        (0..2).map(|n| host(&format!("s{n}"), servers[n].address, "active", cells[n])).collect();
    let registry = Registry::new(&hosts);
    let node = Node::ready(&config(registry.address));
    let received = Client::to(&node).exchange(&request(class, "t1", 15_000));
    if received.status() == 200 {
        assert_eq!(received.body, b"served");
    }
    let seen = servers.each_ref().map(|s| s.requests().len());
    if class == "pay" && cells[0] != cells[1] && !matches!(seen, [0, _] | [_, 0]) {
        assert!(first_proves_it_never_ran, "a keyed request left its cell: {seen:?}");
    }
    (received.status(), seen.iter().sum())
}

/// An outcome that proves that the request never ran is retried in every class; any other only if a retry
/// does no harm.
#[test]
fn requests_that_may_have_run_are_retried_only_if_a_retry_is_harmless() {
    let away = "X-Turned-Away: 1\r\n";
    let may_have_run: [fn() -> Reply; 9] = [
        || Reply::Respond(response(500, "", "")),
        || Reply::Respond(response(503, "", "")),
        || Reply::Respond(response(404, "X-Turned-Away: 1\r\n", "")),
        || Reply::RespondAndClose(Vec::new()),
        || Reply::RespondAndClose(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\ncut".to_vec()),
        || Reply::RespondAndClose(b"HTP/banana\r\n\r\n".to_vec()),
        // Delimited by the close alone: cannot be told from a truncated response.
        || Reply::RespondAndClose(b"HTTP/1.1 200 OK\r\n\r\nspoilt".to_vec()),
        || {
            Reply::Respond(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 6\r\n\r\n6\r\nspoilt\r\n0\r\n\r\n"
                .to_vec(),
        )
        },
        || {
            Reply::Respond(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n".to_vec(),
            )
        },
    ];
    for (n, first) in may_have_run.into_iter().enumerate() {
        assert_eq!(status_and_attempts("look", [1, 1], first), (200, 2), "safe, case {n}");
        assert_eq!(status_and_attempts("pay", [1, 1], first), (200, 2), "keyed, one cell, case {n}");
        // The only server of its cell receives the retry itself; no server of another cell may.
        assert_eq!(status_and_attempts("pay", [1, 2], first), (200, 2), "keyed, two cells, case {n}");
        assert_eq!(status_and_attempts("slip", [1, 1], first), (502, 1), "unsafe, case {n}");
    }
    for status in [503, 504] {
        for class in ["look", "pay", "slip"] {
            let first = move || Reply::Respond(response(status, away, ""));
            assert_eq!(
                status_and_attempts(class, [1, 2], first),
                (200, 2),
                "{class} turned away with {status}"
            );
        }
    }
}

/// A request whose connection was refused never ran: it goes to the other server, even if unsafe.
#[test]
fn a_refused_connection_fails_no_request() {
    let (_refuses, dead) = refusing_address();
    let good = ScriptedServer::healthy("good");
    let registry = Registry::new(&[host("s0", dead, "active", 1), host("s1", good.address, "active", 2)]);
    let node = Node::ready(&config(registry.address));
    let mut client = Client::to(&node);
    for n in 0..4 {
        assert_eq!(client.exchange(&request("slip", &format!("t{n}"), 15_000)).status(), 200);
    }
    assert_eq!(good.requests().len(), 4);
}

/// Requests and responses are forwarded unchanged, and each request on a kept connection gets one response.
#[test]
fn bytes_are_forwarded_unchanged_and_each_request_has_one_response() {
    let server = ScriptedServer::new(|m| {
        Reply::Respond(response(200, "", &format!("for {}", m.header("x-txn").unwrap_or("?"))))
    });
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let mut client = Client::to(&node);
    for n in 0..5 {
        let_connection_idle();
        let received = client.exchange(&request("pay", &format!("t{n}"), 15_000));
        assert_eq!((received.status(), received.body), (200, format!("for t{n}").into_bytes()));
    }
    let seen = server.requests();
    assert_eq!(seen.len(), 5);
    for (n, m) in seen.iter().enumerate() {
        assert!(m.head.starts_with("POST /pay/7?q=a%20b HTTP/1.1\r\n"), "{}", m.head);
        assert_eq!(m.header("x-txn"), Some(format!("t{n}").as_str()));
        assert_eq!(m.header("idempotency-key"), Some("k1"));
        assert_eq!(m.body, b"work");
        let left: u64 = m.header("x-remaining-ms").and_then(|v| v.parse().ok()).expect("the time left");
        assert!((1..15_000).contains(&left), "{left}");
    }
    // All use one connection: the most recently used idle one.
    assert!(seen.iter().all(|m| m.conn == seen[0].conn));
}

/// If a server never responds, the client gets a response at its deadline, with a status other than a
/// rejection's.
#[test]
fn a_silent_server_does_not_delay_the_response_past_the_deadline() {
    let server = ScriptedServer::new(|_| Reply::NoResponse);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let sent = Instant::now();
    let received = Client::to(&node).exchange(&request("slip", "t1", 1500));
    assert!(sent.elapsed() < Duration::from_millis(4000), "{:?}", sent.elapsed());
    assert_eq!(received.status(), 502);
    assert_eq!(server.requests().len(), 1);
    wait_until("the attempt's connection is closed", || server.open_connections() == 0);
}

/// A rejection is sent at once and says when to retry.
#[test]
fn a_rejection_says_when_to_retry() {
    let registry = Registry::new(&[]);
    let node = Node::ready(&config(registry.address));
    let received = Client::to(&node).exchange(&request("slip", "t1", 15_000));
    assert_eq!(received.status(), 503);
    let span: f64 = received.header("retry-after").and_then(|v| v.parse().ok()).expect("a span");
    assert!(span > 0.0 && span <= 2.0, "{span}");
}

/// From the discovery line that announces it, a server that drains or is gone receives no new requests.
#[test]
fn a_drain_takes_effect_with_the_line_that_announces_it() {
    let (a, b) = (ScriptedServer::healthy("a"), ScriptedServer::healthy("b"));
    let (at_a, at_b) = (a.address, b.address);
    let both = [host("s0", at_a, "active", 1), host("s1", at_b, "active", 1)];
    for health in ["leaving", "left"] {
        let registry = Registry::new(&both);
        let node = Node::ready(&config(registry.address));
        let mut client = Client::to(&node);
        let mut ask = |n: usize| {
            let received = client.exchange(&request("look", &format!("t{n}"), 15_000));
            assert_eq!(received.status(), 200);
            received.body
        };
        let first: BTreeSet<Vec<u8>> = (0..4).map(&mut ask).collect();
        assert_eq!(first.len(), 2, "both have turns");
        registry.publish(2, &both[1..], &[host("s0", at_a, health, 1)]);
        // The line has been read once the rotation stops using both.
        wait_until("the drain is known", || ask(0) == b"b" && ask(0) == b"b");
        assert!((0..10).all(|n| ask(n) == b"b"));
    }
}

/// An attempt that waits for its connection is not written to a server that starts to drain meanwhile.
#[test]
fn a_drain_applies_to_attempts_that_wait_for_a_connection() {
    let (full, fillers) = full_listener();
    let at_full = full.local_addr().expect("bound");
    let registry = Registry::new(&[host("s0", at_full, "active", 1)]);
    let mut config = config(registry.address);
    config["settings"]["Limits"]["ConnectTimeout"] = json!(50_000.0);
    config["settings"]["Classes"][2]["Slo"] = json!(60_000.0);
    // The requests that poll for the new list give up soon.
    config["settings"]["Classes"][0]["Slo"] = json!(800.0);
    let node = Node::ready(&config);
    let mut client = Client::to(&node);
    client.send(&request("slip", "t1", 60_000));
    std::thread::sleep(Duration::from_millis(300));
    let good = ScriptedServer::healthy("good");
    let hosts = [host("s1", good.address, "active", 1)];
    registry.publish(2, &hosts, &[host("s0", at_full, "left", 1), hosts[0].clone()]);
    // The list is known once other requests are served by the new server.
    wait_until("the list is known", || {
        Client::to(&node).exchange(&request("look", "t2", 500)).status() == 200
    });
    drop(fillers);
    let late = ScriptedServer::on_listener(full, |_| Reply::Respond(response(200, "", "late")));
    assert_eq!(client.receive().expect("an answer").body, b"good");
    assert!(late.requests().is_empty(), "{:?}", late.requests());
}

/// While discovery is down the list is kept, and calls are made with pauses between them; once it is back,
/// its updates apply.
#[test]
fn the_list_survives_an_outage_of_discovery() {
    let (a, b) = (ScriptedServer::healthy("a"), ScriptedServer::healthy("b"));
    let registry = Registry::new(&[host("s0", a.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    registry.set_down(true);
    wait_until("the node calls again", || registry.calls().len() >= 2);
    let (calls, start) = (registry.calls().len(), Instant::now());
    while start.elapsed() < Duration::from_secs(3) {
        assert_eq!(Client::to(&node).exchange(&request("look", "t1", 15_000)).body, b"a");
        std::thread::sleep(Duration::from_millis(50));
    }
    let retries = registry.calls().len() - calls;
    // Each call is followed by a pause of at least 200 ms.
    let max_retries = 2 + start.elapsed().as_millis() as usize / 200;
    assert!(retries <= max_retries, "{retries} calls in 3 s, at most {max_retries} expected");
    let hosts = [host("s1", b.address, "active", 1)];
    registry.publish(9, &hosts, &[]);
    registry.set_down(false);
    wait_until("the new list counts", || {
        let received = Client::to(&node).exchange(&request("look", "t2", 15_000));
        received.body == b"b"
    });
}

/// A malformed line is dropped, and the full list is requested.
#[test]
fn a_malformed_line_makes_the_node_request_the_full_list() {
    let (a, b) = (ScriptedServer::healthy("a"), ScriptedServer::healthy("b"));
    let registry = Registry::new(&[host("s0", a.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    registry.publish(2, &[host("s1", b.address, "active", 1)], &[]);
    registry.push_line("{\"seq\":3,\"whole\":false,\"hosts\":[{\"host\":7}]}");
    wait_until("the whole list is asked for", || registry.calls().iter().any(|c| c == "/v1/endpoints"));
    wait_until("it counts", || Client::to(&node).exchange(&request("look", "t1", 15_000)).body == b"b");
    assert!(node.logged("unreadable"));
}

/// The attempts of a client that disconnects are cancelled.
#[test]
fn a_client_that_disconnects_cancels_its_attempt() {
    let server = ScriptedServer::new(|_| Reply::NoResponse);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let mut client = Client::to(&node);
    client.send(&request("slip", "t1", 20_000));
    wait_until("the attempt is out", || server.requests().len() == 1);
    assert_eq!(server.open_connections(), 1);
    let left = Instant::now();
    drop(client);
    wait_until("the attempt is called off", || server.open_connections() == 0);
    assert!(left.elapsed() < Duration::from_secs(15), "that was the deadline, not the close");
}

/// A kept connection that its server has closed is not written to, however late the close is noticed: an
/// unsafe request would fail although it could have been served.
#[test]
fn a_stale_kept_connection_fails_no_request() {
    let server = ScriptedServer::new(|_| Reply::RespondAndClose(response(200, "", "served")));
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    for n in 0..10 {
        let received = Client::to(&node).exchange(&request("slip", &format!("t{n}"), 15_000));
        assert_eq!(received.status(), 200, "request {n}");
        wait_until("the server has closed", || server.open_connections() == 0);
    }
    assert_eq!(server.requests().len(), 10);
}

/// Idle connections are closed well before the server's keep-alive timeout.
#[test]
fn idle_connections_end_before_the_servers_keep_alive() {
    let server = ScriptedServer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut config = config(registry.address);
    config["settings"]["Limits"]["Keepalive"] = json!(1500.0);
    let node = Node::ready(&config);
    assert_eq!(Client::to(&node).exchange(&request("look", "t1", 15_000)).status(), 200);
    assert_eq!(server.open_connections(), 1);
    wait_until("the node closes it", || server.open_connections() == 0);
}

/// After SIGTERM accepted requests are served and new connections accepted for a while; then the node exits
/// with 0.
#[test]
fn sigterm_finishes_accepted_requests() {
    let server = ScriptedServer::new(|m| {
        let long = m.header("x-txn") == Some("slow");
        Reply::RespondAfter(Duration::from_millis(if long { 1500 } else { 0 }), response(200, "", "served"))
    });
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut node = Node::ready(&config(registry.address));
    let (mut slow, mut kept) = (Client::to(&node), Client::to(&node));
    assert_eq!(kept.exchange(&request("slip", "before", 15_000)).status(), 200);
    slow.send(&request("slip", "slow", 15_000));
    wait_until("the slow one is out", || server.requests().len() == 2);
    node.terminate();
    // A connection opened after the signal is served, and so is one that was kept.
    node.wait_stopping();
    assert_eq!(Client::to(&node).exchange(&request("slip", "after", 15_000)).status(), 200);
    assert_eq!(slow.receive().expect("what was taken is answered").status(), 200);
    assert!(kept.closed(), "idle connections are closed");
    assert_eq!(node.exit_code(), Some(0));
}

/// Clients dropped as soon as a node is told to stop may have no other node: others may be down or still
/// starting. The node serves them until shortly before its exit, on existing and new connections, and
/// announces each close.
#[test]
fn sigterm_keeps_serving_clients_until_shortly_before_the_exit() {
    let server = ScriptedServer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut node = Node::ready(&config(registry.address));
    let mut kept = Client::to(&node);
    assert_eq!(kept.exchange(&request("look", "before", 15_000)).status(), 200);
    let terminated = Instant::now();
    node.terminate();
    wait_until("the signal has come", || {
        let received = Client::to(&node).exchange("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        received.status() == 503 && received.header("connection") == Some("close")
    });
    for n in 0.. {
        let received = kept.exchange(&request("look", &format!("t{n}"), 15_000));
        assert_eq!(received.status(), 200, "request {n}");
        if received.header("connection") == Some("close") {
            break;
        }
        if terminated.elapsed() < Duration::from_millis(1200) {
            let received = Client::to(&node).exchange(&request("look", &format!("n{n}"), 15_000));
            assert_eq!((received.status(), received.header("connection")), (200, None), "new connection {n}");
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(terminated.elapsed() >= Duration::from_millis(1200), "{:?}", terminated.elapsed());
    assert_eq!(node.exit_code(), Some(0));
}

/// Clients of a stopping node get no new connections, and a client that finds none free may take the node for
/// dead: a burst must not use up the last ones. A request beyond the limit is rejected at once with a
/// `Retry-After`.
#[test]
fn a_stopping_node_keeps_some_connections_free() {
    // Enough servers that none reaches its limit, which would be another reason to reject.
    let servers = [(); 6].map(|()| {
        ScriptedServer::new(|m| {
            let slow = m.header("x-txn").is_some_and(|txn| txn.starts_with("slow"));
            Reply::RespondAfter(
                Duration::from_millis(if slow { 1000 } else { 0 }),
                response(200, "", "served"),
            )
        })
    });
    let hosts: Vec<Value> = (0..6).map(|n| host(&format!("s{n}"), servers[n].address, "active", 1)).collect();
    let registry = Registry::new(&hosts);
    let mut node = Node::ready(&config(registry.address));
    let mut clients: Vec<Client> = (0..8).map(|_| Client::to(&node)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.exchange(&request("slip", &format!("before{n}"), 15_000)).status(), 200);
    }
    node.terminate();
    node.wait_stopping();
    for (n, client) in clients.iter_mut().enumerate().take(6) {
        client.send(&request("slip", &format!("slow{n}"), 15_000));
    }
    let mut count = 0;
    wait_until("a further one is refused", || {
        count += 1;
        let received = clients[6].exchange(&request("slip", &format!("more{count}"), 15_000));
        received.status() == 503 && received.header("retry-after") == Some("0.750")
    });
    for client in clients.iter_mut().take(6) {
        assert_eq!(client.receive().expect("what was taken is answered").status(), 200);
    }
    assert_eq!(node.exit_code(), Some(0));
}

/// If all deadlines are short, SIGKILL follows soon: requests that can't be finished are answered before it.
#[test]
fn sigterm_exits_sooner_if_deadlines_are_short() {
    let server = ScriptedServer::new(|_| Reply::NoResponse);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut config = config(registry.address);
    for class in config["settings"]["Classes"].as_array_mut().expect("classes") {
        class["Deadline"] = json!(800.0);
    }
    let mut node = Node::ready(&config);
    let mut client = Client::to(&node);
    client.send(&request("slip", "t1", 25_000));
    wait_until("the attempt is out", || server.requests().len() == 1);
    let terminated = Instant::now();
    node.terminate();
    assert_eq!(client.receive().expect("an answer").status(), 502);
    assert!(terminated.elapsed() < Duration::from_millis(2500), "{:?}", terminated.elapsed());
    assert_eq!(node.exit_code(), Some(0));
}

/// With more connections than descriptors the node closes idle connections and goes on serving.
#[test]
fn running_out_of_descriptors_does_not_stop_the_node() {
    let server = ScriptedServer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    // In the second case the kernel's limit is lower than the configured one, so accepting fails too.
    for (configured, real) in [(64, 256), (256, 48)] {
        let mut config = config(registry.address);
        config["limits"]["sockets"] = json!(configured);
        let mut node = Node::listening(&config, Some(real));
        node.wait_ready();
        let mut connections = Vec::new();
        for n in 0..200 {
            connections.push(Client::to(&node));
            if n % 20 == 0 {
                let received = Client::to(&node).exchange(&request("slip", &format!("t{n}"), 20_000));
                assert_eq!(received.status(), 200, "configured {configured}, real {real}, connection {n}");
            }
        }
        assert!(node.running());
        assert!(node.descriptors() <= configured, "{} of {configured}", node.descriptors());
    }
}

/// Bytes after a response are not taken for the response to the next request.
#[test]
fn bytes_after_a_response_do_not_answer_the_next_request() {
    for chunked in [false, true] {
        let server = ScriptedServer::new(move |m| {
            let txn = m.header("x-txn").unwrap_or("?");
            let one = if chunked {
                format!(
                    "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{txn}\r\n0\r\n\r\n",
                    txn.len()
                )
            } else {
                String::from_utf8(response(200, "", txn)).expect("text")
            };
            Reply::Respond(one.repeat(2).into_bytes())
        });
        let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
        let node = Node::ready(&config(registry.address));
        let mut client = Client::to(&node);
        for n in 0..6 {
            let txn = format!("t{n}");
            let received = client.exchange(&request("slip", &txn, 15_000));
            assert_eq!((received.status(), received.body), (200, txn.into_bytes()));
        }
    }
}

/// A request whose deadline lies after the node's exit still gets a response.
#[test]
fn sigterm_answers_requests_that_can_not_be_finished() {
    let server = ScriptedServer::new(|_| Reply::NoResponse);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut node = Node::ready(&config(registry.address));
    let mut client = Client::to(&node);
    client.send(&request("slip", "t1", 25_000));
    wait_until("the attempt is out", || server.requests().len() == 1);
    node.terminate();
    assert_eq!(client.receive().expect("an answer").status(), 502);
    assert_eq!(node.exit_code(), Some(0));
}

/// A watch that stays open without sending anything is a dead connection: the node opens a new one.
#[test]
fn a_silent_watch_is_reopened() {
    let server = ScriptedServer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    wait_until("the watch stands", || registry.watches() == 1);
    registry.go_silent();
    wait_until("the node calls again", || registry.watches() >= 2);
    assert_eq!(Client::to(&node).exchange(&request("look", "t1", 15_000)).status(), 200);
}

/// An invalid request is answered at once, without an attempt, and its connection remains usable.
#[test]
fn bad_requests_are_answered_at_once() {
    let server = ScriptedServer::healthy("a");
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    let good = request("slip", "t1", 15_000);
    let keyed = request("pay", "t1", 15_000);
    let cases = [
        (400, good.replace("X-Txn: t1\r\n", "")),
        (400, good.replace("X-Txn: t1", "X-Txn:")),
        (400, good.replace("X-Txn: t1", "X-Txn: a b")),
        (400, good.replace("X-Txn: t1", "X-Txn: t1\r\nX-Txn: t2")),
        (400, good.replace("X-Remaining-Ms: 15000\r\n", "")),
        (400, good.replace("X-Remaining-Ms: 15000", "X-Remaining-Ms: soon")),
        (400, good.replace("X-Remaining-Ms: 15000", "X-Remaining-Ms: -5")),
        (400, good.replace("POST", "PUT")),
        (400, request("look", "t1", 15_000).replace("GET", "POST")),
        (400, keyed.replace("Idempotency-Key: k1\r\n", "")),
        (404, good.replace("/slip/", "/slipper/")),
        (404, good.replace("/slip/7?q=a%20b", "/")),
    ];
    for (status, words) in cases {
        let mut client = Client::to(&node);
        let sent = Instant::now();
        assert_eq!(client.exchange(&words).status(), status, "{words}");
        assert!(sent.elapsed() < Duration::from_secs(10), "{words}");
        assert_eq!(server.requests().len(), 0, "{words}");
    }
    // The connection serves the request after an invalid one.
    let mut client = Client::to(&node);
    assert_eq!(client.exchange(&request("look", "t1", 15_000).replace("/look/", "/lock/")).status(), 404);
    assert_eq!(client.exchange(&good).status(), 200);
}

/// A node that restarts with a saved list while discovery is down serves from that list.
#[test]
fn a_restart_with_an_old_list_serves_without_discovery() {
    let (_refuses, dead) = refusing_address();
    let good = ScriptedServer::healthy("a");
    let registry = Registry::new(&[]);
    registry.set_down(true);
    let mut config = config(registry.address);
    let hosts = [host("s0", dead, "active", 1), host("s1", good.address, "active", 1)];
    config["known"] = json!({"seq": 41, "whole": true, "hosts": hosts});
    let node = Node::ready(&config);
    for n in 0..4 {
        assert_eq!(Client::to(&node).exchange(&request("slip", &format!("t{n}"), 15_000)).body, b"a");
    }
    wait_until("it watches from the saved version", || {
        registry.calls().iter().any(|c| c.contains("from=41"))
    });
}

/// All nodes sort the servers alike, whatever their order in the list.
#[test]
fn turns_do_not_depend_on_the_order_of_the_list() {
    let servers = ["a", "b", "c", "d"].map(ScriptedServer::healthy);
    let mut hosts: Vec<Value> =
        servers.iter().enumerate().map(|(n, s)| host(&format!("s{n}"), s.address, "active", 1)).collect();
    let turns = |hosts: &[Value]| -> Vec<Vec<u8>> {
        let registry = Registry::new(hosts);
        let node = Node::ready(&config(registry.address));
        let mut client = Client::to(&node);
        (0..8).map(|n| client.exchange(&request("look", &format!("t{n}"), 15_000)).body).collect()
    };
    let first = turns(&hosts);
    assert_eq!(first[..4], first[4..], "round robin");
    assert_eq!(first[..4].iter().collect::<BTreeSet<_>>().len(), 4, "each has its turn");
    hosts.reverse();
    assert_eq!(turns(&hosts), first);
}

/// The program exits on an invalid configuration with one line that names the field.
#[test]
fn an_invalid_configuration_names_the_field() {
    let good = config("127.0.0.1:1".parse().expect("an address"));
    type Corrupt = fn(&mut Value);
    let cases: [(&str, Corrupt); 6] = [
        ("listen", |c| c["listen"] = json!("nowhere")),
        ("discovery", |c| c["discovery"] = json!(null)),
        ("seed", |c| c["seed"] = json!("xyz")),
        ("ConnectTimeout", |c| c["settings"]["Limits"]["ConnectTimeout"] = json!("long")),
        ("limits.sockets", |c| c["limits"]["sockets"] = json!("many")),
        ("known", |c| c["known"] = json!({"seq": 1, "whole": true, "hosts": [{"host": "a"}]})),
    ];
    for (field, corrupt) in cases {
        let mut config = good.clone();
        corrupt(&mut config);
        let (code, stderr) = run(&config);
        assert!(code.is_some_and(|c| c != 0), "{field}: {code:?}");
        assert!(stderr.contains(field) && stderr.trim().lines().count() == 1, "{field}: {stderr}");
    }
}
