//! The same seed gives the same result, whatever runs in parallel and in whatever order.

use std::collections::BTreeMap;

use magpietally_site::examples;
use magpietally_site::experiment::{table, Line, Plan, StoredResult};
use magpietally_site::model::faults::{Fault, FaultKind};
use magpietally_site::virt::{run, Variant};

const FILE: &str = r#"
name = "same"
sites = [
    { site = "node_crash", name = "a", set = { for_s = 14.0 } },
    { site = "release", name = "b", set = { for_s = 14.0, "clients.load" = 0.5 } },
    { site = "list_down", name = "c", set = { for_s = 14.0, "faults.0.at_s" = 4.0 } },
]
seeds = 2

[[variants]]
name = "policy"

[[variants]]
name = "two"
pick = "two_choices"
"#;

fn lines(threads: usize) -> (Vec<String>, String) {
    let plan = Plan::parse(FILE, |_| Err("no file".into())).expect("valid");
    let (mut lines, mut results) = (Vec::new(), BTreeMap::new());
    plan.run_jobs(&BTreeMap::new(), threads, |job, run| {
        results.insert(job.digest.clone(), StoredResult::from(run));
        lines.push(serde_json::to_string(&Line { digest: &job.digest, run }).expect("numbers and names"));
    });
    lines.sort();
    (lines, table(&plan.compare(&results)))
}

#[test]
fn one_thread_and_four_give_the_same_bytes() {
    let (one, four) = (lines(1), lines(4));
    assert_eq!(one.0.len(), 12);
    assert_eq!(one, four);
}

#[test]
fn an_interrupted_experiment_resumes_where_it_ended() {
    let (all, whole) = lines(4);
    let plan = Plan::parse(FILE, |_| Err("no file".into())).expect("valid");
    // Five complete lines, a line of another experiment and half of a sixth line.
    let half = &all[5][..all[5].len() / 2];
    let before = format!("{}\n{{\"digest\":\"other\",\"run\":{{}}}}\n{half}", all[..5].join("\n"));
    let mut results = plan.resume(&before);
    assert_eq!(results.len(), 5);
    let (done, mut ran) = (results.clone(), 0);
    plan.run_jobs(&done, 2, |job, run| {
        ran += 1;
        results.insert(job.digest.clone(), StoredResult::from(run));
    });
    assert_eq!(ran, 7, "stored runs are not repeated");
    assert_eq!(table(&plan.compare(&results)), whole);
}

#[test]
fn a_field_that_cannot_be_set_is_named_in_the_error() {
    for (field, words) in [
        ("\"clients.lod\" = 0.5", "lod"),
        ("\"clients.classes.9.aim_ms\" = 1.0", "there is no 9"),
        ("\"network.jitter\" = -1.0", "network.jitter: -1"),
    ] {
        let file = FILE.replace("for_s = 14.0 } }", &format!("for_s = 14.0, {field} }} }}"));
        let wrong = Plan::parse(&file, |_| Err("no file".into())).expect_err(words).join("\n");
        assert!(wrong.contains(words) && wrong.contains("sites[0]"), "{words}: {wrong}");
    }
}

#[test]
fn another_seed_gives_other_requests_and_another_variant_the_same() {
    let mut site = examples::site("calm").expect("it is embedded");
    site.for_s = 5.0;
    let requests = |seed| run(&site, seed, &Variant::policy()).verdict.whole.requests;
    assert_ne!(requests(1), requests(2));
    let random = Variant::baseline(magpietally_site::virt::Pick::Random);
    assert_eq!(run(&site, 1, &random).verdict.whole.requests, requests(1));
}

/// Overlapping faults, a box that restarts under its name while attempts to its previous process are in
/// flight, and a node that crashes at the same time.
#[test]
fn overlapping_faults_break_no_rule() {
    let mut site = examples::site("calm").expect("it is embedded");
    site.for_s = 14.0;
    let fault = |kind, at_s, for_s, boxes: &[&str]| Fault {
        boxes: boxes.iter().map(|b| b.to_string()).collect(),
        ..Fault::new(kind, at_s, for_s)
    };
    site.faults = vec![
        fault(FaultKind::BoxCrash, 3.0, 2.0, &["std-1", "std-2"]),
        fault(FaultKind::BoxCrash, 4.0, 2.0, &["std-2", "slow-0"]),
        fault(FaultKind::Hang, 3.5, 4.0, &["std-2", "std-3"]),
        fault(FaultKind::Hang, 5.0, 1.0, &["std-3"]),
        Fault { part: Some(0.3), step_ms: Some(700.0), ..Fault::new(FaultKind::Release, 6.0, 0.0) },
        Fault { part: Some(0.3), ..Fault::new(FaultKind::NodeCrash, 5.0, 2.0) },
        Fault { share: Some(0.1), ..Fault::new(FaultKind::LostAnswers, 4.0, 5.0) },
        Fault { share: Some(0.1), ..Fault::new(FaultKind::BreakAfter, 4.0, 5.0) },
    ];
    site.check().expect("valid");
    for seed in 1..=4 {
        let run = run(&site, seed, &Variant::policy());
        assert_eq!(run.verdict.rules_broken(), 0, "{:?}", run.verdict.breaches);
        assert!(run.verdict.whole.failed > 0 && run.verdict.worth > 0.6, "{}", run.verdict.worth);
    }
}

#[test]
fn all_errors_of_a_file_are_reported_at_once() {
    let text = examples::text("club").expect("it is embedded");
    let wrong = text.replace("jitter = 0.2", "jitter = -1.0").replace("cores = 2", "cores = 0");
    let wrong =
        wrong + "[[faults]]\nkind = \"hang\"\nat_s = 1.0\nfor_s = 1.0\nshare = 0.5\nboxes = [\"std-77\"]\n";
    let words = magpietally_site::model::spec::Site::parse(&wrong).expect_err("it is wrong").join("\n");
    for field in [
        "network.jitter: -1",
        "boxes[0].cores",
        "boxes[1].cores",
        "faults[0].share: hang takes none",
        "faults[0].boxes: there is no box \"std-77\"",
    ] {
        assert!(words.contains(field), "{field} is missing in:\n{words}");
    }
    let unknown = text.replace("jitter = 0.2", "jiter = 0.2");
    let words = magpietally_site::model::spec::Site::parse(&unknown).expect_err("it is wrong").join("\n");
    assert!(words.contains("jiter") && words.contains("line 10"), "{words}");
}
