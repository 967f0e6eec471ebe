//! Requests that are open, or still arrive, when a node or the time of a request ends.

use std::io::{Read, Write};

use tokio::io::{AsyncReadExt, AsyncWriteExt};

use tokio::net::TcpStream;

use super::test_node::*;
use super::*;
use crate::node::stop_node;

/// Deadline of the test requests in milliseconds.
const CLASS_DEADLINE_MS: f64 = 20_000.0;
/// How long after SIGTERM a node with such deadlines fails its open requests.
const FAIL_OPEN_AFTER: Duration = Duration::from_millis(3200);
/// How long after SIGTERM it ends.
const END_AFTER: Duration = Duration::from_millis(3500);

fn request(class: &str, body: usize) -> String {
    let method = if class == "look" { "GET" } else { "POST" };
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: x\r\nX-Txn: t\r\nX-Remaining-Ms: 20000\r\nContent-Length: {body}\r\n\r\n"
    )
}

/// The node's side of the latest connection.
fn last_connection(clients: &ClientConnections) -> Rc<ClientConnection> {
    clients.open.borrow().get(&clients.last_id.get()).cloned().expect("it is open")
}

/// Reads until the connection's end, which must be orderly.
async fn read_to_end(mut stream: TcpStream) -> String {
    let mut response = String::new();
    stream.read_to_string(&mut response).await.expect("an orderly end");
    response
}

/// A request that arrives after the node has failed its open requests is refused at once: if it were sent, it
/// would run with no client left to receive the result. A request that arrived before is failed with the
/// others.
#[test]
fn a_request_after_open_requests_are_failed_is_refused_and_not_sent() {
    for class in ["look", "slip"] {
        run_test(async {
            let (clients, listener) = (new_clients(512, CLASS_DEADLINE_MS), new_listener().await);
            let node = clients.node.clone();
            let mut earlier = connected(&clients, &listener).await;
            earlier.write_all(request(class, 0).as_bytes()).await.expect("it is open");
            until("it is open", || node.open_requests() == 1).await;
            let mut stream = connected(&clients, &listener).await;
            node.process().update(|lifecycle| lifecycle.stop(Instant::now() - FAIL_OPEN_AFTER));
            node.fail_open_requests();
            let later = request(class, 0).replace("X-Txn: t", "X-Txn: later");
            stream.write_all(later.as_bytes()).await.expect("it is open");
            let response = read_to_end(stream).await;
            assert!(response.starts_with("HTTP/1.1 503"), "{class}: {response}");
            assert!(response.to_ascii_lowercase().contains("connection: close"), "{response}");
            assert_eq!(node.open_requests(), 0);
            // It was never sent either, so its client is told that it may retry.
            let response = read_to_end(earlier).await;
            assert!(response.starts_with("HTTP/1.1 503"), "{class}: {response}");
        });
    }
}

/// A node that had no processor time until its end is due has not yet failed its open requests: they must
/// still be answered.
#[test]
fn open_requests_are_answered_before_the_node_ends() {
    let stream = run_test(async {
        let (clients, listener) = (new_clients(512, CLASS_DEADLINE_MS), new_listener().await);
        let node = clients.node.clone();
        let mut stream = connected(&clients, &listener).await;
        stream.write_all(request("look", 0).as_bytes()).await.expect("it is open");
        until("it is open", || node.open_requests() == 1).await;
        node.process().update(|lifecycle| lifecycle.stop(Instant::now() - END_AFTER));
        stop_node(&node, &clients, listener).await;
        stream.into_std().expect("a socket")
    });
    // Dropping the runtime has closed all connections, as the end of the process would.
    stream.set_nonblocking(false).expect("a socket");
    let mut response = String::new();
    { stream }.read_to_string(&mut response).expect("no reset");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
}

/// The last bytes of a body are in the socket, unread, when its connection is to be closed for a pause: the
/// request is complete and must be processed. Without those bytes the connection is closed.
#[test]
fn the_last_bytes_of_a_body_that_cross_its_timeout_count() {
    for rest_len in [4, 0] {
        run_test(async {
            let (clients, listener) = (new_clients(512, CLASS_DEADLINE_MS), new_listener().await);
            let mut stream = connected(&clients, &listener).await;
            stream.write_all(format!("{}half", request("slip", 8)).as_bytes()).await.expect("it is open");
            let client = last_connection(&clients);
            until("the body pauses for too long", || client.stream.is_request_overdue()).await;
            let mut stream = stream.into_std().expect("a socket");
            stream.write_all(&b"rest"[..rest_len]).expect("it is open");
            // The kernel has received them, and the node has not read them yet.
            clients.close_overdue();
            if rest_len == 4 {
                until("the request is open", || clients.node.open_requests() == 1 || clients.count() == 0)
                    .await;
                assert_eq!((clients.count(), client.stream.phase().0), (1, ConnectionPhase::Busy));
            } else {
                until("it is closed", || clients.count() == 0).await;
            }
        });
    }
}
