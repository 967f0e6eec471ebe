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

fn numbers(open_intents: &OpenIntents) -> Vec<u64> {
    open_intents.open().map(|o| o.intent.number).collect()
}

#[test]
fn an_outcome_recorded_before_its_intent_closes_it() {
    let mut open_intents = OpenIntents::new(8);
    for record in [outcome(2), intent(1), intent(2), intent(3), outcome(1)] {
        open_intents.apply(&record, true);
    }
    assert_eq!((numbers(&open_intents), open_intents.orphans()), (vec![3], 1));
}

#[test]
fn an_untrusted_outcome_closes_nothing() {
    let mut open_intents = OpenIntents::new(8);
    open_intents.apply(&intent(1), true);
    open_intents.apply(&outcome(1), false);
    open_intents.apply(&intent(2), false);
    open_intents.apply(&outcome(2), false);
    assert_eq!(numbers(&open_intents), [1, 2]);
    assert!(open_intents.open().all(|o| !o.trusted));
}

#[test]
fn intents_and_outcomes_beyond_the_limits_are_counted() {
    let mut open_intents = OpenIntents::new(2);
    (0..5).for_each(|n| open_intents.apply(&intent(n), true));
    assert_eq!((numbers(&open_intents), open_intents.overflow()), (vec![0, 1], 3));
    (0..5000).for_each(|n| open_intents.apply(&outcome(n + 10), true));
    assert_eq!((open_intents.early_outcomes.len(), open_intents.orphans()), (EARLY_OUTCOMES_MAX, 5000));
}
