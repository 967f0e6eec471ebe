use std::time::Duration;

#[test]
fn the_default_settings_keep_their_proportions() {
    let settings = super::super::Settings::default();
    assert!(settings.backoff < settings.backoff_max && settings.backoff_max <= Duration::from_secs(2));
    assert!(
        settings.heartbeat * 4 < settings.liveness_timeout,
        "one late heartbeat does not end a connection"
    );
    assert!(
        settings.inbound_connections + settings.outbound_connections < 128,
        "half of the smallest descriptor limit, 256"
    );
}
