//! Races between closing a connection, or the end of a request's time, and bytes that arrive in the same
//! iteration of the event loop.

use std::io::Write;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::yield_now;

use magpietally_core::Answer;
use magpietally_net::{Listener, Stream};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use super::response::answer_before;
use super::test_node::*;
use super::*;

const REQUEST: &[u8] = b"GET /look HTTP/1.1\r\nHost: x\r\nX-Txn: t\r\nX-Remaining-Ms: 20000\r\n\r\n";
/// Deadline of the request's class in milliseconds.
const CLASS_DEADLINE_MS: f64 = 20_000.0;

/// A client that has sent one request and is idle, and the node's side of its connection.
async fn idle_connection(
    clients: &Rc<ClientConnections>,
    listener: &Listener,
) -> (TcpStream, Rc<ClientConnection>) {
    let mut stream = connected(clients, listener).await;
    let client = clients.open.borrow().get(&clients.last_id.get()).cloned().expect("it is open");
    stream.write_all(READY).await.expect("it is open");
    assert!(stream.read(&mut [0; 512]).await.expect("an answer") > 0);
    (stream, client)
}

/// A request that was in the socket when idle connections were closed, and is read afterwards, makes its
/// connection busy: it must not be closed as idle.
#[test]
fn a_request_that_was_read_is_not_closed_as_idle() {
    run_test(async {
        let (clients, listener) = (new_clients(512, CLASS_DEADLINE_MS), new_listener().await);
        let node = clients.node.clone();
        let (stream, client) = idle_connection(&clients, &listener).await;
        let (_idle_stream, idle) = idle_connection(&clients, &listener).await;
        node.process().update(|lifecycle| lifecycle.stop(Instant::now() - Duration::from_secs(3)));
        let mut stream = stream.into_std().expect("a socket");
        stream.write_all(REQUEST).expect("it is open");
        // The kernel has received the request, and the node has not read it yet.
        clients.close_idle();
        assert_eq!(client.stream.phase().0, ConnectionPhase::Idle);
        while client.stream.phase().0 != ConnectionPhase::Busy {
            yield_now().await;
        }
        tokio::time::sleep(Duration::from_millis(250)).await;
        clients.close_idle();
        clients.close_overdue();
        while clients.count() > 1 {
            yield_now().await;
        }
        assert_eq!(
            (client.stream.phase().0, idle.stream.phase().0),
            (ConnectionPhase::Busy, ConnectionPhase::Idle)
        );
    });
}

/// Responses must not wait in the kernel for more data: a close that follows would discard them.
#[test]
fn nagle_is_disabled_on_both_sides() {
    run_test(async {
        let listener = new_listener().await;
        for open in [WatchedStream::for_client, WatchedStream::new] {
            let stream = TcpStream::connect(address(&listener)).await.expect("it listens");
            let accepted = listener.accept().await.expect("a connection arrives");
            for side in [stream.into_std().expect("a socket"), accepted.socket] {
                let same = socket2::SockRef::from(&side).try_clone().expect("a descriptor");
                let _open = open(Stream::new(side).expect("a runtime"));
                assert!(same.tcp_nodelay().expect("a readable option"));
            }
        }
    });
}

/// The last response announces that its connection closes. Bytes that arrive after it, here a whole request,
/// are read, so that no reset discards the response, but not processed.
#[test]
fn requests_after_the_last_response_are_discarded_without_a_reset() {
    run_test(async {
        let (clients, listener) = (new_clients(512, CLASS_DEADLINE_MS), new_listener().await);
        let node = clients.node.clone();
        node.process().update(|lifecycle| lifecycle.stop(Instant::now() - Duration::from_secs(3)));
        let mut stream = connected(&clients, &listener).await;
        // More than is read together with the head: the rest is unread in the socket when the response has
        // been sent.
        let surplus = b"x".repeat(100_000);
        stream.write_all(&[READY, REQUEST, &surplus].concat()).await.expect("it is open");
        let mut received = Vec::new();
        // One whole response and an orderly end of the node's side, while the client's side is still open.
        stream.read_to_end(&mut received).await.expect("an orderly end");
        stream.write_all(REQUEST).await.expect("the node still reads");
        drop(stream);
        while clients.count() > 0 {
            yield_now().await;
        }
        let received = String::from_utf8(received).expect("a head");
        assert_eq!(received.matches("HTTP/1.1 503").count(), 1, "{received}");
        assert!(received.to_ascii_lowercase().contains("connection: close"), "{received}");
        assert_eq!(node.open_requests(), 0);
    });
}

/// An answer and its deadline in the same iteration of the event loop, in both orders: an answer that is
/// already there is given; one that comes later finds the receiver closed, so it cannot be given twice.
#[test]
fn an_answer_at_its_deadline_is_given_once() {
    run_test(async {
        let deadline = Instant::now();
        let (sender, receiver) = oneshot::channel();
        assert!(sender.send(Answer::Refused(1.0)).is_ok());
        assert!(matches!(answer_before(deadline, receiver).await, Some(Answer::Refused(_))));
        let (sender, receiver) = oneshot::channel();
        assert!(answer_before(deadline, receiver).await.is_none());
        assert!(sender.send(Answer::Refused(1.0)).is_err());
    });
}
