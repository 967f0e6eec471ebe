//! A planned restart while long answers are on their way.
//!
//! Two nodes and two app boxes. Clients fetch answers of some hundred kB that their server gives in pieces. One node is
//! told to end (SIGTERM); SIGKILL follows some seconds later. The servers go on giving all the time.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{request, Client};
use crate::discovery::{Discovery, Host};
use crate::node::{Node, SIGKILL, SIGTERM};
use crate::record::Record;
use crate::server::Server;
use crate::Verdict;

const NODES: usize = 2;
const SERVERS: usize = 2;
/// Size of one piece of an answer, and the time between two.
const PIECE_BYTES: usize = 16 * 1024;
const PIECE_EVERY: Duration = Duration::from_millis(50);
/// From the clients' start on: when SIGTERM is sent.
const TERM_AT: Duration = Duration::from_millis(500);
/// How long after SIGTERM the answers are complete if nobody cuts them off. The first is complete before the earliest
/// SIGKILL that the pages allow: 1 s, the longest deadline of the settings, and 0.7 s.
const COMPLETE_AFTER_TERM: [Duration; 4] =
    [Duration::from_millis(1600), Duration::from_millis(2000), Duration::from_millis(3000), Duration::from_millis(4000)];
/// How long after SIGTERM the platform sends SIGKILL.
const KILL_AFTER_TERM: Duration = Duration::from_millis(7000);

/// The number of pieces of an answer that is complete so long after SIGTERM.
fn pieces(complete: Duration) -> usize {
    ((TERM_AT + complete).as_millis() / PIECE_EVERY.as_millis()) as usize
}

fn start_server(name: String, record: Record) -> std::io::Result<Server> {
    Server::start(move |asked, out| {
        let txn = asked.header("x-txn").unwrap_or("none").to_string();
        let count = txn.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(1);
        record.line(format!("{name}: runs {txn}, answers with {count} pieces"));
        let mut out = out.lock().unwrap();
        let began = Instant::now();
        write!(out, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", count * PIECE_BYTES)?;
        for n in 0..count {
            if let Err(error) = out.write_all(&[b'a' + (n % 26) as u8; PIECE_BYTES]) {
                record.line(format!("{name}: the node has closed the connection of {txn} behind piece {n} of {count}"));
                return Err(error);
            }
            std::thread::sleep((began + PIECE_EVERY * (n as u32 + 1)).saturating_duration_since(Instant::now()));
        }
        record.line(format!("{name}: has given all of {txn}"));
        Ok(())
    })
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    match play(record, trouble) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::CouldNotRun(error.to_string()),
    }
}

fn play(record: &Record, trouble: bool) -> std::io::Result<Verdict> {
    let (mut servers, mut hosts) = (Vec::new(), Vec::new());
    for n in 0..SERVERS {
        let name = format!("s{n}");
        let server = start_server(name.clone(), record.clone())?;
        hosts.push(Host { dial: server.address, name, health: "active" });
        servers.push(server);
    }
    let discovery = Discovery::start(hosts, record)?;
    let mut nodes = Vec::new();
    for n in 0..NODES {
        nodes.push(Node::start(n, NODES, &discovery, record)?);
    }
    std::thread::sleep(Duration::from_millis(500));
    let start = Instant::now();
    let killed: Arc<Mutex<Option<Instant>>> = Arc::default();
    let mut clients = Vec::new();
    for (n, complete) in COMPLETE_AFTER_TERM.into_iter().enumerate() {
        let (record, address, killed) = (record.clone(), nodes[0].address, killed.clone());
        clients.push(std::thread::spawn(move || {
            let txn = format!("long{n}-{}", pieces(complete));
            let class = ["lookup", "signup"][n % 2];
            let answer = Client::connect(address).and_then(|mut c| c.exchange(&request(class, &txn, 1000)));
            let before_kill = killed.lock().unwrap().is_none();
            let (status, bytes, whole) = answer.map_or((0, 0, false), |a| (a.status(), a.body.len(), a.whole));
            let of = pieces(complete) * PIECE_BYTES;
            record.line(format!("client: {class} {txn}: {status}, {bytes} of {of} bytes, whole: {whole}, before SIGKILL: {before_kill}"));
            (status == 200 && whole && bytes == of, before_kill)
        }));
    }
    std::thread::sleep((start + TERM_AT).saturating_duration_since(Instant::now()));
    if trouble {
        nodes[0].signal(SIGTERM);
        while start.elapsed() < TERM_AT + KILL_AFTER_TERM && !nodes[0].has_ended() {
            std::thread::sleep(Duration::from_millis(5));
        }
        let after = (start.elapsed() - TERM_AT).as_millis();
        if nodes[0].has_ended() {
            record.line(format!("n0: has ended by itself, {after} ms after SIGTERM"));
        } else {
            *killed.lock().unwrap() = Some(Instant::now());
            nodes[0].signal(SIGKILL);
        }
    }
    let (mut whole, mut cut, mut cut_by_kill) = (0, 0, 0);
    for client in clients {
        match client.join().map_err(|_| std::io::Error::other("a client failed"))? {
            (true, _) => whole += 1,
            (false, true) => cut += 1,
            (false, false) => cut_by_kill += 1,
        }
    }
    let text = format!("{whole} answers came whole, {cut} were cut off by the node, {cut_by_kill} by SIGKILL");
    Ok(if cut > 0 {
        Verdict::Broken(text)
    } else if whole == 0 {
        Verdict::CouldNotRun(text)
    } else {
        Verdict::Held(text)
    })
}
