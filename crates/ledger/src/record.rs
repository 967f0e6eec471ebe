//! Records and their frames: encoding and decoding. The layout is described in
//! `docs/design/ledger-format.md`; the code must agree with it, because other programs may read these files.

use std::fmt;

use serde::Serialize;
use sha2::{Digest as _, Sha256};

/// Maximum bytes of a record's payload.
pub const PAYLOAD_MAX_BYTES: usize = 1024;
/// Bytes of a frame before its payload: mark, length, checksum, sequence, kind.
pub const FRAME_HEADER_BYTES: usize = 17;
/// Maximum bytes of a frame.
pub const FRAME_MAX_BYTES: usize = FRAME_HEADER_BYTES + PAYLOAD_MAX_BYTES;
/// The first bytes of each frame, by which a reader resynchronizes after damage.
pub const FRAME_MARK: [u8; 2] = *b"mL";
/// Maximum bytes of a request id.
pub const ID_MAX_BYTES: usize = 256;
/// Maximum bytes of the names of classes, tenants and servers. Longer ones are truncated, since they only
/// serve people.
pub const NAME_MAX_BYTES: usize = 128;

/// The first 16 bytes of a key's SHA-256. The key itself may be a user's secret and is not written.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest(pub [u8; 16]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        let mut digest = [0; 16];
        digest.copy_from_slice(&Sha256::digest(key)[..16]);
        Self(digest)
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

/// A time by two clocks, in microseconds. The wall clock may step; the boot clock is monotonic but restarts
/// with the machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Timestamp {
    /// Unix time.
    pub wall_us: u64,
    /// Time since the machine started, including suspend. In ledgers of earlier versions: since the process
    /// opened the ledger.
    pub mono_us: u64,
}

/// How an attempt ended, as far as the node could observe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[repr(u8)]
pub enum AttemptOutcome {
    /// The server responded with success.
    Done = 1,
    /// The server responded with an error.
    Error = 2,
    /// The server rejected it unprocessed because it had no capacity.
    Full = 3,
    /// No response in time.
    TimedOut = 4,
    /// Not a byte of a response in time, while the server responded to requests sent later.
    Unheard = 5,
    /// The connection could not be established.
    ConnectFailed = 6,
    /// The connection broke before the last byte of the request was written.
    Unwritten = 7,
    /// The connection broke.
    Reset = 8,
    /// The attempt was cancelled.
    Cancelled = 9,
    /// The attempt was never sent.
    NotSent = 10,
    /// The server found the request itself invalid.
    Rejected = 11,
}

/// Whether a request ran at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// It ran.
    Ran,
    /// It did not run.
    Never,
    /// It may have run or may still run.
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

    fn from_code(code: u8) -> Option<Self> {
        Self::ALL.into_iter().find(|outcome| *outcome as u8 == code)
    }

    /// What this outcome proves about whether the request ran.
    pub fn execution(self) -> Execution {
        match self {
            Self::Done => Execution::Ran,
            Self::Full | Self::ConnectFailed | Self::Unwritten | Self::NotSent => Execution::Never,
            _ => Execution::Unknown,
        }
    }
}

/// The final outcome that the client received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[repr(u8)]
pub enum FinalOutcome {
    /// A server's response.
    Served = 1,
    /// Refused: the client can safely retry.
    Refused = 2,
    /// Failed.
    Failed = 3,
    /// The request itself is invalid.
    Rejected = 4,
    /// Nothing: the client disconnected or its deadline passed. Its attempts may continue.
    Abandoned = 5,
}

impl FinalOutcome {
    fn from_code(code: u8) -> Option<Self> {
        [Self::Served, Self::Refused, Self::Failed, Self::Rejected, Self::Abandoned]
            .into_iter()
            .find(|outcome| *outcome as u8 == code)
    }
}

/// Recorded before the first byte of an attempt may go to a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Intent {
    /// The number of the intent, unique in a directory.
    pub number: u64,
    /// The client's id of the request.
    pub id: String,
    /// The class of the request.
    pub class: String,
    /// The tenant; empty if none.
    pub tenant: String,
    /// The digest of the key, if the class has keys.
    pub key: Option<KeyDigest>,
    /// The number of the attempt within the request, from 0.
    pub attempt: u16,
    /// The name of the server.
    pub server: String,
    /// When that server last started, Unix time in milliseconds; 0 if the server list does not say.
    pub server_start_ms: u64,
    /// Time until the request's deadline, in microseconds.
    pub left_us: u64,
    /// When the intent was recorded.
    pub at: Timestamp,
    /// The incarnation of the node.
    pub boot: u64,
}

/// Recorded after an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// The number of its intent.
    pub intent: u64,
    /// How the attempt ended.
    pub how: AttemptOutcome,
    /// When it ended.
    pub at: Timestamp,
}

/// Recorded after a request: the final outcome that its client received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Final {
    /// The number of the request's last intent.
    pub intent: u64,
    /// The client's id of the request.
    pub id: String,
    /// The final outcome.
    pub told: FinalOutcome,
    /// When it was sent.
    pub at: Timestamp,
}

/// An operator's decision on an intent that was open when its node died.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Settled {
    /// The number of the intent.
    pub intent: u64,
    /// Whether the server's own records show that it ran.
    pub ran: bool,
    /// When it was settled.
    pub at: Timestamp,
}

/// An open intent, repeated in the checkpoint of a later segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Carried {
    /// The intent as first recorded.
    pub intent: Intent,
    /// Whether it was read from undamaged bytes.
    pub trusted: bool,
}

/// A record of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "record", rename_all = "kebab-case")]
pub enum Record {
    /// Before an attempt.
    Intent(Intent),
    /// After an attempt.
    Outcome(Outcome),
    /// After a request.
    Final(Final),
    /// An operator's decision.
    Settled(Settled),
    /// An open intent of earlier segments.
    Carried(Carried),
    /// The end of a checkpoint. If as many carried records precede it as it states, they are all intents that
    /// were open.
    Checkpoint {
        /// The number of carried records.
        carried: u32,
    },
    /// A write or a sync failed: the records of a segment from this sequence on were never confirmed.
    Doubt {
        /// The segment.
        segment: u64,
        /// The first sequence that may or may not be in the segment.
        from: u64,
    },
    /// The orderly end of a segment.
    Closed {
        /// Whether the node ended too, with no open intent.
        last: bool,
    },
}

impl Record {
    /// The code of the record's kind in a frame.
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
                write_number(to, o.intent);
                to.push(o.how as u8);
                write_time(to, o.at);
            }
            Self::Final(f) => {
                write_number(to, f.intent);
                to.push(f.told as u8);
                write_time(to, f.at);
                write_text(to, &f.id, ID_MAX_BYTES);
            }
            Self::Settled(s) => {
                write_number(to, s.intent);
                to.push(u8::from(s.ran));
                write_time(to, s.at);
            }
            Self::Carried(c) => {
                to.push(u8::from(c.trusted));
                write_intent(&c.intent, to);
            }
            Self::Checkpoint { carried } => to.extend(carried.to_le_bytes()),
            Self::Doubt { segment, from } => {
                write_number(to, *segment);
                write_number(to, *from);
            }
            Self::Closed { last } => to.push(u8::from(*last)),
        }
    }

    /// Decodes the record of a frame; `None` if this version does not know it.
    pub fn read(kind: u8, payload: &[u8]) -> Option<Self> {
        let mut from = PayloadReader(payload);
        let record = match kind {
            1 => Self::Intent(from.intent()?),
            2 => Self::Outcome(Outcome {
                intent: from.number()?,
                how: AttemptOutcome::from_code(from.byte()?)?,
                at: from.time()?,
            }),
            3 => {
                let (intent, told, at) =
                    (from.number()?, FinalOutcome::from_code(from.byte()?)?, from.time()?);
                Self::Final(Final { intent, told, at, id: from.text()? })
            }
            4 => Self::Settled(Settled { intent: from.number()?, ran: from.flag()?, at: from.time()? }),
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
    write_number(to, intent.number);
    write_number(to, intent.boot);
    write_time(to, intent.at);
    write_number(to, intent.left_us);
    write_number(to, intent.server_start_ms);
    to.extend(intent.attempt.to_le_bytes());
    to.push(u8::from(intent.key.is_some()));
    to.extend(intent.key.iter().flat_map(|key| key.0));
    write_text(to, &intent.id, ID_MAX_BYTES);
    write_text(to, &intent.class, NAME_MAX_BYTES);
    write_text(to, &intent.tenant, NAME_MAX_BYTES);
    write_text(to, &intent.server, NAME_MAX_BYTES);
}

fn write_number(to: &mut Vec<u8>, value: u64) {
    to.extend(value.to_le_bytes());
}

fn write_time(to: &mut Vec<u8>, at: Timestamp) {
    write_number(to, at.wall_us);
    write_number(to, at.mono_us);
}

/// Writes a text, truncated at the last whole character within the limit.
fn write_text(to: &mut Vec<u8>, value: &str, max_bytes: usize) {
    let end = (0..=value.len().min(max_bytes)).rev().find(|n| value.is_char_boundary(*n)).unwrap_or(0);
    to.extend((end as u16).to_le_bytes());
    to.extend(&value.as_bytes()[..end]);
}

/// The unread rest of a payload.
struct PayloadReader<'a>(&'a [u8]);

impl PayloadReader<'_> {
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

    fn time(&mut self) -> Option<Timestamp> {
        Some(Timestamp { wall_us: self.number()?, mono_us: self.number()? })
    }

    fn text(&mut self) -> Option<String> {
        let length = usize::from(u16::from_le_bytes(self.take()?));
        let (head, rest) = self.0.split_at_checked(length)?;
        self.0 = rest;
        std::str::from_utf8(head).ok().map(str::to_string)
    }

    fn intent(&mut self) -> Option<Intent> {
        let (number, boot, at) = (self.number()?, self.number()?, self.time()?);
        let (left_us, server_start_ms) = (self.number()?, self.number()?);
        let attempt = u16::from_le_bytes(self.take()?);
        let key = if self.flag()? { Some(KeyDigest(self.take()?)) } else { None };
        let (id, class, tenant, server) = (self.text()?, self.text()?, self.text()?, self.text()?);
        Some(Intent { number, id, class, tenant, key, attempt, server, server_start_ms, left_us, at, boot })
    }
}

// ---- Frames ----

/// The initial value of a segment's checksums, computed from its owner and number, so that a frame of another
/// segment or node is not valid here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Salt(u32);

impl Salt {
    /// The salt of a segment.
    pub fn of(owner: [u8; 16], segment: u64) -> Self {
        let mut checksum = crc32fast::Hasher::new();
        checksum.update(&owner);
        checksum.update(&segment.to_le_bytes());
        Self(checksum.finalize())
    }

    fn checksum(self, bytes: &[&[u8]]) -> u32 {
        let mut checksum = crc32fast::Hasher::new_with_initial(self.0);
        bytes.iter().for_each(|part| checksum.update(part));
        checksum.finalize()
    }
}

/// Appends a record's frame.
pub fn encode(record: &Record, seq: u64, salt: Salt, to: &mut Vec<u8>) {
    let start = to.len();
    to.extend([0; FRAME_HEADER_BYTES]);
    record.write(to);
    // The limits on texts keep every record below this size.
    debug_assert!(to.len() - start <= FRAME_MAX_BYTES);
    let length = ((to.len() - start - FRAME_HEADER_BYTES) as u16).to_le_bytes();
    let frame = &mut to[start..];
    frame[..2].copy_from_slice(&FRAME_MARK);
    frame[2..4].copy_from_slice(&length);
    frame[8..16].copy_from_slice(&seq.to_le_bytes());
    frame[16] = record.kind();
    let checksum = salt.checksum(&[&length, &frame[8..]]);
    frame[4..8].copy_from_slice(&checksum.to_le_bytes());
}

/// The result of parsing the beginning of a byte slice.
#[derive(Debug, PartialEq, Eq)]
pub enum ParsedFrame<'a> {
    /// A complete frame.
    Frame {
        /// Its sequence among all records.
        seq: u64,
        /// The kind of its record.
        kind: u8,
        /// The encoded record.
        payload: &'a [u8],
    },
    /// The beginning of a possible frame; more bytes are needed.
    Incomplete,
    /// Not a frame.
    Invalid,
}

/// Parses the frame at the beginning of a byte slice.
pub fn parse(bytes: &[u8], salt: Salt) -> ParsedFrame<'_> {
    let prefix = bytes.len().min(2);
    if bytes[..prefix] != FRAME_MARK[..prefix] {
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
    let checksum = u32::from_le_bytes([head[4], head[5], head[6], head[7]]);
    if salt.checksum(&[&length, &head[8..], payload]) != checksum {
        return ParsedFrame::Invalid;
    }
    let mut seq = [0; 8];
    seq.copy_from_slice(&head[8..16]);
    ParsedFrame::Frame { seq: u64::from_le_bytes(seq), kind: head[16], payload }
}

#[cfg(test)]
mod tests;
