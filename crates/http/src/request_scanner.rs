//! Finds where requests begin and end in the bytes that a client sends, as they arrive. hyper reads ahead,
//! and reports neither whether anything follows a request nor every header that it saw. The scanner inspects
//! the same bytes and changes nothing.

use std::collections::VecDeque;

/// Longest line that is inspected; hyper accepts no larger head.
const LINE_MAX_BYTES: usize = 64 * 1024;
/// The part of an incomplete line that is kept: more than any header that defines a request's end needs.
const LINE_KEPT_BYTES: usize = 256;

/// What follows the data of the last chunk at least: its line end, and the line of size 0 with the blank one.
const CHUNKED_END_MIN_BYTES: u64 = b"\r\n0\r\n\r\n".len() as u64;

/// What the scanner expects next.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum State {
    /// A line of a head, or a blank line before it.
    #[default]
    Head,
    /// Bytes of a body: how many are missing.
    Body(u64),
    /// The line with the size of the next chunk.
    ChunkSize,
    /// Bytes of a chunk: how many are missing.
    Chunk(u64),
    /// The line end after a chunk.
    ChunkEnd,
    /// A trailer line after the last chunk.
    Trailer,
    /// The input is not a valid request; the scan has stopped.
    Invalid,
}

/// The scanner of one client's connection.
#[derive(Debug, Default)]
pub struct RequestScanner {
    state: State,
    /// The received part of an incomplete line, up to [`LINE_KEPT_BYTES`].
    line: Vec<u8>,
    /// The length of that line so far.
    line_length: usize,
    /// Whether the request's first line has arrived, at least in part.
    request_started: bool,
    /// Number of `Content-Length` headers; an invalid one counts twice.
    length_headers: usize,
    content_length: u64,
    /// Number of `Transfer-Encoding` headers; one other than `chunked` counts twice.
    transfer_codings: usize,
    /// For each request with a complete head that was not taken yet: whether it defines its end in only one
    /// way.
    unambiguous: VecDeque<bool>,
    /// Number of requests that have begun to arrive.
    requests_started: u64,
    /// Number of requests taken by [`RequestScanner::next_is_unambiguous`].
    requests_taken: u64,
}

impl RequestScanner {
    /// Scans the next bytes from the client.
    pub fn scan(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match self.state {
                State::Body(left) | State::Chunk(left) => {
                    let count = bytes.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    let left = left - count as u64;
                    self.state = match self.state {
                        State::Body(_) if left == 0 => self.start_next_request(),
                        State::Body(_) => State::Body(left),
                        _ if left == 0 => State::ChunkEnd,
                        _ => State::Chunk(left),
                    };
                    &bytes[count..]
                }
                State::Invalid => return,
                _ => self.scan_line(bytes),
            };
        }
    }

    /// Takes the next request, whose head is complete. Returns whether it defines its end in only one way;
    /// false if that is not known.
    pub fn next_is_unambiguous(&mut self) -> bool {
        self.requests_taken += 1;
        self.unambiguous.pop_front().unwrap_or(false)
    }

    /// Returns whether any part of a request after the last taken one has arrived.
    pub fn has_next_request(&self) -> bool {
        self.requests_started > self.requests_taken
    }

    /// Returns whether the last byte of the last taken request has arrived.
    pub fn is_request_complete(&self) -> bool {
        self.has_next_request() || (self.state == State::Head && !self.request_started)
    }

    /// Returns whether all requests that have begun to arrive are complete.
    pub fn is_between_requests(&self) -> bool {
        self.state == State::Head && !self.request_started
    }

    /// Bytes that are missing at least of the request that is arriving.
    pub fn missing_bytes_min(&self) -> u64 {
        match self.state {
            State::Body(left) => left,
            State::Chunk(left) => left + CHUNKED_END_MIN_BYTES,
            State::Head if self.is_between_requests() => 0,
            State::Head | State::ChunkSize | State::ChunkEnd | State::Trailer => 1,
            State::Invalid => 0,
        }
    }

    /// Scans one line, or the part of it that has arrived, and returns the bytes after it.
    fn scan_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let Some(end) = bytes.iter().position(|b| *b == b'\n') else {
            if self.line_length + bytes.len() > LINE_MAX_BYTES {
                self.state = State::Invalid;
                return &[];
            }
            self.detect_request_start(bytes);
            self.keep_line_part(bytes);
            return &[];
        };
        let (line_part, rest) = bytes.split_at(end + 1);
        if self.line_length == 0 {
            self.process_line(line_part.trim_ascii(), false);
        } else {
            self.keep_line_part(line_part);
            let line = std::mem::take(&mut self.line);
            let length = std::mem::take(&mut self.line_length);
            self.process_line(line.trim_ascii(), length > line.len());
        }
        rest
    }

    /// Appends a part of an incomplete line.
    fn keep_line_part(&mut self, bytes: &[u8]) {
        let kept = bytes.len().min(LINE_KEPT_BYTES.saturating_sub(self.line.len()));
        self.line.extend_from_slice(&bytes[..kept]);
        self.line_length += bytes.len();
    }

    /// Notes the start of a request: its first byte that is not part of a blank line.
    fn detect_request_start(&mut self, line: &[u8]) {
        if self.state == State::Head
            && !self.request_started
            && line.iter().any(|b| !matches!(b, b'\r' | b'\n'))
        {
            self.request_started = true;
            self.requests_started += 1;
        }
    }

    /// Processes a complete line, of which only the first part is known if it is `truncated`.
    fn process_line(&mut self, line: &[u8], truncated: bool) {
        match self.state {
            State::Head if !self.request_started => self.detect_request_start(line),
            State::Head if line.is_empty() && !truncated => {
                let unambiguous = self.length_headers + self.transfer_codings <= 1;
                self.unambiguous.push_back(unambiguous);
                self.state = match (unambiguous, self.transfer_codings) {
                    (false, _) => State::Invalid,
                    (true, 0) if self.content_length == 0 => self.start_next_request(),
                    (true, 0) => State::Body(self.content_length),
                    _ => State::ChunkSize,
                };
            }
            State::Head => self.process_header(line, truncated),
            State::ChunkSize => {
                let digits = line.split(|b| matches!(b, b';' | b' ' | b'\t')).next().unwrap_or_default();
                let size = std::str::from_utf8(digits).ok().and_then(|d| u64::from_str_radix(d, 16).ok());
                self.state = match size {
                    None => State::Invalid,
                    Some(0) => State::Trailer,
                    Some(size) => State::Chunk(size),
                };
            }
            State::ChunkEnd if line.is_empty() && !truncated => self.state = State::ChunkSize,
            State::ChunkEnd => self.state = State::Invalid,
            State::Trailer if line.is_empty() && !truncated => self.state = self.start_next_request(),
            _ => {}
        }
    }

    /// Processes a header. One that defines the request's end and is truncated is ambiguous: it counts twice.
    fn process_header(&mut self, line: &[u8], truncated: bool) {
        let Some(colon) = line.iter().position(|b| *b == b':') else { return };
        let (name, value) = (line[..colon].trim_ascii(), line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"content-length") {
            self.length_headers += 1;
            match std::str::from_utf8(value).ok().filter(|_| !truncated).and_then(|v| v.parse().ok()) {
                Some(length) => self.content_length = length,
                // An invalid length is ambiguous: it counts as two.
                None => self.length_headers += 1,
            }
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.transfer_codings += if value.eq_ignore_ascii_case(b"chunked") && !truncated { 1 } else { 2 };
        }
    }

    fn start_next_request(&mut self) -> State {
        (self.request_started, self.length_headers, self.content_length, self.transfer_codings) =
            (false, 0, 0, 0);
        State::Head
    }
}

#[cfg(test)]
mod tests;
