use super::*;

fn at(at: u64, node: &str, what: Event) -> Record {
    Record { at, node: node.to_owned(), what }
}

fn request(out: &mut Vec<Record>, node: &str, request: u64, from: u64, version: u64) {
    out.push(at(from, node, Event::Arrived { request }));
    out.push(at(from + 1, node, Event::Decided { request, version }));
    out.push(at(from + 3, node, Event::Left { request, version }));
}

/// a and b change from 0 to 1 at 100; c was stopped from 50 to 200.
fn good() -> Vec<Record> {
    let mut out = Vec::new();
    for node in ["a", "b", "c"] {
        out.push(at(40, node, Event::Proposed { version: 1 }));
        out.push(at(if node == "c" { 201 } else { 100 }, node, Event::Ended { version: 1, taken: true }));
        out.push(at(if node == "c" { 202 } else { 101 }, node, Event::Ready { version: 1 }));
        out.push(at(900, node, Event::Final { version: 1 }));
    }
    out.push(at(50, "c", Event::Down { ran: false }));
    out.push(at(200, "c", Event::Back));
    request(&mut out, "a", 1, 30, 0);
    request(&mut out, "b", 2, 97, 0); // Arrived before the first decision under 1, answered after it.
    request(&mut out, "a", 3, 98, 0);
    request(&mut out, "a", 4, 102, 1);
    request(&mut out, "c", 5, 210, 1);
    out
}

fn names(records: &[Record]) -> BTreeSet<&'static str> {
    check(records).iter().map(|b| b.rule.name()).collect()
}

fn with(more: &[Record]) -> BTreeSet<&'static str> {
    let mut records = good();
    records.extend_from_slice(more);
    names(&records)
}

#[test]
fn a_sound_history_passes_and_a_request_that_arrived_before_may_end_under_the_old_version() {
    assert_eq!(check(&good()), Vec::new());
}

#[test]
fn each_faulty_history_is_caught_by_the_name_of_its_rule() {
    // Another node still serves under 0 after 1 was decided under, before any answer under 1 left.
    let mut late = Vec::new();
    request(&mut late, "b", 9, 104, 0);
    assert_eq!(with(&late), BTreeSet::from(["all-or-nothing"]));
    // And after an answer under 1 has left.
    let mut later = Vec::new();
    request(&mut later, "b", 9, 300, 0);
    assert_eq!(with(&later), BTreeSet::from(["all-or-nothing", "no-going-back"]));
    // A document that a member refused is decided under.
    let refusal = at(60, "b", Event::Refused { version: 1 });
    assert_eq!(with(&[refusal]), BTreeSet::from(["all-or-nothing"]));
    // One request under two versions, by a retry, and answered under another.
    let twice = [at(150, "a", Event::Decided { request: 3, version: 1 })];
    assert_eq!(with(&twice), BTreeSet::from(["one-version-a-request"]));
    let other = [at(150, "a", Event::Left { request: 3, version: 1 })];
    assert_eq!(with(&other), BTreeSet::from(["one-version-a-request"]));
    // A stopped node wakes and retries what it had begun before.
    let woke =
        [at(49, "c", Event::Arrived { request: 9 }), at(203, "c", Event::Decided { request: 9, version: 0 })];
    assert_eq!(with(&woke), BTreeSet::from(["stale-after-return"]));
    // One that was ready before it had caught up.
    let ready = [at(200, "c", Event::Ready { version: 0 })];
    assert_eq!(with(&ready), BTreeSet::from(["ready-too-early"]));
    // Half taken, in its four ways.
    for half in [
        at(300, "b", Event::Proposed { version: 2 }),
        at(300, "b", Event::Ended { version: 1, taken: false }),
        at(901, "b", Event::Final { version: 0 }),
    ] {
        assert_eq!(with(&[half]), BTreeSet::from(["half-taken"]));
    }
    let mut aborted = vec![at(300, "b", Event::Ended { version: 2, taken: false })];
    request(&mut aborted, "b", 9, 310, 2);
    assert_eq!(with(&aborted), BTreeSet::from(["half-taken"]));
}

#[test]
fn a_node_that_was_cut_off_may_finish_what_it_had_begun_and_begins_nothing_under_the_old() {
    let cut = |arrived: u64| {
        vec![
            at(90, "d", Event::Down { ran: true }),
            at(220, "d", Event::Back),
            at(arrived, "d", Event::Arrived { request: 9 }),
            at(arrived.max(221), "d", Event::Decided { request: 9, version: 0 }),
        ]
    };
    assert_eq!(with(&cut(95)), BTreeSet::new());
    assert!(with(&cut(230)).contains("stale-after-return"));
}
