//! Membership on UDP: the carrier that runs a node's [`Membership`] on a socket of its own, and `magpietally members`, which
//! asks a node for its view. Off unless `node --membership FILE` names a file like `deploy/membership.toml`.

use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use magpietally_membership::{
    decode, decode_view_part, encode_query, encode_view_part, Datagram, Membership, Name, NodeId, Settings,
    DATAGRAM_MAX_BYTES, VIEW_PART_MAX_BYTES,
};
use magpietally_os_error::{classify, retry, Call, Class};
use serde::Deserialize;

use crate::commands::{invalid_input, read_toml_file, CommandError};
use crate::shutdown::request_shutdown;

/// The largest file that is read, in bytes.
const FILE_MOST: usize = 1 << 16;
/// The most seeds a file may name.
const SEEDS_MOST: usize = 1024;
/// The most parts of a view that `members` asks for: each holds hundreds of nodes, so this only ends a conversation with
/// something that is no node.
const PARTS_MOST: usize = 1024;
/// How long the socket waits at most before the room is looked at again (a stop, a timer).
const WAIT_MOST: Duration = Duration::from_millis(50);
/// How long the socket is left alone after a read that failed.
const READ_REST: Duration = Duration::from_millis(10);
/// How long `members` waits for each part of the answer.
const ANSWER_WITHIN: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    listen: String,
    advertise: Option<String>,
    #[serde(default)]
    seeds: Vec<String>,
    fleet_size: Option<u32>,
    probe_period_ms: Option<u64>,
    suspect_for_ms: Option<u64>,
}

/// What the operators' file of membership sets.
pub struct Options {
    listen: SocketAddrV4,
    advertise: Option<SocketAddrV4>,
    seeds: Vec<SocketAddrV4>,
    settings: Settings,
}

/// Reads the file.
///
/// # Errors
/// One line that names the file, and the line or the field.
pub fn read(file: &str) -> Result<Options, CommandError> {
    let parsed: File = read_toml_file(file, FILE_MOST)?;
    let address = |field: &str, value: &str| {
        value
            .parse::<SocketAddrV4>()
            .map_err(|_| invalid_input(file, &[format!("{field}: {value:?} is no IPv4 address with a port")]))
    };
    let listen = address("listen", &parsed.listen)?;
    let advertise = parsed.advertise.as_deref().map(|a| address("advertise", a)).transpose()?;
    if advertise.is_some_and(|a| a.port() == 0 || a.ip().is_unspecified()) {
        return Err(invalid_input(
            file,
            &["advertise: peers must be able to send to it: a port and an address".into()],
        ));
    }
    if parsed.seeds.len() > SEEDS_MOST {
        return Err(invalid_input(
            file,
            &[format!("seeds: {} named, at most {SEEDS_MOST}", parsed.seeds.len())],
        ));
    }
    let seeds = parsed.seeds.iter().map(|s| address("seeds", s)).collect::<Result<Vec<_>, _>>()?;
    let mut settings = Settings::default();
    if let Some(n) = parsed.fleet_size {
        settings.fleet_size = n.clamp(1, 100_000);
    }
    let millis = |field: &str, value: Option<u64>, least: u64, default: Duration| match value {
        None => Ok(default),
        Some(ms) if (least..=600_000).contains(&ms) => Ok(Duration::from_millis(ms)),
        Some(ms) => Err(invalid_input(file, &[format!("{field}: {ms} is out of {least} to 600000")])),
    };
    settings.probe_period = millis("probe_period_ms", parsed.probe_period_ms, 100, settings.probe_period)?;
    settings.probe_rtt = settings.probe_rtt.min(settings.probe_period / 2);
    settings.suspicion_min = millis("suspect_for_ms", parsed.suspect_for_ms, 500, settings.suspicion_min)?;
    Ok(Options { listen, advertise, seeds, settings })
}

/// The carrier at work.
pub struct MembershipThread {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Result<(), String>>,
}

/// Binds the socket and starts the carrier's thread for the node named `name`.
///
/// # Errors
/// The name is no node's name, or the socket can't be had.
pub fn start(name: &str, options: Options) -> Result<MembershipThread, CommandError> {
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
    let mut room = Membership::new(me, &options.settings, seed);
    let stop = Arc::new(AtomicBool::new(false));
    let stopping = stop.clone();
    let seeds = options.seeds;
    let thread = retry::spawn("membership", move || carry(&socket, &mut room, &seeds, &stopping))
        .map_err(|e| CommandError::Failed(format!("membership: a thread: {e}")))?;
    Ok(MembershipThread { stop, thread })
}

impl MembershipThread {
    /// Leaves the fleet on purpose and ends the carrier.
    ///
    /// # Errors
    /// Why the carrier had ended the node by itself, if it had.
    pub fn leave(self) -> Result<(), String> {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.join().unwrap_or_else(|_| {
            tracing::warn!(target: "membership", "its thread ended in a panic");
            Ok(())
        })
    }
}

/// Which start of the node this is: tenths of a second since 2026, so that a restart is a later identity.
fn generation() -> u32 {
    const BASE: u64 = 1_767_225_600;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u32::try_from(now.as_millis().saturating_sub(u128::from(BASE) * 1000) / 100).unwrap_or(u32::MAX)
}

/// Carries the room's datagrams until it is told to stop, or the node may not go on.
fn carry(
    socket: &UdpSocket,
    room: &mut Membership,
    seeds: &[SocketAddrV4],
    stop: &AtomicBool,
) -> Result<(), String> {
    let start = Instant::now();
    // One byte more than may come, so that what is longer is seen to be.
    let mut buf = [0; DATAGRAM_MAX_BYTES + 1];
    room.join(start.elapsed(), seeds);
    let mut told_version = 0;
    loop {
        let now = start.elapsed();
        if stop.load(Ordering::SeqCst) {
            room.leave(now);
            send(socket, room);
            tracing::info!(target: "membership", "left the fleet");
            return Ok(());
        }
        let wait = room
            .next_due()
            .map_or(WAIT_MOST, |due| due.saturating_sub(now))
            .clamp(Duration::from_millis(1), WAIT_MOST);
        // A socket that refuses a timeout still works; it is then looked at when a datagram comes.
        let _ = socket.set_read_timeout(Some(wait));
        match retry::interrupted(|| socket.recv_from(&mut buf)) {
            Ok((n, from)) => match decode(&buf[..n]) {
                Ok(Datagram::Query(after)) => {
                    let stats = room.stats().clone();
                    // Lost, as a datagram may be; whoever asked asks again.
                    let part = encode_view_part(room.view(), &stats, after.as_ref());
                    let _ = retry::interrupted(|| socket.send_to(&part, from));
                }
                _ => room.on_datagram(start.elapsed(), &buf[..n]),
            },
            Err(error) => rest_after(&error),
        }
        room.tick(start.elapsed());
        send(socket, room);
        let me = room.local_id().clone();
        let view = room.view();
        if view.version() != told_version {
            told_version = view.version();
            let c = view.counts();
            tracing::info!(target: "membership", "view {}: {} alive, {} suspect, {} dead, {} left", view.version(), c.alive, c.suspect, c.dead, c.left);
        }
        if let Some(first) = view.name_conflict(&me) {
            // Two nodes may not share a name; the one that started first keeps it. What this one has taken it still answers.
            let (name, at) = (&me.name, first.addr);
            let words =
                format!("membership: the name {name} is taken by the node at {at}, which started first");
            request_shutdown("membership", &words);
            return Err(words);
        }
    }
}

/// What a failed read asks for: nothing where a time-out was over, a rest where it may fail again at once.
fn rest_after(error: &std::io::Error) {
    match classify(Call::Datagram, error) {
        // An earlier datagram to a peer that is gone comes back as a refusal; SWIM sees the loss itself.
        Class::WaitForReadiness | Class::TryAgain | Class::ConnectionOver => {}
        Class::OutOfResources | Class::Permanent => {
            tracing::warn!(target: "membership", "a read failed: {error}");
            std::thread::sleep(READ_REST);
        }
    }
}

fn send(socket: &UdpSocket, room: &mut Membership) {
    while let Some((to, bytes)) = room.take_outgoing() {
        // A datagram that can't go is a loss, which the protocol is built for.
        let _ = retry::interrupted(|| socket.send_to(&bytes, to));
    }
}

/// `magpietally members --at ADDR`: asks the node whose membership listens there for its view and prints it.
///
/// # Errors
/// No answer within 2 s, or one that does not end.
pub fn print_members(at: SocketAddr) -> Result<(), CommandError> {
    let local: SocketAddr = if at.ip().is_loopback() { "127.0.0.1:0" } else { "0.0.0.0:0" }
        .parse()
        .map_err(|_| CommandError::Failed("members: no local address".into()))?;
    let failed = |e: std::io::Error| CommandError::Failed(format!("members: {at}: {e}"));
    let socket = retry::at_start(Call::Create, "members", || UdpSocket::bind(local))
        .map_err(|e| CommandError::Failed(format!("members: a socket: {e}")))?;
    socket.set_read_timeout(Some(ANSWER_WITHIN)).map_err(failed)?;
    let mut buf = vec![0; VIEW_PART_MAX_BYTES];
    let mut after: Option<NodeId> = None;
    for _ in 0..PARTS_MOST {
        let query = encode_query(after.as_ref());
        retry::within(ANSWER_WITHIN, Call::Datagram, "members", || socket.send_to(&query, at))
            .map_err(failed)?;
        after = part(&socket, at, after, &mut buf)?;
        if after.is_none() {
            return Ok(());
        }
    }
    Err(CommandError::Failed(format!("members: {at} does not come to an end")))
}

/// Prints the part behind `after`; the identity behind which there is more.
fn part(
    socket: &UdpSocket,
    at: SocketAddr,
    after: Option<NodeId>,
    buf: &mut [u8],
) -> Result<Option<NodeId>, CommandError> {
    let deadline = Instant::now() + ANSWER_WITHIN;
    while Instant::now() < deadline {
        match retry::interrupted(|| socket.recv_from(buf)) {
            Ok((n, from)) if from == at => match decode_view_part(&buf[..n]) {
                // One that does not go on is an earlier part again.
                Some((next, text)) if next.is_none() || next > after => {
                    print!("{}", String::from_utf8_lossy(text));
                    return Ok(next);
                }
                _ => {}
            },
            Ok(_) => {}
            Err(e) if classify(Call::Datagram, &e) == Class::WaitForReadiness => break,
            Err(e) => return Err(CommandError::Failed(format!("members: {at}: {e}"))),
        }
    }
    Err(CommandError::Failed(format!("members: {at} did not answer within 2 s")))
}

#[cfg(test)]
mod tests;
