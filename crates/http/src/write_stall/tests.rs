use super::*;

/// Pace of a slow peer, in bytes per second.
const SLOW_BYTES_PER_SECOND: u64 = 64_000;

/// Guards against a peer that reads steadily being taken for one that reads nothing while its kernel does not
/// announce the space that it frees.
#[test]
fn a_peer_that_reads_slowly_has_time_to_free_a_sixteenth_of_any_receive_buffer() {
    let base = Duration::from_secs(1);
    for buffer in (0..=RECEIVE_BUFFER_MAX_BYTES).step_by(64 * 1024) {
        let unannounced = Duration::from_millis(buffer / 16 * 1000 / SLOW_BYTES_PER_SECOND);
        for sent in [buffer, 2 * buffer, u64::MAX] {
            assert!(write_stall_limit(base, sent) >= base + unannounced, "{buffer} of {sent} bytes");
        }
    }
}

/// Guards against a peer that reads nothing being waited for without end.
#[test]
fn the_limit_is_the_base_for_a_short_message_and_bounded_for_any() {
    let base = Duration::from_secs(5);
    assert_eq!(write_stall_limit(base, 0), base);
    assert!(write_stall_limit(base, 64 * 1024) < base + Duration::from_millis(100));
    assert!(write_stall_limit(base, u64::MAX) < base + Duration::from_secs(45));
}
