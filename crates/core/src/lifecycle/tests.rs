use super::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn every_event_in_every_state_has_a_stated_outcome() {
    let now = Instant::now();
    let mut life = Lifecycle::new(1000.0, false);
    assert_eq!((life.phase(), life.is_serving(), life.is_ready()), (Phase::Starting, false, false));
    life.list_received();
    assert!(life.is_serving() && life.is_ready() && life.activate(), "to activate what serves is no error");
    assert!(life.drain(now) && life.drain(now + ms(900)));
    assert_eq!(life.phase(), Phase::Draining(now), "a drain keeps its beginning");
    life.list_received();
    assert!(!life.is_serving() && !life.is_ready(), "a list ends no drain");
    assert!(life.activate() && life.is_ready() && !life.closes_after_response(now + ms(9000)), "at once");
    assert!(life.drain(now + ms(1000)), "drained again, it begins anew");
    assert_eq!(life.draining_since(), Some(now + ms(1000)));
    life.stop(now + ms(2000));
    life.stop(now + ms(2500));
    assert_eq!(life.stopping_since(), Some(now + ms(2000)), "it ends as it was told first");
    assert!(!life.drain(now) && !life.activate(), "what ends can't be called back");
    assert_eq!(life.phase(), Phase::Stopping(now + ms(2000)));
    let mut early = Lifecycle::new(1000.0, false);
    assert!(early.drain(now), "one that starts may be drained");
    early.list_received();
    assert_eq!(early.phase(), Phase::Draining(now));
}

#[test]
fn a_drained_node_has_nobody_idle_after_two_seconds_and_goes_on_accepting() {
    let now = Instant::now();
    let mut life = Lifecycle::new(1000.0, false);
    life.list_received();
    assert_eq!(life.idle_close_after(now), None);
    life.drain(now);
    assert!(!life.closes_after_response(now + ms(250)), "the front has 0.2 s to hear of it");
    assert!(life.closes_after_response(now + ANSWERS_CLOSE));
    assert_eq!(life.idle_close_after(now + ms(500)), None);
    assert_eq!(life.idle_close_after(now + IDLE_CLOSE), Some(IDLE_FIRST));
    assert!(IDLE_LATE + FRESH < ms(2000));
    assert_eq!(life.idle_close_after(now + IDLE_LATE), Some(FRESH));
    assert!(life.accepts_connections(now + ms(60_000), 0), "also /ready comes by a connection");
    assert!(!life.fails_open_requests(now + ms(60_000)) && !life.must_exit(now + ms(60_000)));
}

#[test]
fn a_stop_has_times_of_its_own_with_each_kind_of_listener() {
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
            !own.accepts_connections(now + ACCEPT, 0),
            "with no clients left there is nobody to wait for"
        );
        assert!(
            shared.closes_after_response(now) && shared.idle_close_after(now) == Some(IDLE_FIRST)
                || killed == ms(700)
        );
        let close = killed.saturating_sub(CLOSE_BEFORE);
        assert!(own.closes_after_response(now + close) && own.idle_close_after(now + close) == Some(FRESH));
        assert!(close == ms(0) || (!own.closes_after_response(now) && own.idle_close_after(now).is_none()));
        for life in [own, shared] {
            assert_eq!(life.idle_close_after(now + killed - FAIL_BEFORE), Some(FRESH));
            assert!(
                life.fails_open_requests(now + killed - FAIL_BEFORE)
                    && life.must_exit(now + killed - END_BEFORE)
            );
            assert!(!life.must_exit(now + killed - FAIL_BEFORE));
        }
    }
}
