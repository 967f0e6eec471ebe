use std::io;
use std::time::{Duration, Instant};

use super::{interrupted, spawn, within, Backoff, Interruptions, INTERRUPTIONS_MAX};
use crate::{Call, Class};

/// Returns a call that fails with each of these error numbers in turn and then succeeds.
fn failing(numbers: &[i32]) -> impl FnMut() -> io::Result<usize> + '_ {
    let mut calls = 0;
    move || {
        calls += 1;
        numbers.get(calls - 1).map_or(Ok(calls), |number| Err(io::Error::from_raw_os_error(*number)))
    }
}

#[test]
fn a_call_is_repeated_until_it_succeeds_or_its_error_is_permanent() {
    let limit = Duration::from_secs(5);
    let numbers = [libc::EINTR, libc::ENOMEM, libc::EMFILE];
    assert_eq!(within(limit, Call::Create, "test", failing(&numbers)).ok(), Some(4));
    let refused = within(limit, Call::Create, "test", failing(&[libc::EINTR, libc::EADDRINUSE]));
    assert_eq!(refused.expect_err("the error is permanent").raw_os_error(), Some(libc::EADDRINUSE));
}

#[test]
fn retries_end_when_a_shortage_lasts() {
    let started = Instant::now();
    let lacking = || Err::<(), _>(io::Error::from_raw_os_error(libc::ENFILE));
    assert!(within(Duration::from_millis(30), Call::Create, "test", lacking).is_err());
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
}

#[test]
fn interrupted_repeats_only_interruptions() {
    assert_eq!(interrupted(failing(&[libc::EINTR; 9])).ok(), Some(10));
    assert!(interrupted(failing(&[libc::EIO])).is_err());
}

#[test]
fn many_interruptions_in_a_row_count_as_a_shortage() {
    let mut interruptions = Interruptions::default();
    assert_eq!(interruptions.limit(Class::WaitForReadiness), Class::WaitForReadiness);
    for _ in 1..INTERRUPTIONS_MAX {
        assert_eq!(interruptions.limit(Class::TryAgain), Class::TryAgain);
    }
    assert_eq!(interruptions.limit(Class::TryAgain), Class::OutOfResources);
    assert_eq!(interruptions.limit(Class::ConnectionOver), Class::ConnectionOver);
}

#[test]
fn delays_grow_up_to_the_maximum() {
    let mut backoff = Backoff::default();
    let all: Vec<_> = (0..12).map(|_| backoff.next_delay()).collect();
    assert!(all.windows(2).all(|pair| pair[0] <= pair[1]), "{all:?}");
    assert_eq!(all.last(), Some(&super::DELAY_MAX));
}

#[test]
fn a_thread_runs_the_given_closure() {
    assert_eq!(spawn("test", || 7).expect("a thread can be started").join().ok(), Some(7));
}
