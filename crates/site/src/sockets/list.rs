//! The box list on sockets: one model behind an address for each node, so that the referee knows who was told what.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinSet};

use super::stage::Stage;
use super::{nodes, SocketError};
use crate::model::faults::Effect;
use crate::model::list::{CallResult, Entry, State as BoxState};

/// An empty line comes this often while nothing changes.
const ALIVE: Duration = Duration::from_secs(2);
/// How long calls at an old address stay open.
const OLD_ADDRESS: Duration = Duration::from_millis(1500);
/// The longest head of a call.
const HEAD_MOST: usize = 8 * 1024;

/// Opens a node's address of the list.
pub(super) async fn begin(stage: &Rc<Stage>, n: usize) -> Result<SocketAddr, SocketError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|e| SocketError::Io("list", e))?;
    let at = listener.local_addr().map_err(|e| SocketError::Io("list", e))?;
    let own = stage.clone();
    let task = spawn_local(async move {
        let mut calls = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let stage = own.clone();
            calls.spawn_local(async move {
                // A node that ends its call has no use for an error.
                let _ = serve(&stage, n, stream).await;
            });
            while calls.try_join_next().is_some() {}
        }
    });
    let node = &mut stage.state.borrow_mut().nodes[n];
    node.list_at = Some(at);
    if let Some(old) = node.list_task.replace(task.abort_handle()) {
        spawn_local(async move {
            tokio::time::sleep(OLD_ADDRESS).await;
            old.abort();
        });
    }
    Ok(at)
}

/// The list is at another address for this node, which is told to reload.
pub(super) async fn moves(stage: &Rc<Stage>, n: usize) -> Result<(), SocketError> {
    begin(stage, n).await?;
    nodes::reload(stage, n)
}

/// All boxes as the list has them.
pub(super) fn hosts(stage: &Stage) -> Vec<Value> {
    let (entries, _) = stage.state.borrow().list.full_list(stage.now());
    entries.iter().map(|e| host(stage, e)).collect()
}

fn host(stage: &Stage, e: &Entry) -> Value {
    let state = stage.state.borrow();
    let kind = &stage.site.boxes[state.box_kind[e.app_box]];
    json!({
        "host": stage.box_names[e.app_box],
        "dial": state.box_at[e.app_box].map(|at| at.to_string()),
        "site": stage.site.zones[stage.box_zone(e.app_box)],
        "class": kind.name,
        "block": stage.box_zone(e.app_box),
        "health": match e.state {
            BoxState::Up => "active",
            BoxState::Draining => "leaving",
            BoxState::Gone => "left",
        },
        "share": kind.listed_size(),
        "born_ms": e.started.map_or(0.0, |at| stage.unix_ms(at)),
    })
}

/// A box has changed; the list notices in a while.
pub(super) fn tell_later(stage: &Rc<Stage>, b: usize) {
    let span = Duration::from_micros(stage.state.borrow_mut().list.notice_after());
    let stage = stage.clone();
    spawn_local(async move {
        tokio::time::sleep(span).await;
        let changed = {
            let state = &mut *stage.state.borrow_mut();
            let draining = state.active.contains(Effect::Draining(b));
            let truth = Entry::of(b, &state.boxes[b], draining, state.active.clock_off(b));
            state.list.record_change(truth).is_some()
        };
        if changed {
            stage.news.send_modify(|n| *n += 1);
        }
    });
}

/// The list goes down, and with it all watches; or comes back.
pub(super) fn set_down(stage: &Rc<Stage>, down: bool) {
    let now = stage.now();
    stage.state.borrow_mut().list.set_down(now, down);
    stage.news.send_modify(|n| *n += 1);
}

async fn serve(stage: &Rc<Stage>, n: usize, mut stream: TcpStream) -> std::io::Result<()> {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            if head.len() > HEAD_MOST || stream.read_buf(&mut head).await? == 0 {
                return Ok(());
            }
        }
        let head = String::from_utf8_lossy(&head);
        let path = head.split(' ').nth(1).unwrap_or_default().to_string();
        let now = stage.now();
        let call = stage.state.borrow_mut().list.call(now);
        let (at, ok) = match call {
            CallResult::Answered(at) => (at, true),
            CallResult::Failed(at) => (at, false),
        };
        stage.until(at).await;
        if !ok || stage.state.borrow().list.is_down() {
            stream.write_all(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n").await?;
        } else if let Some((_, from)) = path.split_once("from=") {
            return watch(stage, n, stream, from.parse().ok()).await;
        } else {
            let (text, _) = line(stage, n, None);
            let answer = format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n{text}", text.len());
            stream.write_all(answer.as_bytes()).await?;
        }
    }
}

/// What is new since a version, or the whole list; the node is told by it.
fn line(stage: &Stage, n: usize, from: Option<u64>) -> (String, u64) {
    let now = stage.now();
    let (entries, version, whole) = {
        let list = &stage.state.borrow().list;
        match from.and_then(|from| list.changes_since(now, from)) {
            Some((entries, version)) => (entries, version, false),
            None => {
                let (entries, version) = list.full_list(now);
                (entries, version, true)
            }
        }
    };
    let hosts: Vec<Value> = entries.iter().map(|e| host(stage, e)).collect();
    let referee = &mut stage.state.borrow_mut().referee;
    if whole {
        for b in (0..stage.box_names.len()).filter(|b| !entries.iter().any(|e| e.app_box == *b)) {
            referee.node_learned_state(now, n, b, false);
        }
    }
    for e in &entries {
        referee.node_learned_state(now, n, e.app_box, e.state == BoxState::Up);
    }
    (json!({"seq": version, "whole": whole, "hosts": hosts}).to_string(), version)
}

async fn watch(stage: &Rc<Stage>, n: usize, mut stream: TcpStream, from: Option<u64>) -> std::io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    let mut news = stage.news.subscribe();
    let mut have = from;
    let mut first = true;
    let mut nothing = [0; 1];
    loop {
        if stage.state.borrow().list.is_down() {
            return Ok(());
        }
        let now = stage.now();
        let newest = stage.state.borrow().list.version(now);
        let text = if first || have != Some(newest) {
            let (text, version) = line(stage, n, have);
            have = Some(version);
            text
        } else {
            String::new()
        };
        first = false;
        let chunk = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
        stream.write_all(chunk.as_bytes()).await?;
        let stale = stage.state.borrow().list.stale_until(now);
        tokio::select! {
            _ = news.changed() => {}
            () = tokio::time::sleep(ALIVE) => {}
            () = stage.until(stale.unwrap_or(u64::MAX / 4)), if stale.is_some() => {}
            // The node has ended the call.
            read = stream.read(&mut nothing) => if read? == 0 { return Ok(()) },
        }
    }
}
