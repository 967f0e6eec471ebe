//! Real nodes as child processes: started, killed, terminated and reloaded.

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

use super::stage::Harness;
use super::{config, files, SocketError};
use crate::model::time::micros;

/// How long a node may take to become ready; far more than it needs even on a busy machine.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which readiness and process exit are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of one readiness request.
const READY_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of lines of a node's log that are kept.
const LOG_TAIL_LINES: usize = 20;
/// Time beyond the longest deadline after which a terminating node is killed.
const TERMINATION_GRACE: Duration = Duration::from_millis(700);

/// Starts a node; the front load balancer sends it requests once it is ready.
pub(super) fn start(harness: &Rc<Harness>, node_index: usize) -> Result<(), SocketError> {
    write_config(harness, node_index)?;
    let mut command = Command::new(&harness.program);
    command.arg("node").arg("--workers").arg(harness.workers.to_string());
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    if harness.ledger.is_some() || harness.list_file {
        command.arg("--operators").arg(write_operators_file(harness, node_index)?);
    }
    for name in ["NAME", "LISTEN", "DISCOVERY"] {
        command.env_remove(format!("BALANCER_{name}"));
    }
    command.env("BALANCER_CONFIG", harness.folder.join(format!("node-{node_index}.json")));
    let mut child = command.spawn().map_err(|e| SocketError::Io("node", e))?;
    let incarnation = {
        let node = &mut harness.state.borrow_mut().nodes[node_index];
        (node.pid, node.up, node.expected_exit, node.address) = (Some(child.id()), true, false, None);
        node.cost.starts += 1;
        node.sampled_cpu_ms = 0.0;
        node.incarnation
    };
    if let Some(errors) = child.stderr.take() {
        spawn_local(follow_log(harness.clone(), node_index, read_log_lines(errors)));
    }
    spawn_local(wait_for_exit(harness.clone(), node_index, incarnation, Process(child)));
    spawn_local(add_to_rotation_when_ready(harness.clone(), node_index, incarnation));
    Ok(())
}

/// A child process that is killed when dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls fail harmlessly if the process has already been reaped.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Reads the lines of a log on a separate thread. A read error ends the channel in the same way as the end of
/// the log.
fn read_log_lines(errors: ChildStderr) -> mpsc::UnboundedReceiver<String> {
    let (sender, receiver) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        let lines = BufReader::new(errors).lines().map_while(Result::ok);
        lines.map(|line| sender.send(line)).all(|sent| sent.is_ok())
    });
    receiver
}

/// Reads a node's address from its log and keeps the last lines.
async fn follow_log(harness: Rc<Harness>, node_index: usize, mut lines: mpsc::UnboundedReceiver<String>) {
    while let Some(line) = lines.recv().await {
        let node = &mut harness.state.borrow_mut().nodes[node_index];
        if let Some((_, at)) = line.split_once(" listens at ") {
            node.address = at.trim().parse().ok();
        }
        if node.log_tail.len() >= LOG_TAIL_LINES {
            node.log_tail.remove(0);
        }
        node.log_tail.push(line);
    }
}

fn write_config(harness: &Rc<Harness>, node_index: usize) -> Result<(), SocketError> {
    let list_address = harness.state.borrow().nodes[node_index].list_address;
    let Some(list_address) = list_address else {
        return Err(SocketError::Node(format!("node-{node_index} has no list")));
    };
    let text = config::node_config(harness, node_index, list_address).to_string();
    let file = harness.folder.join(format!("node-{node_index}.json"));
    let next = harness.folder.join(format!("node-{node_index}.next"));
    // Replaced atomically: a node may read it at any time.
    std::fs::write(&next, text)
        .and_then(|()| std::fs::rename(&next, &file))
        .map_err(|e| SocketError::Io("configuration", e))
}

/// Writes the operators' file of a node that keeps a ledger or reads the server list from a file.
fn write_operators_file(harness: &Rc<Harness>, node_index: usize) -> Result<PathBuf, SocketError> {
    let text = |value: &str| toml::Value::String(value.to_string());
    let mut lines = String::new();
    if let Some(promise) = &harness.ledger {
        let directory = harness.folder.join(format!("node-{node_index}-ledger"));
        let (directory, promise) = (text(&directory.to_string_lossy()), text(promise));
        lines += &format!("[ledger]\ndirectory = {directory}\npromise = {promise}\n");
    }
    if harness.list_file {
        // The schedule may remove most servers at once on purpose, so the node must not hold back such a
        // change.
        lines += &format!(
            "[boxes]\nhold_s = 0.0\nfile = {}\n",
            text(&files::list_path(harness).to_string_lossy())
        );
    }
    let file = harness.folder.join(format!("node-{node_index}.toml"));
    std::fs::write(&file, lines).map_err(|e| SocketError::Io("operators' file", e))?;
    Ok(file)
}

/// Waits for a process to exit. An exit that the harness did not cause counts as a crash.
async fn wait_for_exit(harness: Rc<Harness>, node_index: usize, incarnation: u32, mut process: Process) {
    // An error of `try_wait` counts as an exit.
    while matches!(process.0.try_wait(), Ok(None)) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let crashed = {
        let node = &mut harness.state.borrow_mut().nodes[node_index];
        if node.incarnation != incarnation {
            return;
        }
        let crashed = !node.expected_exit;
        (node.up, node.pid, node.in_rotation) = (false, None, node.in_rotation && crashed);
        node.incarnation += 1;
        node.cost.crashes += u32::from(crashed);
        crashed
    };
    if crashed {
        let message = harness.state.borrow().nodes[node_index].log_tail.last().cloned().unwrap_or_default();
        harness.record_error(format!("node-{node_index} ended by itself: {message}"));
        remove_from_rotation_later(&harness, node_index);
    }
}

async fn add_to_rotation_when_ready(harness: Rc<Harness>, node_index: usize, incarnation: u32) {
    loop {
        let at = {
            let node = &harness.state.borrow().nodes[node_index];
            if node.incarnation != incarnation {
                return;
            }
            node.address
        };
        if let Some(at) = at {
            if timeout(READY_RESPONSE_TIMEOUT, is_ready(at)).await.unwrap_or(false) {
                let node = &mut harness.state.borrow_mut().nodes[node_index];
                node.in_rotation = node.incarnation == incarnation;
                return;
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn is_ready(at: std::net::SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(at).await else { return false };
    let Ok((mut send, conn)) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await else {
        return false;
    };
    let conn = spawn_local(async move {
        // The request sees any error of the connection.
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
///
/// # Errors
/// Returns the first recorded error of the harness, or the last log lines of a node that is not ready in
/// time.
pub(super) async fn wait_ready(harness: &Rc<Harness>) -> Result<(), SocketError> {
    let all = async {
        while !harness.state.borrow().nodes.iter().all(|node| node.in_rotation) {
            if let Some(message) = harness.state.borrow().errors.first() {
                return Err(SocketError::Node(message.clone()));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    };
    match timeout(STARTUP_TIMEOUT, all).await {
        Ok(ready) => ready,
        Err(_) => {
            let state = harness.state.borrow();
            let unready = state.nodes.iter().find(|node| !node.in_rotation);
            let message =
                unready.map(|node| format!("{} is not ready: {}", node.cost.name, node.log_tail.join("; ")));
            Err(SocketError::Node(message.unwrap_or_default()))
        }
    }
}

fn signal(harness: &Rc<Harness>, node_index: usize, signal: Signal) {
    if let Some(pid) = harness.state.borrow().nodes[node_index].pid {
        // An error means that the process has just ended. The cast is safe: Linux process ids are far below
        // `i32::MAX`.
        let _ = send_signal(Pid::from_raw(pid as i32), signal);
    }
}

/// Kills a node; its clients must retry the requests that it held.
pub(super) fn kill(harness: &Rc<Harness>, node_index: usize) {
    sample_costs(harness);
    {
        let state = &mut *harness.state.borrow_mut();
        state.nodes[node_index].expected_exit = true;
        state.referee.node_killed(node_index);
    }
    signal(harness, node_index, Signal::SIGKILL);
    {
        let node = &mut harness.state.borrow_mut().nodes[node_index];
        (node.up, node.pid) = (false, None);
        node.incarnation += 1;
    }
    remove_from_rotation_later(harness, node_index);
}

/// Makes the front load balancer stop sending to a dead node after its detection delay.
fn remove_from_rotation_later(harness: &Rc<Harness>, node_index: usize) {
    let delay = Duration::from_micros(micros(harness.site.nodes.noticed_after_ms));
    let harness = harness.clone();
    spawn_local(async move {
        tokio::time::sleep(delay).await;
        let node = &mut harness.state.borrow_mut().nodes[node_index];
        node.in_rotation &= node.up;
    });
}

/// Terminates a node: it gets no new requests and has time to finish those it holds before it is killed.
pub(super) fn terminate(harness: &Rc<Harness>, node_index: usize) {
    sample_costs(harness);
    let incarnation = {
        let node = &mut harness.state.borrow_mut().nodes[node_index];
        node.expected_exit = true;
        node.in_rotation = false;
        node.incarnation
    };
    signal(harness, node_index, Signal::SIGTERM);
    let longest = harness.site.longest_deadline_ms();
    let grace = Duration::from_secs_f64(longest / 1000.0) + TERMINATION_GRACE;
    let harness = harness.clone();
    spawn_local(async move {
        tokio::time::sleep(grace).await;
        if harness.state.borrow().nodes[node_index].incarnation == incarnation {
            kill(&harness, node_index);
        }
    });
}

/// Rewrites a node's configuration and signals the node to reload it.
pub(super) fn reload(harness: &Rc<Harness>, node_index: usize) -> Result<(), SocketError> {
    write_config(harness, node_index)?;
    signal(harness, node_index, Signal::SIGHUP);
    Ok(())
}

/// Updates the CPU time and peak memory of all running nodes.
pub(super) fn sample_costs(harness: &Rc<Harness>) {
    for node in &mut harness.state.borrow_mut().nodes {
        let Some(pid) = node.pid else { continue };
        if let Some((cpu_ms, memory_kib)) = process_cost(pid) {
            node.cost.cpu_ms += cpu_ms - node.sampled_cpu_ms;
            node.sampled_cpu_ms = cpu_ms;
            node.cost.memory_kib = node.cost.memory_kib.max(memory_kib);
        }
    }
}

/// CPU time in milliseconds and peak memory in KiB of a process with all its threads.
fn process_cost(pid: u32) -> Option<(f64, u64)> {
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

/// Terminates all nodes and waits for them to exit.
pub(super) async fn stop_all(harness: &Rc<Harness>) {
    for node_index in 0..harness.site.nodes.count {
        terminate(harness, node_index);
    }
    let all = async {
        while harness.state.borrow().nodes.iter().any(|node| node.up) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    // Nodes that take longer are killed when their handles are dropped.
    let _ = timeout(2 * STARTUP_TIMEOUT, all).await;
}
