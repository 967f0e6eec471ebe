//! A connection that is chosen to be closed while its next request comes, in one turn of the loop.

use std::io::Write;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::yield_now;

use magpietally_core::Answer;
use magpietally_net::{Listener, Stream};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use super::answer::in_time;
use super::harness::*;
use super::*;

const ASKS: &[u8] = b"GET /look HTTP/1.1\r\nHost: x\r\nX-Txn: t\r\nX-Remaining-Ms: 20000\r\n\r\n";
/// How much of that its class has.
const TIME: f64 = 20_000.0;

/// A client that has asked once and rests, and the node's side of its connection.
async fn resting(clients: &Rc<ClientConnections>, listener: &Listener) -> (TcpStream, Rc<Client>) {
    let mut stream = connected(clients, listener).await;
    let client = clients.open.borrow().get(&clients.last.get()).cloned().expect("it is open");
    stream.write_all(READY).await.expect("it is open");
    assert!(stream.read(&mut [0; 512]).await.expect("an answer") > 0);
    (stream, client)
}

/// The other order: one that has been read is not idle any more, whoever wants to close what is.
#[test]
fn a_request_that_was_read_is_not_closed_as_idle() {
    play(async {
        let (clients, listener) = (clients(512, TIME), listener().await);
        let node = clients.node.clone();
        let (stream, client) = resting(&clients, &listener).await;
        let (_rests, idle) = resting(&clients, &listener).await;
        node.process().change(|life| life.stop(Instant::now() - Duration::from_secs(3)));
        let mut stream = stream.into_std().expect("a socket");
        stream.write_all(ASKS).expect("it is open");
        // The kernel has it, and nobody has read it yet.
        clients.close_idle();
        assert_eq!(client.sock.phase().0, ConnectionPhase::Idle);
        while client.sock.phase().0 != ConnectionPhase::Busy {
            yield_now().await;
        }
        tokio::time::sleep(Duration::from_millis(250)).await;
        clients.close_idle();
        clients.close_overdue();
        while clients.count() > 1 {
            yield_now().await;
        }
        assert_eq!(
            (client.sock.phase().0, idle.sock.phase().0),
            (ConnectionPhase::Busy, ConnectionPhase::Idle)
        );
    });
}

/// Answers are not held back for more to come: a close behind them would take them along.
#[test]
fn nothing_small_is_held_back_on_either_side() {
    play(async {
        let listener = listener().await;
        for open in [WatchedStream::for_client, WatchedStream::new] {
            let stream = TcpStream::connect(address(&listener)).await.expect("it listens");
            let accepted = listener.accept().await.expect("it comes");
            for side in [stream.into_std().expect("a socket"), accepted.socket] {
                let same = socket2::SockRef::from(&side).try_clone().expect("a descriptor");
                let _open = open(Stream::new(side).expect("a runtime"));
                assert!(same.tcp_nodelay().expect("it tells"));
            }
        }
    });
}

/// The last answer says that its connection closes. What comes behind it all the same, here a whole request, is read so that no
/// reset takes the answer along, and goes no further: it would be lost.
#[test]
fn what_comes_behind_the_last_answer_is_not_taken_and_resets_nothing() {
    play(async {
        let (clients, listener) = (clients(512, TIME), listener().await);
        let node = clients.node.clone();
        node.process().change(|life| life.stop(Instant::now() - Duration::from_secs(3)));
        let mut stream = connected(&clients, &listener).await;
        // More than whoever reads the head takes with it: the rest is unread in the socket when the answer is out.
        let behind = b"x".repeat(100_000);
        stream.write_all(&[READY, ASKS, &behind].concat()).await.expect("it is open");
        let mut heard = Vec::new();
        // One answer and the way out's end, while this side could still send; nothing is cut off.
        stream.read_to_end(&mut heard).await.expect("an end in order");
        stream.write_all(ASKS).await.expect("the node still reads");
        drop(stream);
        while clients.count() > 0 {
            yield_now().await;
        }
        let heard = String::from_utf8(heard).expect("a head");
        assert_eq!(heard.matches("HTTP/1.1 503").count(), 1, "{heard}");
        assert!(heard.to_ascii_lowercase().contains("connection: close"), "{heard}");
        assert_eq!(node.open_requests(), 0);
    });
}

/// Both orders of an answer and the end of its client's time, in one turn: one that is there is given, one that comes next finds
/// nobody and can't be given twice.
#[test]
fn an_answer_in_the_turn_in_which_its_time_ends_is_given_once() {
    play(async {
        let over = Instant::now();
        let (module, answered) = oneshot::channel();
        assert!(module.send(Answer::Refused(1.0)).is_ok());
        assert!(matches!(in_time(over, answered).await, Some(Answer::Refused(_))));
        let (module, answered) = oneshot::channel();
        assert!(in_time(over, answered).await.is_none());
        assert!(module.send(Answer::Refused(1.0)).is_err());
    });
}
