//! One frame in, one frame out: a length of four bytes, then one envelope (see `docs/design/transport.md`).

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

/// The two halves of a connection; frames larger than the largest message end it unread.
pub(super) fn halves<R: AsyncRead, W: AsyncWrite>(shared: &Shared, r: R, w: W) -> (Reader<R>, Writer<W>) {
    let most = shared.settings.message_max_bytes + ENVELOPE_MAX_BYTES;
    let codec = || LengthDelimitedCodec::builder().max_frame_length(most).new_codec();
    (FramedRead::new(r, codec()), FramedWrite::new(w, codec()))
}

/// The next frame of our fleet and for us; `None` where the connection has ended, or brought what can't be read (told).
pub(super) async fn read<R: AsyncRead + Unpin>(
    shared: &Shared,
    reader: &mut Reader<R>,
) -> Option<(Header, Vec<u8>)> {
    let frame = match reader.next().await? {
        Ok(frame) => frame,
        Err(e) if e.kind() == std::io::ErrorKind::InvalidData => {
            shared.dropped("a frame larger than may be");
            return None;
        }
        Err(_) => return None,
    };
    match decode(&frame) {
        Ok((head, _)) if head.fleet != shared.fleet => shared.dropped(OTHER_FLEET),
        Ok((head, _)) if head.to != RecipientId::from_name(&shared.me.name) => shared.dropped(OTHER_NODE),
        Ok((head, body)) => return Some((head, body.to_vec())),
        Err(strange) => shared.dropped(strange.as_str()),
    }
    None
}

/// Writes a frame; false where the connection has ended.
pub(super) async fn write<W: AsyncWrite + Unpin>(
    shared: &Shared,
    writer: &mut Writer<W>,
    to: &Name,
    message_type: MessageType,
    number: u64,
    body: &[u8],
) -> bool {
    let frame = encode(&shared.head(to, message_type, number), body);
    writer.send(Bytes::from(frame)).await.is_ok()
}
