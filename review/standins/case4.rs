//! Many bodies and answers of 64 KiB at a time, at a node with the smallest memory that the pages give.
//!
//! One node of two, 17 app boxes, and clients that hold no more connections than a third of the node's descriptors. The
//! stand-in for the platform kills a node that is over its memory limit, as the pages say.

use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{request_with_body, KeptClient};
use crate::discovery::{Discovery, Host};
use crate::node::{Limits, Node, SIGKILL};
use crate::record::Record;
use crate::server::{Cores, Server};
use crate::Verdict;

const NODES: usize = 2;
const SERVERS: usize = 17;
/// The limits of a node: the least memory that the pages give, and a number of descriptors that lies between theirs.
const LIMITS: Limits = Limits { memory_mb: 32, sockets: 512 };
/// Clients at the node, with and without the disruption.
const CLIENTS: usize = 170;
const CLIENTS_WITHOUT: usize = 17;
const LENGTH: Duration = Duration::from_secs(20);
/// Size of a request's body and of an answer's.
const BODY_BYTES: usize = 64 * 1024;
/// Answers are written in pieces of this size.
const PIECE_BYTES: usize = 3000;
const SAMPLE_EVERY: Duration = Duration::from_millis(10);

fn start_server(name: String, record: Record) -> std::io::Result<Server> {
    let (cores, count) = (Cores::new(2), AtomicU64::new(0));
    Server::start(move |asked, out| {
        let txn = asked.header("x-txn").unwrap_or("none").to_string();
        cores.work(Duration::from_millis(20 + count.fetch_add(1, Ordering::SeqCst) * 37 % 40));
        record.line(format!("{name}: runs and answers {txn}"));
        let mut out = out.lock().unwrap();
        out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut left = BODY_BYTES;
        while left > 0 {
            let size = left.min(PIECE_BYTES);
            let mut piece = format!("{size:x}\r\n").into_bytes();
            piece.resize(piece.len() + size, b'x');
            piece.extend_from_slice(b"\r\n");
            out.write_all(&piece)?;
            left -= size;
        }
        out.write_all(b"0\r\n\r\n")
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
    let mut node = Node::start_with(0, NODES, LIMITS, &discovery, record)?;
    let over = Arc::new(AtomicBool::new(false));
    let counts: Arc<Mutex<[u64; 4]>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..if trouble { CLIENTS } else { CLIENTS_WITHOUT } {
        let (record, counts, over, address) = (record.clone(), counts.clone(), over.clone(), node.address);
        clients.push(std::thread::spawn(move || {
            let mut kept = KeptClient::new(address);
            for n in 0.. {
                if over.load(Ordering::SeqCst) {
                    return;
                }
                let txn = format!("c{client}r{n}");
                let answer = kept.exchange(&request_with_body("signup", &txn, 1000, BODY_BYTES));
                let status = answer.map_or(0, |a| a.status());
                record.line(format!("client: signup {txn}: {status}"));
                let kind = match status {
                    200 => 0,
                    429 | 503 => 1,
                    0 => 3,
                    _ => 2,
                };
                counts.lock().unwrap()[kind] += 1;
                if status != 200 {
                    std::thread::sleep(Duration::from_millis(100));
                }
            }
        }));
    }
    let began = Instant::now();
    let limit = LIMITS.memory_mb * 1024;
    let (mut private, mut resident) = (0, 0);
    let mut killed = None;
    while began.elapsed() < LENGTH && killed.is_none() && !node.has_ended() {
        let (p, r) = node.memory_kib();
        if p > private + 512 {
            record.line(format!("n0: {p} KiB private, {r} KiB resident, of {limit}"));
        }
        (private, resident) = (private.max(p), resident.max(r));
        if p > limit {
            record.line(format!("platform: n0 is over its memory limit: {p} KiB private, {r} KiB resident, of {limit}"));
            node.signal(SIGKILL);
            killed = Some(p);
        }
        std::thread::sleep(SAMPLE_EVERY);
    }
    over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| std::io::Error::other("a client failed"))?;
    }
    let [served, refused, failed, unanswered] = *counts.lock().unwrap();
    let text = format!(
        "at the most {private} KiB private and {resident} KiB resident, of {limit}; {served} served, {refused} refused, {failed} \
         failed, {unanswered} not answered"
    );
    Ok(match killed {
        Some(_) => Verdict::Broken(format!("killed over its memory limit; {text}")),
        None if served == 0 || node.has_ended() => Verdict::CouldNotRun(text),
        None => Verdict::Held(text),
    })
}
