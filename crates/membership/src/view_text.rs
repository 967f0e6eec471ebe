//! The response to `magpietally members`: a node's view as text, paginated. A datagram holds a few hundred
//! nodes, and a fleet may have more. Each query continues after the last node of the previous part, so that a
//! view that changes meanwhile lists no node twice and omits no node that remains in it.

use std::fmt::Write as _;

use crate::budget::budget_divisor;
use crate::codec::{get_id, id_len, put_id, KIND_VIEW, KIND_VIEW_PART};
use crate::id::NodeId;
use crate::protocol::Stats;
use crate::view::View;

/// Maximum size of a part: the largest UDP payload over IPv4.
pub const VIEW_PART_MAX_BYTES: usize = 65_507;
/// Bytes reserved for everything other than the lines of nodes: the kind, one identity with a name of maximum
/// length, the line of counters.
const RESERVED_BYTES: usize = 512;

/// Encodes the nodes after `after`, or all nodes from the first on, into a response datagram of at most
/// [`VIEW_PART_MAX_BYTES`] bytes.
pub fn encode_view_part(view: &View, stats: &Stats, after: Option<&NodeId>) -> Vec<u8> {
    let entries = view.entries();
    let mut text = String::new();
    let from = after.map_or(0, |id| entries.partition_point(|e| e.id <= *id));
    // Writing to a string cannot fail.
    if after.is_none() {
        let c = view.counts();
        let _ = writeln!(
            text,
            "version {}: {} alive, {} suspect, {} dead, {} left; fleet budgets divided by {}",
            view.version(),
            c.alive,
            c.suspect,
            c.dead,
            c.left,
            budget_divisor(&c)
        );
    }
    let mut last = None;
    for e in &entries[from..] {
        let len_before = text.len();
        let _ = writeln!(
            text,
            "{} {} generation {} incarnation {} {}",
            e.id.name, e.id.addr, e.id.generation, e.incarnation, e.liveness
        );
        if let Some(last) = last.filter(|_| text.len() + RESERVED_BYTES > VIEW_PART_MAX_BYTES) {
            text.truncate(len_before);
            let mut part = Vec::with_capacity(1 + id_len(last) + text.len());
            part.push(KIND_VIEW_PART);
            put_id(&mut part, last);
            part.extend_from_slice(text.as_bytes());
            return part;
        }
        last = Some(&e.id);
    }
    let _ = writeln!(
        text,
        "datagrams: {} in ({} bytes), {} out ({} bytes), {} malformed, {} refused, {} rejoined",
        stats.received,
        stats.received_bytes,
        stats.sent,
        stats.sent_bytes,
        stats.malformed,
        stats.rejected,
        stats.rejoined
    );
    [&[KIND_VIEW], text.as_bytes()].concat()
}

/// Decodes a part: the identity after which to continue if there are more parts, and the text. Returns `None`
/// if `bytes` is not a part of a view.
pub fn decode_view_part(bytes: &[u8]) -> Option<(Option<NodeId>, &[u8])> {
    let (&kind, mut rest) = bytes.split_first()?;
    match kind {
        KIND_VIEW => Some((None, rest)),
        KIND_VIEW_PART => {
            let id = get_id(&mut rest).ok()?;
            Some((Some(id), rest))
        }
        _ => None,
    }
}

#[cfg(test)]
mod tests;
