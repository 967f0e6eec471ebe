use super::*;

const S: Duration = Duration::from_secs(1);

fn suspect() -> (NodeId, u16) {
    (NodeId::unknown_at(std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 1)), 0)
}

/// Checks `suspects` every 250 ms from `from` to `to`. Returns when a notice and when a death were first due.
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
        assert!(tracker.is_due(now), "no check is due a quarter of a period after the last one");
        let due = tracker.check(suspects.iter().cloned());
        notified = notified.or((!due.notify.is_empty()).then_some(now));
        dead = dead.or((!due.declare_dead.is_empty()).then_some(now));
        now += S / 4;
    }
    [notified, dead]
}

#[test]
fn a_suspect_is_notified_first_and_declared_dead_within_the_bound() {
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
fn time_in_which_the_node_did_not_run_does_not_count() {
    let mut tracker = SuspicionTracker::new(&Settings::default());
    assert_eq!(run_checks(&mut tracker, S, 3 * S, &[suspect()])[1], None);
    // After a stop of an hour, or a jump of the clock, two check intervals count.
    assert_eq!(tracker.advance(3600 * S), 3597 * S - S / 2);
    assert_eq!(run_checks(&mut tracker, 3600 * S, 3604 * S, &[suspect()])[1], None);
    assert!(
        run_checks(&mut tracker, 3604 * S + S / 4, 3608 * S, &[suspect()])[1].is_some(),
        "never declared dead"
    );
    // When the clock goes back, no time counts.
    assert_eq!(tracker.advance(10 * S), Duration::ZERO);
}

#[test]
fn a_check_notifies_a_bounded_number_and_later_checks_the_rest() {
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
