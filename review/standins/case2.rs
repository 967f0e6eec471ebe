//! An app box hangs while long requests are on their way to it.
//!
//! Two nodes and seven app boxes, one of which stands still for 12 s: it reads nothing and answers nothing. Clients send
//! signups with forms of some MB, and wait for their answers.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{request_with_body, Client};
use crate::discovery::{Discovery, Host};
use crate::node::Node;
use crate::record::Record;
use crate::server;
use crate::Verdict;

const NODES: usize = 2;
/// One of seven hangs: the pages allow 16%.
const SERVERS: usize = 7;
const HUNG: usize = 3;
/// From the clients' start on: when the hang begins, how long it lasts, and when the long requests are sent.
const HANG_AT: Duration = Duration::from_millis(1000);
const HANG_FOR: Duration = Duration::from_millis(12000);
const SENT_AT: Duration = Duration::from_millis(1050);
/// Long requests to each node at once, how often, and the time between.
const AT_ONCE: usize = 14;
const ROUNDS: usize = 3;
const ROUND_EVERY: Duration = Duration::from_millis(500);
/// Their sizes in turn.
const BODY_BYTES: [usize; 4] = [3_900_000, 4_200_000, 5_000_000, 6_500_000];
/// How long a client waits from its last byte on, and how much later an answer is lost.
const REMAINING: Duration = Duration::from_millis(1000);
const LOST_AFTER: Duration = Duration::from_millis(500);
/// What this measurement may be wrong by.
const MEASURED_LATE: Duration = Duration::from_millis(100);

/// How long a client lets the node's machine confirm its last byte, before it looks whether that is so.
const CONFIRMED_WITHIN: Duration = Duration::from_millis(500);

/// What a client has seen of a request that it has written to its last byte.
struct Seen {
    /// How long after the last byte the answer came; `None` if there was none.
    answered: Option<Duration>,
    /// Whether the node's machine had confirmed the last byte by [`CONFIRMED_WITHIN`].
    confirmed: bool,
}

fn start_server(name: String, record: Record, hung: Arc<AtomicBool>) -> std::io::Result<SocketAddr> {
    server::start_pausing(hung, move |asked, out| {
        let txn = asked.header("x-txn").unwrap_or("none").to_string();
        std::thread::sleep(Duration::from_millis(30));
        record.line(format!("{name}: runs and answers {txn}, body of {} bytes", asked.body.len()));
        out.lock().unwrap().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
    })
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    match play(record, trouble) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::CouldNotRun(error.to_string()),
    }
}

fn play(record: &Record, trouble: bool) -> std::io::Result<Verdict> {
    let hang = Arc::new(AtomicBool::new(false));
    let mut hosts = Vec::new();
    for n in 0..SERVERS {
        let name = format!("s{n}");
        let hung = if n == HUNG { hang.clone() } else { Arc::default() };
        let dial = start_server(name.clone(), record.clone(), hung)?;
        hosts.push(Host { dial, name });
    }
    let discovery = Discovery::start(hosts, record)?;
    let mut nodes = Vec::new();
    for n in 0..NODES {
        nodes.push(Node::start(n, NODES, &discovery, record)?);
    }
    let start = Instant::now();
    let until = |at: Duration| std::thread::sleep((start + at).saturating_duration_since(Instant::now()));
    until(HANG_AT);
    if trouble {
        record.line(format!("s{HUNG}: hangs"));
        hang.store(true, Ordering::SeqCst);
    }
    until(SENT_AT);
    let all: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let mut clients = Vec::new();
    for n in 0..NODES * AT_ONCE * ROUNDS {
        if n > 0 && n % (NODES * AT_ONCE) == 0 {
            std::thread::sleep(ROUND_EVERY);
        }
        let (record, all, address) = (record.clone(), all.clone(), nodes[n % NODES].address);
        let bytes = BODY_BYTES[n / NODES % BODY_BYTES.len()];
        clients.push(std::thread::spawn(move || {
            let txn = format!("form{n}");
            let asked = request_with_body("signup", &txn, REMAINING.as_millis() as u64, bytes);
            let Some(mut client) = Client::connect(address) else { return };
            if !client.send(&asked) {
                return record.line(format!("client: {txn}: could not be written"));
            }
            let last_byte = Instant::now();
            record.line(format!("client: {txn}: all of {bytes} bytes written"));
            while client.unconfirmed() > 0 && last_byte.elapsed() < CONFIRMED_WITHIN {
                std::thread::sleep(Duration::from_millis(1));
            }
            let confirmed = client.unconfirmed() == 0;
            let answer = client.receive();
            let took = last_byte.elapsed();
            let status = answer.as_ref().map_or(0, |a| a.status());
            record.line(format!(
                "client: {txn}: {status}, {:.0} ms after its last byte, which the node's machine has confirmed: {confirmed}",
                took.as_secs_f64() * 1e3
            ));
            all.lock().unwrap().push(Seen { answered: answer.map(|_| took), confirmed });
        }));
    }
    until(HANG_AT + HANG_FOR);
    record.line(format!("s{HUNG}: the hang is over"));
    hang.store(false, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| std::io::Error::other("a client failed"))?;
    }
    let all = all.lock().unwrap();
    let bound = REMAINING + LOST_AFTER + MEASURED_LATE;
    let late: Vec<&Seen> = all.iter().filter(|s| s.answered.is_none_or(|took| took > bound)).collect();
    let confirmed = late.iter().filter(|s| s.confirmed).count();
    let longest = all.iter().filter_map(|s| s.answered).max().unwrap_or_default();
    let ended = nodes.iter_mut().any(Node::has_ended);
    let text = format!(
        "of {} requests written to the last byte, {} had no answer within {} ms of it ({confirmed} of them confirmed by the node's machine); \
         the longest wait was {} ms{}",
        all.len(),
        late.len(),
        bound.as_millis(),
        longest.as_millis(),
        if ended { "; a node has ended" } else { "" }
    );
    Ok(if !late.is_empty() {
        Verdict::Broken(text)
    } else if all.is_empty() || ended {
        Verdict::CouldNotRun(text)
    } else {
        Verdict::Held(text)
    })
}
