//! Encoding of the datagrams between nodes: one byte for the kind, then the fields of that kind, in network
//! byte order.
//!
//! Every read checks the remaining length, so that a truncated, overlong or malformed datagram is an error
//! and never a panic. Every write checks the remaining space, since `foca` passes a buffer limited to one
//! datagram.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};

use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, Message, State};

use crate::id::NodeId;
use crate::name_conflict::{ListenerId, NameQuery, NameResponse};
use magpietally_transport::{Name, NAME_MAX_BYTES};

/// Maximum size of a datagram that a node sends or accepts. It fits into one Ethernet frame, so that no
/// datagram is fragmented.
pub const DATAGRAM_MAX_BYTES: usize = 1400;

/// A datagram of the SWIM protocol, for `foca`.
pub const KIND_SWIM: u8 = 0x53;
/// A node leaves the fleet on purpose (SIGTERM, a drain). The node's identity follows.
pub const KIND_LEAVE: u8 = 0x4c;
/// A query for the view (`magpietally members`). The identity after which the response continues follows, or
/// nothing to start from the first node.
pub const KIND_QUERY: u8 = 0x51;
/// Response to [`KIND_QUERY`]: the last or only part of the view follows as text. Only `magpietally members`
/// reads it.
pub const KIND_VIEW: u8 = 0x56;
/// Response to [`KIND_QUERY`] when more parts follow: the last identity in this part, then the text.
pub const KIND_VIEW_PART: u8 = 0x50;
/// A [`NameQuery`]: the sender's identity, the nonce and the time of sending. Nodes that do not know this kind
/// count it as malformed.
pub const KIND_NAME_QUERY: u8 = 0x4e;
/// A [`NameResponse`]: the responder's identity, the query's nonce and time of sending, the time since the
/// responder's start, and a byte that says whether a [`ListenerId`] follows.
pub const KIND_NAME_RESPONSE: u8 = 0x6e;

/// A decoded datagram.
#[derive(Debug, PartialEq, Eq)]
pub enum Datagram<'a> {
    /// The bytes of a SWIM message, passed to `foca` unchanged.
    Swim(&'a [u8]),
    /// The node with this identity leaves the fleet on purpose.
    Leave(NodeId),
    /// The sender queries the view, or the part of it after this identity. The caller sends the response.
    Query(Option<NodeId>),
    /// The sender asks whether this node has its name.
    NameQuery(NameQuery),
    /// The sender has this node's name.
    NameResponse(NameResponse),
}

/// Why a datagram could not be decoded. The receiving node drops and counts such datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeError {
    /// The datagram is empty.
    Empty,
    /// The datagram is larger than [`DATAGRAM_MAX_BYTES`].
    TooLarge,
    /// The first byte is not a known kind.
    UnknownKind,
    /// The datagram ends inside a field.
    Truncated,
    /// There are bytes after the last field.
    TrailingBytes,
    /// A field has an invalid value: a message, a state or a name.
    InvalidField,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Empty => "datagram is empty",
            Self::TooLarge => "datagram is larger than 1400 bytes",
            Self::UnknownKind => "datagram has an unknown kind",
            Self::Truncated => "datagram ends inside a field",
            Self::TrailingBytes => "datagram has bytes after its last field",
            Self::InvalidField => "datagram has an invalid field",
        })
    }
}

impl std::error::Error for DecodeError {}

/// The field does not fit into the remaining space of the datagram. `foca` then stops adding updates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BufferFull;

impl fmt::Display for BufferFull {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no space left in the datagram")
    }
}

impl std::error::Error for BufferFull {}

/// Decodes a datagram's kind and fields. The content of a SWIM message is left to `foca`.
pub fn decode(bytes: &[u8]) -> Result<Datagram<'_>, DecodeError> {
    if bytes.len() > DATAGRAM_MAX_BYTES {
        return Err(DecodeError::TooLarge);
    }
    let (&kind, rest) = bytes.split_first().ok_or(DecodeError::Empty)?;
    match kind {
        KIND_SWIM => Ok(Datagram::Swim(rest)),
        KIND_LEAVE => Ok(Datagram::Leave(get_only_id(rest)?)),
        KIND_QUERY if rest.is_empty() => Ok(Datagram::Query(None)),
        KIND_QUERY => Ok(Datagram::Query(Some(get_only_id(rest)?))),
        KIND_NAME_QUERY => get_name_query(rest).map(Datagram::NameQuery),
        KIND_NAME_RESPONSE => get_name_response(rest).map(Datagram::NameResponse),
        _ => Err(DecodeError::UnknownKind),
    }
}

fn get_name_query(mut buf: &[u8]) -> Result<NameQuery, DecodeError> {
    let query = NameQuery { from: get_id(&mut buf)?, nonce: get_u64(&mut buf)?, sent_ms: get_u64(&mut buf)? };
    require_empty(buf)?;
    Ok(query)
}

fn get_name_response(mut buf: &[u8]) -> Result<NameResponse, DecodeError> {
    let response = NameResponse {
        from: get_id(&mut buf)?,
        nonce: get_u64(&mut buf)?,
        sent_ms: get_u64(&mut buf)?,
        uptime_ms: get_u64(&mut buf)?,
        listener: get_listener(&mut buf)?,
    };
    require_empty(buf)?;
    Ok(response)
}

fn get_listener(buf: &mut &[u8]) -> Result<Option<ListenerId>, DecodeError> {
    match get_u8(buf)? {
        0 => Ok(None),
        1 => Ok(Some(ListenerId { boot: get_u128(buf)?, inode: get_u64(buf)? })),
        _ => Err(DecodeError::InvalidField),
    }
}

fn get_only_id(mut buf: &[u8]) -> Result<NodeId, DecodeError> {
    let id = get_id(&mut buf)?;
    require_empty(buf)?;
    Ok(id)
}

fn require_empty(buf: &[u8]) -> Result<(), DecodeError> {
    if buf.is_empty() {
        Ok(())
    } else {
        Err(DecodeError::TrailingBytes)
    }
}

/// Encodes a query for the view, or for the part of it after `after`.
pub fn encode_query(after: Option<&NodeId>) -> Vec<u8> {
    let mut out = vec![KIND_QUERY];
    if let Some(id) = after {
        put_id(&mut out, id);
    }
    out
}

/// Encodes the notice that `id` leaves the fleet.
pub fn encode_leave(id: &NodeId) -> Vec<u8> {
    let mut out = Vec::with_capacity(1 + id_len(id));
    out.put_u8(KIND_LEAVE);
    put_id(&mut out, id);
    out
}

/// Encodes a name query.
pub fn encode_name_query(query: &NameQuery) -> Vec<u8> {
    let mut out = vec![KIND_NAME_QUERY];
    put_id(&mut out, &query.from);
    out.put_u64(query.nonce);
    out.put_u64(query.sent_ms);
    out
}

/// Encodes a response to a name query.
pub fn encode_name_response(response: &NameResponse) -> Vec<u8> {
    let mut out = vec![KIND_NAME_RESPONSE];
    put_id(&mut out, &response.from);
    out.put_u64(response.nonce);
    out.put_u64(response.sent_ms);
    out.put_u64(response.uptime_ms);
    out.put_u8(u8::from(response.listener.is_some()));
    if let Some(listener) = response.listener {
        out.put_u128(listener.boot);
        out.put_u64(listener.inode);
    }
    out
}

/// Encodes a SWIM datagram in the layout that `foca` reads: the header, the number of updates, the updates.
///
/// # Errors
/// The datagram would be larger than [`DATAGRAM_MAX_BYTES`].
pub(crate) fn encode_swim(
    header: &Header<NodeId>,
    updates: &[Member<NodeId>],
) -> Result<Vec<u8>, CodecError> {
    let mut buf = Vec::with_capacity(DATAGRAM_MAX_BYTES).limit(DATAGRAM_MAX_BYTES);
    buf.put_u8(KIND_SWIM);
    WireCodec.encode_header(header, &mut buf)?;
    if !updates.is_empty() {
        let count = u16::try_from(updates.len()).map_err(|_| CodecError::BufferFull(BufferFull))?;
        if buf.remaining_mut() < 2 {
            return Err(CodecError::BufferFull(BufferFull));
        }
        buf.put_u16(count);
    }
    for m in updates {
        WireCodec.encode_member(m, &mut buf)?;
    }
    Ok(buf.into_inner())
}

/// The codec for `foca`: encodes and decodes the header and the updates of a SWIM datagram.
#[derive(Debug, Default, Clone, Copy)]
pub struct WireCodec;

impl Codec<NodeId> for WireCodec {
    type Error = CodecError;

    fn encode_header(&mut self, header: &Header<NodeId>, mut buf: impl BufMut) -> Result<(), CodecError> {
        let need = id_len(&header.src) + 2 + id_len(&header.dst) + message_len(&header.message);
        if buf.remaining_mut() < need {
            return Err(CodecError::BufferFull(BufferFull));
        }
        put_id(&mut buf, &header.src);
        buf.put_u16(header.src_incarnation);
        put_id(&mut buf, &header.dst);
        put_message(&mut buf, &header.message);
        Ok(())
    }

    fn decode_header(&mut self, mut buf: impl Buf) -> Result<Header<NodeId>, CodecError> {
        let src = get_id(&mut buf)?;
        let src_incarnation = get_u16(&mut buf)?;
        let dst = get_id(&mut buf)?;
        let message = get_message(&mut buf)?;
        Ok(Header { src, src_incarnation, dst, message })
    }

    fn encode_member(&mut self, member: &Member<NodeId>, mut buf: impl BufMut) -> Result<(), CodecError> {
        if buf.remaining_mut() < id_len(member.id()) + 3 {
            return Err(CodecError::BufferFull(BufferFull));
        }
        put_id(&mut buf, member.id());
        buf.put_u16(member.incarnation());
        buf.put_u8(match member.state() {
            State::Alive => 0,
            State::Suspect => 1,
            State::Down => 2,
        });
        Ok(())
    }

    fn decode_member(&mut self, mut buf: impl Buf) -> Result<Member<NodeId>, CodecError> {
        let id = get_id(&mut buf)?;
        let incarnation = get_u16(&mut buf)?;
        let state = match get_u8(&mut buf)? {
            0 => State::Alive,
            1 => State::Suspect,
            2 => State::Down,
            _ => return Err(DecodeError::InvalidField.into()),
        };
        Ok(Member::new(id, incarnation, state))
    }
}

/// An error of [`WireCodec`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CodecError {
    /// Decoding failed.
    Decode(DecodeError),
    /// Encoding failed: no space left in the datagram.
    BufferFull(BufferFull),
}

impl From<DecodeError> for CodecError {
    fn from(e: DecodeError) -> Self {
        Self::Decode(e)
    }
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Decode(e) => e.fmt(f),
            Self::BufferFull(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for CodecError {}

pub(crate) fn id_len(id: &NodeId) -> usize {
    4 + 2 + 4 + 1 + id.name.as_str().len()
}

pub(crate) fn put_id(buf: &mut impl BufMut, id: &NodeId) {
    buf.put_slice(&id.addr.ip().octets());
    buf.put_u16(id.addr.port());
    buf.put_u32(id.generation);
    let name = id.name.as_str().as_bytes();
    // A Name has at most NAME_MAX_BYTES (64) bytes, so its length fits into one byte.
    buf.put_u8(name.len() as u8);
    buf.put_slice(name);
}

pub(crate) fn get_id(buf: &mut impl Buf) -> Result<NodeId, DecodeError> {
    let ip: [u8; 4] = get_array(buf)?;
    let port = get_u16(buf)?;
    let generation = get_u32(buf)?;
    let len = usize::from(get_u8(buf)?);
    if len > NAME_MAX_BYTES {
        return Err(DecodeError::InvalidField);
    }
    let mut name = [0u8; NAME_MAX_BYTES];
    read_exact(buf, &mut name[..len])?;
    let name = std::str::from_utf8(&name[..len]).map_err(|_| DecodeError::InvalidField)?;
    Ok(NodeId {
        addr: SocketAddrV4::new(Ipv4Addr::from(ip), port),
        name: Name::new_or_empty(name).map_err(|_| DecodeError::InvalidField)?,
        generation,
    })
}

fn message_len(message: &Message<NodeId>) -> usize {
    1 + match message {
        Message::Ping(_) | Message::Ack(_) => 1,
        Message::PingReq { target: id, .. }
        | Message::IndirectPing { origin: id, .. }
        | Message::IndirectAck { target: id, .. }
        | Message::ForwardedAck { origin: id, .. } => id_len(id) + 1,
        Message::Announce | Message::Feed | Message::Gossip | Message::Broadcast | Message::TurnUndead => 0,
    }
}

fn put_message(buf: &mut impl BufMut, message: &Message<NodeId>) {
    let (tag, id, probe) = match message {
        Message::Ping(p) => (0, None, Some(*p)),
        Message::Ack(p) => (1, None, Some(*p)),
        Message::PingReq { target, probe_number } => (2, Some(target), Some(*probe_number)),
        Message::IndirectPing { origin, probe_number } => (3, Some(origin), Some(*probe_number)),
        Message::IndirectAck { target, probe_number } => (4, Some(target), Some(*probe_number)),
        Message::ForwardedAck { origin, probe_number } => (5, Some(origin), Some(*probe_number)),
        Message::Announce => (6, None, None),
        Message::Feed => (7, None, None),
        Message::Gossip => (8, None, None),
        Message::Broadcast => (9, None, None),
        Message::TurnUndead => (10, None, None),
    };
    buf.put_u8(tag);
    if let Some(id) = id {
        put_id(buf, id);
    }
    if let Some(p) = probe {
        buf.put_u8(p);
    }
}

fn get_message(buf: &mut impl Buf) -> Result<Message<NodeId>, DecodeError> {
    let tag = get_u8(buf)?;
    Ok(match tag {
        0 => Message::Ping(get_u8(buf)?),
        1 => Message::Ack(get_u8(buf)?),
        2..=5 => {
            let id = get_id(buf)?;
            let probe_number = get_u8(buf)?;
            match tag {
                2 => Message::PingReq { target: id, probe_number },
                3 => Message::IndirectPing { origin: id, probe_number },
                4 => Message::IndirectAck { target: id, probe_number },
                _ => Message::ForwardedAck { origin: id, probe_number },
            }
        }
        6 => Message::Announce,
        7 => Message::Feed,
        8 => Message::Gossip,
        9 => Message::Broadcast,
        10 => Message::TurnUndead,
        _ => return Err(DecodeError::InvalidField),
    })
}

fn read_exact(buf: &mut impl Buf, out: &mut [u8]) -> Result<(), DecodeError> {
    if buf.remaining() < out.len() {
        return Err(DecodeError::Truncated);
    }
    buf.copy_to_slice(out);
    Ok(())
}

fn get_array<const N: usize>(buf: &mut impl Buf) -> Result<[u8; N], DecodeError> {
    let mut bytes = [0; N];
    read_exact(buf, &mut bytes)?;
    Ok(bytes)
}

fn get_u8(buf: &mut impl Buf) -> Result<u8, DecodeError> {
    get_array(buf).map(u8::from_be_bytes)
}

fn get_u16(buf: &mut impl Buf) -> Result<u16, DecodeError> {
    get_array(buf).map(u16::from_be_bytes)
}

fn get_u32(buf: &mut impl Buf) -> Result<u32, DecodeError> {
    get_array(buf).map(u32::from_be_bytes)
}

fn get_u64(buf: &mut impl Buf) -> Result<u64, DecodeError> {
    get_array(buf).map(u64::from_be_bytes)
}

fn get_u128(buf: &mut impl Buf) -> Result<u128, DecodeError> {
    get_array(buf).map(u128::from_be_bytes)
}
