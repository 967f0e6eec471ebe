use super::*;

fn record(at: u64, node: &str, what: Event) -> Record {
    Record { at, node: node.to_owned(), what }
}

fn add_request(records: &mut Vec<Record>, node: &str, request: u64, from: u64, version: u64) {
    records.push(record(from, node, Event::Arrived { request }));
    records.push(record(from + 1, node, Event::Decided { request, version }));
    records.push(record(from + 3, node, Event::Left { request, version }));
}

/// Nodes a and b change from version 0 to 1 at 100; node c was paused from 50 to 200.
fn valid_history() -> Vec<Record> {
    let mut records = Vec::new();
    for node in ["a", "b", "c"] {
        records.push(record(40, node, Event::Proposed { version: 1 }));
        records.push(record(
            if node == "c" { 201 } else { 100 },
            node,
            Event::Ended { version: 1, taken: true },
        ));
        records.push(record(if node == "c" { 202 } else { 101 }, node, Event::Ready { version: 1 }));
        records.push(record(900, node, Event::Final { version: 1 }));
    }
    records.push(record(50, "c", Event::Down { ran: false }));
    records.push(record(200, "c", Event::Back));
    add_request(&mut records, "a", 1, 30, 0);
    add_request(&mut records, "b", 2, 97, 0); // Arrived before the first decision under 1, answered after it.
    add_request(&mut records, "a", 3, 98, 0);
    add_request(&mut records, "a", 4, 102, 1);
    add_request(&mut records, "c", 5, 210, 1);
    records
}

fn rules_broken(records: &[Record]) -> BTreeSet<&'static str> {
    check(records).iter().map(|b| b.rule.name()).collect()
}

fn rules_broken_with(more: &[Record]) -> BTreeSet<&'static str> {
    let mut records = valid_history();
    records.extend_from_slice(more);
    rules_broken(&records)
}

#[test]
fn valid_history_passes_with_requests_finishing_under_the_old_version() {
    assert_eq!(check(&valid_history()), Vec::new());
}

#[test]
fn each_faulty_history_breaks_the_matching_rule() {
    // Another node still decides under 0 after the first decision under 1, before any response under 1 has
    // left.
    let mut late = Vec::new();
    add_request(&mut late, "b", 9, 104, 0);
    assert_eq!(rules_broken_with(&late), BTreeSet::from(["all-or-nothing"]));
    // The same after a response under 1 has left.
    let mut later = Vec::new();
    add_request(&mut later, "b", 9, 300, 0);
    assert_eq!(rules_broken_with(&later), BTreeSet::from(["all-or-nothing", "no-going-back"]));
    // A request is decided under a document that a member rejected.
    let rejection = record(60, "b", Event::Refused { version: 1 });
    assert_eq!(rules_broken_with(&[rejection]), BTreeSet::from(["all-or-nothing"]));
    // A retry decides one request under a second version; a request is answered under another version than
    // decided.
    let twice = [record(150, "a", Event::Decided { request: 3, version: 1 })];
    assert_eq!(rules_broken_with(&twice), BTreeSet::from(["one-version-a-request"]));
    let other = [record(150, "a", Event::Left { request: 3, version: 1 })];
    assert_eq!(rules_broken_with(&other), BTreeSet::from(["one-version-a-request"]));
    // A paused node resumes and retries a request that it had begun before.
    let resumed = [
        record(49, "c", Event::Arrived { request: 9 }),
        record(203, "c", Event::Decided { request: 9, version: 0 }),
    ];
    assert_eq!(rules_broken_with(&resumed), BTreeSet::from(["stale-after-return"]));
    // A node reports itself ready before it has caught up.
    let ready = [record(200, "c", Event::Ready { version: 0 })];
    assert_eq!(rules_broken_with(&ready), BTreeSet::from(["ready-too-early"]));
    // The four ways in which a change is half taken.
    for half in [
        record(300, "b", Event::Proposed { version: 2 }),
        record(300, "b", Event::Ended { version: 1, taken: false }),
        record(901, "b", Event::Final { version: 0 }),
    ] {
        assert_eq!(rules_broken_with(&[half]), BTreeSet::from(["half-taken"]));
    }
    let mut aborted = vec![record(300, "b", Event::Ended { version: 2, taken: false })];
    add_request(&mut aborted, "b", 9, 310, 2);
    assert_eq!(rules_broken_with(&aborted), BTreeSet::from(["half-taken"]));
}

#[test]
fn isolated_node_may_finish_begun_requests_but_not_begin_under_the_old_version() {
    let isolated = |arrived: u64| {
        vec![
            record(90, "d", Event::Down { ran: true }),
            record(220, "d", Event::Back),
            record(arrived, "d", Event::Arrived { request: 9 }),
            record(arrived.max(221), "d", Event::Decided { request: 9, version: 0 }),
        ]
    };
    assert_eq!(rules_broken_with(&isolated(95)), BTreeSet::new());
    assert!(rules_broken_with(&isolated(230)).contains("stale-after-return"));
}
