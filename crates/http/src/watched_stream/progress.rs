//! How far one HTTP message has come: what the kernel took of one that goes out, and what came back for it.

/// How much of one HTTP message the kernel has taken.
#[derive(Default)]
pub(super) struct Progress {
    pub(super) body: usize,
    /// The last four bytes of the head so far.
    pub(super) tail: [u8; 4],
    /// What is missing of the body; `None` until the head is out.
    pub(super) left: Option<usize>,
    pub(super) any: bool,
    /// The body comes in chunks, for as long as there are any: its end has been told, and the last bytes so far.
    pub(super) chunked: bool,
    pub(super) ended: bool,
    pub(super) last: [u8; 5],
}

/// What ends a body in chunks.
pub(super) const LAST_CHUNK: [u8; 5] = *b"0\r\n\r\n";

/// Moves the newest bytes in at the end.
pub(super) fn keep_last(last: &mut [u8; 5], bytes: &[u8]) {
    let tail = &bytes[bytes.len().saturating_sub(last.len())..];
    last.copy_within(tail.len().., 0);
    let keep = last.len() - tail.len();
    last[keep..].copy_from_slice(tail);
}

impl Progress {
    pub(super) fn took(&mut self, bytes: &[u8]) {
        self.any |= !bytes.is_empty();
        if self.chunked {
            keep_last(&mut self.last, bytes);
        }
        let behind = bytes.len() - self.took_head(bytes);
        self.left = self.left.map(|left| left.saturating_sub(behind));
    }

    /// Takes what is the head's; gives how much that was.
    fn took_head(&mut self, bytes: &[u8]) -> usize {
        let mut at = 0;
        while self.left.is_none() {
            let rest = &bytes[at..];
            // A head ends with a line's end: only there the last four bytes are looked at.
            let Some(end) = rest.iter().position(|b| *b == b'\n') else {
                self.keep_tail(rest);
                return bytes.len();
            };
            self.keep_tail(&rest[..=end]);
            at += end + 1;
            if &self.tail == b"\r\n\r\n" {
                self.left = Some(self.body);
            }
        }
        at
    }

    /// Notes the last bytes of the head, as it may go out or come in pieces.
    fn keep_tail(&mut self, bytes: &[u8]) {
        for byte in &bytes[bytes.len().saturating_sub(4)..] {
            self.tail = [self.tail[1], self.tail[2], self.tail[3], *byte];
        }
    }

    pub(super) fn whole(&self) -> bool {
        if self.chunked {
            self.ended && self.last == LAST_CHUNK
        } else {
            self.left == Some(0)
        }
    }
}

/// Where the status stands in an answer's first line: behind "HTTP/1.1 ".
const STATUS_AT: usize = 9;

/// What came back: a head, and how many bytes behind it. Interim answers ahead of it are passed over.
pub(super) struct Back {
    pub(super) head: Progress,
    /// How many bytes of the head have come, and the first digit of its status.
    pub(super) head_came: usize,
    pub(super) class: Option<u8>,
    pub(super) last: [u8; 5],
}

impl Default for Back {
    fn default() -> Self {
        Self {
            head: Progress { body: usize::MAX, ..Progress::default() },
            head_came: 0,
            class: None,
            last: [0; 5],
        }
    }
}

impl Back {
    pub(super) fn came(&mut self, bytes: &[u8]) {
        keep_last(&mut self.last, bytes);
        let mut rest = bytes;
        while self.head.left.is_none() && !rest.is_empty() {
            if let Some(digit) = STATUS_AT.checked_sub(self.head_came).and_then(|at| rest.get(at)) {
                self.class = Some(*digit);
            }
            let took = self.head.took_head(rest);
            self.head_came += took;
            rest = &rest[took..];
            if self.head.left.is_some() && self.class == Some(b'1') {
                *self = Self { last: self.last, ..Self::default() };
            }
        }
        self.head.any |= !bytes.is_empty();
        self.head.left = self.head.left.map(|left| left.saturating_sub(rest.len()));
    }
}
