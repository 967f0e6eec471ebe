use super::*;

#[test]
fn a_header_survives_a_round_trip_and_each_flipped_bit_is_detected() {
    let header =
        Header { owner: Owner::random(), number: 3, first_seq: 90, boot: 4, wall_us: 17, synced: true };
    let mut bytes = Vec::new();
    header.write(&mut bytes);
    assert_eq!(bytes.len(), HEADER_BYTES);
    assert_eq!(Header::read(&bytes), Ok(header));
    for bit in 0..8 * HEADER_BYTES {
        let mut damaged = bytes.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        assert!(Header::read(&damaged).is_err(), "bit {bit}");
    }
    assert_eq!(Header::read(&bytes[..HEADER_BYTES - 1]), Err(HeaderError::Short));
}

#[test]
fn file_names_sort_by_number_and_copies_are_recognized() {
    assert_eq!((parse_file_name(&file_name(7)), parse_file_name(&file_name(u64::MAX))), (Some(7), None));
    assert!(file_name(99) < file_name(100));
    for copy in ["00000000000000000003.seg.bak", "00000000000000000003 (1).seg", "3.seg"] {
        assert!(parse_file_name(copy).is_none() && looks_like_copy(copy), "{copy}");
    }
    assert!(!looks_like_copy("lock") && parse_file_name("99999999999999999999.seg").is_none());
}

#[test]
fn an_identity_survives_a_round_trip_and_errors_name_the_line() {
    let identity = Identity { node: "lahore 1".into(), owner: Owner::random() };
    assert_eq!(Identity::read(&identity.text()), Ok(identity.clone()));
    for (from, to, line) in [
        ("ledger 1", "ledger 2", "line 1: version 2"),
        ("magpie", "gnu", "line 1"),
        ("node ", "nod", "line 2"),
        ("owner ", "owner x", "line 3"),
    ] {
        let error = Identity::read(&identity.text().replace(from, to)).expect_err(to);
        assert!(error.starts_with(line), "{error}");
    }
}
