//! What a node answers to `magpietally members`: its view as text, in as many parts as it takes. A datagram holds a few hundred
//! nodes, and a fleet may have more; whoever asks goes on behind the last node of a part, so that a view which changes meanwhile
//! names no node twice and leaves out none that stays.

use std::fmt::Write as _;

use crate::budget::budget_divisor;
use crate::codec::{get_id, id_len, put_id, KIND_VIEW, KIND_VIEW_PART};
use crate::id::NodeId;
use crate::protocol::Stats;
use crate::view::View;

/// The largest part, in bytes: what one datagram can be.
pub const VIEW_PART_MAX_BYTES: usize = 65_507;
/// Kept free for what stands around the nodes, in bytes: a kind, an identity of the longest name, the line of counts.
const RESERVED_BYTES: usize = 512;

/// The view from behind `after` on, or all of it: the datagram to answer with, [`VIEW_PART_MAX_BYTES`] bytes at the most.
pub fn encode_view_part(view: &View, stats: &Stats, after: Option<&NodeId>) -> Vec<u8> {
    let entries = view.entries();
    let mut text = String::new();
    let from = after.map_or(0, |id| entries.partition_point(|e| e.id <= *id));
    // Writing to a string can't fail.
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

/// Reads a part: the identity behind which to go on, where there is more, and the text. `None` where it is no part.
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
