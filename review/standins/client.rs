//! A client's connection to a node.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

use crate::http::{read_message, Message};

const SIOCOUTQ: std::ffi::c_ulong = 0x5411;

extern "C" {
    fn ioctl(descriptor: i32, request: std::ffi::c_ulong, ...) -> i32;
}

/// One connection, with one request at a time.
pub struct Client {
    out: TcpStream,
    from: BufReader<TcpStream>,
}

impl Client {
    pub fn on(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
        let from = BufReader::new(stream.try_clone().expect("a descriptor"));
        Self { out: stream, from }
    }

    /// Connects to a node.
    pub fn connect(address: SocketAddr) -> Option<Self> {
        TcpStream::connect(address).ok().map(Self::on)
    }

    /// Sends a request and reads its answer; `None` if the connection ends before the head of an answer.
    pub fn exchange(&mut self, request: &str) -> Option<Message> {
        if self.send(request) {
            self.receive()
        } else {
            None
        }
    }

    /// Writes a request; returns whether all of it could be written.
    pub fn send(&mut self, request: &str) -> bool {
        self.out.write_all(request.as_bytes()).is_ok()
    }

    /// Reads an answer; `None` if the connection ends before its head has come.
    pub fn receive(&mut self) -> Option<Message> {
        read_message(&mut self.from)
    }

    /// The number of bytes written that the peer's machine has not confirmed (SIOCOUTQ of tcp(7)).
    pub fn unconfirmed(&self) -> usize {
        let mut count = 0i32;
        let result = unsafe { ioctl(self.out.as_raw_fd(), SIOCOUTQ, &mut count) };
        if result == 0 {
            count.max(0) as usize
        } else {
            usize::MAX
        }
    }
}

/// A client that keeps its connection, and opens another when the node has closed it.
pub struct KeptClient {
    address: SocketAddr,
    client: Option<Client>,
}

impl KeptClient {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, client: None }
    }

    /// Sends a request and reads its answer. If the node closes a kept connection and the request crosses that, it
    /// is sent once more on a new connection, as the protocol has it.
    pub fn exchange(&mut self, request: &str) -> Option<Message> {
        if let Some(client) = &mut self.client {
            if let Some(answer) = client.exchange(request) {
                return self.keep(answer);
            }
        }
        self.client = Client::connect(self.address);
        let answer = self.client.as_mut()?.exchange(request);
        match answer {
            Some(answer) => self.keep(answer),
            None => {
                self.client = None;
                None
            }
        }
    }

    fn keep(&mut self, answer: Message) -> Option<Message> {
        if answer.closes() || !answer.whole {
            self.client = None;
        }
        Some(answer)
    }
}

/// A `GET` of a class that is safe to repeat, or a `POST` of four bytes of any other.
pub fn request(class: &str, txn: &str, remaining_ms: u64) -> String {
    if class != "lookup" {
        return request_with_body(class, txn, remaining_ms, 4);
    }
    format!(
        "GET /{class}/{txn} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\nX-Org: punjab-clubs\r\n\
         X-Remaining-Ms: {remaining_ms}\r\n\r\n"
    )
}

/// A `POST` with a body of this size.
pub fn request_with_body(class: &str, txn: &str, remaining_ms: u64, bytes: usize) -> String {
    let head = format!(
        "POST /{class} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\nX-Org: punjab-clubs\r\nX-Remaining-Ms: {remaining_ms}\r\n\
         Content-Length: {bytes}\r\n\r\n"
    );
    head + &"f".repeat(bytes)
}
