//! The cost of a node's request path: a real node between 64 client connections and app boxes that answer at once.
//!
//! Each program that is named is run before the same boxes, one after the other and with the machine to itself:
//! requests a second and CPU a request at full load, latency at full and at half load against the same clients going
//! straight to the boxes, and, where `--strace` is given, the system calls of a request. It does no more than a client
//! and a box must, so that the node is what is measured. `docs/measurements/path.sh` runs it.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};

type Failure = Box<dyn std::error::Error>;

/// Connections of clients.
const CLIENTS: usize = 64;
/// How many boxes one client goes to where it goes straight: more would be more connections than a process may have.
const BOXES_EACH: usize = 32;
/// How long each load lasts before it is measured, and while it is.
const SETTLE: Duration = Duration::from_millis(700);
const MEASURE: Duration = Duration::from_secs(2);

/// Requests are signups, which a ledger notes, and not lookups.
static SIGNUPS: AtomicBool = AtomicBool::new(false);
/// Numbers the loads, so that no two of a run share an id.
static LOADS: AtomicU64 = AtomicU64::new(0);
const USE: &str =
    "PROGRAM... [--boxes=10,100,400] [--workers=1,2] [--ledger=off,process-crash,power-loss] [--strace]";

fn main() -> Result<(), Failure> {
    let mut ledgers = vec!["off".to_string()];
    let mut sizes = vec![10, 100, 400];
    let (mut programs, mut strace, mut workers) = (Vec::new(), false, vec![1]);
    for word in std::env::args().skip(1) {
        match word.strip_prefix("--") {
            Some("strace") => strace = true,
            Some(other) if other.starts_with("workers=") => {
                let list = other.trim_start_matches("workers=");
                workers = list.split(',').map(str::parse).collect::<Result<_, _>>()?;
            }
            Some(other) if other.starts_with("ledger=") => {
                let list = other.trim_start_matches("ledger=");
                ledgers = list.split(',').map(str::to_string).collect();
                SIGNUPS.store(true, Ordering::Relaxed);
            }
            Some(other) => match other.strip_prefix("boxes=") {
                Some(list) => sizes = list.split(',').map(str::parse).collect::<Result<_, _>>()?,
                None => return Err(format!("--{other}: unknown; {USE}").into()),
            },
            None => programs.push(PathBuf::from(word)),
        }
    }
    if programs.is_empty() {
        return Err(format!("no program; {USE}").into());
    }
    println!(
        "{:<34} {:>5} {:>9} {:>7} {:>6} {:>9} {:>9} {:>10} {:>9} {:>9} {:>10} {:>6}",
        "program",
        "boxes",
        "per s",
        "CPU us",
        "calls",
        "full p50",
        "full p99",
        "full p99.9",
        "half p50",
        "half p99",
        "half p99.9",
        "MB"
    );
    for boxes in sizes {
        let at = serve_boxes(boxes)?;
        let straight = on_runtime(|| load(at.clone(), None))?;
        let rate = straight.per_s() / 4.0;
        let half = on_runtime(|| load(at.clone(), Some(rate)))?;
        row("straight to the boxes", boxes, &straight, &half, None, None);
        for program in &programs {
            for count in &workers {
                for ledger in &ledgers {
                    on_runtime(|| measure(program, *count, ledger, at.clone(), strace))?;
                }
            }
        }
    }
    Ok(())
}

fn on_runtime<T, F: std::future::Future<Output = Result<T, Failure>>>(
    what: impl FnOnce() -> F,
) -> Result<T, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, what())
}

/// Boxes on a thread of their own, for as long as the program runs.
fn serve_boxes(count: usize) -> Result<Rc<[SocketAddr]>, Failure> {
    let (told, at) = mpsc::channel();
    std::thread::spawn(move || {
        let served = on_runtime(|| async move {
            for _ in 0..count {
                let listener = TcpListener::bind("127.0.0.1:0").await?;
                told.send(listener.local_addr()?)?;
                spawn_local(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        // A connection that breaks is its client's to see.
                        spawn_local(async move { answer_all(stream).await.unwrap_or(()) });
                    }
                });
            }
            drop(told);
            std::future::pending::<Result<(), Failure>>().await
        });
        if let Err(error) = served {
            eprintln!("boxes: {error}");
        }
    });
    let at: Rc<[SocketAddr]> = at.iter().collect();
    if at.len() < count {
        return Err(format!("{} of {count} boxes came up: too few descriptors?", at.len()).into());
    }
    Ok(at)
}

async fn answer_all(mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut head = Vec::with_capacity(2048);
    loop {
        head.clear();
        while !head.ends_with(b"\r\n\r\n") {
            if stream.read_buf(&mut head).await? == 0 {
                return Ok(());
            }
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 64\r\n\r\n").await?;
        stream.write_all(&[b'.'; 64]).await?;
    }
}

/// What a load saw.
struct Seen {
    latency: Histogram<u64>,
    failed: u64,
    span: Duration,
}

impl Seen {
    fn per_s(&self) -> f64 {
        self.latency.len() as f64 / self.span.as_secs_f64()
    }
}

/// 64 clients that ask one after the other, with a rate at times of their own.
async fn load(to: Rc<[SocketAddr]>, rate: Option<f64>) -> Result<Seen, Failure> {
    let begin = Instant::now() + SETTLE;
    LOADS.fetch_add(1, Ordering::Relaxed);
    let tasks: Vec<_> = (0..CLIENTS).map(|n| spawn_local(ask_all(to.clone(), n, rate, begin))).collect();
    let mut all = Seen { latency: Histogram::new_with_max(60_000_000, 3)?, failed: 0, span: MEASURE };
    for task in tasks {
        let (latency, failed) = task.await?.map_err(|e| format!("a client: {e}"))?;
        all.latency.add(latency)?;
        all.failed += failed;
    }
    Ok(all)
}

async fn ask_all(
    to: Rc<[SocketAddr]>,
    n: usize,
    rate: Option<f64>,
    begin: Instant,
) -> std::io::Result<(Histogram<u64>, u64)> {
    let mut latency = Histogram::new_with_max(60_000_000, 3).map_err(std::io::Error::other)?;
    let mut conns: Vec<Option<TcpStream>> = to.iter().map(|_| None).collect();
    let mut failed = 0;
    let mut meant = Instant::now();
    if let Some(rate) = rate {
        meant += Duration::from_secs_f64(n as f64 / rate);
    }
    for number in 0u64.. {
        if let Some(rate) = rate {
            tokio::time::sleep_until(meant.into()).await;
            meant += Duration::from_secs_f64(CLIENTS as f64 / rate);
        }
        // From when it asks: the runtime's timers are a millisecond coarse, which is many times what is measured.
        let sent = Instant::now();
        if sent >= begin + MEASURE {
            break;
        }
        let place = (n * BOXES_EACH + number as usize % BOXES_EACH) % to.len();
        let stream = match &mut conns[place] {
            Some(stream) => stream,
            none => {
                let stream = TcpStream::connect(to[place]).await?;
                stream.set_nodelay(true)?;
                none.insert(stream)
            }
        };
        let good = ask(stream, n, number).await?;
        if sent >= begin {
            failed += u64::from(!good);
            if good {
                latency.saturating_record(sent.elapsed().as_micros() as u64);
            }
        }
    }
    Ok((latency, failed))
}

async fn ask(stream: &mut TcpStream, n: usize, number: u64) -> std::io::Result<bool> {
    let (line, load) = match SIGNUPS.load(Ordering::Relaxed) {
        true => ("POST /signup/member HTTP/1.1\r\ncontent-length: 0", LOADS.load(Ordering::Relaxed)),
        false => ("GET /lookup/member HTTP/1.1", 0),
    };
    let request = format!(
        "{line}\r\nhost: clubs\r\nx-txn: {load}-{n}-{number}\r\nx-remaining-ms: 2000\r\n\
         x-org: punjab-clubs\r\ncookie: m={n}\r\nx-estimate: 1\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await?;
    let mut answer = Vec::with_capacity(512);
    loop {
        if stream.read_buf(&mut answer).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let Some(head) = answer.windows(4).position(|w| w == b"\r\n\r\n") else { continue };
        let text = String::from_utf8_lossy(&answer[..head]).to_ascii_lowercase();
        let length =
            text.lines().find_map(|l| l.strip_prefix("content-length:")?.trim().parse().ok()).unwrap_or(0);
        if answer.len() >= head + 4 + length {
            return Ok(text.starts_with("http/1.1 200"));
        }
    }
}

fn row(name: &str, boxes: usize, full: &Seen, half: &Seen, cpu: Option<(f64, f64)>, calls: Option<f64>) {
    let at = |s: &Seen, q: f64| s.latency.value_at_quantile(q) as f64 / 1000.0;
    let (cpu, memory) =
        cpu.map_or((String::new(), String::new()), |(c, m)| (format!("{c:.1}"), format!("{m:.1}")));
    let calls = calls.map_or(String::new(), |c| format!("{c:.2}"));
    println!(
        "{name:<34} {boxes:>5} {:>9.0} {cpu:>7} {calls:>6} {:>9.3} {:>9.3} {:>10.3} {:>9.3} {:>9.3} {:>10.3} {memory:>6}",
        full.per_s(),
        at(full, 0.5),
        at(full, 0.99),
        at(full, 0.999),
        at(half, 0.5),
        at(half, 0.99),
        at(half, 0.999),
    );
    if full.failed + half.failed > 0 {
        println!("  {} requests failed", full.failed + half.failed);
    }
}

async fn measure(
    program: &Path,
    workers: usize,
    ledger: &str,
    at: Rc<[SocketAddr]>,
    strace: bool,
) -> Result<(), Failure> {
    let list = serve_list(at.clone()).await?;
    let folder = std::env::temp_dir().join(format!("path-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let file = folder.join("node.json");
    std::fs::write(&file, config(list, &at).to_string())?;
    let mut args = Vec::new();
    let lies = folder.join("ledger");
    if ledger != "off" {
        let text = format!("[ledger]\ndirectory = {:?}\npromise = {ledger:?}\n", lies.to_string_lossy());
        let operators = folder.join("operators.toml");
        std::fs::write(&operators, text)?;
        args = vec!["--operators".to_string(), operators.to_string_lossy().into_owned()];
    }
    let (mut node, to) = start(program, workers, &args, &file).await?;
    let pid = node.id();
    let to: Rc<[SocketAddr]> = Rc::from([to]);
    let before = Box::pin(async {
        tokio::time::sleep(SETTLE).await;
        let before = cost_of(pid);
        tokio::time::sleep(MEASURE).await;
        (before, cost_of(pid))
    });
    let (full, (began, ended)) = tokio::join!(load(to.clone(), None), before);
    let full = full?;
    let cpu_us = (ended.0 - began.0) / 1000.0 / full.latency.len().max(1) as f64;
    let half = load(to.clone(), Some(full.per_s() / 2.0)).await?;
    let calls = if strace { Some(count_calls(pid, to, &folder, full.per_s() / 8.0).await?) } else { None };
    let name = program.display().to_string();
    let mut name = format!("{} x{workers}", &name[name.len().saturating_sub(19)..]);
    if SIGNUPS.load(Ordering::Relaxed) {
        name = format!("ledger {ledger}");
    }
    row(&name, at.len(), &full, &half, Some((cpu_us, ended.1)), calls.as_ref().map(|c| c.0));
    if ledger != "off" {
        let read = Command::new(program).args(["ledger", "verify", "--json"]).arg(&lies).output()?;
        let read: Value = serde_json::from_slice(&read.stdout)?;
        let records = read["records"].as_f64().unwrap_or(f64::NAN);
        let mut bytes = 0;
        for file in std::fs::read_dir(&lies)? {
            bytes += file?.metadata()?.len();
        }
        println!(
            "  {:.0} bytes a request in the ledger, {} open",
            3.0 * bytes as f64 / records,
            read["open"]
        );
    }
    if let Some((_, names)) = calls {
        println!("  {names}");
    }
    kill(Pid::from_raw(pid as i32), Signal::SIGTERM)?;
    wait_for_end(&mut node).await?;
    Ok(std::fs::remove_dir_all(&folder)?)
}

/// Waits for a process's end, while everything else goes on.
async fn wait_for_end(process: &mut Child) -> Result<(), Failure> {
    while process.try_wait()?.is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok(())
}

/// System calls a request at a part of the load, as tracing slows the node down; the most frequent by name.
async fn count_calls(
    pid: u32,
    to: Rc<[SocketAddr]>,
    folder: &Path,
    rate: f64,
) -> Result<(f64, String), Failure> {
    let counts = folder.join("calls");
    let mut tracer = Command::new("strace")
        .args(["-f", "-c", "-U", "calls,name", "-p", &pid.to_string(), "-o"])
        .arg(&counts)
        .stderr(Stdio::null())
        .spawn()?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    // All requests count here, so the load is counted whole.
    let begin = Instant::now();
    let tasks: Vec<_> =
        (0..CLIENTS).map(|n| spawn_local(ask_all(to.clone(), n, Some(rate), begin))).collect();
    let mut asked = 0;
    for task in tasks {
        let (latency, failed) = task.await??;
        asked += latency.len() + failed;
    }
    kill(Pid::from_raw(tracer.id() as i32), Signal::SIGINT)?;
    wait_for_end(&mut tracer).await?;
    let text = std::fs::read_to_string(&counts)?;
    let mut calls: Vec<(f64, &str)> = text
        .lines()
        .filter_map(|l| l.trim().split_once(char::is_whitespace))
        .filter_map(|(count, name)| Some((count.parse().ok()?, name.trim())))
        .filter(|(_, name)| *name != "total")
        .collect();
    calls.sort_by(|a, b| b.0.total_cmp(&a.0));
    let each = |count: f64| count / asked.max(1) as f64;
    let names: Vec<String> = calls.iter().take(6).map(|(c, n)| format!("{n} {:.2}", each(*c))).collect();
    Ok((each(calls.iter().map(|c| c.0).sum()), names.join(", ")))
}

/// CPU time in nanoseconds of all threads, and the most memory held in MB.
fn cost_of(pid: u32) -> (f64, f64) {
    let mut spent = 0.0;
    for task in std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten() {
        let text = std::fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        spent += text.split_whitespace().next().and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0);
    }
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let memory =
        status.lines().find_map(|l| l.strip_prefix("VmHWM:")?.split_whitespace().next()?.parse::<f64>().ok());
    (spent, memory.unwrap_or(0.0) / 1024.0)
}

/// Starts a node on the first core, or the first ones, one for each worker; where it listens.
async fn start(
    program: &Path,
    workers: usize,
    args: &[String],
    config: &Path,
) -> Result<(Child, SocketAddr), Failure> {
    let mut node = Command::new("taskset")
        .args(["-c", &format!("0-{}", workers - 1)])
        .arg(program)
        .arg("node")
        // A program from before there were workers knows no such argument.
        .args(if workers > 1 { vec!["--workers".to_string(), workers.to_string()] } else { Vec::new() })
        .args(args)
        .env("BALANCER_CONFIG", config)
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()?;
    let errors = node.stderr.take().ok_or("no log")?;
    let mut lines = BufReader::new(errors).lines();
    while let Some(line) = lines.next().transpose()? {
        if let Some((_, at)) = line.split_once(" listens at ") {
            let at = at.trim().parse()?;
            std::thread::spawn(move || lines.map_while(Result::ok).for_each(drop));
            // It has the list within moments; what comes before that would be measured as failed.
            tokio::time::sleep(Duration::from_millis(500)).await;
            return Ok((node, at));
        }
    }
    Err("the node ended before it listened".into())
}

fn hosts(at: &[SocketAddr]) -> Vec<Value> {
    let host = |(n, at): (usize, &SocketAddr)| {
        json!({"host": format!("box-{n:05}"), "dial": at.to_string(), "site": "lahore", "class": "plain", "block": 0,
               "health": "active", "share": 1.0, "born_ms": 0.0})
    };
    at.iter().enumerate().map(host).collect()
}

/// A box list that never changes.
async fn serve_list(at: Rc<[SocketAddr]>) -> Result<SocketAddr, Failure> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let own = listener.local_addr()?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let at = at.clone();
            spawn_local(async move { tell(stream, &at).await.unwrap_or(()) });
        }
    });
    Ok(own)
}

async fn tell(mut stream: TcpStream, at: &[SocketAddr]) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read_buf(&mut head).await? == 0 {
            return Ok(());
        }
    }
    if !String::from_utf8_lossy(&head).contains("from=") {
        let text = json!({"seq": 1, "whole": true, "hosts": hosts(at)}).to_string();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
        return stream.write_all(answer.as_bytes()).await;
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    loop {
        stream.write_all(b"1\r\n\n\r\n").await?;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

fn config(list: SocketAddr, at: &[SocketAddr]) -> Value {
    json!({
        "name": "node-0", "listen": "127.0.0.1:0", "discovery": list.to_string(), "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 2048},
        "known": {"seq": 0, "whole": true, "hosts": hosts(at)},
        "settings": {
            "Classes": [
                {"Name": "lookup", "Slo": 500.0, "Deadline": 2000.0, "Value": 1.0, "LateValue": 0.0,
                    "Idempotency": "pure"},
                {"Name": "signup", "Slo": 500.0, "Deadline": 2000.0, "Value": 1.0, "LateValue": 0.0,
                    "Idempotency": "side_effect"},
            ],
            "Customers": [{"Name": "punjab-clubs", "QuotaPerS": 1e6}],
            "Contract": {"AskWithin": 10000.0, "ColdShare": 0.2, "WarmWithin": 20000.0, "FallMultiple": 3.0,
                "Fall": 1000.0, "DrainGrace": 750.0},
            "Goal": {"Whole": 1.0, "WorstWindow": 0.0, "WorstClass": 0.0, "WorstTenant": 0.0},
            "Discovery": "subscribe", "Weights": "nominal", "OverShareWorth": 0.5, "Me": 0, "PeersTotal": 1,
            "Tick": 1.0,
            "Limits": {"AttemptsCap": 3, "MayDuplicate": false, "Cancel": false, "Probes": false, "RetryAfter": false,
                "ConnectTimeout": 150.0, "Keepalive": 15000.0, "OpenCap": 20000},
        }
    })
}
