use std::future::{poll_fn, ready};

use magpietally_net::Stream;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{advance, timeout};

use super::*;

/// A connection to a server, and the listener that it is made to.
async fn sock() -> (Rc<WatchedStream>, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let stream = TcpStream::connect(listener.local_addr().expect("bound")).await.expect("it listens");
    let stream = Stream::new(stream.into_std().expect("a socket")).expect("a runtime");
    (WatchedStream::new(stream), listener)
}

/// Both orders of an attempt's answer and the end of its time, in one turn of the loop: an answer that is there counts, one that
/// comes next finds nobody.
#[tokio::test(start_paused = true)]
async fn an_answer_in_the_turn_in_which_its_attempt_ends_counts() {
    let (sock, _listener) = sock().await;
    let over = Instant::now();
    advance(Duration::from_millis(5)).await;
    let whole = UploadProgress::default();
    whole.end(false);
    for upload in [None, Some(&whole)] {
        assert_eq!(run_until_deadline(over, upload, &sock, ready("answer")).await, Some("answer"));
        let (server, answer) = oneshot::channel();
        assert_eq!(run_until_deadline(over, upload, &sock, answer).await, None);
        assert!(server.send("late").is_err());
    }
    // The answer and the body's last byte come in one turn: it counts, whatever is left of its time.
    let last = UploadProgress::default();
    let both = poll_fn(|_| {
        last.end(false);
        Poll::Ready("early")
    });
    assert_eq!(run_until_deadline(over, Some(&last), &sock, both).await, Some("early"));
}

/// A request that is passed on: as long as its server takes some of it now and then it goes on, past its time; one that takes
/// nothing for long ends it.
#[tokio::test(start_paused = true)]
async fn an_upload_that_its_server_does_not_take_is_given_up() {
    let (sock, _listener) = sock().await;
    let upload = UploadProgress::default();
    let mut attempt =
        Box::pin(run_until_deadline(Instant::now(), Some(&upload), &sock, std::future::pending::<()>()));
    for _ in 0..4 {
        sock.begin_message(None);
        assert!(timeout(STALLED * 9 / 10, &mut attempt).await.is_err(), "it goes on");
    }
    sock.begin_message(None);
    let began = Instant::now();
    assert_eq!(attempt.await, None);
    assert!((STALLED..STALLED * 11 / 10).contains(&began.elapsed()), "{:?}", began.elapsed());
}
