//! `magpietally members`: queries a node for its view of the fleet.

use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use magpietally_membership::{decode_view_part, encode_query, NodeId, VIEW_PART_MAX_BYTES};
use magpietally_os_error::{classify, retry, Call, Class};

use super::CommandError;

/// The most parts of a view that `members` requests. Each holds hundreds of nodes, so the limit only ends an
/// exchange with a program that is not a node.
const VIEW_PARTS_MAX: usize = 1024;
/// How long `members` waits for each part of the response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// `magpietally members --at ADDR`: queries the node whose membership listens there for its view and prints
/// it.
///
/// # Errors
/// No response within [`RESPONSE_TIMEOUT`], or a view of more than [`VIEW_PARTS_MAX`] parts.
pub fn run(at: SocketAddr) -> Result<(), CommandError> {
    let local: SocketAddr = if at.ip().is_loopback() { "127.0.0.1:0" } else { "0.0.0.0:0" }
        .parse()
        .map_err(|_| CommandError::Failed("members: no local address".into()))?;
    let failed = |e: std::io::Error| CommandError::Failed(format!("members: {at}: {e}"));
    let socket = retry::at_start(Call::Create, "members", || UdpSocket::bind(local))
        .map_err(|e| CommandError::Failed(format!("members: a socket: {e}")))?;
    socket.set_read_timeout(Some(RESPONSE_TIMEOUT)).map_err(failed)?;
    let mut buf = vec![0; VIEW_PART_MAX_BYTES];
    let mut after: Option<NodeId> = None;
    for _ in 0..VIEW_PARTS_MAX {
        let query = encode_query(after.as_ref());
        retry::within(RESPONSE_TIMEOUT, Call::Datagram, "members", || socket.send_to(&query, at))
            .map_err(failed)?;
        after = print_part(&socket, at, after, &mut buf)?;
        if after.is_none() {
            return Ok(());
        }
    }
    Err(CommandError::Failed(format!("members: {at} does not come to an end")))
}

/// Prints the part of the view after `after`. Returns the identity after which the next part starts, if there
/// is one.
fn print_part(
    socket: &UdpSocket,
    at: SocketAddr,
    after: Option<NodeId>,
    buf: &mut [u8],
) -> Result<Option<NodeId>, CommandError> {
    let deadline = Instant::now() + RESPONSE_TIMEOUT;
    while Instant::now() < deadline {
        match retry::interrupted(|| socket.recv_from(buf)) {
            Ok((n, from)) if from == at => match decode_view_part(&buf[..n]) {
                // A part that does not advance is a duplicate of an earlier one.
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
