//! The core behind the fleet's gate: versions of the policy, quotas, and a node that may decide nothing.

mod common;

use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::*;
use magpietally_core::{
    AdmissionControl, AdmissionDecision, AdmissionRequest, Answer, ClientRequest, Core, Rejection, Setup,
};
use magpietally_policy::{Effect, Outcome, Settings};

fn take(epoch: u64) -> AdmissionDecision {
    AdmissionDecision::Admit { epoch, at: Duration::ZERO }
}

/// A gate that says what the test has laid out, and notes what it hears.
#[derive(Debug)]
struct Scripted {
    ruling: Mutex<AdmissionDecision>,
    narrowed: Arc<Settings>,
    answered: Mutex<Vec<(u64, String)>>,
}

impl AdmissionControl for Scripted {
    fn decide(&self, ask: &AdmissionRequest<'_>) -> AdmissionDecision {
        assert_eq!(ask.key, Some(&b"k"[..]));
        *self.ruling.lock().expect("no panic")
    }
    fn may_send(&self, _: u64, _: Duration) -> bool {
        self.is_ready()
    }
    fn is_changing_policy(&self) -> bool {
        false
    }
    fn is_ready(&self) -> bool {
        !matches!(*self.ruling.lock().expect("no panic"), AdmissionDecision::NoLease { .. })
    }
    fn settings(&self, epoch: u64) -> Option<Arc<Settings>> {
        (epoch >= 2).then(|| self.narrowed.clone())
    }
    fn record_answer(&self, epoch: u64, id: &str) {
        self.answered.lock().expect("no panic").push((epoch, id.to_string()));
    }
}

struct Site {
    core: Rc<Core<Boxes>>,
    gate: Arc<Scripted>,
}

impl Site {
    /// From version 2 on the first class may run once only, whatever the platform's settings allow.
    fn new() -> Self {
        let mut narrowed = settings(20_000.0);
        narrowed.classes[LOOK].effect = Effect::Unsafe;
        let gate = Arc::new(Scripted {
            ruling: Mutex::new(take(1)),
            narrowed: Arc::new(narrowed),
            answered: Mutex::default(),
        });
        let setup = Setup { admission: Some(gate.clone()), ..setup(settings(20_000.0)) };
        Self { core: Core::new(setup, Boxes::default()).expect("good settings"), gate }
    }

    fn rule(&self, ruling: AdmissionDecision) {
        *self.gate.ruling.lock().expect("no panic") = ruling;
    }

    fn ask(&self, id: &str) -> Result<impl std::future::Future<Output = Answer<()>>, Rejection> {
        let asked = ClientRequest { id: id.into(), class: LOOK, tenant: None, request: Request("k") };
        let (_, answered) = self.core.submit(asked, Instant::now() + Duration::from_secs(60))?;
        Ok(async { answered.await.expect("a final answer") })
    }
}

#[test]
fn a_request_keeps_its_version_to_its_end_and_the_next_is_decided_under_the_new_one() {
    run(async {
        let site = Site::new();
        tokio::task::spawn_local(site.core.clone().run_timer());
        let boxes = site.core.transport();
        boxes.lasts.set(Duration::from_millis(30));
        // Each first attempt of the two breaks after it may have run: what is safe runs again, what may run once does not.
        boxes.outcomes.borrow_mut().extend([Outcome::Reset, Outcome::Reset]);
        let old = site.ask("old").expect("taken");
        tokio::task::yield_now().await;
        site.rule(take(2));
        let new = site.ask("new").expect("taken");
        assert!(matches!(new.await, Answer::Failed), "under version 2 it may not run again");
        assert!(matches!(old.await, Answer::Served(())), "under version 1 it runs again");
        assert_eq!(boxes.sent.borrow().len(), 3, "one attempt under version 2, two under version 1");
        // The same settings under a later number, then the start's again.
        for epoch in [3, 4, 1] {
            site.rule(take(epoch));
            let answer = site.ask(&format!("at-{epoch}")).expect("taken").await;
            assert!(matches!(answer, Answer::Served(())), "{epoch}: {answer:?}");
        }
        let mut answered = site.gate.answered.lock().expect("no panic").clone();
        answered.sort();
        let want = [(1, "at-1"), (1, "old"), (2, "new"), (3, "at-3"), (4, "at-4")];
        assert_eq!(answered, want.map(|(epoch, id)| (epoch, id.to_string())));
    });
}

#[test]
fn what_the_gate_turns_away_is_told_when_to_return_and_leaves_nothing_behind() {
    run(async {
        let site = Site::new();
        tokio::task::spawn_local(site.core.clone().run_timer());
        site.rule(AdmissionDecision::OverQuota { retry_after: 250.0 });
        assert_eq!(site.ask("a").err(), Some(Rejection::OverQuota(250.0)));
        assert!(site.core.fleet_is_ready());
        site.rule(AdmissionDecision::NoLease { retry_after: 1000.0 });
        assert_eq!(site.ask("a").err(), Some(Rejection::Refused(1000.0)));
        assert!(!site.core.fleet_is_ready() && site.core.open_requests() == 0);
        assert!(site.core.transport().sent.borrow().is_empty());
        // Its id is free, and an open one is not asked about twice.
        site.rule(take(1));
        let first = site.ask("a").expect("its id is free again");
        assert_eq!(site.ask("a").err(), Some(Rejection::DuplicateId));
        assert!(matches!(first.await, Answer::Served(())));
    });
}

#[test]
fn a_node_that_lost_its_right_sends_nothing_more_of_what_it_had_begun_and_answers_at_once() {
    run(async {
        let site = Site::new();
        tokio::task::spawn_local(site.core.clone().run_timer());
        let boxes = site.core.transport();
        boxes.lasts.set(Duration::from_millis(30));
        // Neither ever ran at its server; each would be tried elsewhere.
        boxes.outcomes.borrow_mut().extend([Outcome::Full, Outcome::Full]);
        let (first, second) = (site.ask("1").expect("taken"), site.ask("2").expect("taken"));
        tokio::task::yield_now().await;
        site.rule(AdmissionDecision::NoLease { retry_after: 1000.0 });
        let began = Instant::now();
        assert!(matches!(first.await, Answer::Refused(_)), "trying again is harmless");
        assert!(matches!(second.await, Answer::Refused(_)));
        assert!(began.elapsed() < Duration::from_secs(10), "parked for {:?}", began.elapsed());
        assert_eq!(boxes.sent.borrow().len(), 2, "no second attempt of either");
    });
}
