use super::*;

const S: Duration = Duration::from_secs(1);

fn suspect() -> (NodeId, u16) {
    (NodeId::unknown_at(std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 1)), 0)
}

/// Looks each 250 ms from `from` to `to` with `suspects` held; when each thing was first due.
fn play(
    w: &mut SuspicionTracker,
    from: Duration,
    to: Duration,
    suspects: &[(NodeId, u16)],
) -> [Option<Duration>; 2] {
    let (mut told, mut dead) = (None, None);
    let mut now = from;
    while now <= to {
        w.advance(now);
        assert!(w.is_due(now), "a look a quarter of a period after the last is due");
        let due = w.look(suspects.iter().cloned());
        told = told.or((!due.tell.is_empty()).then_some(now));
        dead = dead.or((!due.dead.is_empty()).then_some(now));
        now += S / 4;
    }
    [told, dead]
}

#[test]
fn a_suspect_is_told_first_and_given_up_within_the_bound() {
    let settings = Settings::default();
    let mut w = SuspicionTracker::new(&settings);
    let [told, dead] = play(&mut w, S, 20 * S, &[suspect()]);
    assert!(told.is_some_and(|t| t < S + settings.suspicion_min / 2), "told at {told:?}");
    assert!(
        dead.is_some_and(|t| t > S + settings.suspicion_min && t < S + settings.suspicion_max()),
        "{dead:?}"
    );
}

#[test]
fn a_refuted_suspicion_begins_anew_under_the_next_incarnation() {
    let mut w = SuspicionTracker::new(&Settings::default());
    assert_eq!(play(&mut w, S, 7 * S, &[suspect()])[1], None);
    assert_eq!(play(&mut w, 7 * S + S / 4, 14 * S, &[(suspect().0, 1)])[1], None);
}

#[test]
fn time_in_which_the_room_did_not_run_is_not_held_against_the_suspect() {
    let mut w = SuspicionTracker::new(&Settings::default());
    assert_eq!(play(&mut w, S, 3 * S, &[suspect()])[1], None);
    // An hour's stop, or a clock that jumps: two looks of it count.
    assert_eq!(w.advance(3600 * S), 3597 * S - S / 2);
    assert_eq!(play(&mut w, 3600 * S, 3604 * S, &[suspect()])[1], None);
    assert!(play(&mut w, 3604 * S + S / 4, 3608 * S, &[suspect()])[1].is_some(), "never given up");
    // A clock that goes back counts nothing and breaks nothing.
    assert_eq!(w.advance(10 * S), Duration::ZERO);
}

#[test]
fn a_look_tells_a_bounded_number_and_the_rest_in_the_next_ones() {
    let mut w = SuspicionTracker::new(&Settings::default());
    let many: Vec<(NodeId, u16)> = (0..100).map(|i| (suspect().0, i)).collect();
    w.advance(S);
    w.look(many.iter().cloned());
    let mut told = std::collections::BTreeSet::new();
    for i in 1..=16 {
        w.advance(S + i * S / 4);
        let due = w.look(many.iter().cloned());
        assert!(due.tell.len() <= SUSPICION_NOTICES_MAX);
        told.extend(due.tell);
    }
    assert_eq!(told.len(), 100);
}
