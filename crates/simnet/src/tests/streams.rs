//! What a network does to streams.

use magpietally_transport::{Event, Kind, SendError};

use super::check::*;
use crate::{Faults, Limits, RETRANSMIT_DELAY};

fn pair(faults: Faults) -> Pair {
    Pair::new(Kind::Stream, 3, faults)
}

#[test]
fn a_stream_keeps_order_and_brings_each_once_whatever_the_network_does_to_packets() {
    for seed in 0..50 {
        let mut p = Pair::new(Kind::Stream, seed, rough());
        p.talk(S);
        // 1,000 messages at 20% loss wait behind 250 resends or so.
        p.run(120 * S);
        assert_eq!(check(Kind::Stream, &p.got), Ok(()), "seed {seed}");
        assert_eq!(p.numbers(), (0..p.next).collect::<Vec<u64>>(), "seed {seed}");
        assert_eq!(p.lost(), 0, "seed {seed}");
    }
}

#[test]
fn loss_only_delays_a_stream() {
    let mut p = pair(Faults { loss: 0.9, ..Faults::default() });
    p.send_many(1);
    p.run(10 * MS);
    assert_eq!(p.numbers().len(), 0, "the first try of this seed is lost");
    p.run(9 * S);
    assert_eq!(p.numbers(), [0]);
}

#[test]
fn a_short_cut_holds_a_stream_up_and_then_all_comes() {
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
fn a_cut_past_the_bound_breaks_the_stream_and_tells_how_many_were_lost() {
    let mut p = pair(Faults::default());
    p.send_many(5);
    p.run(S);
    p.net.cut(0, 1);
    p.send_many(3);
    p.run(10 * S - 10 * MS);
    assert_eq!(p.lost(), 0, "told before the bound");
    p.run(20 * MS);
    assert_eq!(p.told, [Event::Lost { to: name(1), messages: 3 }]);
    p.net.heal();
    p.send_many(2);
    p.run(S);
    assert_eq!(p.numbers(), [0, 1, 2, 3, 4, 8, 9], "what was lost does not come later");
    assert_eq!(
        p.got.iter().filter(|e| matches!(e, Event::NewSession(_))).count(),
        1,
        "it is the same session"
    );
}

#[test]
fn on_a_link_without_a_way_back_messages_come_and_are_told_as_lost() {
    let mut p = pair(Faults::default());
    p.net.cut(1, 0);
    p.send_many(3);
    p.run(11 * S);
    assert_eq!(p.numbers(), [0, 1, 2]);
    assert_eq!(p.lost(), 3);
    assert_eq!(check(Kind::Stream, &p.got), Ok(()));
}

#[test]
fn a_held_stream_waits_and_sets_off_when_it_is_released() {
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
fn a_peer_that_vanished_is_noticed_by_the_bound_alone_and_one_that_was_killed_at_the_next_message() {
    for (vanished, by) in [(true, 10 * S), (false, 10 * MS)] {
        let mut p = pair(Faults::default());
        p.send_many(1);
        p.run(S);
        if vanished {
            p.net.crash_host(1);
        } else {
            p.net.kill(1);
        }
        p.run(60 * S);
        assert_eq!(p.told, [], "a stream on which nothing waits notices nothing");
        p.send_many(2);
        p.run(by - 9 * MS);
        assert_eq!(p.lost(), 0);
        p.run(20 * MS);
        assert_eq!(p.lost(), 2, "vanished: {vanished}");
    }
}

#[test]
fn a_restarted_sender_is_met_anew_and_nothing_older_comes_after() {
    for seed in 0..50 {
        let mut p =
            Pair::new(Kind::Stream, seed, Faults { jitter: 300 * MS, loss: 0.1, ..Faults::default() });
        for _ in 0..3 {
            p.talk(50 * MS);
            p.net.start(0);
        }
        p.talk(50 * MS);
        p.run(60 * S);
        assert_eq!(check(Kind::Stream, &p.got), Ok(()), "seed {seed}");
        let met: Vec<&Event> = p.got.iter().filter(|e| matches!(e, Event::NewSession(_))).collect();
        assert_eq!(met.last(), Some(&&Event::NewSession(p.net.peer(0))), "seed {seed}");
        assert_eq!(p.numbers().last(), Some(&(p.next - 1)), "seed {seed}");
    }
}

#[test]
fn a_restarted_reader_gets_nothing_that_was_sent_to_its_older_start_and_the_sender_is_told() {
    let mut p = pair(Faults::default());
    p.send_many(2);
    p.run(S);
    p.net.hold(0, 1);
    p.send_many(3);
    p.net.start(1);
    p.net.release(0, 1);
    p.run(S);
    assert_eq!(p.lost(), 3);
    p.got.clear();
    p.send_many(2);
    p.run(S);
    assert_eq!(p.numbers(), [5, 6]);
    assert_eq!(p.got[0], Event::NewSession(p.net.peer(0)));
}

#[test]
fn a_reader_that_does_not_read_fills_the_queues_and_the_sender_is_told() {
    let limits = Limits { queue_capacity: 8, ..Limits::default() };
    let mut p = Pair::bounded(Kind::Stream, 1, Faults::default(), limits);
    let full = Err(SendError::Full { to: name(1), max: 8 });
    p.send_many(8);
    p.run_unread(S);
    // The reader's kernel holds eight; eight more wait at the sender.
    p.send_many(8);
    assert_eq!(p.send(), full);
    p.run_unread(5 * S);
    assert_eq!(p.send(), full);
    // Read in time, nothing is lost.
    p.read();
    p.run(S);
    assert_eq!(p.numbers(), (0..16).collect::<Vec<u64>>());
    assert_eq!(p.lost(), 0);
    // Not read for the whole bound, the connection breaks.
    p.send_many(8);
    p.run_unread(S);
    p.send_many(8);
    p.run_unread(11 * S);
    p.read();
    assert_eq!(p.lost(), 8);
    assert_eq!(p.numbers(), (0..24).collect::<Vec<u64>>());
}

#[test]
fn losses_that_nobody_reads_of_are_one_notice_with_their_sum() {
    let mut p = pair(Faults::default());
    p.net.cut(0, 1);
    for _ in 0..3 {
        p.send_many(2);
        p.run_unread(11 * S);
    }
    p.read();
    assert_eq!(p.told, [Event::Lost { to: name(1), messages: 6 }]);
}
