//! A client that reads a long answer at 64 kB a second, without a pause.
//!
//! Two nodes and two app boxes, which give their answers as fast as they are taken. One client reads slowly and steadily.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::request;
use crate::discovery::{Discovery, Host};
use crate::node::Node;
use crate::record::Record;
use crate::server;
use crate::Verdict;

const NODES: usize = 2;
const SERVERS: usize = 2;
const ANSWER_BYTES: usize = 16_000_000;
/// What the slow clients read a second.
const SLOW_RATE: usize = 64_000;
/// How long they read so. After that, or once a server has seen that the node has closed the connection, they read on as
/// fast as they can, to see whether the answer is whole.
const SLOW_FOR: Duration = Duration::from_secs(80);

/// The requests whose connection the node has closed before the server had given all.
type CutOff = Arc<Mutex<Vec<String>>>;

fn start_server(name: String, record: Record, cut_off: CutOff) -> std::io::Result<SocketAddr> {
    server::start(move |asked, out| {
        let txn = asked.header("x-txn").unwrap_or("none").to_string();
        record.line(format!("{name}: runs {txn}"));
        let began = Instant::now();
        let mut out = out.lock().unwrap();
        write!(out, "HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n")?;
        let piece = [b'x'; 16_000];
        for n in 0..ANSWER_BYTES / piece.len() {
            if let Err(error) = out.write_all(&piece) {
                let after = began.elapsed().as_secs_f64();
                record.line(format!("{name}: the node has closed the connection of {txn} after {after:.1} s, {} bytes were written", n * piece.len()));
                cut_off.lock().unwrap().push(txn);
                return Err(error);
            }
        }
        record.line(format!("{name}: has given all of {txn}"));
        Ok(())
    })
}

/// Reads an answer, at first at the slow rate if `slowly`. Returns whether it came whole.
fn read_answer(
    address: SocketAddr,
    class: &str,
    txn: &str,
    slowly: bool,
    cut_off: &CutOff,
    record: &Record,
) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(request(class, txn, 1000).as_bytes())?;
    let began = Instant::now();
    let (mut read, mut head_end, mut head) = (0usize, None, Vec::new());
    let mut buffer = vec![0; 16_000];
    let mut longest_pause = Duration::ZERO;
    let mut last = Instant::now();
    let ended = loop {
        let slow = slowly && began.elapsed() < SLOW_FOR && !cut_off.lock().unwrap().iter().any(|t| t == txn);
        let mut take = buffer.len();
        if slow {
            let allowed = (began.elapsed().as_secs_f64() * SLOW_RATE as f64) as usize;
            if allowed < read + 3200 {
                std::thread::sleep(Duration::from_millis(10));
                continue;
            }
            take = 3200;
        }
        match stream.read(&mut buffer[..take]) {
            Ok(0) => break "the end of the connection",
            Ok(count) => {
                if head_end.is_none() {
                    head.extend_from_slice(&buffer[..count]);
                    head_end = head.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4);
                }
                read += count;
                if slow {
                    longest_pause = longest_pause.max(last.elapsed());
                }
                last = Instant::now();
                if head_end.is_some_and(|end| read >= end + ANSWER_BYTES) {
                    break "the last byte";
                }
            }
            Err(_) => break "a broken connection",
        }
    };
    let body = read.saturating_sub(head_end.unwrap_or(read));
    record.line(format!(
        "client: {class} {txn}: {body} of {ANSWER_BYTES} bytes, then {ended}, after {:.1} s; the longest pause between two reads was {:.0} ms",
        began.elapsed().as_secs_f64(),
        longest_pause.as_secs_f64() * 1e3
    ));
    Ok(body == ANSWER_BYTES)
}

pub fn run(record: &Record, trouble: bool) -> Verdict {
    match play(record, trouble) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::CouldNotRun(error.to_string()),
    }
}

fn play(record: &Record, trouble: bool) -> std::io::Result<Verdict> {
    let cut_off: CutOff = Arc::default();
    let mut hosts = Vec::new();
    for n in 0..SERVERS {
        let name = format!("s{n}");
        let dial = start_server(name.clone(), record.clone(), cut_off.clone())?;
        hosts.push(Host { dial, name });
    }
    let discovery = Discovery::start(hosts, record)?;
    let mut nodes = Vec::new();
    for n in 0..NODES {
        nodes.push(Node::start(n, NODES, &discovery, record)?);
    }
    let mut clients = Vec::new();
    for n in 0..4 {
        let (record, cut_off, address) = (record.clone(), cut_off.clone(), nodes[n % NODES].address);
        clients.push(std::thread::spawn(move || {
            let (class, slowly) = (["lookup", "lookup", "signup", "signup"][n], trouble && n % 2 == 0);
            read_answer(address, class, &format!("long{n}"), slowly, &cut_off, &record)
        }));
    }
    let (mut whole, mut cut) = (0, 0);
    for client in clients {
        match client.join().map_err(|_| std::io::Error::other("a client failed"))?? {
            true => whole += 1,
            false => cut += 1,
        }
    }
    let ended = nodes.iter_mut().any(Node::has_ended);
    let text = format!(
        "{whole} answers came whole, {cut} were cut off by their node{}",
        if ended { "; a node has ended" } else { "" }
    );
    Ok(if cut > 0 {
        Verdict::Broken(text)
    } else if ended {
        Verdict::CouldNotRun(text)
    } else {
        Verdict::Held(text)
    })
}
