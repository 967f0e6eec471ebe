//! The program as a node.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::{faults, text, wait_until, Client, Message, WAIT_TIMEOUT};

/// A configuration with the classes `look` (safe), `pay` (keyed) and `slip` (unsafe).
pub fn config(discovery: SocketAddr) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"Name": name, "Idempotency": effect, "DedupScope": "cell", "MemorySpan": 20000.0, "Slo": 3000.0,
            "Deadline": 60000.0, "Value": 1.0, "LateValue": 0.5, "Stream": false})
    };
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "known": null,
        "settings": {
            "Classes": [class("look", "pure"), class("pay", "token"), class("slip", "side_effect")],
            "Contract": {"AnswerSlack": 20.0, "AskWithin": 10000.0, "ColdShare": 0.14, "DrainGrace": 500.0,
                "Fall": 2000.0, "FallMultiple": 3.0, "WarmWithin": 24000.0},
            "Customers": [], "Discovery": "subscribe", "Family": "proxy", "OverShareWorth": 1.0,
            "Goal": {"Whole": 1.0, "WorstClass": 0.0, "WorstTenant": 0.0, "WorstWindow": 0.0},
            "Limits": {"AttemptsCap": 3, "Cancel": true, "ConnectTimeout": 2000.0, "Keepalive": 60000.0,
                "MaxRetryAfter": 2000.0, "MayDuplicate": true, "OpenCap": 20000, "Probes": true,
                "RetryAfter": true},
            "Me": 0, "PeersTotal": 1, "Tick": 5.0, "Weights": "nominal", "MyZone": "a", "Zones": ["a"]}})
}

pub struct Node {
    child: Child,
    file: String,
    pub address: SocketAddr,
    management: Option<SocketAddr>,
    log: Arc<Mutex<Vec<String>>>,
}

fn command(config: &Value, descriptors: Option<usize>) -> (Command, String) {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let count = COUNT.fetch_add(1, Ordering::SeqCst);
    let file = format!("{}/config-{}-{count}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&file, config.to_string()).expect("a file");
    let program = env!("CARGO_BIN_EXE_magpietally");
    let mut command = match descriptors {
        None => {
            let mut node = Command::new(program);
            node.arg("node");
            node
        }
        Some(n) => {
            let mut shell = Command::new("sh");
            shell.arg("-c").arg(format!("ulimit -n {n}; exec '{program}' node"));
            shell
        }
    };
    for name in ["NAME", "LISTEN", "DISCOVERY"] {
        command.env_remove(format!("BALANCER_{name}"));
    }
    command.env("BALANCER_CONFIG", &file).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    (command, file)
}

/// The command of a node that inherits a socket as descriptor 3, with `BALANCER_FD` set to `fd`.
pub fn inheriting_command(config: &Value, socket: &TcpListener, fd: &str) -> (Command, String) {
    let (mut node, file) = command(config, None);
    let mut shell = Command::new("sh");
    // Arguments that are appended to this command go to the node.
    shell.args(["-c", "exec \"$0\" node \"$@\" 3<&0 0</dev/null", env!("CARGO_BIN_EXE_magpietally")]);
    shell.envs(node.get_envs().filter_map(|(name, value)| Some((name, value?)))).env("BALANCER_FD", fd);
    let socket = socket.try_clone().expect("a descriptor");
    shell.stdin(std::os::fd::OwnedFd::from(socket)).stdout(Stdio::null()).stderr(Stdio::piped());
    std::mem::swap(&mut node, &mut shell);
    (node, file)
}

/// Creates a named pipe without a writer.
pub fn make_fifo(at: &str) {
    // An earlier run may have left one.
    let _ = std::fs::remove_file(at);
    assert!(Command::new("mkfifo").arg(at).status().expect("mkfifo runs").success());
}

/// Runs the program with limited memory and this configuration file; returns its exit code and standard
/// error. It must exit by itself.
pub fn run_with_memory_limit(args: &[&str], config: &str) -> (Option<i32>, String) {
    let program = env!("CARGO_BIN_EXE_magpietally");
    let mut child = Command::new("sh")
        .args(["-c", "ulimit -v 1500000; exec \"$0\" \"$@\"", program])
        .args(args)
        .env("BALANCER_CONFIG", config)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let start = Instant::now();
    while child.try_wait().expect("a child").is_none() {
        if start.elapsed() > WAIT_TIMEOUT {
            child.kill().expect("it runs");
            panic!("{args:?} with {config} does not end");
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let out = child.wait_with_output().expect("it ended");
    (out.status.code(), text(&out.stderr))
}

/// Starts a node with a management address under fault injection, and waits until it is ready: on the socket that it inherits, or on one of its own.
pub fn listener_node(config: &Value, shared: Option<&TcpListener>, faults: &faults::Faults) -> Node {
    let node = match shared {
        Some(socket) => Node::inheriting_with_faults(config, socket, faults),
        None => Node::listening_with_faults(config, faults, &[]),
    };
    wait_until("the node is ready", || node.management_call("GET", "/v1/readyz").status() == 200);
    node
}

/// Runs a node whose start is expected to fail; returns its exit code and standard error.
pub fn run(config: &Value) -> (Option<i32>, String) {
    run_with_args(config, &[])
}

/// Like [`run`], with arguments.
pub fn run_with_args(config: &Value, args: &[&str]) -> (Option<i32>, String) {
    let output = command(config, None).0.args(args).output().expect("it runs");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

impl Node {
    /// Starts a node that inherits its listening socket as descriptor 3, with `BALANCER_FD` set to `fd`, and
    /// waits until it listens.
    pub fn with_inherited_socket(config: &Value, listener: &TcpListener, fd: &str) -> Self {
        Self::start(inheriting_command(config, listener, fd))
    }

    /// Like [`Node::with_inherited_socket`], with the descriptor 3, under fault injection and with these arguments.
    pub fn inheriting_with_args(
        config: &Value,
        listener: &TcpListener,
        faults: &faults::Faults,
        args: &[&str],
    ) -> Self {
        let (mut command, file) = inheriting_command(config, listener, "3");
        command.envs(faults.environment()).args(args);
        Self::start((command, file))
    }

    /// Like [`Node::with_inherited_socket`], under fault injection.
    pub fn inheriting_with_faults(config: &Value, listener: &TcpListener, faults: &faults::Faults) -> Self {
        Self::inheriting_with_args(config, listener, faults, &[])
    }

    /// Sends a request to the management address on a connection of its own.
    pub fn management_call(&self, method: &str, path: &str) -> Message {
        self.management_exchange(&format!("{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n")).expect("an answer")
    }

    /// Sends a raw request to the management address; `None` if the connection is closed without a response.
    pub fn management_exchange(&self, words: &str) -> Option<Message> {
        let mut client = self.management_client();
        client.send(words);
        client.receive()
    }

    /// Opens a connection to the management address.
    pub fn management_client(&self) -> Client {
        Client::at(self.management.expect("it has a second address"))
    }

    /// Reads a metric from the management address by its name there.
    pub fn metric(&self, name: &str) -> u64 {
        let lines = text(&self.management_call("GET", "/v1/metrics").body);
        let line = lines.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(':'));
        let value = line.unwrap_or_else(|| panic!("{name} in {lines}"));
        value.split('|').next().and_then(|v| v.parse().ok()).expect("a number")
    }

    /// Starts a node under fault injection, with these arguments, and waits until it is ready.
    pub fn with_faults(config: &Value, faults: &faults::Faults, args: &[&str]) -> Self {
        let node = Self::listening_with_faults(config, faults, args);
        node.wait_ready();
        node
    }

    /// Like [`Node::with_faults`], but waits only until the node listens.
    pub fn listening_with_faults(config: &Value, faults: &faults::Faults, args: &[&str]) -> Self {
        let (mut command, file) = command(config, None);
        command.args(args).envs(faults.environment());
        Self::start((command, file))
    }

    /// Starts a node, optionally under a limit of file descriptors, and waits until it listens.
    pub fn listening(config: &Value, descriptors: Option<usize>) -> Self {
        Self::start(command(config, descriptors))
    }

    /// Starts a node with this number of workers and waits until one of them is ready.
    pub fn with_workers(config: &Value, workers: usize) -> Self {
        Self::with_args(config, &["--workers", &workers.to_string()])
    }

    /// Starts a node with these arguments and waits until it is ready.
    pub fn with_args(config: &Value, args: &[&str]) -> Self {
        let (mut command, file) = command(config, None);
        command.args(args);
        let node = Self::start((command, file));
        node.wait_ready();
        node
    }

    /// Like [`Node::with_args`], but waits only until the node listens: it may need other nodes to become
    /// ready.
    pub fn listening_with_args(config: &Value, args: &[&str]) -> Self {
        let (mut command, file) = command(config, None);
        command.args(args);
        Self::start((command, file))
    }

    /// Like [`Node::listening_with_args`], under a limit of the shell's `ulimit`, such as `-f 100`.
    pub fn limited_with_args(config: &Value, args: &[&str], limit: &str) -> Self {
        let (node, file) = command(config, None);
        let mut shell = Command::new("sh");
        shell.arg("-c").arg(format!("ulimit {limit}; exec \"$0\" \"$@\""));
        shell.arg(node.get_program()).args(node.get_args()).args(args);
        shell.envs(node.get_envs().filter_map(|(name, value)| Some((name, value?))));
        shell.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        Self::start((shell, file))
    }

    /// Starts a node with `BALANCER_DISCOVERY` set, and waits until it is ready.
    pub fn ready_with_discovery(config: &Value, discovery: SocketAddr) -> Self {
        let (mut command, file) = command(config, None);
        command.env("BALANCER_DISCOVERY", discovery.to_string());
        let node = Self::start((command, file));
        node.wait_ready();
        node
    }

    fn start((mut command, file): (Command, String)) -> Self {
        let mut child = command.spawn().expect("it starts");
        let log = Arc::new(Mutex::new(Vec::new()));
        let lines = log.clone();
        let errors = BufReader::new(child.stderr.take().expect("piped"));
        std::thread::spawn(move || {
            for line in errors.lines().map_while(Result::ok) {
                lines.lock().expect("no panic").push(line);
            }
        });
        let (mut address, started) = (None, Instant::now());
        while address.is_none() {
            let ended = child.try_wait().expect("it can be asked");
            std::thread::sleep(Duration::from_millis(5));
            let lines = log.lock().expect("no panic");
            let find = |l: &String| l.split_once(" listens at ").and_then(|(_, a)| a.parse().ok());
            address = lines.iter().find_map(find);
            let still_starting = ended.is_none() && started.elapsed() < WAIT_TIMEOUT;
            assert!(address.is_some() || still_starting, "the node does not listen, {ended:?}: {lines:#?}");
        }
        let find_management = |l: &String| l.split_once(" is managed at ").and_then(|(_, a)| a.parse().ok());
        let management = log.lock().expect("no panic").iter().find_map(find_management);
        Self { child, file, address: address.expect("found"), management, log }
    }

    /// Starts a node and waits until it is ready.
    pub fn ready(config: &Value) -> Self {
        let node = Self::listening(config, None);
        node.wait_ready();
        node
    }

    pub fn wait_ready(&self) {
        wait_until("the node is ready", || self.ready_status() == 200);
    }

    /// Waits until the node reports that it is stopping.
    pub fn wait_stopping(&self) {
        wait_until("the node handles the signal", || self.ready_status() == 503);
    }

    fn ready_status(&self) -> u16 {
        Client::to(self).exchange("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status()
    }

    /// Returns whether a log line contains `words`.
    pub fn logged(&self, words: &str) -> bool {
        self.log.lock().expect("no panic").iter().any(|l| l.contains(words))
    }

    /// Kills the node (SIGKILL) and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().expect("it runs");
        self.child.wait().expect("it ended");
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Suspends the node (SIGSTOP) or resumes it (SIGCONT).
    pub fn pause(&self, paused: bool) {
        self.signal(if paused { "-STOP" } else { "-CONT" });
    }

    /// The rest of the first log line that contains `words`, after them.
    pub fn logged_after(&self, words: &str) -> Option<String> {
        let log = self.log.lock().expect("no panic");
        log.iter().find_map(|l| l.split_once(words).map(|(_, rest)| rest.to_owned()))
    }

    /// The exit status if the process has ended.
    pub fn exit_status(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().expect("it can be asked")
    }

    /// Replaces the configuration file atomically and sends SIGHUP.
    pub fn reload(&self, words: &str) {
        self.reload_from(|next| std::fs::write(next, words).expect("a file"));
    }

    /// Like [`Node::reload`], with the new file created by `make`.
    pub fn reload_from(&self, make: impl FnOnce(&str)) {
        let next = format!("{}.next", self.file);
        make(&next);
        std::fs::rename(&next, &self.file).expect("the same folder");
        self.signal("-HUP");
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").arg(name).arg(self.child.id().to_string()).status();
        assert!(sent.expect("kill runs").success());
    }

    /// The node's resident memory.
    pub fn memory_kib(&self) -> usize {
        self.status_kib("VmRSS:")
    }

    /// A figure of the node's entry in `/proc`, in KiB.
    fn status_kib(&self, name: &str) -> usize {
        self.try_status_kib(name).expect("it runs")
    }

    /// The memory that the node shares with no file, now; `None` if it has ended.
    pub fn try_private_memory_kib(&self) -> Option<usize> {
        self.try_status_kib("RssAnon:")
    }

    fn try_status_kib(&self, name: &str) -> Option<usize> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix(name))?;
        line.trim().trim_end_matches(" kB").parse().ok()
    }

    /// The largest resident memory that the node has had so far.
    pub fn peak_memory_kib(&self) -> usize {
        self.status_kib("VmHWM:")
    }

    /// The same; `None` if the node has ended.
    pub fn try_peak_memory_kib(&self) -> Option<usize> {
        self.try_status_kib("VmHWM:")
    }

    /// The number of the node's open file descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("it runs").count()
    }

    /// The same; `None` if it has ended.
    pub fn try_descriptors(&self) -> Option<usize> {
        Some(std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).ok()?.count())
    }

    pub fn running(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }

    /// Waits for the node's end; returns its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        wait_until("the node ends", || !self.running());
        self.child.wait().expect("it ended").code()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
