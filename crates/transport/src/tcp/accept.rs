//! The receiving side: a peer that connects identifies itself and sends its messages; it receives
//! acknowledgements.

use std::sync::Arc;
use std::time::{Duration, Instant};

use magpietally_net::{Listener, Stream};
use tokio::io::split;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::frames::{framed_halves, read_frame, write_frame, Reader, Writer};
use super::shared::Shared;
use crate::envelope::MessageType;
use crate::sessions::UNEXPECTED_TYPE;
use crate::transport::Peer;

/// The delay after a failed accept (no descriptors): long enough not to spin, short enough to cause no
/// noticeable delay.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until the transport is closed.
pub(super) async fn accept(shared: Arc<Shared>, listener: Listener) {
    loop {
        let accepted = tokio::select! {
            () = shared.closed.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok(accepted) = accepted else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = shared.inbound_permits.clone().try_acquire_owned() else {
            shared.record_rejection();
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            if let Ok(stream) = Stream::register(accepted.socket).await {
                serve(&shared, stream).await;
            }
            drop(permit);
        });
    }
}

/// Serves one accepted connection until it ends.
async fn serve(shared: &Shared, stream: Stream) {
    let (read_half, write_half) = split(stream);
    let (mut reader, mut writer) = framed_halves(shared, read_half, write_half);
    let limit = shared.settings.connect_timeout;
    let Ok(Some(peer)) = timeout(limit, read_hello(shared, &mut reader)).await else { return };
    let Some((connection, last)) = shared.register_inbound(&peer) else { return };
    if !matches!(
        timeout(limit, write_frame(shared, &mut writer, &peer.name, MessageType::Welcome, last, &[])).await,
        Ok(true)
    ) {
        return;
    }
    let accepted = Notify::new();
    // The connection ends as soon as either direction does.
    tokio::select! {
        () = receive_messages(shared, &peer, connection, &mut reader, &accepted) => {}
        () = send_acknowledgements(shared, &peer, connection, &mut writer, &accepted) => {}
    }
}

/// Reads the first frame and returns the peer that it names.
async fn read_hello<R: tokio::io::AsyncRead + Unpin>(
    shared: &Shared,
    reader: &mut Reader<R>,
) -> Option<Peer> {
    let (header, _) = read_frame(shared, reader).await?;
    if header.message_type != MessageType::Hello {
        shared.record_drop(UNEXPECTED_TYPE);
        return None;
    }
    Some(header.from)
}

/// Reads messages and delivers them to the inbox until the connection ends.
async fn receive_messages<R: tokio::io::AsyncRead + Unpin>(
    shared: &Shared,
    peer: &Peer,
    connection: u64,
    reader: &mut Reader<R>,
    accepted: &Notify,
) {
    let mut last_message_at = Instant::now();
    loop {
        // Reading stops while the inbox is full, because the node does not poll. The peers' queues then fill
        // up, and their senders get errors.
        loop {
            let space = shared.inbox_space.notified();
            tokio::pin!(space);
            space.as_mut().enable();
            if shared.has_inbox_space() {
                break;
            }
            space.await;
        }
        let Ok(Some((header, body))) =
            timeout(shared.settings.liveness_timeout, read_frame(shared, reader)).await
        else {
            return;
        };
        if header.from != *peer {
            shared.record_drop("a frame of another sender than the connection's");
            return;
        }
        match header.message_type {
            // An idle connection ends to free its permit for a peer that was rejected. All accepted messages
            // are acknowledged, and this peer connects again once it has something to send.
            MessageType::Ping
                if shared.inbound_idle_limit().is_some_and(|limit| last_message_at.elapsed() >= limit) =>
            {
                return
            }
            MessageType::Ping => {}
            MessageType::Message => {
                last_message_at = Instant::now();
                if !shared.deliver(peer, connection, header.number, body) {
                    return;
                }
                accepted.notify_one();
            }
            MessageType::Hello | MessageType::Welcome | MessageType::Ack => {
                shared.record_drop(UNEXPECTED_TYPE);
                return;
            }
        }
    }
}

/// Sends an acknowledgement after each accepted message and at each heartbeat, until the connection ends or
/// is replaced.
async fn send_acknowledgements<W: tokio::io::AsyncWrite + Unpin>(
    shared: &Shared,
    peer: &Peer,
    connection: u64,
    writer: &mut Writer<W>,
    accepted: &Notify,
) {
    while let Some(number) = shared.last_accepted(peer, connection) {
        if !write_frame(shared, writer, &peer.name, MessageType::Ack, number, &[]).await {
            return;
        }
        // Waits for new messages or the next heartbeat.
        let _ = timeout(shared.settings.heartbeat, accepted.notified()).await;
    }
}
