use std::io;
use std::time::{Duration, Instant};

use super::{interrupted, spawn, within, Backoff, Interruptions, INTERRUPTIONS_MOST};
use crate::{Call, Class};

/// Fails with each of these in turn, and then succeeds.
fn failing(numbers: &[i32]) -> impl FnMut() -> io::Result<usize> + '_ {
    let mut calls = 0;
    move || {
        calls += 1;
        numbers.get(calls - 1).map_or(Ok(calls), |number| Err(io::Error::from_raw_os_error(*number)))
    }
}

#[test]
fn a_call_is_repeated_until_it_succeeds_or_its_error_is_permanent() {
    let span = Duration::from_secs(5);
    let numbers = [libc::EINTR, libc::ENOMEM, libc::EMFILE];
    assert_eq!(within(span, Call::Create, "test", failing(&numbers)).ok(), Some(4));
    let refused = within(span, Call::Create, "test", failing(&[libc::EINTR, libc::EADDRINUSE]));
    assert_eq!(refused.expect_err("it is permanent").raw_os_error(), Some(libc::EADDRINUSE));
}

#[test]
fn a_lack_that_lasts_ends_the_repeats() {
    let began = Instant::now();
    let lacks = || Err::<(), _>(io::Error::from_raw_os_error(libc::ENFILE));
    assert!(within(Duration::from_millis(30), Call::Create, "test", lacks).is_err());
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
}

#[test]
fn only_an_interruption_is_repeated_at_once() {
    assert_eq!(interrupted(failing(&[libc::EINTR; 9])).ok(), Some(10));
    assert!(interrupted(failing(&[libc::EIO])).is_err());
}

#[test]
fn interruptions_in_a_row_end_in_a_pause() {
    let mut interruptions = Interruptions::default();
    assert_eq!(interruptions.limit(Class::WaitForReadiness), Class::WaitForReadiness);
    for _ in 1..INTERRUPTIONS_MOST {
        assert_eq!(interruptions.limit(Class::TryAgain), Class::TryAgain);
    }
    assert_eq!(interruptions.limit(Class::TryAgain), Class::OutOfResources);
    assert_eq!(interruptions.limit(Class::ConnectionOver), Class::ConnectionOver);
}

#[test]
fn pauses_grow_up_to_a_bound() {
    let mut pauses = Backoff::default();
    let all: Vec<_> = (0..12).map(|_| pauses.next_delay()).collect();
    assert!(all.windows(2).all(|pair| pair[0] <= pair[1]), "{all:?}");
    assert_eq!(all.last(), Some(&super::PAUSE_MOST));
}

#[test]
fn a_thread_runs_what_it_was_given() {
    assert_eq!(spawn("test", || 7).expect("there are threads").join().ok(), Some(7));
}
