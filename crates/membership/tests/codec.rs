//! Property tests of the datagram codec: arbitrary bytes, round trips, and every truncation of an encoded
//! datagram.

use std::net::{Ipv4Addr, SocketAddrV4};

use bytes::BufMut;
use foca::{Codec, Header, Member, Message, State};
use magpietally_membership::{
    decode, encode_leave, encode_name_query, encode_name_response, Datagram, ListenerId, Name, NameQuery,
    NameResponse, NodeId, WireCodec,
};
use proptest::prelude::*;

fn id() -> impl Strategy<Value = NodeId> {
    (any::<[u8; 4]>(), any::<u16>(), "[a-z0-9._-]{1,64}", any::<u32>()).prop_map(
        |(ip, port, name, generation)| NodeId {
            addr: SocketAddrV4::new(Ipv4Addr::from(ip), port),
            name: Name::new(&name).expect("the pattern holds only allowed characters"),
            generation,
        },
    )
}

fn message() -> impl Strategy<Value = Message<NodeId>> {
    prop_oneof![
        any::<u8>().prop_map(Message::Ping),
        any::<u8>().prop_map(Message::Ack),
        (id(), any::<u8>()).prop_map(|(target, probe_number)| Message::PingReq { target, probe_number }),
        (id(), any::<u8>()).prop_map(|(origin, probe_number)| Message::IndirectPing { origin, probe_number }),
        (id(), any::<u8>()).prop_map(|(target, probe_number)| Message::IndirectAck { target, probe_number }),
        (id(), any::<u8>()).prop_map(|(origin, probe_number)| Message::ForwardedAck { origin, probe_number }),
        Just(Message::Announce),
        Just(Message::Feed),
        Just(Message::Gossip),
        Just(Message::Broadcast),
        Just(Message::TurnUndead),
    ]
}

fn member() -> impl Strategy<Value = Member<NodeId>> {
    (id(), any::<u16>(), 0u8..3).prop_map(|(id, incarnation, state)| {
        let state = [State::Alive, State::Suspect, State::Down][usize::from(state)];
        Member::new(id, incarnation, state)
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, ..ProptestConfig::default() })]

    #[test]
    fn encoded_name_messages_decode_to_themselves_and_truncated_or_longer_ones_are_rejected(
        from in id(), nonce in any::<u64>(), sent_ms in any::<u64>(), uptime_ms in any::<u64>(),
        listener in proptest::option::of((any::<u128>(), any::<u64>()))
    ) {
        let query = NameQuery { from: from.clone(), nonce, sent_ms };
        let listener = listener.map(|(boot, inode)| ListenerId { boot, inode });
        let response = NameResponse { from, nonce, sent_ms, uptime_ms, listener };
        let encoded = [
            (encode_name_query(&query), Datagram::NameQuery(query)),
            (encode_name_response(&response), Datagram::NameResponse(response)),
        ];
        for (mut bytes, datagram) in encoded {
            prop_assert_eq!(decode(&bytes), Ok(datagram));
            for n in 0..bytes.len() {
                prop_assert!(decode(&bytes[..n]).is_err());
            }
            bytes.push(0);
            prop_assert!(decode(&bytes).is_err());
        }
    }

    #[test]
    fn encoded_messages_decode_to_themselves_and_truncated_ones_are_rejected(
        src in id(), dst in id(), src_incarnation in any::<u16>(), message in message(), members in proptest::collection::vec(member(), 0..8)
    ) {
        let header = Header { src, src_incarnation, dst, message };
        let mut bytes = Vec::new();
        WireCodec.encode_header(&header, &mut bytes).expect("a Vec has space");
        let header_len = bytes.len();
        for m in &members {
            WireCodec.encode_member(m, &mut bytes).expect("a Vec has space");
        }
        let mut rest = &bytes[..];
        prop_assert_eq!(WireCodec.decode_header(&mut rest).expect("an encoded header"), header.clone());
        for m in &members {
            prop_assert_eq!(&WireCodec.decode_member(&mut rest).expect("an encoded member"), m);
        }
        prop_assert!(rest.is_empty());
        for len in 0..header_len {
            prop_assert!(WireCodec.decode_header(&bytes[..len]).is_err(), "a header truncated at {} was accepted", len);
        }
    }

    #[test]
    fn a_full_buffer_is_an_error_and_not_a_panic(m in member(), space in 0usize..80) {
        let mut buf = [0u8; 80];
        let mut limited = (&mut buf[..]).limit(space);
        let fits = space >= 14 + m.id().name.as_str().len();
        prop_assert_eq!(WireCodec.encode_member(&m, &mut limited).is_ok(), fits);
    }

    #[test]
    fn arbitrary_bytes_never_cause_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..1500)) {
        let _ = decode(&bytes);
        let _ = WireCodec.decode_header(&bytes[..]);
        let _ = WireCodec.decode_member(&bytes[..]);
    }

    #[test]
    fn a_leave_decodes_to_itself_and_any_other_length_is_rejected(id in id(), extra in 1usize..4) {
        let bytes = encode_leave(&id);
        prop_assert_eq!(decode(&bytes), Ok(Datagram::Leave(id.clone())));
        for len in 1..bytes.len() {
            prop_assert!(decode(&bytes[..len]).is_err());
        }
        let mut longer = bytes.clone();
        longer.extend(std::iter::repeat_n(0u8, extra));
        prop_assert!(decode(&longer).is_err());
    }
}
