use super::*;
use crate::record::{Intent, Timestamp};

fn open(id: &str, key: Option<&str>, at_s: u64, trusted: bool) -> OpenIntent {
    let intent = Intent {
        number: 1,
        id: id.into(),
        class: String::new(),
        tenant: String::new(),
        key: key.map(|k| KeyDigest::of(k.as_bytes())),
        attempt: 0,
        server: String::new(),
        server_start_ms: 0,
        left_us: 0,
        at: Timestamp { wall_us: at_s * 1_000_000, mono_us: 0 },
        boot: 1,
    };
    OpenIntent { intent, trusted }
}

#[test]
fn an_intent_is_recorded_only_within_the_limits() {
    let limits = IntentLimits { open: 10, waiting: 4, stall: Duration::from_millis(50) };
    let (closed, down, recovery_overflow) = (false, false, false);
    let idle = LedgerLoad {
        closed,
        down,
        recovery_overflow,
        open: 3,
        waiting: 3,
        write_elapsed: Some(Duration::from_millis(50)),
    };
    assert_eq!(idle.check(&limits), Ok(()));
    let slow = Some(Duration::from_millis(51));
    for (load, error) in [
        (LedgerLoad { waiting: 4, ..idle }, IntentError::QueueFull),
        (LedgerLoad { waiting: 4, write_elapsed: slow, ..idle }, IntentError::Slow),
        (LedgerLoad { open: 7, write_elapsed: slow, ..idle }, IntentError::TooManyOpen),
        (LedgerLoad { recovery_overflow: true, ..idle }, IntentError::TooManyOpen),
        (LedgerLoad { recovery_overflow: true, down: true, ..idle }, IntentError::Down),
        (LedgerLoad { down: true, closed: true, ..idle }, IntentError::Closed),
    ] {
        assert_eq!(load.check(&limits), Err(error), "{load:?}");
    }
    assert!(is_safe_to_retry([
        AttemptOutcome::NotSent,
        AttemptOutcome::Full,
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::Unwritten
    ]));
    assert!([AttemptOutcome::Done, AttemptOutcome::Reset, AttemptOutcome::TimedOut, AttemptOutcome::Error]
        .iter()
        .all(|outcome| !is_safe_to_retry([*outcome])));
}

#[test]
fn repeats_are_rejected_by_the_rule_of_their_class() {
    let s = |n: u64| n * 1_000_000;
    let recovered = [
        open("a", None, 100, true),
        open("b", Some("k"), 100, true),
        open("c", Some("k"), 102, true),
        open("d", Some("damaged"), 100, false),
    ];
    let all = UnknownIntents::new(&recovered);
    assert_eq!(all.count(), 4);
    let key = |k: &str| Some(KeyDigest::of(k.as_bytes()));
    let span = |everywhere| RepeatRule::Keyed { everywhere, span_us: s(5) };
    for (rule, id, k, now, expected) in [
        (RepeatRule::Any, "a", None, 101, Ok(())),
        (RepeatRule::Once, "a", None, 101, Err(RejectionReason::IdMayHaveRun)),
        (RepeatRule::Once, "a", None, 999_999, Err(RejectionReason::IdMayHaveRun)),
        (RepeatRule::Once, "e", None, 101, Ok(())),
        // The key's lifetime starts with the first of two sends, and the retry may start as late as its
        // deadline.
        (span(true), "b", key("k"), 103, Ok(())),
        (span(true), "b", key("k"), 104, Err(RejectionReason::KeyOutOfSpan)),
        (span(true), "new", key("k"), 103, Ok(())),
        (span(false), "b", key("k"), 101, Err(RejectionReason::KeyElsewhere)),
        (span(true), "d", key("damaged"), 101, Err(RejectionReason::KeyNotTrusted)),
        (span(true), "b", key("other"), 999, Ok(())),
        // The wall clock is behind the send.
        (span(true), "b", key("k"), 99, Err(RejectionReason::KeyOutOfSpan)),
    ] {
        let now_us = Timestamp { wall_us: s(now), mono_us: 0 };
        assert_eq!(all.check_repeat(rule, id, k, now_us, s(1)), expected, "{rule:?} {id} at {now}");
    }
    // The wall clock was set back by less than the time that has passed; the boot clock shows the real age.
    let set_back = Timestamp { wall_us: s(102), mono_us: s(30) };
    assert_eq!(
        all.check_repeat(span(true), "b", key("k"), set_back, s(1)),
        Err(RejectionReason::KeyOutOfSpan)
    );
}
