use std::time::Duration;

#[test]
fn the_longest_backoff_stays_near_its_bound() {
    let settings = super::super::Settings::default();
    assert!(settings.backoff < settings.backoff_most && settings.backoff_most <= Duration::from_secs(2));
    assert!(settings.heartbeat * 4 < settings.dead_after, "one late sign of life is not an end");
    assert!(settings.inbound + settings.outbound < 128, "half of the platform's least, 256");
}
