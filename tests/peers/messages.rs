//! HTTP messages as the peers read and write them.

use std::io::{BufRead, BufReader, Read};

/// An HTTP request or response.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
    /// Number of the connection that carried it, counted from 1.
    pub conn: usize,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status line")
    }

    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).expect("a request line")
    }
}

/// Reads one message; `None` if the connection ends first.
pub fn read_message(from: &mut BufReader<impl Read>, conn: usize) -> Option<Message> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let mut message = Message { head, body: Vec::new(), conn };
    if message.header("transfer-encoding") == Some("chunked") {
        message.body = read_chunks(from)?;
        return Some(message);
    }
    match message.header("content-length") {
        Some(length) => {
            message.body = vec![0; length.parse().expect("a length")];
            from.read_exact(&mut message.body).ok()?;
        }
        // A response delimited by the end of its connection; after a reset it is incomplete.
        None if message.head.starts_with("HTTP/") => {
            from.read_to_end(&mut message.body).ok()?;
        }
        None => {}
    }
    Some(message)
}

/// Reads a chunked body and skips its trailers.
fn read_chunks(from: &mut BufReader<impl Read>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
        if size == 0 {
            while line != "\r\n" {
                line.clear();
                if from.read_line(&mut line).ok()? == 0 {
                    return None;
                }
            }
            return Some(body);
        }
        let start = body.len();
        body.resize(start + size, 0);
        from.read_exact(&mut body[start..]).ok()?;
        from.read_exact(&mut [0; 2]).ok()?;
    }
}

/// Bytes that are not the same everywhere.
pub fn bytes(count: usize) -> Vec<u8> {
    (0..count).map(|n| (n / 251 + n) as u8).collect()
}

/// Builds a response with a body.
pub fn response(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}
