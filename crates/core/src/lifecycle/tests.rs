use super::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn every_event_in_every_state_has_a_stated_outcome() {
    let now = Instant::now();
    let mut life = Lifecycle::new(1000.0, false);
    assert_eq!((life.doing(), life.takes_clients(), life.ready()), (Phase::Starting, false, false));
    life.listed();
    assert!(life.takes_clients() && life.ready() && life.activate(), "to activate what serves is no error");
    assert!(life.drain(now) && life.drain(now + ms(900)));
    assert_eq!(life.doing(), Phase::Draining(now), "a drain keeps its beginning");
    life.listed();
    assert!(!life.takes_clients() && !life.ready(), "a list ends no drain");
    assert!(life.activate() && life.ready() && !life.closes_answers(now + ms(9000)), "at once");
    assert!(life.drain(now + ms(1000)), "drained again, it begins anew");
    assert_eq!(life.draining(), Some(now + ms(1000)));
    life.stop(now + ms(2000));
    life.stop(now + ms(2500));
    assert_eq!(life.stopping(), Some(now + ms(2000)), "it ends as it was told first");
    assert!(!life.drain(now) && !life.activate(), "what ends can't be called back");
    assert_eq!(life.doing(), Phase::Stopping(now + ms(2000)));
    let mut early = Lifecycle::new(1000.0, false);
    assert!(early.drain(now), "one that starts may be drained");
    early.listed();
    assert_eq!(early.doing(), Phase::Draining(now));
}

#[test]
fn a_drained_node_has_nobody_idle_after_two_seconds_and_goes_on_accepting() {
    let now = Instant::now();
    let mut life = Lifecycle::new(1000.0, false);
    life.listed();
    assert_eq!(life.closes_idle(now), None);
    life.drain(now);
    assert!(!life.closes_answers(now + ms(250)), "the front has 0.2 s to hear of it");
    assert!(life.closes_answers(now + ANSWERS_CLOSE));
    assert_eq!(life.closes_idle(now + ms(500)), None);
    assert_eq!(life.closes_idle(now + IDLE_CLOSE), Some(IDLE_FIRST));
    assert!(IDLE_LATE + FRESH < ms(2000));
    assert_eq!(life.closes_idle(now + IDLE_LATE), Some(FRESH));
    assert!(life.accepts(now + ms(60_000), 0), "also /ready comes by a connection");
    assert!(!life.fails_open(now + ms(60_000)) && !life.over(now + ms(60_000)));
}

#[test]
fn a_stop_has_times_of_its_own_with_each_kind_of_listener() {
    let now = Instant::now();
    for (deadline, killed) in [(1000.0, ms(1700)), (60_000.0, ms(3700)), (-1.0, ms(700))] {
        let (mut own, mut shared) = (Lifecycle::new(deadline, false), Lifecycle::new(deadline, true));
        own.listed();
        shared.listed();
        own.stop(now);
        shared.stop(now);
        assert!(!own.ready() && shared.ready() && !shared.takes_clients());
        assert!(own.accepts(now, 0) && own.accepts(now + ms(450), 0) && !shared.accepts(now, 9));
        assert!(!own.accepts(now + ACCEPT, 0), "with no clients left there is nobody to wait for");
        assert!(
            shared.closes_answers(now) && shared.closes_idle(now) == Some(IDLE_FIRST) || killed == ms(700)
        );
        let close = killed.saturating_sub(CLOSE_BEFORE);
        assert!(own.closes_answers(now + close) && own.closes_idle(now + close) == Some(FRESH));
        assert!(close == ms(0) || (!own.closes_answers(now) && own.closes_idle(now).is_none()));
        for life in [own, shared] {
            assert_eq!(life.closes_idle(now + killed - FAIL_BEFORE), Some(FRESH));
            assert!(life.fails_open(now + killed - FAIL_BEFORE) && life.over(now + killed - END_BEFORE));
            assert!(!life.over(now + killed - FAIL_BEFORE));
        }
    }
}
