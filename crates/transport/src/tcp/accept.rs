//! The receiving side: whoever dials us says who it is, then brings its messages, and hears up to where they were taken.

use std::sync::Arc;
use std::time::{Duration, Instant};

use magpietally_net::{Listener, Stream};
use tokio::io::split;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::frames::{halves, read, write, Reader, Writer};
use super::shared::Shared;
use crate::envelope::MessageType;
use crate::sessions::MISPLACED;
use crate::transport::Peer;

/// The wait after a failed accept (no descriptors): long enough not to spin, short enough not to be felt.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);

/// Accepts until the end is closed.
pub(super) async fn accept(shared: Arc<Shared>, listener: Listener) {
    loop {
        let accepted = tokio::select! {
            () = shared.ended.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok(accepted) = accepted else {
            sleep(ACCEPT_AGAIN).await;
            continue;
        };
        let Ok(permit) = shared.inbound.clone().try_acquire_owned() else {
            shared.turned_away();
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

async fn serve(shared: &Shared, stream: Stream) {
    let (r, w) = split(stream);
    let (mut reader, mut writer) = halves(shared, r, w);
    let within = shared.settings.connect_timeout;
    let Ok(Some(peer)) = timeout(within, hello(shared, &mut reader)).await else { return };
    let Some((connection, last)) = shared.accepted(&peer) else { return };
    if !matches!(
        timeout(within, write(shared, &mut writer, &peer.name, MessageType::Welcome, last, &[])).await,
        Ok(true)
    ) {
        return;
    }
    let taken = Notify::new();
    // Whichever ends first ends the connection.
    tokio::select! {
        () = messages(shared, &peer, connection, &mut reader, &taken) => {}
        () = acknowledgements(shared, &peer, connection, &mut writer, &taken) => {}
    }
}

async fn hello<R: tokio::io::AsyncRead + Unpin>(shared: &Shared, reader: &mut Reader<R>) -> Option<Peer> {
    let (head, _) = read(shared, reader).await?;
    if head.message_type != MessageType::Hello {
        shared.dropped(MISPLACED);
        return None;
    }
    Some(head.from)
}

async fn messages<R: tokio::io::AsyncRead + Unpin>(
    shared: &Shared,
    peer: &Peer,
    connection: u64,
    reader: &mut Reader<R>,
    taken: &Notify,
) {
    let mut busy = Instant::now();
    loop {
        // A node that does not poll is not read for: its peers' queues fill, and they are told.
        loop {
            let room = shared.room.notified();
            tokio::pin!(room);
            room.as_mut().enable();
            if shared.has_room() {
                break;
            }
            room.await;
        }
        let Ok(Some((head, body))) = timeout(shared.settings.liveness_timeout, read(shared, reader)).await
        else {
            return;
        };
        if head.from != *peer {
            shared.dropped("a frame of another sender than the connection's");
            return;
        }
        match head.message_type {
            // It gives its place to one that was turned away: what was taken is acknowledged, and its peer dials again once
            // it has something.
            MessageType::Ping if shared.quiet_most().is_some_and(|most| busy.elapsed() >= most) => return,
            MessageType::Ping => {}
            MessageType::Message => {
                busy = Instant::now();
                if !shared.deliver(peer, connection, head.number, body) {
                    return;
                }
                taken.notify_one();
            }
            MessageType::Hello | MessageType::Welcome | MessageType::Ack => {
                shared.dropped(MISPLACED);
                return;
            }
        }
    }
}

async fn acknowledgements<W: tokio::io::AsyncWrite + Unpin>(
    shared: &Shared,
    peer: &Peer,
    connection: u64,
    writer: &mut Writer<W>,
    taken: &Notify,
) {
    while let Some(number) = shared.taken(peer, connection) {
        if !write(shared, writer, &peer.name, MessageType::Ack, number, &[]).await {
            return;
        }
        // New messages, or the next sign of life.
        let _ = timeout(shared.settings.heartbeat, taken.notified()).await;
    }
}
