//! Records and their frames: values to bytes and back. The layout is told in `docs/design/ledger-format.md`; what is
//! here must agree with it, as others may read these files.

use std::fmt;

use serde::Serialize;
use sha2::{Digest as _, Sha256};

/// The most bytes of a record's payload.
pub const PAYLOAD_MAX_BYTES: usize = 1024;
/// Bytes of a frame before its payload: mark, length, checksum, sequence, kind.
pub const FRAME_HEADER_BYTES: usize = 17;
/// The most bytes of a frame.
pub const FRAME_MAX_BYTES: usize = FRAME_HEADER_BYTES + PAYLOAD_MAX_BYTES;
/// What each frame begins with, so that a reader that lost its place finds one again.
pub const FRAME_MARK: [u8; 2] = *b"mL";
/// The longest id of a request that a ledger takes, in bytes.
pub const ID_MAX_BYTES: usize = 256;
/// The longest names of classes, tenants and servers, in bytes; longer ones are cut, as they are for people.
pub const NAME_MAX_BYTES: usize = 128;

/// What stands for a key: the first 16 bytes of its SHA-256. Keys may be secrets of users, and are not written.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest(pub [u8; 16]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> Self {
        let mut short = [0; 16];
        short.copy_from_slice(&Sha256::digest(key)[..16]);
        Self(short)
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

/// A moment by both clocks, in microseconds. The wall's may step; the other only runs on, but from each boot anew.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Timestamp {
    /// Unix time.
    pub wall_us: u64,
    /// Since the machine was started, times of sleep included; in ledgers of earlier versions since the process opened it.
    pub mono_us: u64,
}

/// How an attempt ended, as far as the node could see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[repr(u8)]
pub enum AttemptOutcome {
    /// Served.
    Done = 1,
    /// Answered by an error.
    Error = 2,
    /// Turned away unseen.
    Full = 3,
    /// No answer in time.
    TimedOut = 4,
    /// No byte in time, while the server answered what was sent later.
    Unheard = 5,
    /// No connection.
    ConnectFailed = 6,
    /// The connection broke before the last byte was written.
    Unwritten = 7,
    /// The connection broke.
    Reset = 8,
    /// Called off.
    Cancelled = 9,
    /// Never sent.
    NotSent = 10,
    /// The server finds the request itself bad.
    Rejected = 11,
}

/// Did a request run at a server?
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// It did.
    Ran,
    /// It did not.
    Never,
    /// It may have, or may still.
    Unknown,
}

impl AttemptOutcome {
    const ALL: [Self; 11] = [
        Self::Done,
        Self::Error,
        Self::Full,
        Self::TimedOut,
        Self::Unheard,
        Self::ConnectFailed,
        Self::Unwritten,
        Self::Reset,
        Self::Cancelled,
        Self::NotSent,
        Self::Rejected,
    ];

    fn of(code: u8) -> Option<Self> {
        Self::ALL.into_iter().find(|how| *how as u8 == code)
    }

    /// What an ending proves.
    pub fn execution(self) -> Execution {
        match self {
            Self::Done => Execution::Ran,
            Self::Full | Self::ConnectFailed | Self::Unwritten | Self::NotSent => Execution::Never,
            _ => Execution::Unknown,
        }
    }
}

/// What its client was told in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[repr(u8)]
pub enum FinalOutcome {
    /// A server's answer.
    Served = 1,
    /// Refused: trying again is harmless.
    Refused = 2,
    /// Failed.
    Failed = 3,
    /// The request itself is bad.
    Rejected = 4,
    /// Nothing: the client had left, or its time was up. Its attempts may go on.
    Abandoned = 5,
}

impl FinalOutcome {
    fn of(code: u8) -> Option<Self> {
        [Self::Served, Self::Refused, Self::Failed, Self::Rejected, Self::Abandoned]
            .into_iter()
            .find(|told| *told as u8 == code)
    }
}

/// Before an attempt's first byte may go to a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Intent {
    /// Its number, never used twice in a directory.
    pub number: u64,
    /// The client's id of the request.
    pub id: String,
    /// The class of the request.
    pub class: String,
    /// The tenant; empty where there is none.
    pub tenant: String,
    /// The digest of its key, where the class has keys.
    pub key: Option<KeyDigest>,
    /// Which attempt of the request this is, from 0.
    pub attempt: u16,
    /// The server.
    pub server: String,
    /// When that server last started, Unix time in milliseconds; 0 where the list does not say.
    pub server_start_ms: u64,
    /// Time that the request had left, in microseconds.
    pub left_us: u64,
    /// When.
    pub at: Timestamp,
    /// Which life of the node.
    pub boot: u64,
}

/// After an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// The number of its intent.
    pub intent: u64,
    /// How it ended.
    pub how: AttemptOutcome,
    /// When.
    pub at: Timestamp,
}

/// After a request: what its client was told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Final {
    /// The number of its last intent.
    pub intent: u64,
    /// The client's id.
    pub id: String,
    /// What it was told.
    pub told: FinalOutcome,
    /// When.
    pub at: Timestamp,
}

/// An operator's word on an intent that was open when its node died.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Settled {
    /// The number of the intent.
    pub intent: u64,
    /// Whether the server's own records show that it ran.
    pub ran: bool,
    /// When.
    pub at: Timestamp,
}

/// An open intent, written again at the head of a later segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Carried {
    /// The intent as it was.
    pub intent: Intent,
    /// It was read from bytes that nothing was wrong with.
    pub trusted: bool,
}

/// A ledger's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "record", rename_all = "kebab-case")]
pub enum Record {
    /// Before an attempt.
    Intent(Intent),
    /// After it.
    Outcome(Outcome),
    /// After the request.
    Final(Final),
    /// An operator's word.
    Settled(Settled),
    /// From earlier segments.
    Carried(Carried),
    /// The end of what is carried: with so many records before it all that was open is told.
    Checkpoint {
        /// How many were carried.
        carried: u32,
    },
    /// From this sequence on what a segment holds was promised to nobody: a write or a sync failed.
    Doubt {
        /// The segment.
        segment: u64,
        /// The first sequence that may be there or not.
        from: u64,
    },
    /// The segment's end in order.
    Closed {
        /// The node ended, too, with nothing out.
        last: bool,
    },
}

impl Record {
    /// The kind as frames name it.
    pub fn kind(&self) -> u8 {
        match self {
            Self::Intent(_) => 1,
            Self::Outcome(_) => 2,
            Self::Final(_) => 3,
            Self::Settled(_) => 4,
            Self::Carried(_) => 5,
            Self::Checkpoint { .. } => 6,
            Self::Doubt { .. } => 7,
            Self::Closed { .. } => 8,
        }
    }

    fn write(&self, to: &mut Vec<u8>) {
        match self {
            Self::Intent(intent) => write_intent(intent, to),
            Self::Outcome(o) => {
                number(to, o.intent);
                to.push(o.how as u8);
                now(to, o.at);
            }
            Self::Final(f) => {
                number(to, f.intent);
                to.push(f.told as u8);
                now(to, f.at);
                text(to, &f.id, ID_MAX_BYTES);
            }
            Self::Settled(s) => {
                number(to, s.intent);
                to.push(u8::from(s.ran));
                now(to, s.at);
            }
            Self::Carried(c) => {
                to.push(u8::from(c.trusted));
                write_intent(&c.intent, to);
            }
            Self::Checkpoint { carried } => to.extend(carried.to_le_bytes()),
            Self::Doubt { segment, from } => {
                number(to, *segment);
                number(to, *from);
            }
            Self::Closed { last } => to.push(u8::from(*last)),
        }
    }

    /// The record of a frame; `None` where this version knows no such record.
    pub fn read(kind: u8, payload: &[u8]) -> Option<Self> {
        let mut from = Fields(payload);
        let record = match kind {
            1 => Self::Intent(from.intent()?),
            2 => Self::Outcome(Outcome {
                intent: from.number()?,
                how: AttemptOutcome::of(from.byte()?)?,
                at: from.now()?,
            }),
            3 => {
                let (intent, told, at) = (from.number()?, FinalOutcome::of(from.byte()?)?, from.now()?);
                Self::Final(Final { intent, told, at, id: from.text()? })
            }
            4 => Self::Settled(Settled { intent: from.number()?, ran: from.flag()?, at: from.now()? }),
            5 => Self::Carried(Carried { trusted: from.flag()?, intent: from.intent()? }),
            6 => Self::Checkpoint { carried: u32::from_le_bytes(from.take()?) },
            7 => Self::Doubt { segment: from.number()?, from: from.number()? },
            8 => Self::Closed { last: from.flag()? },
            _ => return None,
        };
        from.0.is_empty().then_some(record)
    }
}

fn write_intent(intent: &Intent, to: &mut Vec<u8>) {
    number(to, intent.number);
    number(to, intent.boot);
    now(to, intent.at);
    number(to, intent.left_us);
    number(to, intent.server_start_ms);
    to.extend(intent.attempt.to_le_bytes());
    to.push(u8::from(intent.key.is_some()));
    to.extend(intent.key.iter().flat_map(|key| key.0));
    text(to, &intent.id, ID_MAX_BYTES);
    text(to, &intent.class, NAME_MAX_BYTES);
    text(to, &intent.tenant, NAME_MAX_BYTES);
    text(to, &intent.server, NAME_MAX_BYTES);
}

fn number(to: &mut Vec<u8>, value: u64) {
    to.extend(value.to_le_bytes());
}

fn now(to: &mut Vec<u8>, at: Timestamp) {
    number(to, at.wall_us);
    number(to, at.mono_us);
}

/// A text, cut where it is too long: at the last whole character that fits.
fn text(to: &mut Vec<u8>, value: &str, most: usize) {
    let end = (0..=value.len().min(most)).rev().find(|n| value.is_char_boundary(*n)).unwrap_or(0);
    to.extend((end as u16).to_le_bytes());
    to.extend(&value.as_bytes()[..end]);
}

/// What is left of a payload.
struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (head, rest) = self.0.split_first_chunk::<N>()?;
        self.0 = rest;
        Some(*head)
    }

    fn byte(&mut self) -> Option<u8> {
        self.take::<1>().map(|[byte]| byte)
    }

    fn flag(&mut self) -> Option<bool> {
        self.byte().filter(|byte| *byte < 2).map(|byte| byte == 1)
    }

    fn number(&mut self) -> Option<u64> {
        self.take().map(u64::from_le_bytes)
    }

    fn now(&mut self) -> Option<Timestamp> {
        Some(Timestamp { wall_us: self.number()?, mono_us: self.number()? })
    }

    fn text(&mut self) -> Option<String> {
        let length = usize::from(u16::from_le_bytes(self.take()?));
        let (head, rest) = self.0.split_at_checked(length)?;
        self.0 = rest;
        std::str::from_utf8(head).ok().map(str::to_string)
    }

    fn intent(&mut self) -> Option<Intent> {
        let (number, boot, at) = (self.number()?, self.number()?, self.now()?);
        let (left_us, server_start_ms) = (self.number()?, self.number()?);
        let attempt = u16::from_le_bytes(self.take()?);
        let key = if self.flag()? { Some(KeyDigest(self.take()?)) } else { None };
        let (id, class, tenant, server) = (self.text()?, self.text()?, self.text()?, self.text()?);
        Some(Intent { number, id, class, tenant, key, attempt, server, server_start_ms, left_us, at, boot })
    }
}

// ---- Frames ----

/// What the checksums of a segment's frames begin with: its owner and its number, so that a frame of another segment, or
/// of another node's, is none here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Salt(u32);

impl Salt {
    /// That of a segment.
    pub fn of(owner: [u8; 16], segment: u64) -> Self {
        let mut sum = crc32fast::Hasher::new();
        sum.update(&owner);
        sum.update(&segment.to_le_bytes());
        Self(sum.finalize())
    }

    fn sum(self, bytes: &[&[u8]]) -> u32 {
        let mut sum = crc32fast::Hasher::new_with_initial(self.0);
        bytes.iter().for_each(|part| sum.update(part));
        sum.finalize()
    }
}

/// Adds a record's frame.
pub fn encode(record: &Record, seq: u64, salt: Salt, to: &mut Vec<u8>) {
    let begin = to.len();
    to.extend([0; FRAME_HEADER_BYTES]);
    record.write(to);
    // The bounds of the texts keep every record under it.
    debug_assert!(to.len() - begin <= FRAME_MAX_BYTES);
    let length = ((to.len() - begin - FRAME_HEADER_BYTES) as u16).to_le_bytes();
    let frame = &mut to[begin..];
    frame[..2].copy_from_slice(&FRAME_MARK);
    frame[2..4].copy_from_slice(&length);
    frame[8..16].copy_from_slice(&seq.to_le_bytes());
    frame[16] = record.kind();
    let sum = salt.sum(&[&length, &frame[8..]]);
    frame[4..8].copy_from_slice(&sum.to_le_bytes());
}

/// What some bytes begin with.
#[derive(Debug, PartialEq, Eq)]
pub enum ParsedFrame<'a> {
    /// A whole frame.
    Frame {
        /// Its place in the order of all records.
        seq: u64,
        /// What kind of record it holds.
        kind: u8,
        /// The record.
        payload: &'a [u8],
    },
    /// What may become a frame, once there are more bytes.
    Incomplete,
    /// No frame.
    Invalid,
}

/// Reads the frame at the beginning of some bytes.
pub fn parse(bytes: &[u8], salt: Salt) -> ParsedFrame<'_> {
    let shown = bytes.len().min(2);
    if bytes[..shown] != FRAME_MARK[..shown] {
        return ParsedFrame::Invalid;
    }
    let Some((head, rest)) = bytes.split_first_chunk::<FRAME_HEADER_BYTES>() else {
        return ParsedFrame::Incomplete;
    };
    let length = [head[2], head[3]];
    let size = usize::from(u16::from_le_bytes(length));
    if size > PAYLOAD_MAX_BYTES {
        return ParsedFrame::Invalid;
    }
    let Some(payload) = rest.get(..size) else { return ParsedFrame::Incomplete };
    let sum = u32::from_le_bytes([head[4], head[5], head[6], head[7]]);
    if salt.sum(&[&length, &head[8..], payload]) != sum {
        return ParsedFrame::Invalid;
    }
    let mut seq = [0; 8];
    seq.copy_from_slice(&head[8..16]);
    ParsedFrame::Frame { seq: u64::from_le_bytes(seq), kind: head[16], payload }
}

#[cfg(test)]
mod tests;
