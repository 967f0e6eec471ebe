use super::*;
use crate::record::{AttemptOutcome, Outcome, Timestamp};

fn intent(number: u64) -> Record {
    let (id, class) = (format!("txn-{number}"), "signup".to_string());
    let (tenant, server) = (String::new(), "app-1".to_string());
    Record::Intent(Intent {
        number,
        id,
        class,
        tenant,
        key: None,
        attempt: 0,
        server,
        server_start_ms: 0,
        left_us: 0,
        at: Timestamp::default(),
        boot: 1,
    })
}

fn outcome(intent: u64) -> Record {
    Record::Outcome(Outcome { intent, how: AttemptOutcome::Done, at: Timestamp::default() })
}

fn numbers(truth: &Truth) -> Vec<u64> {
    truth.open().map(|o| o.intent.number).collect()
}

#[test]
fn an_outcome_that_overtakes_its_intent_closes_it_all_the_same() {
    let mut truth = Truth::new(8);
    for record in [outcome(2), intent(1), intent(2), intent(3), outcome(1)] {
        truth.apply(&record, true);
    }
    assert_eq!((numbers(&truth), truth.orphans()), (vec![3], 1));
}

#[test]
fn what_is_not_trusted_closes_nothing() {
    let mut truth = Truth::new(8);
    truth.apply(&intent(1), true);
    truth.apply(&outcome(1), false);
    truth.apply(&intent(2), false);
    truth.apply(&outcome(2), false);
    assert_eq!(numbers(&truth), [1, 2]);
    assert!(truth.open().all(|o| !o.trusted));
}

#[test]
fn more_than_there_is_room_for_are_counted() {
    let mut truth = Truth::new(2);
    (0..5).for_each(|n| truth.apply(&intent(n), true));
    assert_eq!((numbers(&truth), truth.over()), (vec![0, 1], 3));
    (0..5000).for_each(|n| truth.apply(&outcome(n + 10), true));
    assert_eq!((truth.early.len(), truth.orphans()), (EARLY_MOST, 5000));
}
