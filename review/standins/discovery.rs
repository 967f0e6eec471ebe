//! Discovery: the whole list, and a watch on it. The list does not change in these cases.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use crate::http::read_message;
use crate::record::Record;

/// How long discovery writes nothing on a watch while nothing changes.
const EMPTY_LINE_EVERY: Duration = Duration::from_secs(2);

/// One server in the list.
#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub dial: SocketAddr,
}

/// A discovery service.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    /// The list as JSON.
    pub list: String,
    record: Record,
}

impl Discovery {
    pub fn start(hosts: Vec<Host>, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let discovery = Self { address: listener.local_addr()?, list: list(&hosts), record: record.clone() };
        let this = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                std::thread::spawn(move || this.serve(stream));
            }
        });
        Ok(discovery)
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut out = stream.try_clone().ok()?;
        out.set_nodelay(true).ok()?;
        let call = read_message(&mut BufReader::new(stream))?;
        self.record.line(format!("discovery: call {}", call.path()));
        if !call.path().contains("watch=1") {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", self.list.len());
            return out.write_all((head + &self.list).as_bytes()).ok();
        }
        out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let mut line = |text: &str| write!(out, "{:x}\r\n{text}\n\r\n", text.len() + 1);
        line(&self.list).ok()?;
        self.record.line("discovery: watch open, whole list told");
        loop {
            std::thread::sleep(EMPTY_LINE_EVERY);
            line("").ok()?;
        }
    }
}

fn list(hosts: &[Host]) -> String {
    let entry = |h: &Host| {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"lhr-gulberg","class":"std-2","block":1,"health":"active","share":1.0,"born_ms":0}}"#,
            h.name, h.dial
        )
    };
    let entries: Vec<String> = hosts.iter().map(entry).collect();
    format!(r#"{{"seq":1,"whole":true,"hosts":[{}]}}"#, entries.join(","))
}
