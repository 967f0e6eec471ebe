//! One segment's bytes, in pieces of any size, to records and what is wrong between them. Pure; holds at most one frame
//! and one piece.

use crate::record::{parse, ParsedFrame, Record, Salt, FRAME_MAX_BYTES};
use crate::segment::{Header, HeaderError, Owner, HEADER_BYTES};

/// What a segment's bytes hold, in their order.
#[derive(Debug, PartialEq, Eq)]
pub enum ScanEvent {
    /// The header, or what is wrong with it; always the first.
    Header(Result<Header, HeaderError>),
    /// A record.
    Record {
        /// Where its frame begins.
        at: u64,
        /// Its place in the order of all records.
        seq: u64,
        /// The record.
        record: Record,
    },
    /// A good frame with a record that this version does not know.
    UnknownKind {
        /// Where it begins.
        at: u64,
        /// Its place in the order.
        seq: u64,
        /// Its kind.
        kind: u8,
    },
    /// The next frame is not the next in order: some are missing.
    Gap {
        /// The sequence that should have come.
        expected: u64,
        /// The one that came.
        found: u64,
    },
    /// Bytes that are no frame, with frames behind them.
    Damage {
        /// Where they begin.
        from: u64,
        /// Where the next frame begins.
        to: u64,
    },
    /// Bytes at the end that are no frame: torn off.
    Tail {
        /// Where they begin.
        from: u64,
        /// How many they are.
        length: u64,
    },
}

/// Reads a segment.
#[derive(Debug)]
pub struct Scanner {
    salt: Salt,
    owner: Owner,
    /// Bytes that are not used up; the first is at `at` in the file.
    buf: Vec<u8>,
    at: u64,
    headed: bool,
    /// The rest is not for this reader.
    over: bool,
    next: Option<u64>,
    lost: Option<u64>,
}

impl Scanner {
    /// Begins a segment of this number in the directory of this owner.
    pub fn new(owner: Owner, number: u64) -> Self {
        let salt = Salt::of(owner.0, number);
        Self { salt, owner, buf: Vec::new(), at: 0, headed: false, over: false, next: None, lost: None }
    }

    /// How many bytes it has been given: where the next ones begin.
    pub fn at_end(&self) -> u64 {
        self.at + self.buf.len() as u64
    }

    /// Takes the next bytes.
    pub fn push(&mut self, bytes: &[u8], sink: &mut impl FnMut(ScanEvent)) {
        // In pieces, so that what is held is bounded whatever the caller reads at a time.
        for piece in bytes.chunks(64 * 1024) {
            if self.over {
                self.at += piece.len() as u64;
                continue;
            }
            self.buf.extend_from_slice(piece);
            self.advance(false, sink);
        }
    }

    /// The file ends here.
    pub fn end(mut self, sink: &mut impl FnMut(ScanEvent)) {
        if self.over {
            return;
        }
        self.advance(true, sink);
        if let Some(from) = self.lost {
            sink(ScanEvent::Tail { from, length: self.at - from });
        }
    }

    fn advance(&mut self, last: bool, sink: &mut impl FnMut(ScanEvent)) {
        let mut used = 0;
        if !self.headed {
            if self.buf.len() < HEADER_BYTES && !last {
                return;
            }
            let header = Header::read(&self.buf);
            self.headed = true;
            used = match header {
                Ok(header) => {
                    self.next = Some(header.first_seq);
                    self.over = header.owner != self.owner;
                    HEADER_BYTES
                }
                // The frames may still be whole: their salt needs no header.
                Err(HeaderError::Damaged) => HEADER_BYTES,
                Err(HeaderError::Short) => {
                    self.over = true;
                    self.buf.len()
                }
                Err(HeaderError::NotOurs | HeaderError::Later(_)) => {
                    self.over = true;
                    0
                }
            };
            sink(ScanEvent::Header(header));
        }
        while used < self.buf.len() && !self.over {
            let at = self.at + used as u64;
            match parse(&self.buf[used..], self.salt) {
                // An order that runs backwards is an old piece of the file in a new place.
                ParsedFrame::Frame { seq, kind, payload } if self.next.is_none_or(|next| seq >= next) => {
                    if let Some(from) = self.lost.take() {
                        sink(ScanEvent::Damage { from, to: at });
                    }
                    if let Some(expected) = self.next.filter(|next| *next != seq) {
                        sink(ScanEvent::Gap { expected, found: seq });
                    }
                    // The last of all numbers has none after it: what claims it is followed by nothing.
                    self.next = Some(seq.saturating_add(1));
                    let size = crate::record::FRAME_HEADER_BYTES + payload.len();
                    sink(match Record::read(kind, payload) {
                        Some(record) => ScanEvent::Record { at, seq, record },
                        None => ScanEvent::UnknownKind { at, seq, kind },
                    });
                    used += size;
                }
                ParsedFrame::Incomplete if !last => break,
                ParsedFrame::Frame { .. } | ParsedFrame::Incomplete | ParsedFrame::Invalid => {
                    self.lost.get_or_insert(at);
                    used += 1;
                }
            }
        }
        if self.over {
            used = self.buf.len();
        }
        self.buf.drain(..used);
        self.at += used as u64;
        debug_assert!(self.buf.len() < FRAME_MAX_BYTES.max(HEADER_BYTES));
    }
}

#[cfg(test)]
mod tests;
