//! A drain that discovery can't tell, because it is crowded: calls wait and then fail with 503.
//!
//! Two nodes, four app boxes and some counters. The watches end while discovery has too many callers, so that each
//! call fails after it has waited for 2 s. Meanwhile an app box begins to drain, and its process ends later on.

use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{request, KeptClient};
use crate::discovery::{Discovery, Host};
use crate::node::Node;
use crate::record::Record;
use crate::server::{Cores, Server};
use crate::Verdict;

const NODES: usize = 2;
const SERVERS: usize = 4;
/// The server that drains.
const DRAINED: usize = 1;
/// Counters at each node, and how often each sends.
const CLIENTS: usize = 6;
const REQUEST_EVERY: Duration = Duration::from_millis(150);

/// From the start of the clients on: when discovery becomes crowded, when the drain begins, when the drained server's
/// process ends, when discovery is no longer crowded, and when the clients stop.
const CROWDED_AT: Duration = Duration::from_millis(3000);
const DRAIN_AT: Duration = Duration::from_millis(3300);
const SERVER_ENDS_AT: Duration = Duration::from_millis(11300);
const CROWDED_UNTIL: Duration = Duration::from_millis(12000);
const CLIENTS_UNTIL: Duration = Duration::from_millis(16000);
/// How long a call waits before it fails: `timeout_ms` of the site.
const CALL_FAILS_AFTER: Duration = Duration::from_millis(2000);

/// Whatever discovery has to tell counts as told this much later at the latest.
const TOLD_WITHIN: Duration = Duration::from_millis(6000);
/// `DrainGrace` of the settings, and 50 ms more on sockets.
const GRACE: Duration = Duration::from_millis(800);
/// What this measurement may be wrong by: the stand-in notes a request when it has read it.
const MEASURED_LATE: Duration = Duration::from_millis(100);

/// When the drain began, and the requests that came to the server since.
#[derive(Default)]
struct Drain {
    began: Option<Instant>,
    /// For each: how long after the begin of the drain it came.
    came: Vec<(Duration, String)>,
}

fn start_server(name: String, record: Record, drain: Arc<Mutex<Drain>>) -> std::io::Result<Server> {
    let (cores, count) = (Cores::new(4), AtomicU64::new(0));
    Server::start(move |asked, out| {
        let at = Instant::now();
        let txn = asked.header("x-txn").unwrap_or("none").to_string();
        {
            let mut drain = drain.lock().unwrap();
            if let Some(began) = drain.began {
                let after = at - began;
                drain.came.push((after, txn.clone()));
                record.line(format!("{name}: {txn} comes {:.0} ms after the drain began", after.as_secs_f64() * 1e3));
            }
        }
        cores.work(Duration::from_millis(20 + count.fetch_add(1, Ordering::SeqCst) * 37 % 60));
        record.line(format!("{name}: runs and answers {} {txn}", asked.path()));
        let body = format!("answer to {txn}");
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        out.lock().unwrap().write_all(answer.as_bytes())
    })
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    match play(record, trouble) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::CouldNotRun(error.to_string()),
    }
}

fn play(record: &Record, trouble: bool) -> std::io::Result<Verdict> {
    let drain: Arc<Mutex<Drain>> = Arc::default();
    let (mut servers, mut hosts) = (Vec::new(), Vec::new());
    for n in 0..SERVERS {
        let name = format!("s{n}");
        let watched = if n == DRAINED { drain.clone() } else { Arc::default() };
        let server = start_server(name.clone(), record.clone(), watched)?;
        hosts.push(Host { dial: server.address, name, health: "active" });
        servers.push(server);
    }
    let discovery = Discovery::start(hosts, record)?;
    let mut nodes = Vec::new();
    for n in 0..NODES {
        nodes.push(Node::start(n, NODES, &discovery, record)?);
    }
    let over = Arc::new(AtomicBool::new(false));
    let counts: Arc<Mutex<[u64; 4]>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..NODES * CLIENTS {
        let (record, counts, over) = (record.clone(), counts.clone(), over.clone());
        let address = nodes[client % NODES].address;
        clients.push(std::thread::spawn(move || {
            let mut kept = KeptClient::new(address);
            for n in 0.. {
                if over.load(Ordering::SeqCst) {
                    return;
                }
                let class = ["lookup", "signup", "fee-payment"][(client + n) % 3];
                let (txn, remaining) = (format!("c{client}r{n}"), if class == "fee-payment" { 600 } else { 1000 });
                let answer = kept.exchange(&request(class, &txn, remaining));
                let status = answer.map_or(0, |a| a.status());
                record.line(format!("client: {class} {txn}: {status}"));
                let kind = match status {
                    200 => 0,
                    429 | 503 => 1,
                    0 => 3,
                    _ => 2,
                };
                counts.lock().unwrap()[kind] += 1;
                std::thread::sleep(REQUEST_EVERY);
            }
        }));
    }
    let start = Instant::now();
    let until = |at: Duration| std::thread::sleep((start + at).saturating_duration_since(Instant::now()));
    until(CROWDED_AT);
    if trouble {
        discovery.set_crowded(Some(CALL_FAILS_AFTER));
        discovery.end_watches();
    }
    until(DRAIN_AT);
    drain.lock().unwrap().began = Some(Instant::now());
    discovery.set_health(&format!("s{DRAINED}"), "leaving");
    until(SERVER_ENDS_AT);
    let before = counts.lock().unwrap()[2];
    record.line(format!("s{DRAINED}: its drain is over, its process ends"));
    servers[DRAINED].stop();
    until(CROWDED_UNTIL);
    let failed_at_end = counts.lock().unwrap()[2] - before;
    discovery.set_crowded(None);
    until(CLIENTS_UNTIL);
    over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| std::io::Error::other("a client failed"))?;
    }
    let ended = nodes.iter_mut().any(Node::has_ended);
    let [served, refused, failed, unanswered] = *counts.lock().unwrap();
    let bound = TOLD_WITHIN + GRACE;
    let drain = drain.lock().unwrap();
    let late: Vec<&(Duration, String)> =
        drain.came.iter().filter(|(after, _)| *after > bound + MEASURED_LATE).collect();
    let last = drain.came.iter().map(|(after, _)| *after).max().unwrap_or_default();
    let text = format!(
        "{} requests came to the draining server, {} of them over {} ms after the drain began, the last after {} ms; {served} served, \
         {refused} refused, {failed} failed ({failed_at_end} when the drained server ended), {unanswered} not answered{}",
        drain.came.len(),
        late.len(),
        bound.as_millis(),
        last.as_millis(),
        if ended { "; a node has ended" } else { "" }
    );
    Ok(if !late.is_empty() {
        Verdict::Broken(text)
    } else if served == 0 || ended {
        Verdict::CouldNotRun(text)
    } else {
        Verdict::Held(text)
    })
}
