use std::future::{poll_fn, ready};

use magpietally_net::Stream;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{advance, timeout};

use super::*;

/// A connection to a listener, and the listener.
async fn connection() -> (Rc<WatchedStream>, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let stream = TcpStream::connect(listener.local_addr().expect("bound")).await.expect("it listens");
    let stream = Stream::new(stream.into_std().expect("a socket")).expect("a runtime");
    (WatchedStream::new(stream), listener)
}

/// A response and the deadline of its attempt in the same iteration of the event loop, in both orders: a
/// response that is already there counts, and one that comes later finds the receiver closed.
#[tokio::test(start_paused = true)]
async fn a_response_at_the_deadline_of_its_attempt_counts() {
    let (connection, _listener) = connection().await;
    let deadline = Instant::now();
    advance(Duration::from_millis(5)).await;
    let finished = UploadProgress::default();
    finished.finish(false);
    for upload in [None, Some(&finished)] {
        assert_eq!(
            run_until_deadline(deadline, upload, &connection, &Cell::new(false), ready("response")).await,
            Some("response")
        );
        let (sender, response) = oneshot::channel();
        assert_eq!(
            run_until_deadline(deadline, upload, &connection, &Cell::new(false), response).await,
            None
        );
        assert!(sender.send("late").is_err());
    }
    // The response and the last byte of the upload in the same poll: the response counts, whatever time is
    // left.
    let upload = UploadProgress::default();
    let finishing_response = poll_fn(|_| {
        upload.finish(false);
        Poll::Ready("early")
    });
    assert_eq!(
        run_until_deadline(deadline, Some(&upload), &connection, &Cell::new(false), finishing_response).await,
        Some("early")
    );
}

/// Guards against an attempt being ended by its time-out while its server is answering.
#[tokio::test(start_paused = true)]
async fn an_attempt_whose_server_is_answering_has_no_time_out() {
    let (connection, _listener) = connection().await;
    let late = async {
        sleep(Duration::from_secs(1)).await;
        "response"
    };
    let ended = run_until_deadline(Instant::now(), None, &connection, &Cell::new(true), late).await;
    assert_eq!(ended, Some("response"));
}

/// Guards against a long response in slow pieces being taken for one that never ends, and the other way round.
#[test]
fn a_response_may_pause_for_longer_the_more_of_it_has_come() {
    assert_eq!(progress_interval(0), MIN_PROGRESS_INTERVAL);
    assert!(progress_interval(10_000) > 2 * MIN_PROGRESS_INTERVAL);
    assert!(progress_interval(usize::MAX) <= STALL_TIMEOUT);
}

/// A streamed request continues past its deadline as long as its server accepts some of it now and then; it
/// is given up once the server accepts nothing for [`STALL_TIMEOUT`].
#[tokio::test(start_paused = true)]
async fn an_upload_that_its_server_does_not_read_is_given_up() {
    let (connection, _listener) = connection().await;
    let (upload, answering) = (UploadProgress::default(), Cell::new(false));
    let mut attempt = Box::pin(run_until_deadline(
        Instant::now(),
        Some(&upload),
        &connection,
        &answering,
        std::future::pending::<()>(),
    ));
    for _ in 0..4 {
        connection.begin_message(None);
        assert!(timeout(STALL_TIMEOUT * 9 / 10, &mut attempt).await.is_err(), "the upload continues");
    }
    connection.begin_message(None);
    let start = Instant::now();
    assert_eq!(attempt.await, None);
    assert!((STALL_TIMEOUT..STALL_TIMEOUT * 11 / 10).contains(&start.elapsed()), "{:?}", start.elapsed());
}
