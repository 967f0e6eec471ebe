use super::*;

/// Where the wall clock is an hour behind at the node's start, a server that has just started seems to be an hour ahead: it would
/// be cold for all that time.
#[test]
fn no_start_lies_ahead() {
    let clock = Clock::new();
    let in_an_hour = clock.unix_start + 3_600_000.0;
    let started = clock.at_unix(in_an_hour).expect("it is a time");
    assert!((0.0..60_000.0).contains(&started), "{started}");
    assert_eq!(clock.at_unix(clock.unix_start - 5000.0), Some(-5000.0));
    assert_eq!(clock.at_unix(0.0), None);
}
