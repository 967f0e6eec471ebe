//! The sending side of one peer: connects while messages are queued for it, writes them, and reads
//! acknowledgements.

use std::net::SocketAddr;
use std::sync::Arc;

use magpietally_net::Stream;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::io::{split, ReadHalf, WriteHalf};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};

use super::frames::{framed_halves, read_frame, write_frame, Reader, Writer};
use super::shared::{SendStep, Shared};
use crate::envelope::MessageType;
use crate::name::Name;
use crate::sessions::UNEXPECTED_TYPE;

/// A connection after its handshake.
struct Connection {
    reader: Reader<ReadHalf<Stream>>,
    writer: Writer<WriteHalf<Stream>>,
}

/// Sends the messages for the peer `name` until it is removed.
pub(super) async fn run_peer(shared: Arc<Shared>, name: Name, wake: Arc<Notify>) {
    let seed = shared.settings.seed ^ u64::from(crc32fast::hash(name.as_str().as_bytes()));
    let mut random = Pcg64::seed_from_u64(seed);
    let mut backoff = shared.settings.backoff;
    loop {
        let Some(address) = shared.wait_for_messages(&name, &wake).await else { return };
        // Without a free permit this waits for another peer's connection to end; idle connections end early
        // for that.
        let Some(permit) = shared.acquire_outbound_permit().await else { return };
        let connected =
            timeout(shared.settings.connect_timeout, connect(&shared, &name, &wake, address)).await;
        if let Ok(Some(connection)) = connected {
            backoff = shared.settings.backoff;
            run_connection(&shared, &name, &wake, address, connection).await;
            shared.connection_lost(&name, &wake);
        }
        drop(permit);
        // Jitter, so that the peers of a node that returns do not all connect to it at the same moment.
        sleep(backoff.mul_f64(random.random_range(0.75..1.25))).await;
        backoff = (backoff * 2).min(shared.settings.backoff_max);
    }
}

/// Connects and performs the handshake.
async fn connect(
    shared: &Shared,
    name: &Name,
    wake: &Arc<Notify>,
    address: SocketAddr,
) -> Option<Connection> {
    let stream = magpietally_net::connect(address).await.ok()?;
    shared.count_connection();
    let (read_half, write_half) = split(stream);
    let (mut reader, mut writer) = framed_halves(shared, read_half, write_half);
    if !write_frame(shared, &mut writer, name, MessageType::Hello, 0, &[]).await {
        return None;
    }
    let (header, _) = read_frame(shared, &mut reader).await?;
    if header.message_type != MessageType::Welcome {
        shared.record_drop(UNEXPECTED_TYPE);
        return None;
    }
    if header.from.name != *name {
        shared.record_drop("a response from another node than the one dialled");
        return None;
    }
    if !shared.observe_session(&header.from) {
        return None;
    }
    shared.resume(name, wake, header.number);
    Some(Connection { reader, writer })
}

/// Uses a connection until it breaks, is silent or idle for too long, or the peer is removed or gets another
/// address.
async fn run_connection(
    shared: &Shared,
    name: &Name,
    wake: &Arc<Notify>,
    address: SocketAddr,
    connection: Connection,
) {
    let Connection { mut reader, mut writer } = connection;
    let acknowledgements = async {
        // A peer that does not read its messages still sends heartbeats; one that sends none is gone.
        while let Ok(Some((header, _))) =
            timeout(shared.settings.liveness_timeout, read_frame(shared, &mut reader)).await
        {
            if header.message_type != MessageType::Ack {
                shared.record_drop(UNEXPECTED_TYPE);
                return;
            }
            shared.acknowledged(name, wake, header.number);
        }
    };
    let messages = async {
        let mut last_used_at = Instant::now();
        loop {
            let (message_type, number, body) = match shared.next_step(name, wake, address) {
                SendStep::End => return,
                SendStep::Write(number, message) => (MessageType::Message, number, message),
                SendStep::Wait => {
                    if timeout(shared.settings.heartbeat, wake.notified()).await.is_ok() {
                        continue;
                    }
                    (MessageType::Ping, 0, Vec::new())
                }
            };
            if message_type == MessageType::Message || !shared.is_idle(name) {
                last_used_at = Instant::now();
            } else if last_used_at.elapsed() > shared.outbound_idle_limit() {
                return;
            }
            if !write_frame(shared, &mut writer, name, message_type, number, &body).await {
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
