//! Reading and writing of frames: a length of four bytes, then one envelope (see `docs/design/transport.md`).

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use super::shared::Shared;
use crate::envelope::{decode, encode, Header, MessageType, RecipientId, ENVELOPE_MAX_BYTES};
use crate::name::Name;
use crate::sessions::{OTHER_FLEET, OTHER_NODE};

pub(super) type Reader<R> = FramedRead<R, LengthDelimitedCodec>;
pub(super) type Writer<W> = FramedWrite<W, LengthDelimitedCodec>;

/// Frames the two halves of a connection. A frame larger than the largest message ends the connection unread.
pub(super) fn framed_halves<R: AsyncRead, W: AsyncWrite>(
    shared: &Shared,
    r: R,
    w: W,
) -> (Reader<R>, Writer<W>) {
    let max = shared.settings.message_max_bytes + ENVELOPE_MAX_BYTES;
    let codec = || LengthDelimitedCodec::builder().max_frame_length(max).new_codec();
    (FramedRead::new(r, codec()), FramedWrite::new(w, codec()))
}

/// Reads the next frame, which must be of this fleet and for this node. Returns `None` if the connection has
/// ended, or after a frame that is invalid, which is reported as an
/// [`Event::Dropped`](crate::Event::Dropped).
pub(super) async fn read_frame<R: AsyncRead + Unpin>(
    shared: &Shared,
    reader: &mut Reader<R>,
) -> Option<(Header, Vec<u8>)> {
    let frame = match reader.next().await? {
        Ok(frame) => frame,
        Err(e) if e.kind() == std::io::ErrorKind::InvalidData => {
            shared.record_drop("a frame larger than the maximum");
            return None;
        }
        Err(_) => return None,
    };
    match decode(&frame) {
        Ok((header, _)) if header.fleet != shared.fleet => shared.record_drop(OTHER_FLEET),
        Ok((header, _)) if header.to != RecipientId::from_name(&shared.me.name) => {
            shared.record_drop(OTHER_NODE)
        }
        Ok((header, body)) => return Some((header, body.to_vec())),
        Err(error) => shared.record_drop(error.as_str()),
    }
    None
}

/// Writes a frame. Returns false if the connection has ended.
pub(super) async fn write_frame<W: AsyncWrite + Unpin>(
    shared: &Shared,
    writer: &mut Writer<W>,
    to: &Name,
    message_type: MessageType,
    number: u64,
    body: &[u8],
) -> bool {
    let frame = encode(&shared.header(to, message_type, number), body);
    writer.send(Bytes::from(frame)).await.is_ok()
}
