use super::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn every_event_in_every_phase_has_a_defined_outcome() {
    let now = Instant::now();
    let mut node = Lifecycle::new(1000.0, false);
    assert_eq!((node.phase(), node.is_serving(), node.is_ready()), (Phase::Starting, false, false));
    node.list_received();
    assert!(node.is_serving() && node.is_ready() && node.activate(), "activating a serving node is no error");
    assert!(node.drain(now) && node.drain(now + ms(900)));
    assert_eq!(node.phase(), Phase::Draining(now), "a repeated drain keeps the start time");
    node.list_received();
    assert!(!node.is_serving() && !node.is_ready(), "a list does not end a drain");
    assert!(
        node.activate() && node.is_ready() && !node.closes_after_response(now + ms(9000)),
        "the drain ends at once"
    );
    assert!(node.drain(now + ms(1000)), "a second drain");
    assert_eq!(node.draining_since(), Some(now + ms(1000)));
    node.stop(now + ms(2000));
    node.stop(now + ms(2500));
    assert_eq!(node.stopping_since(), Some(now + ms(2000)), "the first stop counts");
    assert!(!node.drain(now) && !node.activate(), "a stop can't be revoked");
    assert_eq!(node.phase(), Phase::Stopping(now + ms(2000)));
    let mut starting = Lifecycle::new(1000.0, false);
    assert!(starting.drain(now), "a starting node may be drained");
    starting.list_received();
    assert_eq!(starting.phase(), Phase::Draining(now));
}

#[test]
fn a_drained_node_has_no_idle_connections_after_two_seconds_and_keeps_accepting() {
    let now = Instant::now();
    let mut node = Lifecycle::new(1000.0, false);
    node.list_received();
    assert_eq!(node.idle_close_after(now), None);
    node.drain(now);
    assert!(!node.closes_after_response(now + ms(250)), "the front has 0.2 s to learn of the drain");
    assert!(node.closes_after_response(now + RESPONSES_CLOSE_AFTER));
    assert_eq!(node.idle_close_after(now + ms(500)), None);
    assert_eq!(node.idle_close_after(now + IDLE_CLOSE_AFTER), Some(IDLE_MIN_EARLY));
    assert!(IDLE_LATE_AFTER + IDLE_MIN_LATE < ms(2000));
    assert_eq!(node.idle_close_after(now + IDLE_LATE_AFTER), Some(IDLE_MIN_LATE));
    assert!(node.accepts_connections(now + ms(60_000), 0), "requests for /ready need a connection too");
    assert!(!node.fails_open_requests(now + ms(60_000)) && !node.must_exit(now + ms(60_000)));
}

#[test]
fn the_times_of_a_stop_depend_on_the_kind_of_listener() {
    let now = Instant::now();
    for (deadline, killed) in [(1000.0, ms(1700)), (60_000.0, ms(3700)), (-1.0, ms(700))] {
        let (mut own, mut shared) = (Lifecycle::new(deadline, false), Lifecycle::new(deadline, true));
        own.list_received();
        shared.list_received();
        own.stop(now);
        shared.stop(now);
        assert!(!own.is_ready() && shared.is_ready() && !shared.is_serving());
        assert!(
            own.accepts_connections(now, 0)
                && own.accepts_connections(now + ms(450), 0)
                && !shared.accepts_connections(now, 9)
        );
        assert!(
            !own.accepts_connections(now + ACCEPT_MIN, 0),
            "with no clients left there is nobody to wait for"
        );
        assert!(
            shared.closes_after_response(now) && shared.idle_close_after(now) == Some(IDLE_MIN_EARLY)
                || killed == ms(700)
        );
        let close = killed.saturating_sub(CLOSE_BEFORE);
        assert!(
            own.closes_after_response(now + close)
                && own.idle_close_after(now + close) == Some(IDLE_MIN_LATE)
        );
        assert!(close == ms(0) || (!own.closes_after_response(now) && own.idle_close_after(now).is_none()));
        for node in [own, shared] {
            assert_eq!(node.idle_close_after(now + killed - FAIL_BEFORE), Some(IDLE_MIN_LATE));
            assert!(
                node.fails_open_requests(now + killed - FAIL_BEFORE)
                    && node.must_exit(now + killed - EXIT_BEFORE)
            );
            assert!(!node.must_exit(now + killed - FAIL_BEFORE));
        }
    }
}
