//! Final answers to uploads whose servers do not read them: the client's time begins with the last byte that it wrote,
//! wherever that byte lies.

mod peers;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use peers::faults::Faults;
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
    let upload = Upload { class, id: id.clone(), remaining: REMAINING, framing, length, answered_in: None };
    let began = Instant::now();
    let end = send_upload(node, &upload, &[], Some(CLIENT_SEND_BUFFER_BYTES), LATE_ANSWER_WAIT);
    // One that is refused before it is written has no last byte.
    let counted_from = end.written_at.unwrap_or(began);
    let waited = end.answer.as_ref().map(|(_, at)| at.saturating_duration_since(counted_from));
    let in_time = waited.is_some_and(|waited| waited < REMAINING + ANSWER_SLACK + MEASUREMENT_SLACK);
    let written = end.written_at.is_some();
    let line = format!("{id}: {:?} after {waited:?}, written {written}", end.status());
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

/// Guards against the same where the node has no memory left to read on, so that it can't know.
#[test]
fn uploads_that_the_node_has_no_memory_to_read_are_answered_in_the_time_of_their_clients() {
    let lengths: Vec<_> = (0..24).map(|n| 380_000 + n * 1000).collect();
    let server = ReadingServer::new(&[ReadStep::Read(10_000), ReadStep::Hold]);
    let registry = registry_of(server.address);
    let late: Vec<_> = std::thread::scope(|scope| {
        let play = |framing| {
            let socket = listener_with_buffer(SMALL_RECEIVE_BUFFER_BYTES);
            let mut node_config = node_config(&registry);
            node_config["listen"] = json!(socket.local_addr().expect("bound").to_string());
            node_config["limits"] = json!({"cores": 1.0, "memory_mb": 32, "sockets": 256});
            let node = Node::with_inherited_socket(&node_config, &socket, "3");
            node.wait_ready();
            std::thread::scope(|scope| {
                let send = |length| move || late_answer(node.address, length, framing, "slip");
                let threads: Vec<_> = lengths.iter().map(|length| scope.spawn(send(*length))).collect();
                threads.into_iter().filter_map(|thread| thread.join().expect("no panic")).collect::<Vec<_>>()
            })
        };
        let threads: Vec<_> =
            FRAMINGS.map(|framing| scope.spawn(move || play(framing))).into_iter().collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("no panic")).collect()
    });
    assert!(late.is_empty(), "{} late: {late:#?}", late.len());
}

/// Asserts that a client that has written its whole upload is answered in its time.
fn assert_in_time(case: &str, upload: &Upload, end: &UploadEnd) {
    let in_time =
        end.waited().is_some_and(|waited| waited < upload.remaining + ANSWER_SLACK + MEASUREMENT_SLACK);
    assert!(in_time, "{case}: {:?} after {:?}", end.status(), end.waited());
}

/// Guards against the time that a request waits for memory not counting as its client's.
#[test]
fn the_time_of_a_client_runs_while_its_request_waits_for_memory() {
    /// Requests that are buffered whole: together they take the budget of 3.2 MiB but for 26 kB.
    const FILLERS: usize = 52;
    const FILLER_BYTES: usize = 64_000;
    let server = ReadingServer::new(&[ReadStep::Hold]);
    let registry = registry_of(server.address);
    let mut node_config = node_config(&registry);
    node_config["limits"] = json!({"cores": 1.0, "memory_mb": 32, "sockets": 256});
    let node = Node::ready(&node_config);
    let upload = |id: String, remaining_ms, length| Upload {
        class: "slip",
        id,
        remaining: Duration::from_millis(remaining_ms),
        framing: UploadFraming::Length,
        length,
        answered_in: None,
    };
    std::thread::scope(|scope| {
        for n in 0..FILLERS {
            let address = node.address;
            scope.spawn(move || {
                let filler = upload(format!("filler-{n}"), 3000, FILLER_BYTES);
                let script = [
                    WriteStep::WriteAllBut(1000),
                    WriteStep::Pause(Duration::from_millis(1000)),
                    WriteStep::Leave,
                ];
                send_upload(address, &filler, &script, None, Duration::ZERO)
            });
        }
        std::thread::sleep(Duration::from_millis(200));
        let waiting = upload("waiting".to_string(), 1000, 60_000);
        let end = send_upload(node.address, &waiting, &[], None, LATE_ANSWER_WAIT);
        println!("{:?} after {:?}", end.status(), end.waited());
        assert_in_time("waited for memory", &waiting, &end);
    });
}

/// Guards against a crowd taking the connection of a client whose whole upload has been read and can't be forwarded.
#[test]
fn a_crowd_does_not_take_the_connection_of_an_upload_that_has_been_read() {
    const CROWD: usize = 400;
    let server = ReadingServer::new(&[ReadStep::Read(10_000), ReadStep::Hold]);
    let registry = registry_of(server.address);
    let node = Node::ready(&node_config(&registry));
    let upload = Upload {
        class: "slip",
        id: "read".to_string(),
        remaining: Duration::from_millis(1500),
        framing: UploadFraming::Chunks(8000),
        length: BUFFERED_REQUEST_MAX_BYTES + 500,
        answered_in: None,
    };
    std::thread::scope(|scope| {
        let address = node.address;
        let sent = upload.clone();
        let client = scope.spawn(move || {
            send_upload(address, &sent, &[], Some(CLIENT_SEND_BUFFER_BYTES), LATE_ANSWER_WAIT)
        });
        std::thread::sleep(Duration::from_millis(300));
        let begin = |_| {
            let mut stream = TcpStream::connect(address).ok()?;
            stream.write_all(b"POST /slip/7 HTTP/1.1\r\n").ok()?;
            Some(stream)
        };
        let _crowd: Vec<_> = (0..CROWD).filter_map(begin).collect();
        let end = client.join().expect("no panic");
        println!("{:?} after {:?}", end.status(), end.waited());
        assert_in_time("beside a crowd", &upload, &end);
    });
}

/// Guards against an upload being cut off while its client writes it at a pace and its server reads it at the same pace,
/// behind what the node had buffered before.
#[test]
fn a_paced_upload_whose_server_reads_at_its_pace_is_not_cut_off() {
    const UPLOAD_BYTES: usize = 720_000;
    const INTERVAL: Duration = Duration::from_millis(50);
    let write_paced = WriteStep::WritePaced { bytes: usize::MAX, piece: 3200, interval: INTERVAL };
    let read_paced = ReadStep::ReadPaced { bytes: usize::MAX, piece: 3300, interval: INTERVAL };
    let play = |framing, remaining, memory_mb| {
        let server = ReadingServer::new(&[read_paced]);
        let registry = registry_of(server.address);
        let mut node_config = node_config(&registry);
        node_config["limits"]["memory_mb"] = json!(memory_mb);
        let node = Node::ready(&node_config);
        let id = format!("{framing:?}, {remaining:?} left, {memory_mb} MB");
        let upload = Upload {
            class: "slip",
            id: "paced".to_string(),
            remaining,
            framing,
            length: UPLOAD_BYTES,
            answered_in: None,
        };
        let sent = send_upload(
            node.address,
            &upload,
            &[write_paced],
            Some(CLIENT_SEND_BUFFER_BYTES),
            LATE_ANSWER_WAIT,
        );
        println!("{id}: {:?} after {:?}", sent.status(), sent.waited());
        assert!(sent.written_at.is_some(), "{id}: cut off with {:?}", sent.status());
        assert_in_time(&id, &upload, &sent);
        let is_whole = server.received().iter().any(|message| message.body == bytes(UPLOAD_BYTES));
        // The server is behind by what the node had buffered, which takes it 8 s.
        assert!(remaining < Duration::from_secs(5) || (sent.status() == Some(200) && is_whole), "{id}");
    };
    std::thread::scope(|scope| {
        for framing in FRAMINGS {
            for remaining in [REMAINING, Duration::from_secs(15)] {
                for memory_mb in [32, 192] {
                    scope.spawn(move || play(framing, remaining, memory_mb));
                }
            }
        }
    });
}

/// Guards against an upload that waits leaving no trace in the log, as in the incident of 2026-12-07.
#[test]
fn the_log_tells_what_is_known_of_an_upload_that_waits() {
    let server = ReadingServer::new(&[ReadStep::Read(10_000), ReadStep::Hold]);
    let registry = registry_of(server.address);
    let node = Node::ready(&node_config(&registry));
    let upload = Upload {
        class: "slip",
        id: "logged".to_string(),
        remaining: Duration::from_secs(3),
        framing: UploadFraming::Chunks(8000),
        length: BUFFERED_REQUEST_MAX_BYTES + 500,
        answered_in: None,
    };
    let end = send_upload(node.address, &upload, &[], Some(CLIENT_SEND_BUFFER_BYTES), LATE_ANSWER_WAIT);
    assert_in_time("logged", &upload, &end);
    assert!(node.logged("uploads 0 being written 0 may be written 1 received"), "on a status line");
    let refusal = || node.logged_after("request logged: no answer before the deadline");
    wait_until("the refusal is logged", || refusal().is_some());
    assert!(refusal().is_some_and(|words| words.contains("rest Received")), "{:?}", refusal());
}

/// Guards against a connection being closed without notice, where its client sends the next request, because the upload
/// before it was answered without having been read to its end.
#[test]
fn the_close_behind_an_upload_that_was_not_read_whole_is_announced() {
    let server = ReadingServer::new(&[ReadStep::Read(10_000), ReadStep::Close]);
    for hosts in [vec![], vec![host("s0", server.address, "active", 1)]] {
        let registry = Registry::new(&hosts);
        let node = Node::ready(&node_config(&registry));
        for framing in FRAMINGS {
            let mut upload = Upload {
                class: "slip",
                id: format!("unread-{framing:?}-{}", hosts.len()),
                remaining: Duration::from_millis(300),
                framing,
                length: 3_000_000,
                answered_in: None,
            };
            let stream = connect(node.address, None).expect("the node listens");
            let end = send_on(&stream, &upload.encode(), &[], LATE_ANSWER_WAIT);
            let (answer, _) = end.answer.expect("an answer");
            println!("{}: {}", upload.id, answer.head);
            if answer.header("connection") == Some("close") {
                continue;
            }
            (upload.id, upload.length) = (format!("{}-next", upload.id), 1000);
            let next = send_on(&stream, &upload.encode(), &[], LATE_ANSWER_WAIT);
            assert!(next.answer.is_some(), "{}: closed without notice", upload.id);
        }
    }
}

/// Guards against a failed look at the client's socket counting as proof that the client has more to write.
#[test]
fn an_upload_is_answered_in_time_while_looks_at_its_socket_fail() {
    const LOOKS_FAIL: &str = "getsockopt:ENOBUFS:0.3;peek:EINTR:0.3;peek:ENOMEM:0.3;recv:ENOMEM:0.02";
    let server = ReadingServer::new(&[ReadStep::Read(10_000), ReadStep::Hold]);
    let registry = registry_of(server.address);
    let faults = Faults::new(LOOKS_FAIL, 58);
    let mut node_config = node_config(&registry);
    node_config["management"] = json!("127.0.0.1:0");
    let node = listener_node(&node_config, None, &faults);
    let lengths = [500, 40_000, 150_000].map(|count| BUFFERED_REQUEST_MAX_BYTES + count);
    let late: Vec<_> = std::thread::scope(|scope| {
        let send = |length, framing| {
            let address = node.address;
            scope.spawn(move || late_answer(address, length, framing, "slip"))
        };
        let threads: Vec<_> = FRAMINGS
            .into_iter()
            .flat_map(|framing| lengths.map(|length| (length, framing)))
            .map(|(length, framing)| send(length, framing))
            .collect();
        threads.into_iter().filter_map(|thread| thread.join().expect("no panic")).collect()
    });
    assert!(late.is_empty(), "{} late: {late:#?}", late.len());
}
