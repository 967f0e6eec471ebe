//! Tests of datagrams.

use std::time::Duration;

use magpietally_transport::{Event, Kind, SendError};

use super::check::*;
use crate::{Faults, Limits};

fn pair(faults: Faults) -> Pair {
    Pair::new(Kind::Datagram, 7, faults)
}

#[test]
fn without_faults_every_datagram_is_delivered_once_within_the_transit_time_bounds() {
    let mut p = pair(Faults { delay: 10 * MS, jitter: 5 * MS, ..Faults::default() });
    p.send_many(100);
    p.run(10 * MS - MS / 100);
    assert_eq!(p.numbers(), [] as [u64; 0]);
    p.run(5 * MS + MS / 100);
    let mut numbers = p.numbers();
    numbers.sort_unstable();
    assert_eq!(numbers, (0..100).collect::<Vec<u64>>());
    assert_eq!(p.received[0], Event::NewSession(p.net.peer(0)));
}

#[test]
fn loss_and_duplicates_match_the_configured_fractions() {
    let mut p = pair(Faults { loss: 0.25, ..Faults::default() });
    p.send_every_ms(10 * S);
    let delivered = p.numbers().len();
    assert!((7_200..7_800).contains(&delivered), "{delivered} of 10,000 were delivered at 25% loss");
    let mut p = pair(Faults { duplicate: 0.25, ..Faults::default() });
    p.send_every_ms(10 * S);
    let delivered = p.numbers().len();
    assert!((12_200..12_800).contains(&delivered), "{delivered} of 10,000 were delivered at 25% duplicates");
    assert_eq!(check(Kind::Datagram, &p.received), Ok(()));
}

#[test]
fn reordering_delays_the_configured_fraction_and_jitter_alone_also_reorders() {
    let overtaken = |faults| {
        let mut p = pair(faults);
        p.send_every_ms(S);
        let numbers = p.numbers();
        numbers.windows(2).filter(|w| w[0] > w[1]).count()
    };
    let no_jitter = Faults { jitter: Duration::ZERO, ..Faults::default() };
    assert_eq!(overtaken(no_jitter.clone()), 0);
    let delayed = overtaken(Faults { reorder: 0.1, ..no_jitter.clone() });
    assert!((50..150).contains(&delayed), "{delayed} of 1,000 were overtaken at 10%");
    assert!(overtaken(Faults { jitter: 20 * MS, ..no_jitter }) > 100);
}

#[test]
fn a_cut_affects_one_direction_and_can_be_restored() {
    let mut p = pair(Faults::default());
    p.net.cut(0, 1);
    p.send_many(5);
    p.net.send(1, &name(0), Kind::Datagram, vec![1]).expect("message is accepted");
    p.run(S);
    assert_eq!(p.numbers().len(), 0);
    assert_eq!(p.sender_events.len(), 2, "the reverse direction works: a new session and a message");
    p.net.restore(0, 1);
    p.send_many(5);
    p.run(S);
    assert_eq!(p.numbers().len(), 5);
}

#[test]
fn a_partition_separates_groups_in_both_directions_until_healed() {
    let mut net = net(4, 1, Faults::default(), Limits::default());
    let delivered = |net: &mut crate::Net| {
        for from in 0..4 {
            for to in 0..4 {
                net.send(from, &name(to), Kind::Datagram, vec![from as u8]).expect("message is accepted");
            }
        }
        let end = net.now() + S;
        while net.step(end).is_some() {}
        let mut pairs = Vec::new();
        for to in 0..4 {
            while let Some(event) = net.read(to, None) {
                if let Event::Message { bytes, .. } = event {
                    pairs.push((bytes[0] as usize, to));
                }
            }
        }
        pairs
    };
    net.partition(&[0, 1], &[2, 3]);
    let delivered_in_groups = delivered(&mut net);
    assert_eq!(delivered_in_groups.len(), 8);
    assert!(delivered_in_groups.iter().all(|(from, to)| from / 2 == to / 2));
    net.heal();
    assert_eq!(delivered(&mut net).len(), 16);
}

#[test]
fn a_held_link_queues_datagrams_up_to_its_capacity_and_delivers_them_on_release() {
    let limits = Limits { queue_capacity: 10, ..Limits::default() };
    let mut p = Pair::with_limits(Kind::Datagram, 1, Faults::default(), limits);
    p.net.hold(0, 1);
    p.send_many(10);
    assert_eq!(p.send(), Err(SendError::Full { to: name(1), max: 10 }));
    p.run(60 * S);
    assert_eq!(p.numbers().len(), 0);
    p.net.release(0, 1);
    p.run(S);
    assert_eq!(p.numbers().len(), 10);
    assert_eq!(p.net.counts(0).refused, 1);
}

#[test]
fn a_link_can_have_its_own_faults() {
    let mut p = pair(Faults { loss: 1.0, ..Faults::default() });
    p.net.set_link_faults(0, 1, Some(Faults::default()));
    p.send_many(5);
    p.run(S);
    assert_eq!(p.numbers().len(), 5);
    p.net.set_link_faults(0, 1, None);
    p.send_many(5);
    p.run(S);
    assert_eq!(p.numbers().len(), 5);
}

#[test]
fn a_slow_reader_has_a_bounded_backlog_and_is_notified_of_drops() {
    let limits = Limits { backlog: 16, ..Limits::default() };
    let mut p = Pair::with_limits(Kind::Datagram, 1, Faults::default(), limits);
    p.send_many(40);
    p.run(S);
    // The first of the 16 entries is the new session.
    assert_eq!(p.numbers().len(), 15);
    assert_eq!(p.net.counts(1).overflowed, 25);
    assert_eq!(p.received[0], Event::Dropped("the backlog was full"));
}

#[test]
fn after_a_new_session_is_seen_nothing_of_the_older_one_is_delivered() {
    let mut p = pair(Faults { jitter: 500 * MS, ..Faults::default() });
    p.send_many(50);
    p.run(100 * MS);
    p.net.start(0);
    p.send_many(50);
    p.run(S);
    assert_eq!(check(Kind::Datagram, &p.received), Ok(()));
    let dropped = p.received.iter().filter(|e| matches!(e, Event::Dropped(_))).count();
    assert!(dropped > 10 && dropped as u64 == p.net.counts(1).outdated, "{dropped} drops were reported");
}

#[test]
fn a_message_that_cannot_be_sent_is_refused_with_the_reason() {
    let mut p = pair(Faults::default());
    let largest = Limits::default().datagram_max_bytes;
    let mut send = |from, to, size| p.net.send(from, &name(to), Kind::Datagram, vec![0; size]);
    assert_eq!(send(0, 1, largest + 1), Err(SendError::TooLarge { size: largest + 1, max: largest }));
    assert_eq!(send(0, 1, largest), Ok(()));
    assert_eq!(send(0, 5, 1), Err(SendError::Unknown(name(5))));
    p.net.kill(0);
    assert_eq!(p.send(), Err(SendError::Closed("n0 is not running".to_owned())));
    assert_eq!(p.net.counts(0).sent_bytes, largest as u64);
}
