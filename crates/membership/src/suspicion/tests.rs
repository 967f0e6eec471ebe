use super::*;

const S: Duration = Duration::from_secs(1);

fn suspect() -> (NodeId, u16) {
    (NodeId::unknown_at(std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 1)), 0)
}

/// Looks each 250 ms from `from` to `to` with `suspects` held; when each thing was first due.
fn run_checks(
    tracker: &mut SuspicionTracker,
    from: Duration,
    to: Duration,
    suspects: &[(NodeId, u16)],
) -> [Option<Duration>; 2] {
    let (mut notified, mut dead) = (None, None);
    let mut now = from;
    while now <= to {
        tracker.advance(now);
        assert!(tracker.is_due(now), "a look a quarter of a period after the last is due");
        let due = tracker.check(suspects.iter().cloned());
        notified = notified.or((!due.notify.is_empty()).then_some(now));
        dead = dead.or((!due.declare_dead.is_empty()).then_some(now));
        now += S / 4;
    }
    [notified, dead]
}

#[test]
fn a_suspect_is_told_first_and_given_up_within_the_bound() {
    let settings = Settings::default();
    let mut tracker = SuspicionTracker::new(&settings);
    let [notified, dead] = run_checks(&mut tracker, S, 20 * S, &[suspect()]);
    assert!(notified.is_some_and(|t| t < S + settings.suspicion_min / 2), "notified at {notified:?}");
    assert!(
        dead.is_some_and(|t| t > S + settings.suspicion_min && t < S + settings.suspicion_max()),
        "{dead:?}"
    );
}

#[test]
fn a_refuted_suspicion_begins_anew_under_the_next_incarnation() {
    let mut tracker = SuspicionTracker::new(&Settings::default());
    assert_eq!(run_checks(&mut tracker, S, 7 * S, &[suspect()])[1], None);
    assert_eq!(run_checks(&mut tracker, 7 * S + S / 4, 14 * S, &[(suspect().0, 1)])[1], None);
}

#[test]
fn time_in_which_the_room_did_not_run_is_not_held_against_the_suspect() {
    let mut tracker = SuspicionTracker::new(&Settings::default());
    assert_eq!(run_checks(&mut tracker, S, 3 * S, &[suspect()])[1], None);
    // An hour's stop, or a clock that jumps: two looks of it count.
    assert_eq!(tracker.advance(3600 * S), 3597 * S - S / 2);
    assert_eq!(run_checks(&mut tracker, 3600 * S, 3604 * S, &[suspect()])[1], None);
    assert!(
        run_checks(&mut tracker, 3604 * S + S / 4, 3608 * S, &[suspect()])[1].is_some(),
        "never given up"
    );
    // A clock that goes back counts nothing and breaks nothing.
    assert_eq!(tracker.advance(10 * S), Duration::ZERO);
}

#[test]
fn a_look_tells_a_bounded_number_and_the_rest_in_the_next_ones() {
    let mut tracker = SuspicionTracker::new(&Settings::default());
    let many: Vec<(NodeId, u16)> = (0..100).map(|i| (suspect().0, i)).collect();
    tracker.advance(S);
    tracker.check(many.iter().cloned());
    let mut notified = std::collections::BTreeSet::new();
    for i in 1..=16 {
        tracker.advance(S + i * S / 4);
        let due = tracker.check(many.iter().cloned());
        assert!(due.notify.len() <= SUSPICION_NOTICES_MAX);
        notified.extend(due.notify);
    }
    assert_eq!(notified.len(), 100);
}
