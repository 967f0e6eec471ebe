//! Where requests begin and end in what a client sends, as it comes. hyper reads ahead and tells neither whether anything
//! stands behind a request nor every header that it saw; this looks at the same bytes, and passes nothing on.

use std::collections::VecDeque;

/// The longest line that is looked at; hyper takes no larger head.
const LINE_MOST: usize = 64 * 1024;

/// What the scan is in the middle of.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum At {
    /// The lines of a head, blank ones ahead of it included.
    #[default]
    Head,
    /// So many bytes of a body.
    Body(u64),
    /// The line that says how long the next chunk is.
    Size,
    /// So many bytes of a chunk.
    Chunk(u64),
    /// The line's end behind a chunk.
    ChunkEnd,
    /// The lines behind the last chunk.
    Trailer,
    /// What came is no request; nothing more is known.
    Lost,
}

/// A scan of one client's connection.
#[derive(Debug, Default)]
pub struct RequestScanner {
    at: At,
    /// What came of a line that is not whole.
    line: Vec<u8>,
    /// The request's first line has come, or a part of it.
    begun: bool,
    lengths: usize,
    length: u64,
    codings: usize,
    /// Of each request whose head is whole and that nobody has asked for: does it say in one way where it ends?
    framed_once: VecDeque<bool>,
    /// How many requests have begun to come.
    requests: u64,
    /// How many were asked for.
    asked: u64,
}

impl RequestScanner {
    /// Takes the next bytes.
    pub fn came(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match self.at {
                At::Body(left) | At::Chunk(left) => {
                    let here = bytes.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    let left = left - here as u64;
                    self.at = match self.at {
                        At::Body(_) if left == 0 => self.next_request(),
                        At::Body(_) => At::Body(left),
                        _ if left == 0 => At::ChunkEnd,
                        _ => At::Chunk(left),
                    };
                    &bytes[here..]
                }
                At::Lost => return,
                _ => self.by_line(bytes),
            };
        }
    }

    /// The next request's head is whole. Does that say in one way where the request ends? Where that is not known it does
    /// not.
    pub fn next(&mut self) -> bool {
        self.asked += 1;
        self.framed_once.pop_front().unwrap_or(false)
    }

    /// Has anything come behind the last request that was asked for?
    pub fn ahead(&self) -> bool {
        self.requests > self.asked
    }

    /// Has the last request that was asked for come to its last byte?
    pub fn whole(&self) -> bool {
        self.ahead() || (self.at == At::Head && !self.begun)
    }

    /// Takes one line, or the part of one that has come; gives what stands behind it.
    fn by_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let Some(end) = bytes.iter().position(|b| *b == b'\n') else {
            if self.line.len() + bytes.len() > LINE_MOST {
                self.at = At::Lost;
                return &[];
            }
            self.begin_with(bytes);
            self.line.extend_from_slice(bytes);
            return &[];
        };
        let (here, rest) = bytes.split_at(end + 1);
        if self.line.is_empty() {
            self.whole_line(here.trim_ascii());
        } else {
            let mut line = std::mem::take(&mut self.line);
            line.extend_from_slice(here);
            self.whole_line(line.trim_ascii());
        }
        rest
    }

    /// A request begins with the first byte that is no blank line's.
    fn begin_with(&mut self, line: &[u8]) {
        if self.at == At::Head && !self.begun && line.iter().any(|b| !matches!(b, b'\r' | b'\n')) {
            self.begun = true;
            self.requests += 1;
        }
    }

    fn whole_line(&mut self, line: &[u8]) {
        match self.at {
            At::Head if !self.begun => self.begin_with(line),
            At::Head if line.is_empty() => {
                let once = self.lengths + self.codings <= 1;
                self.framed_once.push_back(once);
                self.at = match (once, self.codings) {
                    (false, _) => At::Lost,
                    (true, 0) if self.length == 0 => self.next_request(),
                    (true, 0) => At::Body(self.length),
                    _ => At::Size,
                };
            }
            At::Head => self.header(line),
            At::Size => {
                let digits = line.split(|b| matches!(b, b';' | b' ' | b'\t')).next().unwrap_or_default();
                let size = std::str::from_utf8(digits).ok().and_then(|d| u64::from_str_radix(d, 16).ok());
                self.at = match size {
                    None => At::Lost,
                    Some(0) => At::Trailer,
                    Some(size) => At::Chunk(size),
                };
            }
            At::ChunkEnd => self.at = if line.is_empty() { At::Size } else { At::Lost },
            At::Trailer if line.is_empty() => self.at = self.next_request(),
            _ => {}
        }
    }

    fn header(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|b| *b == b':') else { return };
        let (name, value) = (line[..colon].trim_ascii(), line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"content-length") {
            self.lengths += 1;
            match std::str::from_utf8(value).ok().and_then(|v| v.parse().ok()) {
                Some(length) => self.length = length,
                // Two ways at once: nobody knows where it ends.
                None => self.lengths += 1,
            }
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.codings += if value.eq_ignore_ascii_case(b"chunked") { 1 } else { 2 };
        }
    }

    fn next_request(&mut self) -> At {
        (self.begun, self.lengths, self.length, self.codings) = (false, 0, 0, 0);
        At::Head
    }
}

#[cfg(test)]
mod tests;
