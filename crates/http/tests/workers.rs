//! Two workers in one process: an id that is open at one is open at the other, and one that dies leaves the other be.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::PATIENCE;
use serde_json::json;

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < PATIENCE, "not in time: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Serves each connection's requests on threads, as `answer` says, for as long as the test runs.
fn serve(answer: impl Fn(&str, &mut TcpStream) -> std::io::Result<()> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let at = listener.local_addr().expect("it is bound");
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let mut stream = stream;
                while let Some(head) = head_of(&mut stream) {
                    if answer(&head, &mut stream).is_err() {
                        return;
                    }
                }
            });
        }
    });
    at
}

/// Reads up to the end of a head, with nothing behind it.
fn head_of(stream: &mut TcpStream) -> Option<String> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

fn ask(at: SocketAddr, txn: &str) -> Option<String> {
    let mut stream = TcpStream::connect(at).ok()?;
    let words = format!("GET /look HTTP/1.1\r\nhost: h\r\nx-txn: {txn}\r\nx-remaining-ms: 20000\r\n\r\n");
    stream.write_all(words.as_bytes()).ok()?;
    Some(head_of(&mut stream)?.split(' ').nth(1)?.to_string())
}

#[test]
fn ids_are_shared_and_a_worker_that_dies_is_started_again() {
    common::note_panics();
    let (held, seen) = (Arc::new(AtomicBool::new(true)), Arc::new(Mutex::new(Vec::new())));
    let (hold, note) = (held.clone(), seen.clone());
    let app_box = serve(move |head, stream| {
        let txn = head.lines().find_map(|l| l.strip_prefix("x-txn: ")).unwrap_or("none").to_string();
        note.lock().expect("no thread panics with it").push(txn);
        until("the answer is let go", || !hold.load(Ordering::SeqCst));
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
    });
    let watches = Arc::new(AtomicUsize::new(0));
    let count = watches.clone();
    let hosts = json!([{"host": "s0", "dial": app_box.to_string(), "site": "a", "class": "m", "block": 0,
        "health": "active", "share": 1.0, "born_ms": 0.0}]);
    let list = json!({"seq": 1, "whole": true, "hosts": hosts}).to_string();
    let discovery = serve(move |head, stream| {
        assert!(head.contains("watch=1&from=0"), "a node without a list of old asks for what there is");
        count.fetch_add(1, Ordering::SeqCst);
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
        "parts that are too small are refused"
    );
    let dies = Arc::new(AtomicBool::new(false));
    let fault = dies.clone();
    // Asked for by the first worker once a second, in a task of its own.
    let lost_lines = move || {
        assert!(!fault.swap(false, Ordering::SeqCst), "the fault that this test causes");
        0
    };
    thread::spawn(move || {
        magpietally_http::run_workers(config, 2, magpietally_http::OperatorOptions::default(), lost_lines)
    });
    until("both workers follow the list", || watches.load(Ordering::SeqCst) == 2);

    // Sixteen connections fall to one worker alone once in 32,768 times; the ports are the kernel's to choose.
    let clients: Vec<_> = (0..16).map(|_| thread::spawn(move || ask(port, "same"))).collect();
    until("all but one have been told", || clients.iter().filter(|c| c.is_finished()).count() == 15);
    held.store(false, Ordering::SeqCst);
    let mut answers: Vec<_> =
        clients.into_iter().map(|c| c.join().expect("it ends").unwrap_or_default()).collect();
    answers.sort_unstable();
    assert_eq!(
        (answers[0].as_str(), answers[1].as_str(), answers[15].as_str()),
        ("200", "409", "409"),
        "{:?}",
        seen
    );
    assert_eq!(*seen.lock().expect("no thread panics with it"), ["same"], "it ran once");
    assert_eq!(ask(port, "same").as_deref(), Some("200"), "once it is answered its id may come again");

    dies.store(true, Ordering::SeqCst);
    until("the worker that died follows the list again", || watches.load(Ordering::SeqCst) == 3);
    for n in 0..16 {
        // What was in the dead worker's hands is lost with it; all that comes now is served.
        until("a request is served", || ask(port, &format!("later-{n}")).as_deref() == Some("200"));
    }
}
