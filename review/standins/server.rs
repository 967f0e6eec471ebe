//! An app box: HTTP/1.1, a request at a time on a connection.

use std::io::{self, BufReader};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::http::{read_message, Message};

/// A connection to write an answer to.
pub type Out = Arc<Mutex<TcpStream>>;

/// What a server does with a request: it works, and writes the answer to the connection.
type Handler = dyn Fn(&Message, &Out) -> io::Result<()> + Send + Sync;

/// Starts a server; returns its address.
pub fn start(
    handler: impl Fn(&Message, &Out) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    start_pausing(Arc::default(), handler)
}

/// Starts a server that stands still while `paused` is set: it begins to read no request and to answer none.
pub fn start_pausing(
    paused: Arc<AtomicBool>,
    handler: impl Fn(&Message, &Out) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let handler: Arc<Handler> = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (handler, paused) = (handler.clone(), paused.clone());
            std::thread::spawn(move || serve(stream, &*handler, &paused));
        }
    });
    Ok(address)
}

fn serve(stream: TcpStream, handler: &Handler, paused: &AtomicBool) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let out = Arc::new(Mutex::new(stream.try_clone().ok()?));
    let mut from = BufReader::new(stream.try_clone().ok()?);
    loop {
        // Waits for the first byte of a request without a read.
        stream.peek(&mut [0]).ok()?;
        while paused.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
        let Some(request) = read_message(&mut from) else { break };
        if !request.whole || handler(&request, &out).is_err() || request.closes() {
            break;
        }
    }
    stream.shutdown(Shutdown::Both).ok()
}

/// The cores of a server: so many requests are in work at once, the others wait.
pub struct Cores(Mutex<usize>, Condvar);

impl Cores {
    pub fn new(count: usize) -> Self {
        Self(Mutex::new(count), Condvar::new())
    }

    /// Works for this time on a core, after a wait for one.
    pub fn work(&self, time: Duration) {
        let mut free = self.1.wait_while(self.0.lock().unwrap(), |count| *count == 0).unwrap();
        *free -= 1;
        drop(free);
        std::thread::sleep(time);
        *self.0.lock().unwrap() += 1;
        self.1.notify_one();
    }
}
