use super::*;
use crate::Session;
use proptest::prelude::*;

fn head(name: &str, session: u64, number: u64) -> Header {
    let from = Peer { name: Name::new(name).expect("a name"), session: Session(session) };
    let to = RecipientId::from_name(&Name::new("n0").expect("a name"));
    Header { fleet: FleetId::from_name("lahore"), to, message_type: MessageType::Message, from, number }
}

#[test]
fn the_largest_envelope_is_as_stated() {
    let largest = encode(&head(&"a".repeat(64), u64::MAX, u64::MAX), b"");
    assert_eq!(largest.len(), ENVELOPE_MAX_BYTES);
}

#[test]
fn what_is_wrong_is_named() {
    let good = encode(&head("n1", 7, 9), b"body");
    let mut version = good.clone();
    version[0] = 2;
    let mut sum = good.clone();
    *sum.last_mut().expect("bytes") ^= 1;
    assert_eq!(decode(&version), Err(EnvelopeError::Version));
    assert_eq!(decode(&sum), Err(EnvelopeError::Checksum));
    assert_eq!(decode(&good[..3]), Err(EnvelopeError::Truncated));
    assert_eq!(decode(b""), Err(EnvelopeError::Truncated));
    let mut nameless = head("n1", 7, 9);
    nameless.from.name = Name::default();
    assert_eq!(decode(&encode(&nameless, b"")), Err(EnvelopeError::MissingSender));
    // Summed rightly, and still no head: a kind that does not exist.
    let mut field = good;
    field[HEAD_AT + 12] = 77;
    let sum = checksum(&field).to_le_bytes();
    field[1..HEAD_AT].copy_from_slice(&sum);
    assert_eq!(decode(&field), Err(EnvelopeError::InvalidField));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(28), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_was_encoded_is_read_back(session: u64, number: u64, body in prop::collection::vec(any::<u8>(), 0..300)) {
        let head = head("lhr-1", session, number);
        let wire = encode(&head, &body);
        prop_assert_eq!(decode(&wire), Ok((head, &body[..])));
    }

    #[test]
    fn anything_strange_is_an_error_and_never_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..300), sum: bool) {
        let mut bytes = bytes;
        if sum && bytes.len() >= HEAD_AT {
            // As a liar would send it: version and checksum right, the rest anything.
            bytes[0] = VERSION;
            let sum = checksum(&bytes).to_le_bytes();
            bytes[1..HEAD_AT].copy_from_slice(&sum);
            if let Ok((head, _)) = decode(&bytes) {
                prop_assert!(!head.from.name.as_str().is_empty());
            }
        } else {
            prop_assert!(decode(&bytes).is_err());
        }
    }

    #[test]
    fn one_flipped_bit_is_found(at in 0usize..40, bit in 0u8..8) {
        let mut wire = encode(&head("lhr-1", 1, 2), b"some forty bytes of a body, or a few more");
        wire[at] ^= 1 << bit;
        prop_assert!(decode(&wire).is_err());
    }
}
