//! Clients and servers that read slowly but steadily are served whole; those that read nothing are let go of in bounded time.

mod peers;

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use peers::*;

/// The pace of a slow peer: 64 kB/s.
const SLOW_BYTES: usize = 3200;
const SLOW_INTERVAL: Duration = Duration::from_millis(50);
/// Length of a message that does not fit into the buffers of the kernel.
const LONG_BYTES: usize = 16_000_000;
/// Receive buffer of a peer that reads nothing, so that little more than the node's send buffer is filled.
const SMALL_RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// Length of a message that does not fit into the buffers towards a peer with a small receive buffer.
const UNREAD_BYTES: usize = 8_000_000;
/// The longest time for which a peer that reads nothing may be kept where the kernel takes no more than [`UNREAD_BYTES`]: 12 s,
/// 11 s for a sixteenth of these at 48 kB/s, and 2 s for a busy machine.
const UNREAD_PEER_LIMIT: Duration = Duration::from_secs(25);

/// Reads at the slow pace for `span`, and fails if the connection ends meanwhile.
fn read_slowly(from: &mut impl Read, span: Duration) -> Vec<u8> {
    let (start, mut received) = (Instant::now(), Vec::new());
    while start.elapsed() < span {
        let mut piece = [0; SLOW_BYTES];
        from.read_exact(&mut piece)
            .unwrap_or_else(|e| panic!("{e} after {:?} and {} bytes", start.elapsed(), received.len()));
        received.extend_from_slice(&piece);
        std::thread::sleep(SLOW_INTERVAL);
    }
    received
}

/// Writes at the slow pace.
fn write_slowly(to: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    for piece in bytes.chunks(SLOW_BYTES) {
        to.write_all(piece)?;
        std::thread::sleep(SLOW_INTERVAL);
    }
    Ok(())
}

/// A node with one server.
fn node_before(server: SocketAddr) -> (Registry, Node) {
    let registry = Registry::new(&[host("s0", server, "active", 1)]);
    let node = Node::ready(&config(registry.address));
    (registry, node)
}

/// Connects to the node with a small receive buffer.
fn connect_with_small_buffer(node: &Node) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES).expect("an open socket");
    socket.connect(&node.address.into()).expect("the node listens");
    socket.into()
}

/// A server that answers every request with a body of `length` bytes, in one chunk if `chunked`.
fn long_response_server(length: usize, chunked: bool) -> ScriptedServer {
    ScriptedServer::new(move |_| {
        let body = bytes(length);
        Reply::Respond(if chunked {
            let head = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n");
            [head.as_bytes(), &body, b"\r\n0\r\n\r\n"].concat()
        } else {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
            [head.as_bytes(), &body].concat()
        })
    })
}

/// Requests a response, reads it slowly at first, and compares its body.
fn receive_slowly(node: &Node, body: &[u8], slow_for: Duration) {
    let mut client = TcpStream::connect(node.address).expect("the node listens");
    client.write_all(request("look", "long", 15_000).as_bytes()).expect("the node reads");
    let start = read_slowly(&mut client, slow_for);
    client.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket");
    let response =
        read_message(&mut BufReader::new(start.as_slice().chain(client)), 0).expect("a whole response");
    assert_eq!(response.status(), 200);
    assert!(response.body == body, "{} of {} bytes", response.body.len(), body.len());
}

/// Guards against a client that reads a long response at 64 kB/s being disconnected after 12 s.
#[test]
fn a_client_that_reads_a_long_response_slowly_receives_all_of_it() {
    let server = long_response_server(LONG_BYTES, false);
    let (_registry, node) = node_before(server.address);
    receive_slowly(&node, &bytes(LONG_BYTES), Duration::from_secs(16));
}

/// Guards against the same for a response of unknown length.
#[test]
fn a_client_that_reads_a_long_chunked_response_slowly_receives_all_of_it() {
    let server = long_response_server(LONG_BYTES, true);
    let (_registry, node) = node_before(server.address);
    receive_slowly(&node, &bytes(LONG_BYTES), Duration::from_secs(16));
}

/// Guards against the end of a response being lost when its connection counts as idle, because the kernel has accepted all
/// of it, and is closed before the client has read it.
#[test]
fn a_response_that_the_kernel_holds_reaches_a_slow_client_after_the_idle_timeout() {
    const HELD_BYTES: usize = 3_000_000;
    let server = long_response_server(HELD_BYTES, false);
    let (_registry, node) = node_before(server.address);
    receive_slowly(&node, &bytes(HELD_BYTES), Duration::from_secs(8));
    wait_until("the reason is logged", || node.logged("idle timeout"));
}

/// Guards against a response being broken off because its server sends it at 64 kB/s.
#[test]
fn a_response_that_its_server_sends_slowly_is_forwarded_whole() {
    const RESPONSE_BYTES: usize = 900_000;
    let server = ScriptedServer::new(|_| {
        Reply::WriteWith(Box::new(|out| {
            write!(out, "HTTP/1.1 200 OK\r\nContent-Length: {RESPONSE_BYTES}\r\n\r\n")?;
            write_slowly(out, &bytes(RESPONSE_BYTES))
        }))
    });
    let (_registry, node) = node_before(server.address);
    let response = Client::to(&node).exchange(&request("look", "slow", 15_000));
    assert!(response.status() == 200 && response.body == bytes(RESPONSE_BYTES), "{}", response.head);
}

/// Guards against an upload being broken off because its client sends it at 64 kB/s.
#[test]
fn an_upload_that_its_client_sends_slowly_is_forwarded_whole() {
    const UPLOAD_BYTES: usize = 900_000;
    let server = ScriptedServer::healthy("a");
    let (_registry, node) = node_before(server.address);
    let mut client = Client::to(&node);
    // Little time for the response: it counts from the last byte.
    client.send(&upload_head(UPLOAD_BYTES, 1000));
    write_slowly(&mut client.writer(), &bytes(UPLOAD_BYTES)).expect("the node reads");
    assert_eq!(client.receive().expect("a response").status(), 200);
    assert!(server.requests()[0].body == bytes(UPLOAD_BYTES));
}

/// Guards against a client being disconnected after 5 s because it has not yet read the responses before a short one.
#[test]
fn a_client_that_reads_pipelined_responses_slowly_receives_all_of_them() {
    const RESPONSES: usize = 260;
    const RESPONSE_BYTES: usize = 60_000;
    let server = long_response_server(RESPONSE_BYTES, false);
    let (_registry, node) = node_before(server.address);
    let mut client = TcpStream::connect(node.address).expect("the node listens");
    for n in 0..RESPONSES {
        client.write_all(request("look", &format!("p{n}"), 15_000).as_bytes()).expect("the node reads");
    }
    let start = read_slowly(&mut client, Duration::from_secs(10));
    client.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket");
    let mut responses = BufReader::new(start.as_slice().chain(client));
    for n in 0..RESPONSES {
        let response = read_message(&mut responses, 0).unwrap_or_else(|| panic!("no response {n}"));
        assert_eq!((response.status(), response.body.len()), (200, RESPONSE_BYTES), "response {n}");
    }
}

/// Listens as a server that hands the connection of the first upload to `serve`, with its head read, and answers probes.
fn upload_server(
    receive_buffer: Option<usize>,
    serve: impl FnOnce(BufReader<TcpStream>) + Send + 'static,
) -> SocketAddr {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    if let Some(size) = receive_buffer {
        socket.set_recv_buffer_size(size).expect("an open socket");
    }
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("a port");
    socket.listen(16).expect("a bound socket");
    let listener: TcpListener = socket.into();
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut stream = BufReader::new(stream);
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") && stream.read_line(&mut head).is_ok_and(|length| length > 0) {}
            if head.starts_with("POST /slip") {
                serve(stream);
                return;
            }
            // A probe may be closed by its sender meanwhile.
            let _ = stream.get_mut().write_all(&response(200, "", "probe"));
        }
    });
    address
}

/// The head of an upload of `length` bytes, with `remaining` milliseconds left.
fn upload_head(length: usize, remaining: u64) -> String {
    let head = request("slip", "upload", remaining);
    head.replace("Content-Length: 4\r\n\r\nwork", &format!("Content-Length: {length}\r\n\r\n"))
}

/// Sends an upload of `length` bytes on a connection of its own, with `remaining` milliseconds left; returns the status of
/// the response, if there is any.
fn upload(node: &Node, length: usize, remaining: u64) -> JoinHandle<Option<u16>> {
    let mut client = Client::to(node);
    client.send(&upload_head(length, remaining));
    let mut writer = client.writer();
    std::thread::spawn(move || {
        // Fails if the node answers before it has read everything.
        let _ = writer.write_all(&bytes(length));
    });
    std::thread::spawn(move || client.receive().map(|response| response.status()))
}

/// Guards against an upload being given up after 10 s although its server reads it at 64 kB/s.
#[test]
fn a_server_that_reads_an_upload_slowly_receives_all_of_it() {
    let (sender, received) = mpsc::channel();
    let server = upload_server(None, move |mut stream| {
        let mut body = read_slowly(&mut stream, Duration::from_secs(14));
        let mut rest = vec![0; LONG_BYTES - body.len()];
        let whole = stream.read_exact(&mut rest).is_ok();
        body.extend(rest);
        sender.send(whole && body == bytes(LONG_BYTES)).expect("the test waits");
        stream.get_mut().write_all(&response(200, "", "read")).expect("the node reads");
        std::thread::sleep(Duration::from_secs(1));
    });
    let (_registry, node) = node_before(server);
    let status = upload(&node, LONG_BYTES, 1000).join().expect("it ends");
    assert_eq!(status, Some(200));
    assert!(received.recv_timeout(WAIT_TIMEOUT).expect("the server has read it"), "the body is whole");
}

/// Guards against a client that reads nothing holding its connection and its server for good.
#[test]
fn a_client_that_reads_nothing_is_disconnected_in_bounded_time() {
    let (sender, cut_off) = mpsc::channel();
    let server = ScriptedServer::new(move |_| {
        let sender = sender.clone();
        Reply::WriteWith(Box::new(move |out| {
            let start = Instant::now();
            write!(out, "HTTP/1.1 200 OK\r\nContent-Length: {LONG_BYTES}\r\n\r\n")?;
            let written = out.write_all(&bytes(LONG_BYTES));
            let _ = sender.send((written.is_err(), start.elapsed()));
            written
        }))
    });
    let (_registry, node) = node_before(server.address);
    let mut client = connect_with_small_buffer(&node);
    client.write_all(request("look", "unread", 15_000).as_bytes()).expect("the node reads");
    let (failed, after) = cut_off.recv_timeout(WAIT_TIMEOUT).expect("the node closes the connection");
    assert!(failed && after < UNREAD_PEER_LIMIT, "{failed} {after:?}");
    wait_until("the reason is logged", || node.logged("the client does not read its response"));
}

/// Guards against a client that sends many requests and reads none of their short responses holding its connection for good.
#[test]
fn a_client_that_reads_no_pipelined_response_is_disconnected_in_bounded_time() {
    const REQUESTS: usize = 140;
    let server = long_response_server(UNREAD_BYTES / REQUESTS, false);
    let (_registry, node) = node_before(server.address);
    let mut client = connect_with_small_buffer(&node);
    for n in 0..REQUESTS {
        client.write_all(request("look", &format!("u{n}"), 15_000).as_bytes()).expect("the node reads");
    }
    let start = Instant::now();
    wait_until("the client is disconnected", || node.logged("the client does not read its response"));
    assert!(start.elapsed() < UNREAD_PEER_LIMIT, "{:?}", start.elapsed());
    let mut rest = Vec::new();
    client.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket");
    let ended = client.read_to_end(&mut rest);
    assert!(ended.is_ok() || ended.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
}

/// Guards against a server that reads nothing of an upload holding the client and the connection for good.
#[test]
fn an_upload_that_its_server_never_reads_is_answered_in_bounded_time() {
    let (_keep_open, test_ended) = mpsc::channel::<()>();
    let server = upload_server(Some(SMALL_RECEIVE_BUFFER_BYTES), move |stream| {
        // Ends with the test, whose end of the channel is dropped then.
        let _ = test_ended.recv();
        drop(stream);
    });
    let (_registry, node) = node_before(server);
    let start = Instant::now();
    let status = upload(&node, LONG_BYTES, 15_000).join().expect("it ends");
    assert!(start.elapsed() < UNREAD_PEER_LIMIT, "{:?}", start.elapsed());
    assert_eq!(status, Some(503));
}

/// Guards against a client that has written its whole upload waiting for 10 s because a server that hangs keeps the node
/// from reading the rest.
#[test]
fn an_upload_whose_server_hangs_is_answered_in_the_time_of_its_client() {
    const UPLOAD_BYTES: usize = 6_000_000;
    /// The client's second, half a second in which an answer is only late, and the measurement.
    const ANSWERED_WITHIN: Duration = Duration::from_millis(1600);
    let (_keep_open, test_ended) = mpsc::channel::<()>();
    let server = upload_server(Some(SMALL_RECEIVE_BUFFER_BYTES), move |stream| {
        let _ = test_ended.recv();
        drop(stream);
    });
    let (_registry, node) = node_before(server);
    let mut client = Client::to(&node);
    client.send(&upload_head(UPLOAD_BYTES, 1000));
    client.send_bytes(&bytes(UPLOAD_BYTES));
    let last_byte_at = Instant::now();
    let status = client.receive().expect("a response").status();
    assert!(last_byte_at.elapsed() < ANSWERED_WITHIN, "{status} after {:?}", last_byte_at.elapsed());
    assert!(status >= 500, "{status}");
}
