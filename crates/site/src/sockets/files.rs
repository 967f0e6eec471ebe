//! The server list as a watched file shared by all nodes, in place of discovery. It is rewritten a hundred
//! times a second, either always complete or with truncated copies in between.

use std::fmt::Write;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use super::stage::Harness;
use super::{ListFile, SocketError};
use crate::model::list::{Entry, State as BoxState};
use crate::model::random::{Purpose, Stream};

/// Interval between replacements of the file.
const WRITE_INTERVAL: Duration = Duration::from_millis(10);
/// With `ListFile::Torn`, every so many writes one is a truncated copy.
const TORN_WRITE_PERIOD: u64 = 3;

/// Path of the server list file.
pub(super) fn list_path(harness: &Harness) -> PathBuf {
    harness.folder.join("boxes.toml")
}

/// Writes the complete list and records at the referee that all nodes have it from now on.
fn write_complete(harness: &Harness, number: u64) -> std::io::Result<()> {
    let now = harness.now();
    let (entries, version) = harness.state.borrow().list.full_list(now);
    replace(harness, render(harness, &entries, version, number).as_bytes())?;
    let referee = &mut harness.state.borrow_mut().referee;
    for b in 0..harness.box_names.len() {
        let up = entries.iter().any(|e| e.app_box == b && e.state == BoxState::Up);
        (0..harness.site.nodes.count).for_each(|n| referee.node_learned_state(now, n, b, up));
    }
    Ok(())
}

fn render(harness: &Harness, entries: &[Entry], version: u64, number: u64) -> String {
    let state = harness.state.borrow();
    let listed: Vec<_> = entries.iter().filter_map(|e| Some((e, state.box_addresses[e.app_box]?))).collect();
    let mut text = format!("count = {}\n# version {version}, written the {number}th time\n", listed.len());
    if listed.is_empty() {
        text += "empty_is_meant = true\n";
    }
    for (entry, at) in listed {
        let kind = &harness.site.boxes[state.box_kind[entry.app_box]];
        let zone = harness.box_zone(entry.app_box);
        let started = entry.started.map_or(0.0, |at| harness.unix_ms(at));
        let state_line = if entry.state == BoxState::Draining { "state = \"draining\"\n" } else { "" };
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "\n[[box]]\nname = {:?}\naddress = \"{at}\"\nzone = {:?}\nkind = {:?}\ncell = {zone}\nweight = {:?}\n\
             started_ms = {started:?}\n{state_line}",
            harness.box_names[entry.app_box],
            harness.site.zones[zone],
            kind.name,
            kind.listed_size(),
        );
    }
    text
}

fn replace(harness: &Harness, bytes: &[u8]) -> std::io::Result<()> {
    let next = harness.folder.join("boxes.next");
    std::fs::write(&next, bytes)?;
    std::fs::rename(&next, list_path(harness))
}

/// Writes the first version of the file, before the nodes start.
pub(super) fn write_first(harness: &Rc<Harness>) -> Result<(), SocketError> {
    write_complete(harness, 0).map_err(|e| SocketError::Io("box list's file", e))
}

/// Rewrites the file periodically; returns only on an error, which it records.
pub(super) async fn rewrite_periodically(harness: Rc<Harness>, mode: ListFile) {
    let mut random = Stream::new(harness.seed ^ 0xF11E, Purpose::List);
    for number in 1.. {
        tokio::time::sleep(WRITE_INTERVAL).await;
        let written = if mode == ListFile::Torn && number % TORN_WRITE_PERIOD == 0 {
            let (entries, version) = harness.state.borrow().list.full_list(harness.now());
            let text = render(&harness, &entries, version, number);
            // Cut off more than the final line feed: without that alone, the list would still be complete.
            let cut = (random.between(0.0, 1.0) * (text.len() - 2) as f64) as usize;
            replace(&harness, &text.as_bytes()[..cut])
        } else {
            write_complete(&harness, number)
        };
        if let Err(error) = written {
            return harness.record_error(format!("box list's file: {error}"));
        }
    }
}
