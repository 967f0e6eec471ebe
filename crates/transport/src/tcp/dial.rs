//! The sending side of one peer: dials it while something waits for it, writes, and reads what was taken.

use std::net::SocketAddr;
use std::sync::Arc;

use magpietally_net::Stream;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::io::{split, ReadHalf, WriteHalf};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};

use super::frames::{halves, read, write, Reader, Writer};
use super::shared::{Next, Shared};
use crate::envelope::MessageType;
use crate::name::Name;
use crate::sessions::MISPLACED;

/// A connection after its handshake.
struct Link {
    reader: Reader<ReadHalf<Stream>>,
    writer: Writer<WriteHalf<Stream>>,
}

/// Carries what is sent to `name` until it is forgotten.
pub(super) async fn carry(shared: Arc<Shared>, name: Name, wake: Arc<Notify>) {
    let seed = shared.settings.seed ^ u64::from(crc32fast::hash(name.as_str().as_bytes()));
    let mut random = Pcg64::seed_from_u64(seed);
    let mut backoff = shared.settings.backoff;
    loop {
        let Some(address) = shared.wanted(&name, &wake).await else { return };
        // A peer without a place waits for another's connection to end, which an idle one then does.
        let Some(place) = shared.place_to_dial().await else { return };
        let dialled = timeout(shared.settings.connect_timeout, connect(&shared, &name, &wake, address)).await;
        if let Ok(Some(link)) = dialled {
            backoff = shared.settings.backoff;
            run(&shared, &name, &wake, address, link).await;
            shared.broke(&name, &wake);
        }
        drop(place);
        // Jitter, so that the peers of a node that comes back do not all dial it in one moment.
        sleep(backoff.mul_f64(random.random_range(0.75..1.25))).await;
        backoff = (backoff * 2).min(shared.settings.backoff_max);
    }
}

async fn connect(shared: &Shared, name: &Name, wake: &Arc<Notify>, address: SocketAddr) -> Option<Link> {
    let stream = magpietally_net::connect(address).await.ok()?;
    shared.count_dial();
    let (r, w) = split(stream);
    let (mut reader, mut writer) = halves(shared, r, w);
    if !write(shared, &mut writer, name, MessageType::Hello, 0, &[]).await {
        return None;
    }
    let (head, _) = read(shared, &mut reader).await?;
    if head.message_type != MessageType::Welcome {
        shared.dropped(MISPLACED);
        return None;
    }
    if head.from.name != *name {
        shared.dropped("an answer by another node than was dialled");
        return None;
    }
    if !shared.met(&head.from) {
        return None;
    }
    shared.resume(name, wake, head.number);
    Some(Link { reader, writer })
}

/// Ends with the connection: broken, silent, idle, or the peer forgotten or moved.
async fn run(shared: &Shared, name: &Name, wake: &Arc<Notify>, address: SocketAddr, link: Link) {
    let Link { mut reader, mut writer } = link;
    let acknowledgements = async {
        // Whoever does not read its messages still gives signs of life; whoever gives none is gone.
        while let Ok(Some((head, _))) =
            timeout(shared.settings.liveness_timeout, read(shared, &mut reader)).await
        {
            if head.message_type != MessageType::Ack {
                shared.dropped(MISPLACED);
                return;
            }
            shared.acknowledged(name, wake, head.number);
        }
    };
    let messages = async {
        let mut busy = Instant::now();
        loop {
            let (message_type, number, body) = match shared.next(name, wake, address) {
                Next::End => return,
                Next::Write(number, message) => (MessageType::Message, number, message),
                Next::Wait => {
                    if timeout(shared.settings.heartbeat, wake.notified()).await.is_ok() {
                        continue;
                    }
                    (MessageType::Ping, 0, Vec::new())
                }
            };
            if message_type == MessageType::Message || !shared.idle(name) {
                busy = Instant::now();
            } else if busy.elapsed() > shared.idle_most() {
                return;
            }
            if !write(shared, &mut writer, name, message_type, number, &body).await {
                return;
            }
        }
    };
    tokio::select! {
        () = acknowledgements => {}
        () = messages => {}
    }
}

#[cfg(test)]
mod tests;
