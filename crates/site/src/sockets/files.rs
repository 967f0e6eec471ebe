//! The box list as a watched file, one for all nodes, in place of discovery: written anew a hundred times a second, whole
//! or with half-written copies in between.

use std::fmt::Write;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use super::stage::Stage;
use super::{ListFile, SocketError};
use crate::model::list::{Entry, State as BoxState};
use crate::model::random::{Purpose, Stream};

/// How often the file is replaced.
const WRITTEN: Duration = Duration::from_millis(10);
/// One in so many is a half-written copy, where there are such.
const TORN_EACH: u64 = 3;

/// The file's place.
pub(super) fn place(stage: &Stage) -> PathBuf {
    stage.folder.join("boxes.toml")
}

/// Writes the whole list, and tells the referee that all nodes have it from now on.
fn write_whole(stage: &Stage, number: u64) -> std::io::Result<()> {
    let now = stage.now();
    let (entries, version) = stage.state.borrow().list.full_list(now);
    replace(stage, text(stage, &entries, version, number).as_bytes())?;
    let referee = &mut stage.state.borrow_mut().referee;
    for b in 0..stage.box_names.len() {
        let up = entries.iter().any(|e| e.app_box == b && e.state == BoxState::Up);
        (0..stage.site.nodes.count).for_each(|n| referee.node_learned_state(now, n, b, up));
    }
    Ok(())
}

fn text(stage: &Stage, entries: &[Entry], version: u64, number: u64) -> String {
    let state = stage.state.borrow();
    let listed: Vec<_> = entries.iter().filter_map(|e| Some((e, state.box_at[e.app_box]?))).collect();
    let mut text = format!("count = {}\n# version {version}, written the {number}th time\n", listed.len());
    if listed.is_empty() {
        text += "empty_is_meant = true\n";
    }
    for (e, at) in listed {
        let kind = &stage.site.boxes[state.box_kind[e.app_box]];
        let zone = stage.box_zone(e.app_box);
        let started = e.started.map_or(0.0, |at| stage.unix_ms(at));
        let drains = if e.state == BoxState::Draining { "state = \"draining\"\n" } else { "" };
        // Writing to a string can't fail.
        let _ = write!(
            text,
            "\n[[box]]\nname = {:?}\naddress = \"{at}\"\nzone = {:?}\nkind = {:?}\ncell = {zone}\nweight = {:?}\n\
             started_ms = {started:?}\n{drains}",
            stage.box_names[e.app_box],
            stage.site.zones[zone],
            kind.name,
            kind.listed_size(),
        );
    }
    text
}

fn replace(stage: &Stage, bytes: &[u8]) -> std::io::Result<()> {
    let next = stage.folder.join("boxes.next");
    std::fs::write(&next, bytes)?;
    std::fs::rename(&next, place(stage))
}

/// Writes the first one.
pub(super) fn begin(stage: &Rc<Stage>) -> Result<(), SocketError> {
    write_whole(stage, 0).map_err(|e| SocketError::Io("box list's file", e))
}

/// Writes it again and again; ends only with an error.
pub(super) async fn keep_writing(stage: Rc<Stage>, how: ListFile) {
    let mut random = Stream::new(stage.seed ^ 0xF11E, Purpose::List);
    for number in 1.. {
        tokio::time::sleep(WRITTEN).await;
        let written = if how == ListFile::Torn && number % TORN_EACH == 0 {
            let (entries, version) = stage.state.borrow().list.full_list(stage.now());
            let text = text(&stage, &entries, version, number);
            // Never all of it: the last line feed alone may be missing from a list that is whole.
            let cut = (random.between(0.0, 1.0) * (text.len() - 2) as f64) as usize;
            replace(&stage, &text.as_bytes()[..cut])
        } else {
            write_whole(&stage, number)
        };
        if let Err(error) = written {
            return stage.trouble(format!("box list's file: {error}"));
        }
    }
}
