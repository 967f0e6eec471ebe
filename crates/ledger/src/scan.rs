//! Parses the bytes of one segment, in pieces of any size, into records and the problems between them. No
//! I/O; holds at most one frame and one piece.

use crate::record::{parse, ParsedFrame, Record, Salt, FRAME_MAX_BYTES};
use crate::segment::{Header, HeaderError, Owner, HEADER_BYTES};

/// A part of a segment, in the order of its bytes.
#[derive(Debug, PartialEq, Eq)]
pub enum ScanEvent {
    /// The header or what is wrong with it; always the first event.
    Header(Result<Header, HeaderError>),
    /// A record.
    Record {
        /// The position of its frame.
        at: u64,
        /// Its sequence among all records.
        seq: u64,
        /// The record.
        record: Record,
    },
    /// A valid frame with a record that this version does not know.
    UnknownKind {
        /// The position of the frame.
        at: u64,
        /// Its sequence among all records.
        seq: u64,
        /// The code of the record's kind.
        kind: u8,
    },
    /// The sequence of the next frame is too high: records are missing.
    Gap {
        /// The expected sequence.
        expected: u64,
        /// The sequence that was found.
        found: u64,
    },
    /// Bytes that are no frame, followed by a frame.
    Damage {
        /// The first byte.
        from: u64,
        /// The position of the next frame.
        to: u64,
    },
    /// Bytes at the end of the segment that are no frame: a torn write.
    Tail {
        /// The first byte.
        from: u64,
        /// The number of bytes.
        length: u64,
    },
}

/// Scans a segment.
#[derive(Debug)]
pub struct Scanner {
    salt: Salt,
    owner: Owner,
    /// Unparsed bytes; the first is at position `at` in the file.
    buf: Vec<u8>,
    at: u64,
    header_read: bool,
    /// Whether the rest of the segment is to be skipped.
    skip_rest: bool,
    next_seq: Option<u64>,
    damage_start: Option<u64>,
}

impl Scanner {
    /// Starts scanning the segment with this number in the directory of this owner.
    pub fn new(owner: Owner, number: u64) -> Self {
        let salt = Salt::of(owner.0, number);
        Self {
            salt,
            owner,
            buf: Vec::new(),
            at: 0,
            header_read: false,
            skip_rest: false,
            next_seq: None,
            damage_start: None,
        }
    }

    /// The position up to which bytes have been pushed, from which the next ones are due.
    pub fn position(&self) -> u64 {
        self.at + self.buf.len() as u64
    }

    /// Takes the next bytes.
    pub fn push(&mut self, bytes: &[u8], sink: &mut impl FnMut(ScanEvent)) {
        // In pieces, so that the buffer is bounded whatever the caller reads at a time.
        for piece in bytes.chunks(64 * 1024) {
            if self.skip_rest {
                self.at += piece.len() as u64;
                continue;
            }
            self.buf.extend_from_slice(piece);
            self.advance(false, sink);
        }
    }

    /// Ends the scan at the end of the file.
    pub fn end(mut self, sink: &mut impl FnMut(ScanEvent)) {
        if self.skip_rest {
            return;
        }
        self.advance(true, sink);
        if let Some(from) = self.damage_start {
            sink(ScanEvent::Tail { from, length: self.at - from });
        }
    }

    fn advance(&mut self, at_end_of_file: bool, sink: &mut impl FnMut(ScanEvent)) {
        let mut used = 0;
        if !self.header_read {
            if self.buf.len() < HEADER_BYTES && !at_end_of_file {
                return;
            }
            let header = Header::read(&self.buf);
            self.header_read = true;
            used = match header {
                Ok(header) => {
                    self.next_seq = Some(header.first_seq);
                    self.skip_rest = header.owner != self.owner;
                    HEADER_BYTES
                }
                // The frames may still be intact: their salt does not depend on the header's bytes.
                Err(HeaderError::Damaged) => HEADER_BYTES,
                Err(HeaderError::Short) => {
                    self.skip_rest = true;
                    self.buf.len()
                }
                Err(HeaderError::NotOurs | HeaderError::Later(_)) => {
                    self.skip_rest = true;
                    0
                }
            };
            sink(ScanEvent::Header(header));
        }
        while used < self.buf.len() && !self.skip_rest {
            let at = self.at + used as u64;
            match parse(&self.buf[used..], self.salt) {
                // A sequence that goes backwards is old data at a new position of the file.
                ParsedFrame::Frame { seq, kind, payload } if self.next_seq.is_none_or(|next| seq >= next) => {
                    if let Some(from) = self.damage_start.take() {
                        sink(ScanEvent::Damage { from, to: at });
                    }
                    if let Some(expected) = self.next_seq.filter(|next| *next != seq) {
                        sink(ScanEvent::Gap { expected, found: seq });
                    }
                    // The highest possible sequence has no successor: no frame is accepted after it but one
                    // with the same sequence.
                    self.next_seq = Some(seq.saturating_add(1));
                    let size = crate::record::FRAME_HEADER_BYTES + payload.len();
                    sink(match Record::read(kind, payload) {
                        Some(record) => ScanEvent::Record { at, seq, record },
                        None => ScanEvent::UnknownKind { at, seq, kind },
                    });
                    used += size;
                }
                ParsedFrame::Incomplete if !at_end_of_file => break,
                ParsedFrame::Frame { .. } | ParsedFrame::Incomplete | ParsedFrame::Invalid => {
                    self.damage_start.get_or_insert(at);
                    used += 1;
                }
            }
        }
        if self.skip_rest {
            used = self.buf.len();
        }
        self.buf.drain(..used);
        self.at += used as u64;
        debug_assert!(self.buf.len() < FRAME_MAX_BYTES.max(HEADER_BYTES));
    }
}

#[cfg(test)]
mod tests;
