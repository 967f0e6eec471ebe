//! A node of the project as a process of its own, started with `run` of the deploy file.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::discovery::Discovery;
use crate::record::Record;

const SIGKILL: i32 = 9;

/// How long a node may take to be ready: the limit of the standing test.
const READY_WITHIN: Duration = Duration::from_secs(30);

/// `PR_SET_PDEATHSIG` of prctl(2): the signal that a process gets when the thread that started it ends.
const PARENT_DEATH_SIGNAL: i32 = 1;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// The processes that run, and the folders to remove.
static STARTED: Mutex<(Vec<i32>, Vec<PathBuf>)> = Mutex::new((Vec::new(), Vec::new()));

/// Ends all nodes that still run, and removes their folders.
pub fn end_all() {
    let Ok(mut started) = STARTED.lock() else { return };
    for pid in started.0.drain(..) {
        unsafe { kill(pid, SIGKILL) };
    }
    for folder in started.1.drain(..) {
        let _ = fs::remove_dir_all(folder);
    }
}

/// A node.
pub struct Node {
    name: String,
    pub address: SocketAddr,
    child: Child,
}

/// The settings of `lahore-main`, as the wire's page lists them.
fn settings(number: usize, nodes: usize) -> String {
    format!(
        r#"{{"Classes":[
{{"Deadline":1000.0,"DedupScope":"all","Idempotency":"pure","LateValue":0.0,"MemorySpan":5000.0,"Name":"lookup","Slo":300.0,"Stream":false,"Value":3.0}},
{{"Deadline":1000.0,"DedupScope":"all","Idempotency":"side_effect","LateValue":0.0,"MemorySpan":5000.0,"Name":"signup","Slo":400.0,"Stream":false,"Value":3.0}},
{{"Deadline":600.0,"DedupScope":"all","Idempotency":"token","LateValue":0.0,"MemorySpan":1200.0,"Name":"fee-payment","Slo":300.0,"Stream":false,"Value":5.0}}],
"Clients":{{"MarksRetry":false}},
"Contract":{{"AnswerSlack":20.0,"AskWithin":10000.0,"ColdShare":0.12,"DrainGrace":750.0,"Fall":1500.0,"FallMultiple":4.0,"WarmWithin":23000.0}},
"CountedBy":"work",
"Customers":[{{"Name":"punjab-clubs","QuotaPerS":197.0,"Share":0.68}},{{"Name":"karachi-clubs","QuotaPerS":93.0,"Share":0.32}}],
"Discovery":"subscribe","Family":"proxy",
"Fees":{{"Connection":0.05,"CrossZone":0.025,"Discovery":0.0,"Handshake":0.05,"LateFail":0.15,"Moves":0.0,"Origin":0.0,"Peer":0.0,"Probe":0.0,"Waste":0.02}},
"Goal":{{"Whole":0.45,"WorstClass":0.3,"WorstTenant":0.1,"WorstWindow":0.15}},
"Limits":{{"AttemptsCap":5,"Cancel":true,"ConnectTimeout":150.0,"CpuUsPerRequest":0.0,"CpuUsPerS":8000,"Keepalive":10000.0,"MaxRetryAfter":1000.0,"MayDuplicate":true,"Multiplex":1,"OpenCap":20000,"Peers":false,"Probes":false,"RetryAfter":true}},
"Me":{number},"MyZone":"lhr-gulberg","OverShareWorth":0.1,"PeersTotal":{nodes},"Shapes":["std-2","slow-2"],
"Specifics":{{"WarmKeys":true}},"Stage":0,"Stages":["member-web"],"Stats":{{"Fields":[],"Via":"silent"}},"Tick":5.0,"Weights":"rough",
"Zones":["lhr-gulberg"]}}"#
    )
}

impl Node {
    /// Starts one node of `nodes` and waits until it is ready.
    pub fn start(number: usize, nodes: usize, discovery: &Discovery, record: &Record) -> io::Result<Self> {
        let name = format!("n{number}");
        let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder)?;
        // A port that was free a moment ago.
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let (config, scratch) = (folder.join("config.json"), folder.join("tmp"));
        fs::create_dir_all(&scratch)?;
        let text = format!(
            r#"{{"name":"{name}","listen":"{address}","discovery":"{}","seed":"8c1f30d27a5be96{number}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},"settings":{}}}"#,
            discovery.address,
            discovery.list,
            settings(number, nodes)
        );
        fs::write(&config, text)?;
        let log = fs::File::create(folder.join("log"))?;
        let mut command = Command::new("/bin/sh");
        // A node does not outlive a case that is ended from outside.
        unsafe {
            command.pre_exec(|| {
                prctl(PARENT_DEATH_SIGNAL, SIGKILL as std::ffi::c_ulong);
                Ok(())
            })
        };
        let child = command
            .args(["-c", &run_command()?])
            .env("BALANCER_NAME", &name)
            .env("BALANCER_LISTEN", address.to_string())
            .env("BALANCER_DISCOVERY", discovery.address.to_string())
            .env("BALANCER_CONFIG", &config)
            .env("TMPDIR", &scratch)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        if let Ok(mut started) = STARTED.lock() {
            started.0.push(child.id() as i32);
            started.1.push(folder);
        }
        let mut node = Self { name, address, child };
        let began = Instant::now();
        while !node.is_ready() {
            if began.elapsed() > READY_WITHIN || node.has_ended() {
                return Err(io::Error::other(format!("{} is not ready", node.name)));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        record.line(format!("{}: ready at {address}", node.name));
        Ok(node)
    }

    fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.address) else { return false };
        let ask = "GET /ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n";
        Client::on(stream).exchange(ask).is_some_and(|answer| answer.status() == 200)
    }

    /// Whether its process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        // Its number may be another process's from now on.
        if let Ok(mut started) = STARTED.lock() {
            started.0.retain(|pid| *pid != self.child.id() as i32);
        }
    }
}

/// `run` of the deploy file.
fn run_command() -> io::Result<String> {
    let text = fs::read_to_string("deploy/balancer.toml")?;
    let value = text.lines().find_map(|l| l.strip_prefix("run = \"")?.strip_suffix('"'));
    value.map(str::to_string).ok_or_else(|| io::Error::other("deploy/balancer.toml has no run"))
}
