//! HTTP/1.1 messages, as far as the stand-ins need them.

use std::io::{self, BufRead, Read};

/// A request or a response.
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came whole.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// The status of a response; 0 for what is none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// The path of a request.
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// Whether the sender closes the connection after the message.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|v| v.to_ascii_lowercase().contains("close"))
    }
}

/// Reads one message; `None` if the connection ends before its head has come. A body that ends too early is marked.
pub fn read_message(from: &mut impl BufRead) -> Option<Message> {
    let first = read_line(from).ok()??;
    let mut headers = Vec::new();
    loop {
        let line = read_line(from).ok()??;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_string(), value.trim().to_string()));
    }
    let mut message = Message { first, headers, body: Vec::new(), whole: true };
    let length = message.header("content-length").and_then(|v| v.parse::<usize>().ok());
    if message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        message.whole = read_chunks(from, &mut message.body).unwrap_or(false);
    } else if let Some(length) = length {
        message.whole =
            from.take(length as u64).read_to_end(&mut message.body).is_ok() && message.body.len() == length;
    }
    Some(message)
}

/// Reads a line without its end; `None` at the end of the connection.
fn read_line(from: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_string()))
}

/// Reads a chunked body. Returns whether its last chunk came.
fn read_chunks(from: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<bool> {
    loop {
        let Some(line) = read_line(from)? else { return Ok(false) };
        let digits = line.split(';').next().unwrap_or("").trim();
        let Ok(size) = u64::from_str_radix(digits, 16) else { return Ok(false) };
        let before = body.len() as u64;
        from.take(size).read_to_end(body)?;
        if body.len() as u64 != before + size {
            return Ok(false);
        }
        let Some(_) = read_line(from)? else { return Ok(false) };
        if size == 0 {
            return Ok(true);
        }
    }
}
