//! Tests of streams.

use magpietally_transport::{Event, Kind, SendError};

use super::check::*;
use crate::{Faults, Limits, RETRANSMIT_DELAY};

fn pair(faults: Faults) -> Pair {
    Pair::new(Kind::Stream, 3, faults)
}

#[test]
fn a_stream_delivers_in_order_and_exactly_once_despite_loss_duplicates_and_reordering() {
    for seed in 0..50 {
        let mut p = Pair::new(Kind::Stream, seed, heavy_faults());
        p.send_every_ms(S);
        // At 20% loss, 1,000 messages wait for about 250 retransmissions.
        p.run(120 * S);
        assert_eq!(check(Kind::Stream, &p.received), Ok(()), "seed {seed}");
        assert_eq!(p.numbers(), (0..p.next).collect::<Vec<u64>>(), "seed {seed}");
        assert_eq!(p.lost(), 0, "seed {seed}");
    }
}

#[test]
fn loss_only_delays_a_stream() {
    let mut p = pair(Faults { loss: 0.9, ..Faults::default() });
    p.send_many(1);
    p.run(10 * MS);
    assert_eq!(p.numbers().len(), 0, "the first transmission is lost with this seed");
    p.run(9 * S);
    assert_eq!(p.numbers(), [0]);
}

#[test]
fn a_short_cut_delays_a_stream_and_then_everything_is_delivered() {
    let mut p = pair(Faults::default());
    p.send_many(5);
    p.run(S);
    p.net.cut(0, 1);
    p.send_many(5);
    p.run(5 * S);
    assert_eq!(p.numbers().len(), 5);
    p.net.heal();
    p.run(RETRANSMIT_DELAY + 10 * MS);
    assert_eq!(p.numbers(), (0..10).collect::<Vec<u64>>());
    assert_eq!(p.lost(), 0);
}

#[test]
fn a_cut_longer_than_break_after_breaks_the_stream_and_reports_the_losses() {
    let mut p = pair(Faults::default());
    p.send_many(5);
    p.run(S);
    p.net.cut(0, 1);
    p.send_many(3);
    p.run(10 * S - 10 * MS);
    assert_eq!(p.lost(), 0, "reported before break_after");
    p.run(20 * MS);
    assert_eq!(p.sender_events, [Event::Lost { to: name(1), messages: 3 }]);
    p.net.heal();
    p.send_many(2);
    p.run(S);
    assert_eq!(p.numbers(), [0, 1, 2, 3, 4, 8, 9], "lost messages are not delivered later");
    assert_eq!(
        p.received.iter().filter(|e| matches!(e, Event::NewSession(_))).count(),
        1,
        "the session is unchanged"
    );
}

#[test]
fn without_a_reverse_link_messages_are_delivered_and_reported_as_lost() {
    let mut p = pair(Faults::default());
    p.net.cut(1, 0);
    p.send_many(3);
    p.run(11 * S);
    assert_eq!(p.numbers(), [0, 1, 2]);
    assert_eq!(p.lost(), 3);
    assert_eq!(check(Kind::Stream, &p.received), Ok(()));
}

#[test]
fn a_held_stream_waits_and_is_sent_on_release() {
    let mut p = pair(Faults::default());
    p.net.hold(0, 1);
    p.send_many(20);
    p.run(5 * S);
    assert_eq!(p.numbers().len(), 0);
    p.net.release(0, 1);
    p.run(10 * MS);
    assert_eq!(p.numbers(), (0..20).collect::<Vec<u64>>());
}

#[test]
fn a_crashed_host_is_detected_after_break_after_and_a_killed_peer_at_the_next_message() {
    for (host_crashed, by) in [(true, 10 * S), (false, 10 * MS)] {
        let mut p = pair(Faults::default());
        p.send_many(1);
        p.run(S);
        if host_crashed {
            p.net.crash_host(1);
        } else {
            p.net.kill(1);
        }
        p.run(60 * S);
        assert_eq!(p.sender_events, [], "a stream without waiting messages detects nothing");
        p.send_many(2);
        p.run(by - 9 * MS);
        assert_eq!(p.lost(), 0);
        p.run(20 * MS);
        assert_eq!(p.lost(), 2, "host_crashed: {host_crashed}");
    }
}

#[test]
fn a_restarted_sender_has_a_new_session_and_nothing_older_is_delivered_after_it() {
    for seed in 0..50 {
        let mut p =
            Pair::new(Kind::Stream, seed, Faults { jitter: 300 * MS, loss: 0.1, ..Faults::default() });
        for _ in 0..3 {
            p.send_every_ms(50 * MS);
            p.net.start(0);
        }
        p.send_every_ms(50 * MS);
        p.run(60 * S);
        assert_eq!(check(Kind::Stream, &p.received), Ok(()), "seed {seed}");
        let new_sessions: Vec<&Event> =
            p.received.iter().filter(|e| matches!(e, Event::NewSession(_))).collect();
        assert_eq!(new_sessions.last(), Some(&&Event::NewSession(p.net.peer(0))), "seed {seed}");
        assert_eq!(p.numbers().last(), Some(&(p.next - 1)), "seed {seed}");
    }
}

#[test]
fn a_restarted_reader_gets_nothing_sent_to_its_older_session_and_the_sender_is_notified() {
    let mut p = pair(Faults::default());
    p.send_many(2);
    p.run(S);
    p.net.hold(0, 1);
    p.send_many(3);
    p.net.start(1);
    p.net.release(0, 1);
    p.run(S);
    assert_eq!(p.lost(), 3);
    p.received.clear();
    p.send_many(2);
    p.run(S);
    assert_eq!(p.numbers(), [5, 6]);
    assert_eq!(p.received[0], Event::NewSession(p.net.peer(0)));
}

#[test]
fn a_reader_that_does_not_read_fills_the_queues_and_the_sender_is_notified() {
    let limits = Limits { queue_capacity: 8, ..Limits::default() };
    let mut p = Pair::with_limits(Kind::Stream, 1, Faults::default(), limits);
    let full = Err(SendError::Full { to: name(1), max: 8 });
    p.send_many(8);
    p.run_unread(S);
    // The receiver's kernel holds eight messages, and eight more wait at the sender.
    p.send_many(8);
    assert_eq!(p.send(), full);
    p.run_unread(5 * S);
    assert_eq!(p.send(), full);
    // If the receiver reads in time, nothing is lost.
    p.read();
    p.run(S);
    assert_eq!(p.numbers(), (0..16).collect::<Vec<u64>>());
    assert_eq!(p.lost(), 0);
    // If it reads nothing for all of `break_after`, the connection breaks.
    p.send_many(8);
    p.run_unread(S);
    p.send_many(8);
    p.run_unread(11 * S);
    p.read();
    assert_eq!(p.lost(), 8);
    assert_eq!(p.numbers(), (0..24).collect::<Vec<u64>>());
}

#[test]
fn unread_losses_are_summed_in_one_notice() {
    let mut p = pair(Faults::default());
    p.net.cut(0, 1);
    for _ in 0..3 {
        p.send_many(2);
        p.run_unread(11 * S);
    }
    p.read();
    assert_eq!(p.sender_events, [Event::Lost { to: name(1), messages: 6 }]);
}
