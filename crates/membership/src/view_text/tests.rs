use std::net::{Ipv4Addr, SocketAddrV4};

use magpietally_transport::{Name, NAME_MAX_BYTES};

use super::*;
use crate::view::{Entry, Liveness};

/// `count` nodes whose lines have the maximum length.
fn entries(count: u16) -> Vec<Entry> {
    let entry = |n: u16| Entry {
        id: NodeId {
            addr: SocketAddrV4::new(Ipv4Addr::new(127, 100, 100, 100), 10_000 + n),
            name: Name::new(&format!("{n:0>NAME_MAX_BYTES$}")).expect("a name"),
            generation: u32::MAX,
        },
        incarnation: u16::MAX,
        liveness: Liveness::Suspect,
    };
    (0..count).map(entry).collect()
}

/// Queries all parts as `magpietally members` does. Returns the concatenated text and the number of parts.
/// `between` is called before each part but the first.
fn query_all(view: &mut View, mut between: impl FnMut(&mut View)) -> (String, usize) {
    let (mut all, mut after, mut parts) = (String::new(), None, 0);
    loop {
        let part = encode_view_part(view, &Stats::default(), after.as_ref());
        assert!(part.len() <= VIEW_PART_MAX_BYTES, "{} bytes", part.len());
        let (next, text) = decode_view_part(&part).expect("a part");
        all += std::str::from_utf8(text).expect("text");
        parts += 1;
        assert!(
            parts < 100 && (next.is_none() || next > after),
            "each part continues after the previous one"
        );
        match next {
            None => return (all, parts),
            next => after = next,
        }
        between(view);
    }
}

#[test]
fn a_view_of_any_size_lists_each_node_once() {
    for count in [0, 1, 300, 1024, 3000] {
        let mut view = View::default();
        view.replace(entries(count));
        let (all, parts) = query_all(&mut view, |_| {});
        let lines: Vec<&str> = all.lines().collect();
        assert_eq!(lines.len(), usize::from(count) + 2, "{count} nodes, with the first and the last line");
        assert!(lines[0].starts_with("version ") && lines[lines.len() - 1].starts_with("datagrams: "));
        for (n, line) in lines[1..=usize::from(count)].iter().enumerate() {
            assert!(line.starts_with(&format!("{n:0>NAME_MAX_BYTES$} ")), "{count}, {n}: {line}");
        }
        assert!(parts <= 1 + usize::from(count) / 400, "{count} nodes in {parts} parts");
    }
}

#[test]
fn a_view_that_changes_between_two_parts_omits_no_node_that_remains() {
    let mut view = View::default();
    view.replace(entries(1024));
    // Before the second part is queried, two of three nodes are removed, the last one of the first part among
    // them.
    let (all, _) = query_all(&mut view, |view| {
        view.replace(
            entries(1024).into_iter().enumerate().filter(|(n, _)| n % 3 == 0).map(|e| e.1).collect(),
        );
    });
    for n in (0..1024).step_by(3) {
        let line = format!("{n:0>NAME_MAX_BYTES$} ");
        assert_eq!(all.lines().filter(|l| l.starts_with(&line)).count(), 1, "{n}");
    }
}

#[test]
fn bytes_that_are_not_a_part_are_rejected() {
    for bytes in [&b""[..], b"Q", b"P", b"P\x7f\0\0\x01", b"S1"] {
        assert_eq!(decode_view_part(bytes), None, "{bytes:?}");
    }
}
