//! What every message on the wire carries around its body, whatever the carrier: see `docs/design/transport.md`.
//!
//! ```text
//! version (1) | CRC-32 of all else (4, little endian) | head (postcard, at most 98) | body (the rest)
//! ```
//!
//! The version stands first and alone, so that every later format can be told from this one before anything else is
//! believed; then the checksum, so that nothing of a damaged message is believed either.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::name::Name;
use crate::transport::Peer;

/// The format of what is written here.
pub const VERSION: u8 = 1;

/// The most an envelope takes, in bytes: version 1, checksum 4, fleet 8, addressee 4, kind 1, name 1 + 64, session and
/// number up to 10 each.
pub const ENVELOPE_MAX_BYTES: usize = 103;

/// Where the head begins: behind the version and the checksum.
const HEAD_AT: usize = 5;

/// A fleet, as messages name it: 64 bits of the SHA-256 of its name. A fixed size bounds the message, and two fleets of
/// different names meet in it once in 2^64. It keeps apart those who were mixed up, not those who lie.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FleetId(#[serde(with = "postcard::fixint::le")] u64);

impl FleetId {
    /// The fleet of this name.
    pub fn from_name(name: &str) -> Self {
        let digest = Sha256::digest(name.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&digest[..8]);
        Self(u64::from_le_bytes(first))
    }
}

/// To whom a message was sent: 32 bits (CRC-32) of its name. Addresses are given to other nodes again, sooner than every
/// table learns of it; a node must not take what was meant for the one that had its address before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecipientId(#[serde(with = "postcard::fixint::le")] u32);

impl RecipientId {
    /// The node of this name.
    pub fn from_name(name: &Name) -> Self {
        Self(crc32fast::hash(name.as_str().as_bytes()))
    }
}

/// What a message is to the carrier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageType {
    /// The first frame of a connection, by who dialled.
    Hello,
    /// Its answer.
    Welcome,
    /// A message of the sender's rooms; its number counts from 1 within the sender's session where order is promised,
    /// and is 0 where not.
    Message,
    /// Nothing but a sign of life.
    Ping,
    /// Messages up to this number were taken.
    Ack,
}

/// What stands before the body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The sender's fleet.
    pub fleet: FleetId,
    /// For whom it is.
    pub to: RecipientId,
    /// What it is.
    pub message_type: MessageType,
    /// The sender.
    pub from: Peer,
    /// See [`MessageType`].
    pub number: u64,
}

/// Why a message could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnvelopeError {
    /// It ends before its head does.
    Truncated,
    /// Another version of the format.
    Version,
    /// Altered on the way, or none of ours.
    Checksum,
    /// A field out of its range.
    InvalidField,
    /// A sender without a name.
    MissingSender,
}

impl EnvelopeError {
    /// In words, for [`crate::Event::Dropped`].
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Truncated => "a message that ends inside its envelope",
            Self::Version => "a message in another version of the format",
            Self::Checksum => "a message whose checksum is wrong",
            Self::InvalidField => "a message with a field out of its range",
            Self::MissingSender => "a message without its sender's name",
        }
    }
}

impl fmt::Display for EnvelopeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl std::error::Error for EnvelopeError {}

/// The message on the wire.
pub fn encode(head: &Header, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(ENVELOPE_MAX_BYTES + body.len());
    out.extend_from_slice(&[VERSION, 0, 0, 0, 0]);
    // A growing vector and plain fields: there is nothing that postcard could refuse.
    let mut out = postcard::to_extend(head, out).expect("a head of plain fields is always encoded");
    out.extend_from_slice(body);
    let sum = checksum(&out);
    out[1..HEAD_AT].copy_from_slice(&sum.to_le_bytes());
    out
}

/// Its head and its body.
///
/// # Errors
/// See [`EnvelopeError`]. Whose fleet and session it is, is the caller's to judge.
pub fn decode(bytes: &[u8]) -> Result<(Header, &[u8]), EnvelopeError> {
    let (&version, _) = bytes.split_first().ok_or(EnvelopeError::Truncated)?;
    if version != VERSION {
        return Err(EnvelopeError::Version);
    }
    let sum = bytes.get(1..HEAD_AT).and_then(|s| s.try_into().ok()).ok_or(EnvelopeError::Truncated)?;
    if u32::from_le_bytes(sum) != checksum(bytes) {
        return Err(EnvelopeError::Checksum);
    }
    // Memory: a name's text is taken from the message, so never more than the message itself.
    let (head, body) = postcard::take_from_bytes::<Header>(&bytes[HEAD_AT..]).map_err(|e| match e {
        postcard::Error::DeserializeUnexpectedEnd => EnvelopeError::Truncated,
        _ => EnvelopeError::InvalidField,
    })?;
    if head.from.name.as_str().is_empty() {
        return Err(EnvelopeError::MissingSender);
    }
    Ok((head, body))
}

/// Over the version and all that stands behind the checksum; `bytes` has at least [`HEAD_AT`].
fn checksum(bytes: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&bytes[..1]);
    sum.update(&bytes[HEAD_AT..]);
    sum.finalize()
}

#[cfg(test)]
mod tests;
