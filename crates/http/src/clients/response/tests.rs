use tokio::time::timeout;

use super::*;

/// For clients with short deadlines, most of their time must be left to the servers, and the policy's
/// deadline must end before the node answers by itself.
#[test]
fn margins_take_little_of_a_short_deadline() {
    for ms in [0, 8, 40, 75, 160, 1000] {
        let remaining = Duration::from_millis(ms);
        let (margin, guard) = deadline_margins(remaining);
        assert!(margin <= remaining / 8 && guard <= margin, "{ms} ms: {margin:?}, {guard:?}");
    }
    assert_eq!(deadline_margins(Duration::from_millis(1000)), (POLICY_MARGIN, RESPONSE_GUARD));
}

/// An answer that never arrives must not keep the client waiting past its deadline.
#[test]
fn the_wait_for_an_answer_ends_at_the_deadline() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let (sender, receiver) = oneshot::channel();
        let guarded = answer_before(Instant::now() + Duration::from_millis(50), receiver);
        let ended = timeout(Duration::from_secs(20), guarded).await;
        assert!(matches!(ended, Ok(None)));
        drop(sender);
        let (sender, receiver) = oneshot::channel();
        assert!(sender.send(Answer::Refused(1.0)).is_ok());
        let guarded = answer_before(Instant::now() + Duration::from_secs(20), receiver);
        assert!(matches!(guarded.await, Some(Answer::Refused(_))));
    });
}
