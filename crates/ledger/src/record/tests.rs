use super::*;

fn long(n: usize) -> String {
    "ü".repeat(n)
}

#[test]
fn every_record_survives_a_round_trip_and_the_longest_fits() {
    let at = Timestamp { wall_us: 1_800_000_000_000_000, mono_us: 5 };
    let intent = Intent {
        number: 7,
        id: "x".repeat(ID_MAX_BYTES),
        class: long(NAME_MAX_BYTES / 2),
        tenant: long(NAME_MAX_BYTES / 2),
        key: Some(KeyDigest::of(b"club-7")),
        attempt: u16::MAX,
        server: long(NAME_MAX_BYTES / 2),
        server_start_ms: u64::MAX,
        left_us: 1,
        at,
        boot: 9,
    };
    let mut records: Vec<Record> = AttemptOutcome::ALL
        .into_iter()
        .map(|how| Record::Outcome(Outcome { intent: 7, how, at }))
        .chain([
            Record::Intent(Intent { key: None, ..intent.clone() }),
            Record::Final(Final { intent: 7, id: intent.id.clone(), told: FinalOutcome::Abandoned, at }),
            Record::Settled(Settled { intent: 7, ran: true, at }),
            Record::Checkpoint { carried: 3 },
            Record::Doubt { segment: 2, from: 9 },
            Record::Closed { last: true },
        ])
        .collect();
    records.push(Record::Carried(Carried { intent, trusted: false }));
    let salt = Salt::of([3; 16], 1);
    for (seq, record) in records.iter().enumerate() {
        let mut bytes = Vec::new();
        encode(record, seq as u64, salt, &mut bytes);
        assert!(bytes.len() <= FRAME_MAX_BYTES, "{} bytes", bytes.len());
        let ParsedFrame::Frame { seq: read, kind, payload } = parse(&bytes, salt) else {
            panic!("{record:?}")
        };
        assert_eq!((read, Record::read(kind, payload).as_ref()), (seq as u64, Some(record)));
        assert_eq!(parse(&bytes, Salt::of([3; 16], 2)), ParsedFrame::Invalid, "frame of another segment");
        assert_eq!(parse(&bytes, Salt::of([4; 16], 1)), ParsedFrame::Invalid, "frame of another node");
        for cut in 0..bytes.len() {
            assert_eq!(parse(&bytes[..cut], salt), ParsedFrame::Incomplete, "cut at {cut}");
        }
    }
}

#[test]
fn a_text_that_is_too_long_is_truncated_at_a_whole_character() {
    let mut to = Vec::new();
    write_text(&mut to, &format!("a{}", long(100)), NAME_MAX_BYTES);
    assert_eq!(PayloadReader(&to).text(), Some(format!("a{}", long(63))));
}
