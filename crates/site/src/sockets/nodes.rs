//! Real nodes as processes: started, killed, told to end and told to reload.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use http_body_util::Empty;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use nix::sys::signal::{kill as send_signal, Signal};
use nix::unistd::Pid;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::stage::Stage;
use super::{config, files, SocketError};
use crate::model::time::micros;

/// How long a node may take to be ready: far more than it does, on a busy machine too.
const READY_WITHIN: Duration = Duration::from_secs(20);
/// How often a node is asked whether it is ready.
const ASK: Duration = Duration::from_millis(20);
/// How long one answer to that may take.
const ANSWER: Duration = Duration::from_millis(500);
/// Lines of a node's log that are kept.
const LAST_WORDS: usize = 20;
/// How much longer than the longest deadline a node that was told to end has.
const PATIENCE: Duration = Duration::from_millis(700);

/// Starts a node; it is dealt requests once it is ready.
pub(super) fn start(stage: &Rc<Stage>, n: usize) -> Result<(), SocketError> {
    write_config(stage, n)?;
    let mut command = Command::new(&stage.program);
    command.arg("node").arg("--workers").arg(stage.workers.to_string());
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    if stage.ledger.is_some() || stage.list_file {
        command.arg("--operators").arg(write_operators(stage, n)?);
    }
    for name in ["NAME", "LISTEN", "DISCOVERY"] {
        command.env_remove(format!("BALANCER_{name}"));
    }
    command.env("BALANCER_CONFIG", stage.folder.join(format!("node-{n}.json")));
    let mut child = command.spawn().map_err(|e| SocketError::Io("node", e))?;
    let life = {
        let node = &mut stage.state.borrow_mut().nodes[n];
        (node.pid, node.up, node.ends, node.at) = (Some(child.id()), true, false, None);
        node.cost.starts += 1;
        node.cpu_ms = 0.0;
        node.life
    };
    if let Some(errors) = child.stderr.take() {
        spawn_local(follow_log(stage.clone(), n, lines(errors)));
    }
    spawn_local(reap(stage.clone(), n, life, Process(child)));
    spawn_local(deal_when_ready(stage.clone(), n, life));
    Ok(())
}

/// A process that is killed where nobody waits for it any more.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // One that has ended needs neither.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The lines of a log, read by a thread of their own. A log that can't be read ends like one that is closed.
fn lines(errors: ChildStderr) -> mpsc::UnboundedReceiver<String> {
    let (tell, told) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        let lines = BufReader::new(errors).lines().map_while(Result::ok);
        lines.map(|line| tell.send(line)).all(|sent| sent.is_ok())
    });
    told
}

/// Notes where a node listens, and its last words.
async fn follow_log(stage: Rc<Stage>, n: usize, mut lines: mpsc::UnboundedReceiver<String>) {
    while let Some(line) = lines.recv().await {
        let node = &mut stage.state.borrow_mut().nodes[n];
        if let Some((_, at)) = line.split_once(" listens at ") {
            node.at = at.trim().parse().ok();
        }
        if node.last_words.len() >= LAST_WORDS {
            node.last_words.remove(0);
        }
        node.last_words.push(line);
    }
}

fn write_config(stage: &Rc<Stage>, n: usize) -> Result<(), SocketError> {
    let list_at = stage.state.borrow().nodes[n].list_at;
    let Some(list_at) = list_at else { return Err(SocketError::Node(format!("node-{n} has no list"))) };
    let text = config::of_node(stage, n, list_at).to_string();
    let file = stage.folder.join(format!("node-{n}.json"));
    let next = stage.folder.join(format!("node-{n}.next"));
    // Replaced as a whole: a node may read it at any time.
    std::fs::write(&next, text)
        .and_then(|()| std::fs::rename(&next, &file))
        .map_err(|e| SocketError::Io("configuration", e))
}

/// The operators' file of a node that keeps a ledger, or has its list from a file.
fn write_operators(stage: &Rc<Stage>, n: usize) -> Result<PathBuf, SocketError> {
    let text = |words: &str| toml::Value::String(words.to_string());
    let mut lines = String::new();
    if let Some(promise) = &stage.ledger {
        let directory = stage.folder.join(format!("node-{n}-ledger"));
        let (directory, promise) = (text(&directory.to_string_lossy()), text(promise));
        lines += &format!("[ledger]\ndirectory = {directory}\npromise = {promise}\n");
    }
    if stage.list_file {
        // The schedule may take most boxes away at once, and means it.
        lines += &format!("[boxes]\nhold_s = 0.0\nfile = {}\n", text(&files::place(stage).to_string_lossy()));
    }
    let file = stage.folder.join(format!("node-{n}.toml"));
    std::fs::write(&file, lines).map_err(|e| SocketError::Io("operators' file", e))?;
    Ok(file)
}

/// Waits for a process's end. One that the schedule did not want is a crash.
async fn reap(stage: Rc<Stage>, n: usize, life: u32, mut process: Process) {
    // A process that can't be waited for is as good as gone.
    while matches!(process.0.try_wait(), Ok(None)) {
        tokio::time::sleep(ASK).await;
    }
    let crashed = {
        let node = &mut stage.state.borrow_mut().nodes[n];
        if node.life != life {
            return;
        }
        let crashed = !node.ends;
        (node.up, node.pid, node.dealt) = (false, None, node.dealt && crashed);
        node.life += 1;
        node.cost.crashes += u32::from(crashed);
        crashed
    };
    if crashed {
        let words = stage.state.borrow().nodes[n].last_words.last().cloned().unwrap_or_default();
        stage.trouble(format!("node-{n} ended by itself: {words}"));
        front_notices(&stage, n);
    }
}

async fn deal_when_ready(stage: Rc<Stage>, n: usize, life: u32) {
    loop {
        let at = {
            let node = &stage.state.borrow().nodes[n];
            if node.life != life {
                return;
            }
            node.at
        };
        if let Some(at) = at {
            if timeout(ANSWER, is_ready(at)).await.unwrap_or(false) {
                let node = &mut stage.state.borrow_mut().nodes[n];
                node.dealt = node.life == life;
                return;
            }
        }
        tokio::time::sleep(ASK).await;
    }
}

async fn is_ready(at: std::net::SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(at).await else { return false };
    let Ok((mut send, conn)) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await else {
        return false;
    };
    let conn = spawn_local(async move {
        // What breaks it is seen by the request.
        let _ = conn.await;
    });
    let request =
        Request::get("/ready").header("host", "service.internal").body(Empty::<bytes::Bytes>::new());
    let Ok(request) = request else { return false };
    let ready = send.send_request(request).await.is_ok_and(|a| a.status() == StatusCode::OK);
    conn.abort();
    ready
}

/// Waits until all nodes are ready.
pub(super) async fn wait_ready(stage: &Rc<Stage>) -> Result<(), SocketError> {
    let all = async {
        while !stage.state.borrow().nodes.iter().all(|n| n.dealt) {
            if let Some(words) = stage.state.borrow().troubles.first() {
                return Err(SocketError::Node(words.clone()));
            }
            tokio::time::sleep(ASK).await;
        }
        Ok(())
    };
    match timeout(READY_WITHIN, all).await {
        Ok(ready) => ready,
        Err(_) => {
            let state = stage.state.borrow();
            let late = state.nodes.iter().find(|n| !n.dealt);
            let words = late.map(|n| format!("{} is not ready: {}", n.cost.name, n.last_words.join("; ")));
            Err(SocketError::Node(words.unwrap_or_default()))
        }
    }
}

fn signal(stage: &Rc<Stage>, n: usize, signal: Signal) {
    if let Some(pid) = stage.state.borrow().nodes[n].pid {
        // A process that has just ended needs no signal; ids here are the system's own, far below the bound.
        let _ = send_signal(Pid::from_raw(pid as i32), signal);
    }
}

/// Kills a node: what it held is its clients' to repeat.
pub(super) fn kill(stage: &Rc<Stage>, n: usize) {
    sample(stage);
    {
        let state = &mut *stage.state.borrow_mut();
        state.nodes[n].ends = true;
        state.referee.node_killed(n);
    }
    signal(stage, n, Signal::SIGKILL);
    {
        let node = &mut stage.state.borrow_mut().nodes[n];
        (node.up, node.pid) = (false, None);
        node.life += 1;
    }
    front_notices(stage, n);
}

/// The front goes on dealing to a dead node until it notices.
fn front_notices(stage: &Rc<Stage>, n: usize) {
    let span = Duration::from_micros(micros(stage.site.nodes.noticed_after_ms));
    let stage = stage.clone();
    spawn_local(async move {
        tokio::time::sleep(span).await;
        let node = &mut stage.state.borrow_mut().nodes[n];
        node.dealt &= node.up;
    });
}

/// Tells a node to end: it gets nothing new soon, and has time to finish what it holds.
pub(super) fn end(stage: &Rc<Stage>, n: usize) {
    sample(stage);
    let life = {
        let node = &mut stage.state.borrow_mut().nodes[n];
        node.ends = true;
        node.dealt = false;
        node.life
    };
    signal(stage, n, Signal::SIGTERM);
    let longest = stage.site.longest_deadline_ms();
    let patience = Duration::from_secs_f64(longest / 1000.0) + PATIENCE;
    let stage = stage.clone();
    spawn_local(async move {
        tokio::time::sleep(patience).await;
        if stage.state.borrow().nodes[n].life == life {
            kill(&stage, n);
        }
    });
}

/// Writes a node's configuration anew and tells it.
pub(super) fn reload(stage: &Rc<Stage>, n: usize) -> Result<(), SocketError> {
    write_config(stage, n)?;
    signal(stage, n, Signal::SIGHUP);
    Ok(())
}

/// Looks at what the nodes have cost so far.
pub(super) fn sample(stage: &Rc<Stage>) {
    for node in &mut stage.state.borrow_mut().nodes {
        let Some(pid) = node.pid else { continue };
        if let Some((cpu_ms, memory_kib)) = cost_of(pid) {
            node.cost.cpu_ms += cpu_ms - node.cpu_ms;
            node.cpu_ms = cpu_ms;
            node.cost.memory_kib = node.cost.memory_kib.max(memory_kib);
        }
    }
}

/// CPU time in milliseconds, and the most memory held in KiB, of a process with all its threads.
fn cost_of(pid: u32) -> Option<(f64, u64)> {
    let mut nanoseconds = 0u64;
    for task in std::fs::read_dir(format!("/proc/{pid}/task")).ok()? {
        let text = std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
        nanoseconds += text.split_whitespace().next()?.parse::<u64>().ok()?;
    }
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let memory = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
    let memory = memory.split_whitespace().next()?.parse().ok()?;
    Some((nanoseconds as f64 / 1e6, memory))
}

/// Ends all nodes, in order where they let it.
pub(super) async fn stop_all(stage: &Rc<Stage>) {
    for n in 0..stage.site.nodes.count {
        end(stage, n);
    }
    let all = async {
        while stage.state.borrow().nodes.iter().any(|n| n.up) {
            tokio::time::sleep(ASK).await;
        }
    };
    // Those that take longer are killed when their handles are dropped.
    let _ = timeout(2 * READY_WITHIN, all).await;
}
