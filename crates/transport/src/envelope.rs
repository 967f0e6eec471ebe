//! The envelope of every message on the wire, for both transports: see `docs/design/transport.md`.
//!
//! ```text
//! version (1) | CRC-32 of all else (4, little endian) | header (postcard, at most 98) | body (the rest)
//! ```
//!
//! The version comes first, as a byte of its own, so that any later format can be told apart before anything
//! else is interpreted. The checksum follows, so that no part of a damaged message is interpreted either.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::name::Name;
use crate::transport::Peer;

/// The version of the format that is written, and the only one that is accepted.
pub const VERSION: u8 = 1;

/// The largest size of an envelope, in bytes: version 1, checksum 4, fleet 8, recipient 4, message type 1,
/// name 1 + 64, session and number up to 10 each.
pub const ENVELOPE_MAX_BYTES: usize = 103;

/// The offset of the header, in bytes: it follows the version and the checksum.
const HEADER_OFFSET: usize = 5;

/// The identifier of a fleet in messages: the first 64 bits of the SHA-256 of its name. Its fixed size bounds
/// the size of a message, and two different names collide with a probability of 2^-64. It protects against
/// misconfiguration, not against forgery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FleetId(#[serde(with = "postcard::fixint::le")] u64);

impl FleetId {
    /// Returns the identifier of the fleet of this name.
    pub fn from_name(name: &str) -> Self {
        let digest = Sha256::digest(name.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&digest[..8]);
        Self(u64::from_le_bytes(first))
    }
}

/// The identifier of a message's recipient: the CRC-32 of its name. An address can be reused by another node
/// before every peer has learned of that; a node must not accept messages meant for the previous user of its
/// address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecipientId(#[serde(with = "postcard::fixint::le")] u32);

impl RecipientId {
    /// Returns the identifier of the node of this name.
    pub fn from_name(name: &Name) -> Self {
        Self(crc32fast::hash(name.as_str().as_bytes()))
    }
}

/// The type of a message, as seen by the transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageType {
    /// The first frame of a connection, from the node that dialled.
    Hello,
    /// The response to [`MessageType::Hello`]; its number is that of the last message accepted in the
    /// session.
    Welcome,
    /// A message of the sender's protocols. On streams its number counts from 1 within the sender's session;
    /// on datagrams it is 0.
    Message,
    /// A heartbeat without content.
    Ping,
    /// Acknowledges all messages up to its number.
    Ack,
}

/// The header, which precedes the body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The sender's fleet.
    pub fleet: FleetId,
    /// The recipient.
    pub to: RecipientId,
    /// The type of the message.
    pub message_type: MessageType,
    /// The sender.
    pub from: Peer,
    /// The number of the message; its meaning depends on the [`MessageType`].
    pub number: u64,
}

/// Why a message could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnvelopeError {
    /// It ends within the header.
    Truncated,
    /// It has another version of the format.
    Version,
    /// The checksum is wrong: the message was altered in transit, or is not in this format.
    Checksum,
    /// A field is out of its range.
    InvalidField,
    /// The sender's name is empty.
    MissingSender,
}

impl EnvelopeError {
    /// Returns a description, for [`crate::Event::Dropped`].
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

/// Encodes a message.
pub fn encode(header: &Header, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(ENVELOPE_MAX_BYTES + body.len());
    out.extend_from_slice(&[VERSION, 0, 0, 0, 0]);
    // A vector grows as needed and the header has plain fields only, so postcard has no reason to fail.
    let mut out = postcard::to_extend(header, out).expect("encoding a header of plain fields does not fail");
    out.extend_from_slice(body);
    let sum = checksum(&out);
    out[1..HEADER_OFFSET].copy_from_slice(&sum.to_le_bytes());
    out
}

/// Decodes a message into its header and body. The caller checks the fleet, the recipient and the session.
///
/// # Errors
/// See [`EnvelopeError`].
pub fn decode(bytes: &[u8]) -> Result<(Header, &[u8]), EnvelopeError> {
    let (&version, _) = bytes.split_first().ok_or(EnvelopeError::Truncated)?;
    if version != VERSION {
        return Err(EnvelopeError::Version);
    }
    let sum = bytes.get(1..HEADER_OFFSET).and_then(|s| s.try_into().ok()).ok_or(EnvelopeError::Truncated)?;
    if u32::from_le_bytes(sum) != checksum(bytes) {
        return Err(EnvelopeError::Checksum);
    }
    // Decoding allocates the sender's name only, which is never longer than the message itself.
    let (header, body) =
        postcard::take_from_bytes::<Header>(&bytes[HEADER_OFFSET..]).map_err(|e| match e {
            postcard::Error::DeserializeUnexpectedEnd => EnvelopeError::Truncated,
            _ => EnvelopeError::InvalidField,
        })?;
    if header.from.name.as_str().is_empty() {
        return Err(EnvelopeError::MissingSender);
    }
    Ok((header, body))
}

/// Computes the checksum over the version and all that follows the checksum; `bytes` has at least
/// [`HEADER_OFFSET`] bytes.
fn checksum(bytes: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&bytes[..1]);
    sum.update(&bytes[HEADER_OFFSET..]);
    sum.finalize()
}

#[cfg(test)]
mod tests;
