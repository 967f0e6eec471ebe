use super::*;

/// As the kernel names them: refused by a machine without a listener, and broken by whatever took it.
#[test]
fn a_connect_that_was_taken_and_broken_is_no_refusal() {
    let of = |kind| outcome_of_failed_connect(&std::io::Error::from(kind));
    assert_eq!(of(ErrorKind::ConnectionReset), Outcome::Unwritten);
    assert_eq!(of(ErrorKind::ConnectionRefused), Outcome::ConnectFailed);
    assert!(Outcome::Unwritten.never_ran());
}

/// A release of many servers, each of which answers when the list has dropped it, must not leave an entry for each.
#[test]
fn what_a_server_answered_last_is_kept_while_an_attempt_there_is_unheard() {
    let pool = Rc::new(Pool::new(8, 1000.0, 100.0, Metrics::new(0)));
    let sent = Instant::now();
    let later = sent + Duration::from_millis(1);
    let first = pool.track_attempt(ServerId(0));
    for server in 0..1000 {
        let expected = pool.track_attempt(ServerId(server));
        pool.close_idle_to(ServerId(server));
        drop(expected);
        pool.note_response(ServerId(server), later);
    }
    assert_eq!(pool.answered.borrow().len(), 1);
    assert!(pool.is_overtaken(ServerId(0), sent), "the attempt that is still out is overtaken");
    drop(first);
    assert!(pool.answered.borrow().is_empty() && pool.unheard.borrow().is_empty());
}

/// Guards days on which machines went silent: their attempts ended unsent, which tells nothing, and went on coming.
#[test]
fn a_connect_that_had_its_time_tells_of_its_server() {
    let connect = Duration::from_millis(150);
    assert_eq!(outcome_of_unfinished_connect(Duration::from_millis(100), connect), Outcome::Unwritten);
    assert_eq!(outcome_of_unfinished_connect(Duration::from_millis(20), connect), Outcome::NotSent);
}
