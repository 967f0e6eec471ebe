//! What is still open, or still comes, when a node or a request ends.

use std::io::{Read, Write};

use tokio::io::{AsyncReadExt, AsyncWriteExt};

use tokio::net::TcpStream;

use super::harness::*;
use super::*;
use crate::service::stop;

/// How long the harness's requests may take, in milliseconds.
const TIME: f64 = 20_000.0;
/// How long after SIGTERM a node with such requests fails what is open, and ends.
const FAILS: Duration = Duration::from_millis(3200);
const ENDS: Duration = Duration::from_millis(3500);

fn asks(class: &str, body: usize) -> String {
    let method = if class == "look" { "GET" } else { "POST" };
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: x\r\nX-Txn: t\r\nX-Remaining-Ms: 20000\r\nContent-Length: {body}\r\n\r\n"
    )
}

/// The node's side of the connection that came last.
fn last(clients: &ClientConnections) -> Rc<Client> {
    clients.open.borrow().get(&clients.last.get()).cloned().expect("it is open")
}

/// What comes until the connection's end, which must be in order.
async fn all_of(mut stream: TcpStream) -> String {
    let mut heard = String::new();
    stream.read_to_string(&mut heard).await.expect("an end in order");
    heard
}

/// A request that comes when what is open is failed is refused as it comes: to send it would let it run for nobody. The other
/// order, one that came before, is failed with what is open.
#[test]
fn a_request_behind_the_failing_of_what_is_open_is_refused_and_not_sent() {
    for class in ["look", "slip"] {
        play(async {
            let (clients, listener) = (clients(512, TIME), listener().await);
            let node = clients.node.clone();
            let mut before = connected(&clients, &listener).await;
            before.write_all(asks(class, 0).as_bytes()).await.expect("it is open");
            until("it is held", || node.open_requests() == 1).await;
            let mut stream = connected(&clients, &listener).await;
            node.process().change(|life| life.stop(Instant::now() - FAILS));
            node.fail_open();
            let words = asks(class, 0).replace("X-Txn: t", "X-Txn: later");
            stream.write_all(words.as_bytes()).await.expect("it is open");
            let heard = all_of(stream).await;
            assert!(heard.starts_with("HTTP/1.1 503"), "{class}: {heard}");
            assert!(heard.to_ascii_lowercase().contains("connection: close"), "{heard}");
            assert_eq!(node.open_requests(), 0);
            // It never went out either: its client is told that it may come again.
            let heard = all_of(before).await;
            assert!(heard.starts_with("HTTP/1.1 503"), "{class}: {heard}");
        });
    }
}

/// A node that had no processor time until its end is due has failed nothing yet: all that is open has its answer all the same.
#[test]
fn what_is_open_when_the_end_is_due_is_answered_first() {
    let stream = play(async {
        let (clients, listener) = (clients(512, TIME), listener().await);
        let node = clients.node.clone();
        let mut stream = connected(&clients, &listener).await;
        stream.write_all(asks("look", 0).as_bytes()).await.expect("it is open");
        until("it is held", || node.open_requests() == 1).await;
        node.process().change(|life| life.stop(Instant::now() - ENDS));
        stop(&node, &clients, listener).await;
        stream.into_std().expect("a socket")
    });
    // With the runtime all connections have ended, as at the process's end.
    stream.set_nonblocking(false).expect("a socket");
    let mut heard = String::new();
    { stream }.read_to_string(&mut heard).expect("no reset");
    assert!(heard.starts_with("HTTP/1.1 503"), "{heard}");
}

/// The last bytes of a body stand in the socket when its connection is to be closed for its pauses: they count. Where none
/// have come, it is closed.
#[test]
fn the_last_bytes_of_a_body_that_cross_the_look_at_its_pauses_count() {
    for comes in [4, 0] {
        play(async {
            let (clients, listener) = (clients(512, TIME), listener().await);
            let mut stream = connected(&clients, &listener).await;
            stream.write_all(format!("{}half", asks("slip", 8)).as_bytes()).await.expect("it is open");
            let client = last(&clients);
            until("it pauses for too long", || client.sock.is_request_overdue()).await;
            let mut stream = stream.into_std().expect("a socket");
            stream.write_all(&b"rest"[..comes]).expect("it is open");
            // The kernel has them, and nobody has read them yet.
            clients.close_overdue();
            if comes == 4 {
                until("it is taken", || clients.node.open_requests() == 1 || clients.count() == 0).await;
                assert_eq!((clients.count(), client.sock.phase().0), (1, ConnectionPhase::Busy));
            } else {
                until("it is closed", || clients.count() == 0).await;
            }
        });
    }
}
