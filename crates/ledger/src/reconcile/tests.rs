use super::*;
use crate::record::{Final, Outcome, Timestamp};
use crate::segment::SegmentNo;

fn located(seq: u64, record: Record) -> LocatedRecord {
    LocatedRecord { segment: SegmentNo(1), seq, trusted: true, record }
}

fn intent(number: u64, id: &str, server: &str, key: Option<&str>) -> LocatedRecord {
    let key = key.map(|k| KeyDigest::of(k.as_bytes()));
    let (class, tenant) = (String::new(), String::new());
    let (id, server, at) = (id.to_string(), server.to_string(), Timestamp::default());
    let (attempt, server_start_ms, left_us, boot) = (0, 0, 0, 1);
    located(
        number,
        Record::Intent(Intent {
            number,
            id,
            class,
            tenant,
            key,
            attempt,
            server,
            server_start_ms,
            left_us,
            at,
            boot,
        }),
    )
}

fn outcome(intent: u64, how: AttemptOutcome) -> LocatedRecord {
    located(1000 + intent, Record::Outcome(Outcome { intent, how, at: Timestamp::default() }))
}

fn run(id: &str, server: &str, key: Option<&str>) -> ServerRun {
    ServerRun { server: server.into(), id: id.into(), class: String::new(), key: key.map(str::to_string) }
}

#[test]
fn each_kind_of_difference_is_found_and_matching_records_are_none() {
    let mut index = LedgerIndex::new();
    let final_outcome = |intent, id: &str, told| {
        let id = id.to_string();
        located(2000 + intent, Record::Final(Final { intent, id, told, at: Timestamp::default() }))
    };
    for record in [
        intent(1, "good", "a", None),
        outcome(1, AttemptOutcome::Done),
        intent(2, "unknown-ran", "a", None),
        intent(3, "unknown-not", "b", None),
        intent(4, "never-ran", "b", None),
        outcome(4, AttemptOutcome::Done),
        // A repeat that its server dropped: the first one ran elsewhere under another id.
        intent(5, "repeat", "b", Some("k")),
        outcome(5, AttemptOutcome::Done),
        intent(6, "first", "a", Some("k")),
        outcome(6, AttemptOutcome::Reset),
        outcome(7, AttemptOutcome::Full),
        intent(7, "proven", "a", None),
        intent(8, "refused", "a", None),
        outcome(8, AttemptOutcome::TimedOut),
        final_outcome(8, "refused", FinalOutcome::Refused),
        intent(9, "other-box", "a", None),
        outcome(9, AttemptOutcome::Reset),
        intent(10, "failed-write", "b", None),
        located(3000, Record::Doubt { segment: 1, from: 10 }),
    ] {
        index.add(0, &record);
    }
    // Each ledger has its own intent numbers.
    index.add(1, &intent(1, "elsewhere", "c", None));
    index.add(1, &outcome(1, AttemptOutcome::Reset));
    let runs = [
        run("good", "a", None),
        run("unknown-ran", "a", None),
        run("first", "a", Some("k")),
        run("proven", "a", None),
        run("refused", "a", None),
        run("other-box", "b", None),
        run("stranger", "b", None),
        run("stranger", "c", None),
    ];
    let differences: Vec<String> = index.compare(&runs).iter().map(Difference::to_string).collect();
    assert_eq!(
        differences,
        [
            "other-box: ran at b, but not in the ledger",
            "stranger: ran at b, but not in the ledger",
            "stranger: ran at c, but not in the ledger",
            "stranger: ran 2 times, at b, c",
            "never-ran: in the ledger as answered by b, but never ran",
            "refused: refused, but ran at a",
            "proven: the ledger proves that a did not run it, but it did",
            "unknown-ran: unknown, and ran at a (intent 2)",
            "unknown-not: unknown, and did not run at b (intent 3)",
        ]
    );
}
