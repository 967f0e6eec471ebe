//! Progress of one HTTP message: how much of an outgoing one the kernel has accepted, and how much of a
//! response was received.

/// How much of one HTTP message has passed.
#[derive(Default)]
pub(super) struct MessageProgress {
    /// Length of the body in bytes, if it is not chunked.
    pub(super) body_len: usize,
    /// The last four bytes of the head so far.
    pub(super) head_tail: [u8; 4],
    /// Bytes of the body that are still missing; `None` until the head is complete.
    pub(super) body_left: Option<usize>,
    /// Whether any byte has passed.
    pub(super) started: bool,
    /// Whether the body is chunked.
    pub(super) chunked: bool,
    /// Whether the sender of a chunked body has handed over all of it.
    pub(super) body_finished: bool,
    /// The last five bytes so far, by which the end of a chunked body is recognized.
    pub(super) last_bytes: [u8; 5],
}

/// The bytes that end a chunked body without trailers.
pub(super) const LAST_CHUNK: [u8; 5] = *b"0\r\n\r\n";

/// Appends the newest bytes to a window of the last five.
pub(super) fn keep_last(last: &mut [u8; 5], bytes: &[u8]) {
    let tail = &bytes[bytes.len().saturating_sub(last.len())..];
    last.copy_within(tail.len().., 0);
    let keep = last.len() - tail.len();
    last[keep..].copy_from_slice(tail);
}

impl MessageProgress {
    pub(super) fn on_sent(&mut self, bytes: &[u8]) {
        self.started |= !bytes.is_empty();
        if self.chunked {
            keep_last(&mut self.last_bytes, bytes);
        }
        let body_bytes = bytes.len() - self.on_head(bytes);
        self.body_left = self.body_left.map(|left| left.saturating_sub(body_bytes));
    }

    /// Consumes the bytes that belong to the head, and returns their number.
    fn on_head(&mut self, bytes: &[u8]) -> usize {
        let mut at = 0;
        while self.body_left.is_none() {
            let rest = &bytes[at..];
            // A head ends at a line end, so the last four bytes are compared only there.
            let Some(end) = rest.iter().position(|b| *b == b'\n') else {
                self.keep_head_tail(rest);
                return bytes.len();
            };
            self.keep_head_tail(&rest[..=end]);
            at += end + 1;
            if &self.head_tail == b"\r\n\r\n" {
                self.body_left = Some(self.body_len);
            }
        }
        at
    }

    /// Keeps the last bytes of the head, which may pass in pieces.
    fn keep_head_tail(&mut self, bytes: &[u8]) {
        for byte in &bytes[bytes.len().saturating_sub(4)..] {
            self.head_tail = [self.head_tail[1], self.head_tail[2], self.head_tail[3], *byte];
        }
    }

    pub(super) fn is_complete(&self) -> bool {
        if self.chunked {
            self.body_finished && self.last_bytes == LAST_CHUNK
        } else {
            self.body_left == Some(0)
        }
    }
}

/// Offset of the status code in the first line of a response, after "HTTP/1.1 ".
const STATUS_OFFSET: usize = 9;

/// Progress of a response: a head, and the number of bytes after it. Interim responses before it are skipped.
pub(super) struct ResponseProgress {
    /// The response, with a body as long as possible: what is missing of it tells how many bytes followed the
    /// head.
    pub(super) message: MessageProgress,
    /// Number of bytes of the head received so far.
    pub(super) head_bytes: usize,
    /// First digit of the status code.
    pub(super) status_class: Option<u8>,
    /// The last five bytes so far.
    pub(super) last_bytes: [u8; 5],
}

impl Default for ResponseProgress {
    fn default() -> Self {
        Self {
            message: MessageProgress { body_len: usize::MAX, ..MessageProgress::default() },
            head_bytes: 0,
            status_class: None,
            last_bytes: [0; 5],
        }
    }
}

impl ResponseProgress {
    pub(super) fn on_received(&mut self, bytes: &[u8]) {
        keep_last(&mut self.last_bytes, bytes);
        let mut rest = bytes;
        while self.message.body_left.is_none() && !rest.is_empty() {
            if let Some(digit) = STATUS_OFFSET.checked_sub(self.head_bytes).and_then(|at| rest.get(at)) {
                self.status_class = Some(*digit);
            }
            let consumed = self.message.on_head(rest);
            self.head_bytes += consumed;
            rest = &rest[consumed..];
            if self.message.body_left.is_some() && self.status_class == Some(b'1') {
                *self = Self { last_bytes: self.last_bytes, ..Self::default() };
            }
        }
        self.message.started |= !bytes.is_empty();
        self.message.body_left = self.message.body_left.map(|left| left.saturating_sub(rest.len()));
    }
}
