//! Final answers where a server is slow at the start, in the middle or at the end of a message: what it still
//! gives is passed on, and a client that waits for it is answered in its time.

mod peers;

use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use peers::long_responses::{Framing, Pace, FRAMINGS, LONG_RESPONSE_BYTES};
use peers::uploads::{send_upload, ReadStep, ReadingServer, ServerPlan, Upload, UploadFraming};
use peers::*;
use serde_json::{json, Value};

/// Latency target of all classes, after which an answer has no worth.
const LATENCY_TARGET_MS: f64 = 400.0;
/// How late a final answer may come, and the measurement.
const ANSWER_SLACK: Duration = Duration::from_millis(500 + 100);
/// A server that answers each request at this pace, in the framing that the request's path names.
fn paced_server(pace: Pace) -> ScriptedServer {
    ScriptedServer::new(move |message| match Framing::named_by(message) {
        None => Reply::Respond(response(200, "", "probed")),
        Some(framing) => Reply::WriteWith(Box::new(move |out| pace.respond(framing, out))),
    })
}

/// A node whose requests have no worth after [`LATENCY_TARGET_MS`], with one server.
fn node_before(server: SocketAddr) -> (Registry, Node) {
    node_before_all(&[server])
}

/// The same with several servers.
fn node_before_all(servers: &[SocketAddr]) -> (Registry, Node) {
    let entry = |(n, server): (usize, &SocketAddr)| host(&format!("s{n}"), *server, "active", 1);
    let registry = Registry::new(&servers.iter().enumerate().map(entry).collect::<Vec<_>>());
    let mut node_config = config(registry.address);
    for class in node_config["settings"]["Classes"].as_array_mut().expect("classes") {
        (class["Slo"], class["LateValue"]) = (json!(LATENCY_TARGET_MS), json!(0.0));
    }
    node_config["settings"]["Limits"]["Probes"] = Value::from(false);
    let node = Node::ready(&node_config);
    (registry, node)
}

/// Asks for a long response of each class in each framing, and checks that all come whole.
fn comes_whole(pace: Pace, remaining_ms: u64) {
    let server = paced_server(pace);
    let (_registry, node) = node_before(server.address);
    let address = node.address;
    std::thread::scope(|scope| {
        for framing in FRAMINGS {
            for class in ["look", "slip"] {
                scope.spawn(move || {
                    let id = format!("{class}-{framing:?}");
                    let words = framing.name_in(&request(class, &id, remaining_ms));
                    let response = Client::at(address).try_exchange(&words);
                    let response = response.unwrap_or_else(|| panic!("{id}: cut off"));
                    let whole = response.status() == 200 && response.body == bytes(LONG_RESPONSE_BYTES);
                    assert!(whole, "{id}: {} bytes after {}", response.body.len(), response.head);
                });
            }
        }
    });
}

/// Guards against a long response being cut off after the latency target because its body begins later than
/// its head, and after the client's time because its server writes a piece every 450 ms.
#[test]
fn a_long_response_that_its_server_writes_late_or_slowly_comes_whole_in_every_framing() {
    let late = Pace {
        before_body: Duration::from_millis(600),
        piece_bytes: 5000,
        between_pieces: Duration::from_millis(50),
    };
    let slow =
        Pace { before_body: Duration::ZERO, piece_bytes: 10_000, between_pieces: Duration::from_millis(450) };
    std::thread::scope(|scope| {
        scope.spawn(|| comes_whole(late, 1000));
        scope.spawn(|| comes_whole(slow, 600));
    });
}

/// Length of an upload of which the kernel holds a part on both sides of the node, so that the node blocks.
const HELD_UPLOAD_BYTES: usize = 6_000_000;

/// A script of a server that reads 80 kB/s.
const READ_SLOWLY: [ReadStep; 1] =
    [ReadStep::ReadPaced { bytes: usize::MAX, piece: 4096, interval: Duration::from_millis(50) }];
/// A script of a server that stops reading.
const STOP_READING: [ReadStep; 2] = [ReadStep::Read(20_000), ReadStep::Hold];

/// An upload with 600 ms left.
fn upload(class: &'static str, id: &str, framing: UploadFraming, length: usize) -> Upload {
    let remaining = Duration::from_millis(600);
    Upload { class, id: id.to_string(), remaining, framing, length, answered_in: None }
}

/// Guards against a client that has written its whole upload waiting for seconds because its server reads it
/// slowly or not at all, where no length tells the node how much is missing.
#[test]
fn an_upload_whose_server_reads_slowly_or_stops_is_answered_in_the_time_of_its_client() {
    let cases = [
        (&STOP_READING[..], "pay", 600_000),
        (&STOP_READING[..], "slip", HELD_UPLOAD_BYTES),
        (&READ_SLOWLY[..], "slip", 900_000),
        (&READ_SLOWLY[..], "pay", HELD_UPLOAD_BYTES),
    ];
    std::thread::scope(|scope| {
        for (script, class, length) in cases {
            for framing in [UploadFraming::Chunks(8000), UploadFraming::Length] {
                scope.spawn(move || {
                    let server = ReadingServer::with_plan(ServerPlan {
                        segment_bytes: None,
                        ..ServerPlan::reading(script)
                    });
                    let (_registry, node) = node_before(server.address);
                    let upload = upload(class, "upload", framing, length);
                    let mut client = Client::to(&node);
                    client.send_bytes(&upload.encode());
                    let last_byte_at = Instant::now();
                    let status = client.receive().map(|response| response.status());
                    let took = last_byte_at.elapsed();
                    let case = format!("{script:?}, {length} bytes, {framing:?}: {status:?} after {took:?}");
                    println!("{case}");
                    assert!(
                        took < upload.remaining + ANSWER_SLACK && status.is_some_and(|s| s >= 500),
                        "{case}"
                    );
                });
            }
        }
    });
}

/// Guards against an upload in chunks being given up although its client is still writing it, slowly, and its
/// server reads at the same pace.
#[test]
fn an_upload_in_chunks_that_its_client_writes_slowly_is_forwarded_whole() {
    const UPLOAD_BYTES: usize = 900_000;
    let server = ScriptedServer::healthy("a");
    let (_registry, node) = node_before(server.address);
    let mut client = Client::to(&node);
    let mut writer = client.writer();
    for piece in upload("slip", "slow", UploadFraming::Chunks(8000), UPLOAD_BYTES).encode().chunks(9600) {
        writer.write_all(piece).expect("the node reads");
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(client.receive().expect("an answer").status(), 200);
    assert!(server.requests()[0].body == bytes(UPLOAD_BYTES));
}

/// Guards against the body of an error being waited for as that of a response is, in place of another attempt.
#[test]
fn an_error_whose_body_never_ends_is_tried_elsewhere_at_once() {
    let failing = ScriptedServer::new(|_| {
        Reply::WriteWith(Box::new(|out| {
            out.write_all(b"HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            Framing::Chunks.write(out, &bytes(3000))
        }))
    });
    let healthy = ScriptedServer::healthy("b");
    let (_registry, node) = node_before_all(&[failing.address, healthy.address]);
    for n in 0..2 {
        let response = Client::to(&node).exchange(&request("look", &format!("r{n}"), 1000));
        assert_eq!((response.status(), text(&response.body)), (200, "b".to_string()), "request {n}");
    }
    assert!(!failing.requests().is_empty());
}

/// Guards against the long response to an upload being given up because its body begins after the client's time, where
/// the server has read the upload slowly: the time of the attempt is not that of the client.
#[test]
fn a_long_response_to_an_upload_that_was_read_slowly_comes_whole() {
    let mut plan = ServerPlan::reading(&[ReadStep::ReadPaced {
        bytes: usize::MAX,
        piece: 16_000,
        interval: Duration::from_millis(10),
    }]);
    plan.pace.before_body = Duration::from_millis(700);
    let server = ReadingServer::with_plan(plan);
    let registry = Registry::new(&[host("s0", server.address, "active", 1)]);
    let mut node_config = config(registry.address);
    node_config["settings"]["Limits"]["Probes"] = Value::from(false);
    let node = Node::ready(&node_config);
    let address = node.address;
    std::thread::scope(|scope| {
        for framing in FRAMINGS {
            for upload_framing in [UploadFraming::Length, UploadFraming::Chunks(8000)] {
                scope.spawn(move || {
                    let id = format!("{framing:?}-{upload_framing:?}");
                    let mut upload = upload("slip", &id, upload_framing, 600_000);
                    upload.remaining = Duration::from_millis(900);
                    upload.answered_in = Some(framing);
                    let began = Instant::now();
                    let end = send_upload(address, &upload, &[], None, ANSWER_SLACK);
                    let (response, _) = end.answer.unwrap_or_else(|| panic!("{id}: no answer"));
                    println!("{id}: {} after {:?}", response.status(), began.elapsed());
                    let whole = response.status() == 200 && response.body == bytes(LONG_RESPONSE_BYTES);
                    assert!(whole, "{id}: {} bytes after {}", response.body.len(), response.head);
                });
            }
        }
    });
}
