use super::*;

/// If the wall clock is an hour behind at the node's start, a server that has just started appears to start
/// an hour in the future. Without the limit it would count as cold for that hour.
#[test]
fn no_start_time_is_in_the_future() {
    let clock = Clock::new();
    let in_an_hour = clock.unix_start + 3_600_000.0;
    let started = clock.at_unix(in_an_hour).expect("it is a time");
    assert!((0.0..60_000.0).contains(&started), "{started}");
    assert_eq!(clock.at_unix(clock.unix_start - 5000.0), Some(-5000.0));
    assert_eq!(clock.at_unix(0.0), None);
}
