//! Servers whose replies a closure decides, and addresses that don't answer.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{read_message, response, Message};

/// Writes a response to the connection itself.
pub type ResponseWriter = Box<dyn FnOnce(&mut TcpStream) -> std::io::Result<()>>;

/// How a scripted server reacts to a request.
pub enum Reply {
    /// Writes this response.
    Respond(Vec<u8>),
    /// Writes these bytes and closes the connection.
    RespondAndClose(Vec<u8>),
    /// Writes this response after a delay.
    RespondAfter(Duration, Vec<u8>),
    /// Calls this writer; closes the connection if it fails.
    WriteWith(ResponseWriter),
    /// Sends nothing and keeps the connection open.
    NoResponse,
}

/// An HTTP server whose replies a closure decides; records the requests it receives.
pub struct ScriptedServer {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Message>>>,
    open: Arc<AtomicUsize>,
}

impl ScriptedServer {
    /// Starts a server on a free port.
    pub fn new(script: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
        Self::on_listener(TcpListener::bind("127.0.0.1:0").expect("a port"), script)
    }

    pub fn on_listener(
        listener: TcpListener,
        script: impl Fn(&Message) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let address = listener.local_addr().expect("bound");
        let (seen, open) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicUsize::new(0)));
        let peer = Self { address, seen: seen.clone(), open: open.clone() };
        let script = Arc::new(script);
        std::thread::spawn(move || {
            for (conn, stream) in (1..).zip(listener.incoming()) {
                let (seen, open, script) = (seen.clone(), open.clone(), script.clone());
                let Ok(stream) = stream else { return };
                open.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || {
                    serve_connection(stream, conn, &seen, &*script);
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        peer
    }

    /// A server that answers every request with 200 and its name as the body.
    pub fn healthy(name: &'static str) -> Self {
        Self::new(move |_| Reply::Respond(response(200, "", name)))
    }

    /// The requests received so far, without health probes.
    pub fn requests(&self) -> Vec<Message> {
        let seen = self.seen.lock().expect("no panic");
        seen.iter().filter(|m| m.path() != "/health").cloned().collect()
    }

    /// The number of health probes received so far.
    pub fn probes(&self) -> usize {
        self.seen.lock().expect("no panic").len() - self.requests().len()
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }
}

fn serve_connection(
    stream: TcpStream,
    conn: usize,
    seen: &Mutex<Vec<Message>>,
    script: &dyn Fn(&Message) -> Reply,
) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut from = BufReader::new(stream);
    while let Some(message) = read_message(&mut from, conn) {
        seen.lock().expect("no panic").push(message.clone());
        let (bytes, last) = match script(&message) {
            Reply::Respond(bytes) => (bytes, false),
            Reply::RespondAndClose(bytes) => (bytes, true),
            Reply::RespondAfter(span, bytes) => {
                std::thread::sleep(span);
                (bytes, false)
            }
            Reply::WriteWith(write) => (Vec::new(), write(&mut out).is_err()),
            Reply::NoResponse => (Vec::new(), false),
        };
        if out.write_all(&bytes).is_err() || last {
            break;
        }
    }
    let _ = out.shutdown(std::net::Shutdown::Both);
}

/// An address that refuses connections as long as the socket lives: the socket is bound, so that no other
/// test gets the port, and does not listen.
pub fn refusing_address() -> (socket2::Socket, SocketAddr) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("a port");
    let at = socket.local_addr().expect("bound").as_socket().expect("an IP address");
    (socket, at)
}

/// A listener whose backlog is full: new connections stay pending until the returned streams are dropped and
/// the listener accepts.
pub fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("a port");
    socket.listen(0).expect("it listens");
    let full: TcpListener = socket.into();
    let at = full.local_addr().expect("bound");
    let fill = |_| TcpStream::connect_timeout(&at, Duration::from_millis(300)).ok();
    let fillers = (0..3).filter_map(fill).collect();
    (full, fillers)
}
