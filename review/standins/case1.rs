//! A server's second answer, some milliseconds late, must not reach another client.
//!
//! Two nodes, three app boxes of two cores, and counters that send in bursts: each sends some requests, one after
//! another. One answer in ten is followed by the same answer once more on its connection.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Barrier, Mutex};
use std::time::{Duration, Instant};

use crate::client::{request, KeptClient};
use crate::discovery::{Discovery, Host};
use crate::http::Message;
use crate::node::Node;
use crate::record::Record;
use crate::server::{self, Cores, Out};
use crate::Verdict;

const NODES: usize = 2;
const SERVERS: usize = 3;
/// Counters that send at once to each node.
const CLIENTS: usize = 24;
/// Requests of a counter in a burst, one after another.
const REQUESTS: usize = 3;
const BURSTS: usize = 8;
const BURST_EVERY: Duration = Duration::from_millis(6000);
/// One in so many answers comes twice.
const SECOND_ANSWER_EVERY: u64 = 10;
/// How late the second answer is.
const SECOND_ANSWER_LATE: Duration = Duration::from_millis(5);

/// The time of a request's work: 1 to 3 ms, by its id.
fn work_time(count: u64) -> Duration {
    Duration::from_micros(1000 + count.wrapping_mul(7919) % 2000)
}

/// An answer that is written once more.
struct SecondAnswer {
    first_written: Instant,
    out: Out,
    txn: String,
    answer: String,
}

/// Writes answers once more, each at its time. One that would be more than 2 ms later than meant is left out.
fn second_answers(name: &str, record: &Record) -> mpsc::Sender<SecondAnswer> {
    let (sender, due) = mpsc::channel::<SecondAnswer>();
    let (name, record) = (name.to_string(), record.clone());
    std::thread::spawn(move || {
        for SecondAnswer { first_written, out, txn, answer } in due {
            std::thread::sleep(
                (first_written + SECOND_ANSWER_LATE).saturating_duration_since(Instant::now()),
            );
            let late = first_written.elapsed();
            if late > SECOND_ANSWER_LATE + Duration::from_millis(2) {
                continue;
            }
            if out.lock().unwrap().write_all(answer.as_bytes()).is_ok() {
                record.line(format!(
                    "{name}: the answer to {txn} once more, {:.1} ms late",
                    late.as_secs_f64() * 1e3
                ));
            }
        }
    });
    sender
}

fn start_server(name: &str, record: &Record, trouble: bool) -> std::io::Result<SocketAddr> {
    let (name, record, cores) = (name.to_string(), record.clone(), Cores::new(2));
    let (count, second) = (AtomicU64::new(0), Mutex::new(second_answers(&name, &record)));
    server::start(move |asked: &Message, out| {
        let txn = asked.header("x-txn").unwrap_or("none").to_string();
        let number = count.fetch_add(1, Ordering::SeqCst) + 1;
        cores.work(work_time(number));
        record.line(format!("{name}: runs and answers {} {txn}", asked.path()));
        let body = format!("answer to {txn}");
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        out.lock().unwrap().write_all(answer.as_bytes())?;
        if trouble && number % SECOND_ANSWER_EVERY == 0 {
            let again = SecondAnswer { first_written: Instant::now(), out: out.clone(), txn, answer };
            let _ = second.lock().unwrap().send(again);
        }
        Ok(())
    })
}

#[derive(Default)]
struct Counts {
    served: u64,
    refused: u64,
    failed: u64,
    unanswered: u64,
    foreign: u64,
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    match play(record, trouble) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::CouldNotRun(error.to_string()),
    }
}

fn play(record: &Record, trouble: bool) -> std::io::Result<Verdict> {
    let mut hosts = Vec::new();
    for n in 0..SERVERS {
        let name = format!("s{n}");
        hosts.push(Host { dial: start_server(&name, record, trouble)?, name });
    }
    let discovery = Discovery::start(hosts, record)?;
    let mut nodes = Vec::new();
    for n in 0..NODES {
        nodes.push(Node::start(n, NODES, &discovery, record)?);
    }
    let counts = Arc::new(Mutex::new(Counts::default()));
    let start = Arc::new(Barrier::new(NODES * CLIENTS));
    let mut clients = Vec::new();
    for client in 0..NODES * CLIENTS {
        let (record, counts, start) = (record.clone(), counts.clone(), start.clone());
        let address = nodes[client % NODES].address;
        clients.push(std::thread::spawn(move || {
            for burst in 0..BURSTS {
                std::thread::sleep(if burst == 0 { Duration::from_millis(500) } else { BURST_EVERY });
                start.wait();
                let mut kept = KeptClient::new(address);
                for n in 0..REQUESTS {
                    let class = if n % 2 == 0 { "lookup" } else { "signup" };
                    let txn = format!("c{client}b{burst}r{n}");
                    let answer = kept.exchange(&request(class, &txn, 900));
                    note(&record, &mut counts.lock().unwrap(), class, &txn, answer);
                }
            }
        }));
    }
    for client in clients {
        client.join().map_err(|_| std::io::Error::other("a client failed"))?;
    }
    let ended = nodes.iter_mut().any(Node::has_ended);
    let c = counts.lock().unwrap();
    let text =
        format!(
        "{} served, of these {} with the answer to another request; {} refused, {} failed, {} not answered{}",
        c.served, c.foreign, c.refused, c.failed, c.unanswered, if ended { "; a node has ended" } else { "" }
    );
    Ok(if c.foreign > 0 {
        Verdict::Broken(text)
    } else if c.served == 0 || ended {
        Verdict::CouldNotRun(text)
    } else {
        Verdict::Held(text)
    })
}

fn note(record: &Record, counts: &mut Counts, class: &str, txn: &str, answer: Option<Message>) {
    let Some(answer) = answer else {
        counts.unanswered += 1;
        return record.line(format!("client: {class} {txn}: no answer"));
    };
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    match answer.status() {
        200 if answer.whole => {
            counts.served += 1;
            let own = body == format!("answer to {txn}");
            counts.foreign += u64::from(!own);
            let word = if own { "" } else { " FOREIGN" };
            record.line(format!("client: {class} {txn}: 200, {body}{word}"));
        }
        429 | 503 => {
            counts.refused += 1;
            record.line(format!("client: {class} {txn}: refused"));
        }
        status => {
            counts.failed += 1;
            record.line(format!("client: {class} {txn}: {status}, whole: {}", answer.whole));
        }
    }
}
