//! Merging updates into the view: neither their order nor repeated delivery changes the result.
//!
//! SWIM's precedence is a maximum: a later incarnation wins, at the same incarnation suspect overrides alive,
//! and dead is final for an identity. The order of arrival and replayed datagrams therefore must not matter.
//! Timers are not fired here, so only the updates change the view. The incarnation of a dead identity depends
//! on which update declared it dead first, since dead is final; it is left out of the comparison, the state
//! is compared.

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
    WireCodec.encode_header(&header, &mut bytes).expect("a Vec has space");
    bytes.put_u16(updates.len() as u16);
    for m in updates {
        WireCodec.encode_member(m, &mut bytes).expect("a Vec has space");
    }
    bytes
}

fn update() -> impl Strategy<Value = Member<NodeId>> {
    // Five peers (1..=5) with two starts each and small incarnations, so that updates often conflict.
    (1u8..=5, 1u32..=2, 0u16..4, 0u8..3).prop_map(|(i, generation, incarnation, state)| {
        Member::new(
            node(i, generation),
            incarnation,
            [State::Alive, State::Suspect, State::Down][usize::from(state)],
        )
    })
}

/// Returns the view of a node that received `datagrams` in this order, all at the same time.
fn view_after(me: &NodeId, datagrams: &[Vec<u8>]) -> Vec<(String, u32, Option<u16>, String)> {
    let mut membership = Membership::new(me.clone(), &Settings::default(), 7);
    for d in datagrams {
        membership.on_datagram(Duration::from_secs(1), d);
    }
    membership
        .view()
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
        // The sender is not among the updated nodes, so that the headers do not change their state.
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
