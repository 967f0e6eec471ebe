//! The core with admission control: policy versions, quotas, and a node without a lease.

mod common;

use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::*;
use magpietally_core::{
    AdmissionControl, AdmissionDecision, AdmissionRequest, Answer, ClientRequest, Core, Rejection, Setup,
};
use magpietally_policy::{Effect, Outcome, Settings};

fn admit(epoch: u64) -> AdmissionDecision {
    AdmissionDecision::Admit { epoch, at: Duration::ZERO }
}

/// Admission control that returns the decision set by the test, and records the answers.
#[derive(Debug)]
struct ScriptedAdmission {
    decision: Mutex<AdmissionDecision>,
    restricted: Arc<Settings>,
    answered: Mutex<Vec<(u64, String)>>,
}

impl AdmissionControl for ScriptedAdmission {
    fn decide(&self, request: &AdmissionRequest<'_>) -> AdmissionDecision {
        assert_eq!(request.key, Some(&b"k"[..]));
        *self.decision.lock().expect("no panic")
    }
    fn may_send(&self, _: u64, _: Duration) -> bool {
        self.is_ready()
    }
    fn is_changing_policy(&self) -> bool {
        false
    }
    fn is_ready(&self) -> bool {
        !matches!(*self.decision.lock().expect("no panic"), AdmissionDecision::NoLease { .. })
    }
    fn settings(&self, epoch: u64) -> Option<Arc<Settings>> {
        (epoch >= 2).then(|| self.restricted.clone())
    }
    fn record_answer(&self, epoch: u64, id: &str) {
        self.answered.lock().expect("no panic").push((epoch, id.to_string()));
    }
}

struct TestNode {
    core: Rc<Core<TestTransport>>,
    admission: Arc<ScriptedAdmission>,
}

impl TestNode {
    /// From version 2 on a request of the first class may run only once, although the platform's settings
    /// allow repeats.
    fn new() -> Self {
        let mut restricted = settings(20_000.0);
        restricted.classes[SAFE].effect = Effect::Unsafe;
        let admission = Arc::new(ScriptedAdmission {
            decision: Mutex::new(admit(1)),
            restricted: Arc::new(restricted),
            answered: Mutex::default(),
        });
        let setup = Setup { admission: Some(admission.clone()), ..setup(settings(20_000.0)) };
        Self { core: Core::new(setup, TestTransport::default()).expect("good settings"), admission }
    }

    fn set_decision(&self, decision: AdmissionDecision) {
        *self.admission.decision.lock().expect("no panic") = decision;
    }

    fn submit(&self, id: &str) -> Result<impl std::future::Future<Output = Answer<()>>, Rejection> {
        let request = ClientRequest { id: id.into(), class: SAFE, tenant: None, request: Request("k") };
        let (_, answered) = self.core.submit(request, Instant::now() + Duration::from_secs(60))?;
        Ok(async { answered.await.expect("a final answer") })
    }
}

#[test]
fn a_request_keeps_its_version_and_the_next_is_decided_under_the_new_one() {
    run(async {
        let node = TestNode::new();
        tokio::task::spawn_local(node.core.clone().run_timer());
        let transport = node.core.transport();
        transport.delay.set(Duration::from_millis(30));
        // The first attempt of each request fails after it may have run. A safe request is retried, an unsafe
        // one is not.
        transport.outcomes.borrow_mut().extend([Outcome::Reset, Outcome::Reset]);
        let old = node.submit("old").expect("accepted");
        tokio::task::yield_now().await;
        node.set_decision(admit(2));
        let new = node.submit("new").expect("accepted");
        assert!(matches!(new.await, Answer::Failed), "under version 2 it must not run again");
        assert!(matches!(old.await, Answer::Served(())), "under version 1 it is retried");
        assert_eq!(transport.sent.borrow().len(), 3, "one attempt under version 2, two under version 1");
        // A later version with the same settings, then the initial settings again.
        for epoch in [3, 4, 1] {
            node.set_decision(admit(epoch));
            let answer = node.submit(&format!("at-{epoch}")).expect("accepted").await;
            assert!(matches!(answer, Answer::Served(())), "{epoch}: {answer:?}");
        }
        let mut answered = node.admission.answered.lock().expect("no panic").clone();
        answered.sort();
        let want = [(1, "at-1"), (1, "old"), (2, "new"), (3, "at-3"), (4, "at-4")];
        assert_eq!(answered, want.map(|(epoch, id)| (epoch, id.to_string())));
    });
}

#[test]
fn a_rejected_request_gets_a_retry_time_and_leaves_no_state_behind() {
    run(async {
        let node = TestNode::new();
        tokio::task::spawn_local(node.core.clone().run_timer());
        node.set_decision(AdmissionDecision::OverQuota { retry_after: 250.0 });
        assert_eq!(node.submit("a").err(), Some(Rejection::OverQuota(250.0)));
        assert!(node.core.fleet_is_ready());
        node.set_decision(AdmissionDecision::NoLease { retry_after: 1000.0 });
        assert_eq!(node.submit("a").err(), Some(Rejection::Refused(1000.0)));
        assert!(!node.core.fleet_is_ready() && node.core.open_requests() == 0);
        assert!(node.core.transport().sent.borrow().is_empty());
        // The id is free again, and a duplicate of an open request is rejected.
        node.set_decision(admit(1));
        let first = node.submit("a").expect("its id is free again");
        assert_eq!(node.submit("a").err(), Some(Rejection::DuplicateId));
        assert!(matches!(first.await, Answer::Served(())));
    });
}

#[test]
fn a_node_that_lost_its_lease_sends_no_further_attempts_and_answers_at_once() {
    run(async {
        let node = TestNode::new();
        tokio::task::spawn_local(node.core.clone().run_timer());
        let transport = node.core.transport();
        transport.delay.set(Duration::from_millis(30));
        // Neither request ran at its server, so normally each would be tried at another one.
        transport.outcomes.borrow_mut().extend([Outcome::Full, Outcome::Full]);
        let (first, second) = (node.submit("1").expect("accepted"), node.submit("2").expect("accepted"));
        tokio::task::yield_now().await;
        node.set_decision(AdmissionDecision::NoLease { retry_after: 1000.0 });
        let began = Instant::now();
        assert!(matches!(first.await, Answer::Refused(_)), "the client can safely retry");
        assert!(matches!(second.await, Answer::Refused(_)));
        assert!(began.elapsed() < Duration::from_secs(10), "answered only after {:?}", began.elapsed());
        assert_eq!(transport.sent.borrow().len(), 2, "no second attempt of either");
    });
}
