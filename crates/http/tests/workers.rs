//! Two workers in one process: a request id that is open at one is open at the other, and a worker that dies
//! does not affect the other.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::PATIENCE;
use serde_json::json;

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < PATIENCE, "not in time: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Serves the requests of each connection on a thread of its own, with `answer`, for as long as the test
/// runs.
fn serve_requests(
    answer: impl Fn(&str, &mut TcpStream) -> std::io::Result<()> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let at = listener.local_addr().expect("it is bound");
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let mut stream = stream;
                while let Some(head) = read_head(&mut stream) {
                    if answer(&head, &mut stream).is_err() {
                        return;
                    }
                }
            });
        }
    });
    at
}

/// Reads up to the end of a head, and nothing after it.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

fn request_status(at: SocketAddr, txn: &str) -> Option<String> {
    let mut stream = TcpStream::connect(at).ok()?;
    let request = format!("GET /look HTTP/1.1\r\nhost: h\r\nx-txn: {txn}\r\nx-remaining-ms: 20000\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    Some(read_head(&mut stream)?.split(' ').nth(1)?.to_string())
}

#[test]
fn request_ids_are_shared_and_a_dead_worker_is_restarted() {
    common::note_panics();
    let (blocked, seen) = (Arc::new(AtomicBool::new(true)), Arc::new(Mutex::new(Vec::new())));
    let (is_blocked, log_seen) = (blocked.clone(), seen.clone());
    let server = serve_requests(move |head, stream| {
        let txn = head.lines().find_map(|l| l.strip_prefix("x-txn: ")).unwrap_or("none").to_string();
        log_seen.lock().expect("no thread panics holding the lock").push(txn);
        wait_until("the response is released", || !is_blocked.load(Ordering::SeqCst));
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
    });
    let watch_count = Arc::new(AtomicUsize::new(0));
    let watch_counter = watch_count.clone();
    let hosts = json!([{"host": "s0", "dial": server.to_string(), "site": "a", "class": "m", "block": 0,
        "health": "active", "share": 1.0, "born_ms": 0.0}]);
    let list = json!({"seq": 1, "whole": true, "hosts": hosts}).to_string();
    let discovery = serve_requests(move |head, stream| {
        assert!(head.contains("watch=1&from=0"), "a node without a saved list requests all there is");
        watch_counter.fetch_add(1, Ordering::SeqCst);
        write!(
            stream,
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{list}\n\r\n",
            list.len() + 1
        )?;
        loop {
            stream.write_all(b"1\r\n\n\r\n")?;
            thread::sleep(Duration::from_millis(500));
        }
    });
    let config = common::config(discovery, 20_000.0);
    let port = config.listen;
    assert!(
        config.for_worker(0, 32).is_err_and(|e| e.contains("sockets")),
        "shares that are too small are rejected"
    );
    let crash_requested = Arc::new(AtomicBool::new(false));
    let crash_flag = crash_requested.clone();
    // Called by the first worker once a second, in a task of its own.
    let lost_lines = move || {
        assert!(!crash_flag.swap(false, Ordering::SeqCst), "the panic that this test causes");
        0
    };
    thread::spawn(move || {
        magpietally_http::run_workers(config, 2, magpietally_http::OperatorOptions::default(), lost_lines)
    });
    wait_until("both workers follow the list", || watch_count.load(Ordering::SeqCst) == 2);

    // All sixteen connections go to one worker once in 32,768 runs; the kernel distributes them by their
    // ports.
    let clients: Vec<_> = (0..16).map(|_| thread::spawn(move || request_status(port, "same"))).collect();
    wait_until("all but one have a response", || clients.iter().filter(|c| c.is_finished()).count() == 15);
    blocked.store(false, Ordering::SeqCst);
    let mut answers: Vec<_> =
        clients.into_iter().map(|c| c.join().expect("it ends").unwrap_or_default()).collect();
    answers.sort_unstable();
    assert_eq!(
        (answers[0].as_str(), answers[1].as_str(), answers[15].as_str()),
        ("200", "409", "409"),
        "{:?}",
        seen
    );
    assert_eq!(*seen.lock().expect("no thread panics holding the lock"), ["same"], "it ran once");
    assert_eq!(
        request_status(port, "same").as_deref(),
        Some("200"),
        "after its response the id may be used again"
    );

    crash_requested.store(true, Ordering::SeqCst);
    wait_until("the restarted worker follows the list", || watch_count.load(Ordering::SeqCst) == 3);
    for n in 0..16 {
        // Requests of the dead worker are lost with it; new ones must all be served.
        wait_until("a request is served", || {
            request_status(port, &format!("later-{n}")).as_deref() == Some("200")
        });
    }
}
