//! Final answers to uploads whose servers do not read them: the client's time begins with the last byte that it wrote,
//! wherever that byte lies.

mod peers;

use std::net::SocketAddr;
use std::time::Duration;

use peers::uploads::*;
use peers::*;
use serde_json::{json, Value};

/// How long after its client's time a final answer may come.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// What the measurement may add.
const MEASUREMENT_SLACK: Duration = Duration::from_millis(100);
/// How long a client waits after its time, to tell a late answer from none.
const LATE_ANSWER_WAIT: Duration = Duration::from_secs(3);
/// The time that clients give.
const REMAINING: Duration = Duration::from_millis(450);
/// Largest body that a node buffers whole.
const BUFFERED_REQUEST_MAX_BYTES: usize = 512 * 1024;
/// Send buffer of a client, within the default limit of Linux (`wmem_max`).
const CLIENT_SEND_BUFFER_BYTES: usize = 208 * 1024;
/// Receive buffer of a node that shows few unread bytes when it is full.
const SMALL_RECEIVE_BUFFER_BYTES: usize = 4096;
const FRAMINGS: [UploadFraming; 3] =
    [UploadFraming::Length, UploadFraming::Chunks(8000), UploadFraming::OneChunk];

/// The configuration of a node with one server.
fn node_config(registry: &Registry) -> Value {
    let mut node_config = config(registry.address);
    node_config["settings"]["Limits"]["Probes"] = Value::from(false);
    node_config
}

fn registry_of(server: SocketAddr) -> Registry {
    Registry::new(&[host("s0", server, "active", 1)])
}

/// Sends an upload that is written in one go; returns a line if it is not answered in its client's time.
fn late_answer(
    node: SocketAddr,
    length: usize,
    framing: UploadFraming,
    class: &'static str,
) -> Option<String> {
    let id = format!("{class}-{framing:?}-{length}");
    let upload = Upload { class, id: id.clone(), remaining: REMAINING, framing, length };
    let end = send_upload(node, &upload, &[], Some(CLIENT_SEND_BUFFER_BYTES), LATE_ANSWER_WAIT);
    let in_time = end.waited().is_some_and(|waited| waited < REMAINING + ANSWER_SLACK + MEASUREMENT_SLACK);
    let written = end.written_at.is_some();
    let line = format!("{id}: {:?} after {:?}, written {written}", end.answer, end.waited());
    println!("{line}");
    (!in_time).then_some(line)
}

/// Sends uploads of these lengths in each framing and of each effect to servers that stop reading, each framing and effect
/// to a node of its own, and checks that all are answered in their clients' time.
fn all_are_answered_in_time(lengths: &[usize], start_node: impl Fn(&Registry) -> Node + Sync) {
    let server = ReadingServer::new(&[ReadStep::Read(10_000), ReadStep::Hold]);
    let registry = registry_of(server.address);
    let nodes = FRAMINGS.map(|framing| ["pay", "slip"].map(|class| (framing, class, start_node(&registry))));
    let late: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = nodes
            .iter()
            .flatten()
            .flat_map(|(framing, class, node)| {
                lengths.iter().map(move |length| (*length, *framing, *class, node.address))
            })
            .map(|(length, framing, class, node)| {
                scope.spawn(move || late_answer(node, length, framing, class))
            })
            .collect();
        threads.into_iter().filter_map(|thread| thread.join().expect("no panic")).collect()
    });
    assert!(late.is_empty(), "{} late: {late:#?}", late.len());
}

/// Guards against a client that has written its whole upload getting no answer, where the node has read the last byte and
/// can't forward it: the wait for the client's next request was taken for one for the rest of this one.
#[test]
fn an_upload_that_the_node_has_read_whole_is_answered_in_the_time_of_its_client() {
    let lengths = [1, 500, 1300, 4000, 8250, 16_000, 40_000].map(|count| BUFFERED_REQUEST_MAX_BYTES + count);
    all_are_answered_in_time(&lengths, |registry| Node::ready(&node_config(registry)));
}

/// Guards against the same where few bytes lie unread in the node's receive buffer, although it is full, and the rest in
/// the client's send buffer.
#[test]
fn an_upload_of_which_the_node_sees_few_unread_bytes_is_answered_in_the_time_of_its_client() {
    let lengths = [60_000, 100_000, 150_000, 200_000].map(|count| BUFFERED_REQUEST_MAX_BYTES + count);
    all_are_answered_in_time(&lengths, |registry| {
        let socket = listener_with_buffer(SMALL_RECEIVE_BUFFER_BYTES);
        let mut node_config = node_config(registry);
        node_config["listen"] = json!(socket.local_addr().expect("bound").to_string());
        let node = Node::with_inherited_socket(&node_config, &socket, "3");
        node.wait_ready();
        node
    });
}
