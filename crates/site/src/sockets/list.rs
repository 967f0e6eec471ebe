//! The discovery service on sockets: one list model behind a separate address for each node, so that the
//! referee knows which node received which entries.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinSet};

use super::stage::Harness;
use super::{nodes, SocketError};
use crate::model::faults::Effect;
use crate::model::list::{CallResult, Entry, State as BoxState};

/// Interval at which an empty line is sent to watchers while the list does not change.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// How long an old address and its connections stay open after a node was given a new one.
const OLD_ADDRESS_GRACE: Duration = Duration::from_millis(1500);
/// Limit on the size of a request head.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Opens a listener for a node's calls to the discovery service and replaces an earlier one.
pub(super) async fn open_address(
    harness: &Rc<Harness>,
    node_index: usize,
) -> Result<SocketAddr, SocketError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|e| SocketError::Io("list", e))?;
    let address = listener.local_addr().map_err(|e| SocketError::Io("list", e))?;
    let shared = harness.clone();
    let task = spawn_local(async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let harness = shared.clone();
            connections.spawn_local(async move {
                // An error means that the node closed the connection; there is nobody to report it to.
                let _ = serve(&harness, node_index, stream).await;
            });
            while connections.try_join_next().is_some() {}
        }
    });
    let node = &mut harness.state.borrow_mut().nodes[node_index];
    node.list_address = Some(address);
    if let Some(old) = node.list_listener_task.replace(task.abort_handle()) {
        spawn_local(async move {
            tokio::time::sleep(OLD_ADDRESS_GRACE).await;
            old.abort();
        });
    }
    Ok(address)
}

/// Moves the discovery service to a new address for this node and reloads the node's configuration.
pub(super) async fn move_address(harness: &Rc<Harness>, node_index: usize) -> Result<(), SocketError> {
    open_address(harness, node_index).await?;
    nodes::reload(harness, node_index)
}

/// All entries of the list in the platform's JSON format.
pub(super) fn host_list(harness: &Harness) -> Vec<Value> {
    let (entries, _) = harness.state.borrow().list.full_list(harness.now());
    entries.iter().map(|e| host_json(harness, e)).collect()
}

fn host_json(harness: &Harness, entry: &Entry) -> Value {
    let state = harness.state.borrow();
    let kind = &harness.site.boxes[state.box_kind[entry.app_box]];
    json!({
        "host": harness.box_names[entry.app_box],
        "dial": state.box_addresses[entry.app_box].map(|at| at.to_string()),
        "site": harness.site.zones[harness.box_zone(entry.app_box)],
        "class": kind.name,
        "block": harness.box_zone(entry.app_box),
        "health": match entry.state {
            BoxState::Up => "active",
            BoxState::Draining => "leaving",
            BoxState::Gone => "left",
        },
        "share": kind.listed_size(),
        "born_ms": entry.started.map_or(0.0, |at| harness.unix_ms(at)),
    })
}

/// Updates the list entry of a changed server after the list's notice delay.
pub(super) fn update_later(harness: &Rc<Harness>, box_index: usize) {
    let delay = Duration::from_micros(harness.state.borrow_mut().list.notice_after());
    let harness = harness.clone();
    spawn_local(async move {
        tokio::time::sleep(delay).await;
        let changed = {
            let state = &mut *harness.state.borrow_mut();
            let draining = state.active.contains(Effect::Draining(box_index));
            let current =
                Entry::of(box_index, &state.boxes[box_index], draining, state.active.clock_off(box_index));
            state.list.record_change(current).is_some()
        };
        if changed {
            harness.list_updates.send_modify(|n| *n += 1);
        }
    });
}

/// Takes the list down, which ends all watches, or brings it back.
pub(super) fn set_down(harness: &Rc<Harness>, down: bool) {
    let now = harness.now();
    harness.state.borrow_mut().list.set_down(now, down);
    harness.list_updates.send_modify(|n| *n += 1);
}

async fn serve(harness: &Rc<Harness>, node_index: usize, mut stream: TcpStream) -> std::io::Result<()> {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            if head.len() > MAX_HEAD_BYTES || stream.read_buf(&mut head).await? == 0 {
                return Ok(());
            }
        }
        let head = String::from_utf8_lossy(&head);
        let path = head.split(' ').nth(1).unwrap_or_default().to_string();
        let now = harness.now();
        let call = harness.state.borrow_mut().list.call(now);
        let (at, ok) = match call {
            CallResult::Answered(at) => (at, true),
            CallResult::Failed(at) => (at, false),
        };
        harness.sleep_until(at).await;
        if !ok || harness.state.borrow().list.is_down() {
            stream.write_all(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n").await?;
        } else if let Some((_, from)) = path.split_once("from=") {
            return watch(harness, node_index, stream, from.parse().ok()).await;
        } else {
            let (text, _) = list_update(harness, node_index, None);
            let response = format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n{text}", text.len());
            stream.write_all(response.as_bytes()).await?;
        }
    }
}

/// Returns the changes since a version, or the whole list if they are not available, with the current
/// version. Records at the referee that the node received them.
fn list_update(harness: &Harness, node_index: usize, from: Option<u64>) -> (String, u64) {
    let now = harness.now();
    let (entries, version, whole) = {
        let list = &harness.state.borrow().list;
        match from.and_then(|from| list.changes_since(now, from)) {
            Some((entries, version)) => (entries, version, false),
            None => {
                let (entries, version) = list.full_list(now);
                (entries, version, true)
            }
        }
    };
    let hosts: Vec<Value> = entries.iter().map(|e| host_json(harness, e)).collect();
    let referee = &mut harness.state.borrow_mut().referee;
    if whole {
        for box_index in
            (0..harness.box_names.len()).filter(|box_index| !entries.iter().any(|e| e.app_box == *box_index))
        {
            referee.node_learned_state(now, node_index, box_index, false);
        }
    }
    for entry in &entries {
        referee.node_learned_state(now, node_index, entry.app_box, entry.state == BoxState::Up);
    }
    (json!({"seq": version, "whole": whole, "hosts": hosts}).to_string(), version)
}

async fn watch(
    harness: &Rc<Harness>,
    node_index: usize,
    mut stream: TcpStream,
    from: Option<u64>,
) -> std::io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    let mut list_updates = harness.list_updates.subscribe();
    let mut known_version = from;
    let mut first = true;
    let mut read_buffer = [0; 1];
    loop {
        if harness.state.borrow().list.is_down() {
            return Ok(());
        }
        let now = harness.now();
        let newest = harness.state.borrow().list.version(now);
        let text = if first || known_version != Some(newest) {
            let (text, version) = list_update(harness, node_index, known_version);
            known_version = Some(version);
            text
        } else {
            String::new()
        };
        first = false;
        let chunk = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
        stream.write_all(chunk.as_bytes()).await?;
        let stale = harness.state.borrow().list.stale_until(now);
        tokio::select! {
            _ = list_updates.changed() => {}
            () = tokio::time::sleep(KEEPALIVE_INTERVAL) => {}
            () = harness.sleep_until(stale.unwrap_or(u64::MAX / 4)), if stale.is_some() => {}
            // A read of 0 bytes means that the node closed the connection.
            read = stream.read(&mut read_buffer) => if read? == 0 { return Ok(()) },
        }
    }
}
