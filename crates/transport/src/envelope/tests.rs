use super::*;
use crate::Session;
use proptest::prelude::*;

fn header(name: &str, session: u64, number: u64) -> Header {
    let from = Peer { name: Name::new(name).expect("a name"), session: Session(session) };
    let to = RecipientId::from_name(&Name::new("n0").expect("a name"));
    Header { fleet: FleetId::from_name("lahore"), to, message_type: MessageType::Message, from, number }
}

#[test]
fn the_largest_envelope_has_the_maximum_size() {
    let largest = encode(&header(&"a".repeat(64), u64::MAX, u64::MAX), b"");
    assert_eq!(largest.len(), ENVELOPE_MAX_BYTES);
}

#[test]
fn decoding_reports_the_kind_of_error() {
    let good = encode(&header("n1", 7, 9), b"body");
    let mut version = good.clone();
    version[0] = 2;
    let mut sum = good.clone();
    *sum.last_mut().expect("bytes") ^= 1;
    assert_eq!(decode(&version), Err(EnvelopeError::Version));
    assert_eq!(decode(&sum), Err(EnvelopeError::Checksum));
    assert_eq!(decode(&good[..3]), Err(EnvelopeError::Truncated));
    assert_eq!(decode(b""), Err(EnvelopeError::Truncated));
    let mut without_sender = header("n1", 7, 9);
    without_sender.from.name = Name::default();
    assert_eq!(decode(&encode(&without_sender, b"")), Err(EnvelopeError::MissingSender));
    // The checksum is right, but the message type does not exist.
    let mut field = good;
    field[HEADER_OFFSET + 12] = 77;
    let sum = checksum(&field).to_le_bytes();
    field[1..HEADER_OFFSET].copy_from_slice(&sum);
    assert_eq!(decode(&field), Err(EnvelopeError::InvalidField));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(28), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn encoded_messages_decode_to_the_same(
        session: u64,
        number: u64,
        body in prop::collection::vec(any::<u8>(), 0..300)
    ) {
        let header = header("lhr-1", session, number);
        let wire = encode(&header, &body);
        prop_assert_eq!(decode(&wire), Ok((header, &body[..])));
    }

    #[test]
    fn arbitrary_input_is_an_error_and_never_a_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
        sum: bool
    ) {
        let mut bytes = bytes;
        if sum && bytes.len() >= HEADER_OFFSET {
            // A forged message: the version and the checksum are right, the rest is arbitrary.
            bytes[0] = VERSION;
            let sum = checksum(&bytes).to_le_bytes();
            bytes[1..HEADER_OFFSET].copy_from_slice(&sum);
            if let Ok((header, _)) = decode(&bytes) {
                prop_assert!(!header.from.name.as_str().is_empty());
            }
        } else {
            prop_assert!(decode(&bytes).is_err());
        }
    }

    #[test]
    fn one_flipped_bit_is_detected(at in 0usize..40, bit in 0u8..8) {
        let mut wire = encode(&header("lhr-1", 1, 2), b"some forty bytes of a body, or a few more");
        wire[at] ^= 1 << bit;
        prop_assert!(decode(&wire).is_err());
    }
}
