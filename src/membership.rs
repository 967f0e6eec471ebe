//! Membership over UDP: the thread that runs a node's [`Membership`] on its own socket. Off unless `node --membership
//! FILE` names a file like `deploy/membership.toml`.

mod options;

use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use magpietally_membership::{
    decode, encode_view_part, Datagram, Membership, Name, NodeId, DATAGRAM_MAX_BYTES,
};
use magpietally_os_error::{classify, retry, Call, Class};

use crate::commands::CommandError;
use crate::listener_id;
use crate::shutdown::request_shutdown;
pub use options::{read, Options};

/// The longest wait on the socket before the stop flag and the timers are checked again.
const SOCKET_WAIT_MAX: Duration = Duration::from_millis(50);
/// Pause after a read error that may repeat at once.
const READ_ERROR_PAUSE: Duration = Duration::from_millis(10);

/// The running membership thread.
pub struct MembershipThread {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Result<(), String>>,
}

/// Binds the socket and starts the membership thread for the node named `name`. `inherited_fd` is the descriptor of
/// its listening socket for clients, if that was inherited.
///
/// # Errors
/// The name is not a valid node name, the socket can't be bound or the thread can't be started.
pub fn start(
    name: &str,
    options: Options,
    inherited_fd: Option<u32>,
) -> Result<MembershipThread, CommandError> {
    let name =
        Name::new(name).map_err(|e| CommandError::InvalidInput(format!("membership: name {name:?}: {e}")))?;
    let socket = retry::at_start(Call::Create, "membership", || UdpSocket::bind(options.listen))
        .map_err(|e| CommandError::Failed(format!("membership: listen {}: {e}", options.listen)))?;
    let bound = match socket.local_addr() {
        Ok(SocketAddr::V4(a)) => a,
        Ok(other) => return Err(CommandError::Failed(format!("membership: bound to {other}, not IPv4"))),
        Err(e) => return Err(CommandError::Failed(format!("membership: listen {}: {e}", options.listen))),
    };
    let me = NodeId { addr: options.advertise.unwrap_or(bound), name, generation: generation() };
    tracing::info!(target: "membership", "membership listens at {bound} as {me}");
    let seed = u64::from(me.generation) ^ u64::from(bound.port()) << 32;
    let mut membership = Membership::new(me, &options.settings, seed);
    match inherited_fd.map(listener_id::of_descriptor) {
        Some(Ok(listener)) => membership.set_inherited_listener(listener),
        // A descriptor that is not open ends the start when the listener is taken over.
        Some(Err(error)) => {
            tracing::warn!(target: "membership", "the processes of a hand-over can't be recognized: {error}")
        }
        None => {}
    }
    let stop = Arc::new(AtomicBool::new(false));
    let stop_requested = stop.clone();
    let seeds = options.seeds;
    let thread = retry::spawn("membership", move || run(&socket, &mut membership, &seeds, &stop_requested))
        .map_err(|e| CommandError::Failed(format!("membership: a thread: {e}")))?;
    Ok(MembershipThread { stop, thread })
}

impl MembershipThread {
    /// The flag that makes the thread announce that the node leaves the fleet, and end. A node sets it when it
    /// begins to stop: it only finishes its work then, and the next process may run under its name.
    pub fn stop_notice(&self) -> Arc<AtomicBool> {
        self.stop.clone()
    }

    /// Announces that the node leaves the fleet, if it has not been announced yet, and stops the thread.
    ///
    /// # Errors
    /// The reason for which the thread had shut the node down, if it had.
    pub fn leave(self) -> Result<(), String> {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.join().unwrap_or_else(|_| {
            tracing::warn!(target: "membership", "the membership thread panicked");
            Ok(())
        })
    }
}

/// The generation of this start of the node: tenths of a second since the start of 2026, so that a restart
/// has a later identity.
fn generation() -> u32 {
    const BASE_UNIX_S: u64 = 1_767_225_600;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u32::try_from(now.as_millis().saturating_sub(u128::from(BASE_UNIX_S) * 1000) / 100).unwrap_or(u32::MAX)
}

/// Sends and receives membership datagrams until `stop` is set, or until the node has to shut down.
fn run(
    socket: &UdpSocket,
    membership: &mut Membership,
    seeds: &[SocketAddrV4],
    stop: &AtomicBool,
) -> Result<(), String> {
    let start = Instant::now();
    // One byte more than the maximum, so that a datagram that is too long is detected.
    let mut buf = [0; DATAGRAM_MAX_BYTES + 1];
    membership.join(start.elapsed(), seeds);
    let mut logged_version = 0;
    loop {
        let now = start.elapsed();
        if stop.load(Ordering::SeqCst) {
            membership.leave(now);
            send_outgoing(socket, membership);
            tracing::info!(target: "membership", "left the fleet");
            return Ok(());
        }
        let wait = membership
            .next_due()
            .map_or(SOCKET_WAIT_MAX, |due| due.saturating_sub(now))
            .clamp(Duration::from_millis(1), SOCKET_WAIT_MAX);
        // A socket that refuses a timeout still works: the loop then continues with each datagram received.
        let _ = socket.set_read_timeout(Some(wait));
        match retry::interrupted(|| socket.recv_from(&mut buf)) {
            Ok((n, from)) => match decode(&buf[..n]) {
                Ok(Datagram::Query(after)) => {
                    let stats = membership.stats().clone();
                    // Like any datagram the response may be lost; the client repeats its query.
                    let part = encode_view_part(membership.view(), &stats, after.as_ref());
                    let _ = retry::interrupted(|| socket.send_to(&part, from));
                }
                _ => membership.on_datagram(start.elapsed(), &buf[..n]),
            },
            Err(error) => pause_after(&error),
        }
        membership.tick(start.elapsed());
        send_outgoing(socket, membership);
        let me = membership.local_id().clone();
        let received = membership.stats().from_other_starts;
        let view = membership.view();
        if view.version() != logged_version {
            logged_version = view.version();
            let c = view.counts();
            tracing::info!(target: "membership", "view {}: {} alive, {} suspect, {} dead, {} left", view.version(), c.alive, c.suspect, c.dead, c.left);
            for other in view.other_starts(&me) {
                tracing::info!(target: "membership", "another start of this node: {}, {}, incarnation {}; {received} datagrams received from other starts", other.id, other.liveness, other.incarnation);
            }
        }
        if let Some(first) = membership.name_conflict(start.elapsed()) {
            // Two nodes may not share a name; the one that started first keeps it. This node still answers
            // the requests it has accepted.
            let (name, at) = (&me.name, first.addr);
            let message =
                format!("membership: the name {name} is taken by the node at {at}, which started first");
            request_shutdown("membership", &message);
            membership.leave(start.elapsed());
            send_outgoing(socket, membership);
            return Err(message);
        }
    }
}

/// Handles a failed read: nothing to do after a time-out, a pause where the next read may fail at once.
fn pause_after(error: &std::io::Error) {
    match classify(Call::Datagram, error) {
        // The kernel reports an earlier datagram to a dead peer as a refused connection; SWIM detects the
        // loss itself.
        Class::WaitForReadiness | Class::TryAgain | Class::ConnectionOver => {}
        Class::OutOfResources | Class::Permanent => {
            tracing::warn!(target: "membership", "a read failed: {error}");
            std::thread::sleep(READ_ERROR_PAUSE);
        }
    }
}

fn send_outgoing(socket: &UdpSocket, membership: &mut Membership) {
    while let Some((to, bytes)) = membership.take_outgoing() {
        // A datagram that can't be sent counts as lost, which the protocol tolerates.
        let _ = retry::interrupted(|| socket.send_to(&bytes, to));
    }
}
