use std::future::{poll_fn, ready};

use tokio::sync::oneshot;

use super::*;

/// Both orders of an attempt's answer and the end of its time, in one turn of the loop: an answer that is there counts, one that
/// comes next finds nobody.
#[tokio::test(start_paused = true)]
async fn an_answer_in_the_turn_in_which_its_attempt_ends_counts() {
    let over = Instant::now();
    tokio::time::advance(Duration::from_millis(5)).await;
    let whole = Uploading::default();
    whole.end(false);
    for upload in [None, Some(&whole)] {
        assert_eq!(within(over, upload, ready("answer")).await, Some("answer"));
        let (server, answer) = oneshot::channel();
        assert_eq!(within(over, upload, answer).await, None);
        assert!(server.send("late").is_err());
    }
    // The answer and the body's last byte come in one turn: it counts, whatever is left of its time.
    let last = Uploading::default();
    let both = poll_fn(|_| {
        last.end(false);
        Poll::Ready("early")
    });
    assert_eq!(within(over, Some(&last), both).await, Some("early"));
}
