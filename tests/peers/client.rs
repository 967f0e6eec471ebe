//! Clients' requests, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use super::{read_message, Message, Node, WAIT_TIMEOUT};

/// A client's request of a class, with `remaining` milliseconds left.
pub fn request(class: &str, txn: &str, remaining: u64) -> String {
    let (method, key) = match class {
        "look" => ("GET", ""),
        "pay" => ("POST", "Idempotency-Key: k1\r\n"),
        _ => ("POST", ""),
    };
    let body = if method == "POST" { "Content-Length: 4\r\n\r\nwork" } else { "\r\n" };
    format!(
        "{method} /{class}/7?q=a%20b HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\nX-Remaining-Ms: {remaining}\r\n{key}{body}"
    )
}

pub struct Client {
    out: TcpStream,
    from: BufReader<TcpStream>,
}

impl Client {
    pub fn to(node: &Node) -> Self {
        Self::at(node.address)
    }

    pub fn at(address: SocketAddr) -> Self {
        let out = TcpStream::connect(address).expect("something listens");
        out.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket");
        let from = BufReader::new(out.try_clone().expect("a socket"));
        Self { out, from }
    }

    pub fn send(&mut self, words: &str) {
        self.out.write_all(words.as_bytes()).expect("the node reads");
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.out.write_all(bytes).expect("the node reads");
    }

    /// A second handle of the connection, for writing.
    pub fn writer(&self) -> TcpStream {
        self.out.try_clone().expect("a socket")
    }

    /// Reads the next head alone, of an interim response or of one without a body.
    pub fn head(&mut self) -> String {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            assert!(self.from.read_line(&mut head).expect("it comes") > 0, "the connection ended: {head}");
        }
        head
    }

    /// Reads the next response; `None` if the connection ends first.
    pub fn receive(&mut self) -> Option<Message> {
        read_message(&mut self.from, 0)
    }

    /// Sends a request and reads the response; `None` if the connection ends first, also during the write.
    pub fn try_exchange(&mut self, words: &str) -> Option<Message> {
        self.out.write_all(words.as_bytes()).ok()?;
        self.receive()
    }

    /// Sends a request and reads the response.
    pub fn exchange(&mut self, words: &str) -> Message {
        self.send(words);
        self.receive().expect("an answer")
    }

    /// Waits for the node to close the connection; returns whether it did, in order or by a reset.
    pub fn closed_or_reset(&mut self) -> bool {
        match self.from.read(&mut [0; 64]) {
            Ok(n) => n == 0,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    /// Waits for the node to close the connection; returns whether it closed it in order, without a reset.
    pub fn closed(&mut self) -> bool {
        matches!(self.from.read(&mut [0; 64]), Ok(0))
    }
}
