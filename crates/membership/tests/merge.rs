//! The view's merge: the same updates in any order, and any of them again, give the same view.
//!
//! SWIM's precedence (a later incarnation wins; at one incarnation suspect beats alive; dead is final for an identity)
//! is a maximum, so the order of arrival and a replayed datagram must not matter. Timers are not fired here, so
//! nothing but the updates moves the view. The incarnation of a dead identity is whichever it was declared dead at
//! first, as dead is final: it is left out of the comparison, its state is not.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use bytes::BufMut;
use foca::{Codec, Header, Member, Message, State};
use magpietally_membership::{Membership, Name, NodeId, Settings, WireCodec};
use proptest::prelude::*;

fn node(i: u8, generation: u32) -> NodeId {
    NodeId {
        addr: SocketAddrV4::new(Ipv4Addr::new(127, 2, 0, i), 7000),
        name: Name::new(&format!("p{i}")).expect("a plain name"),
        generation,
    }
}

/// A gossip datagram from `src` to `dst` that carries `updates`.
fn datagram(src: &NodeId, dst: &NodeId, updates: &[Member<NodeId>]) -> Vec<u8> {
    let mut bytes = vec![0x53];
    let header = Header { src: src.clone(), src_incarnation: 0, dst: dst.clone(), message: Message::Gossip };
    WireCodec.encode_header(&header, &mut bytes).expect("a Vec has room");
    bytes.put_u16(updates.len() as u16);
    for m in updates {
        WireCodec.encode_member(m, &mut bytes).expect("a Vec has room");
    }
    bytes
}

fn update() -> impl Strategy<Value = Member<NodeId>> {
    // Five peers (1..=5), two starts each, small incarnations: collisions are the point.
    (1u8..=5, 1u32..=2, 0u16..4, 0u8..3).prop_map(|(i, generation, incarnation, state)| {
        Member::new(
            node(i, generation),
            incarnation,
            [State::Alive, State::Suspect, State::Down][usize::from(state)],
        )
    })
}

/// The view of a room that took `datagrams` in this order, all at one instant.
fn view_after(me: &NodeId, datagrams: &[Vec<u8>]) -> Vec<(String, u32, Option<u16>, String)> {
    let mut room = Membership::new(me.clone(), &Settings::default(), 7);
    for d in datagrams {
        room.on_datagram(Duration::from_secs(1), d);
    }
    room.view()
        .entries()
        .iter()
        .filter(|e| &e.id != me)
        .map(|e| {
            let incarnation = e.liveness.is_active().then_some(e.incarnation);
            (e.id.name.to_string(), e.id.generation, incarnation, e.liveness.to_string())
        })
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1000, ..ProptestConfig::default() })]

    #[test]
    fn order_and_replays_do_not_change_the_view(
        batches in proptest::collection::vec(proptest::collection::vec(update(), 1..6), 1..8),
        order in any::<proptest::sample::Index>(),
        replays in proptest::collection::vec(any::<proptest::sample::Index>(), 0..4),
    ) {
        let me = node(0, 1);
        // Each datagram comes from a sender that is not among the updates, so that its header adds nothing.
        let sender = node(9, 1);
        let datagrams: Vec<Vec<u8>> = batches.iter().map(|b| datagram(&sender, &me, b)).collect();
        let first = view_after(&me, &datagrams);

        let mut shuffled = datagrams.clone();
        let k = order.index(shuffled.len());
        shuffled.rotate_left(k);
        shuffled.reverse();
        for r in &replays {
            let again = shuffled[r.index(shuffled.len())].clone();
            shuffled.push(again);
        }
        prop_assert_eq!(view_after(&me, &shuffled), first);
    }
}
