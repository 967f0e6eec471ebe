use std::time::Duration;

#[test]
fn the_longest_backoff_stays_near_its_bound() {
    let settings = super::super::Settings::default();
    assert!(settings.backoff < settings.backoff_max && settings.backoff_max <= Duration::from_secs(2));
    assert!(settings.heartbeat * 4 < settings.liveness_timeout, "one late sign of life is not an end");
    assert!(
        settings.inbound_connections + settings.outbound_connections < 128,
        "half of the platform's least, 256"
    );
}
