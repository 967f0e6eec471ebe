//! The core with a ledger on a simulated disk.

mod common;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use common::*;
use magpietally_core::{Answer, ClientRequest, Core, Rejection, Setup};
use magpietally_ledger::directory::{recover, ReadScope};
use magpietally_ledger::journal::{Durability, Journal, JournalOptions};
use magpietally_ledger::record::{AttemptOutcome, Record};
use magpietally_ledger::recovery::RecoveryLimits;
use magpietally_ledger::segment::Owner;
use magpietally_ledger::sim::{DiskFault, SimDisk};
use magpietally_ledger::{FinalOutcome, Ledger, Options, WriterHandle};
use magpietally_policy::Outcome;

const OWNER: Owner = Owner([7; 16]);

fn options() -> Options {
    let journal_options = JournalOptions {
        durability: Durability::PowerLoss,
        segment_bytes: 1 << 20,
        segment_age_us: 1 << 40,
        segments: 10,
        age_us: 1 << 60,
        open: 100,
        backlog: 100,
    };
    Options { directory: "simulated".into(), journal_options, queue: 16, stall: Duration::from_secs(20) }
}

struct TestNode {
    core: Rc<Core<TestTransport>>,
    disk: SimDisk,
    ledger: Ledger,
    running: WriterHandle,
}

impl TestNode {
    /// With a latency target far beyond what a test waits, so that no attempt times out.
    fn new(disk: SimDisk, options: Options) -> Self {
        Self::with_aim(disk, options, 20_000.0)
    }

    fn with_aim(disk: SimDisk, options: Options, aim: f64) -> Self {
        let (journal, recovered) =
            Journal::open(disk.clone(), OWNER, options.journal_options).expect("names can be read");
        let (ledger, running) = Ledger::run(journal, &recovered, options, None).expect("a thread");
        let setup = Setup { ledger: Some(ledger.clone()), ..setup(settings(aim)) };
        let core = Core::new(setup, TestTransport::default()).expect("good settings");
        Self { core, disk, ledger, running }
    }

    fn submit(
        &self,
        class: usize,
        id: &str,
    ) -> Result<impl std::future::Future<Output = Answer<()>>, Rejection> {
        let request = ClientRequest { id: id.into(), class, tenant: None, request: Request("k") };
        let (_, answered) = self.core.submit(request, Instant::now() + Duration::from_secs(60))?;
        Ok(async { answered.await.expect("a final answer") })
    }

    fn sent(&self) -> usize {
        self.core.transport().sent.borrow().len()
    }

    /// Stops the ledger's writer and returns what was recorded, by request.
    fn close(self) -> BTreeMap<String, Vec<String>> {
        assert!(self.running.close(Duration::from_secs(20)), "the writer stops");
        let (mut all, mut owners) = (BTreeMap::<String, Vec<String>>::new(), BTreeMap::new());
        let mut note = |id: &str, entry: String| all.entry(id.to_string()).or_default().push(entry);
        let mut disk = SimDisk::with_files(self.disk.files());
        recover(&mut disk, OWNER, RecoveryLimits::default(), ReadScope::All, &mut |seen| match seen.record {
            Record::Intent(i) => {
                note(&i.id, format!("to {}", i.server));
                owners.insert(i.number, i.id);
            }
            Record::Outcome(o) => note(&owners[&o.intent], format!("{:?}", o.how)),
            Record::Final(f) => note(&f.id, format!("final {:?}", f.told)),
            _ => {}
        })
        .expect("names can be read");
        all
    }
}

#[test]
fn only_requests_that_must_not_run_twice_wait_for_the_ledger() {
    run(async {
        let node = TestNode::new(SimDisk::default(), options());
        tokio::task::spawn_local(node.core.clone().run_timer());
        let delay = Duration::from_millis(60);
        node.disk.set_latency(delay);
        let began = Instant::now();
        let (keyed, unsafe_one, safe) =
            (node.submit(KEYED, "1"), node.submit(UNSAFE, "2"), node.submit(SAFE, "3"));
        let safe = safe.expect("accepted").await;
        assert!(matches!(safe, Answer::Served(())));
        // Each is preceded by at least one write and one sync of the ledger.
        for accepted in [keyed, unsafe_one] {
            let answer = match accepted {
                Ok(answer) => answer.await,
                Err(rejection) => panic!("{rejection:?}"),
            };
            assert!(matches!(answer, Answer::Served(())));
        }
        let sent = node.core.transport().sent.borrow().clone();
        assert_eq!(sent.len(), 3);
        assert!(sent[1..].iter().all(|(at, _)| *at - began >= 2 * delay), "sent before the ledger confirmed");
        let recorded = node.close();
        assert_eq!(recorded.len(), 2, "the safe request is not recorded: {recorded:?}");
        assert!(
            recorded.values().all(|n| n.len() == 3 && n[1..] == ["Done", "final Served"]),
            "{recorded:?}"
        );
    });
}

#[test]
fn a_full_disk_refuses_requests_that_need_it_serves_the_rest_and_recovers() {
    run(async {
        let node = TestNode::new(SimDisk::default(), options());
        tokio::task::spawn_local(node.core.clone().run_timer());
        node.disk.fail(node.disk.calls()..usize::MAX, DiskFault::NoSpace);
        // The intent of the first request fails on the full disk; the next requests are rejected on arrival.
        let first = node.submit(UNSAFE, "1").expect("the failure is not known yet").await;
        assert!(matches!(first, Answer::Refused(after) if after > 0.0), "{first:?}");
        assert_eq!(node.ledger.check_available(), Err(magpietally_ledger::IntentError::Down));
        assert!(
            node.ledger.status_line().starts_with("ledger down (write: "),
            "{}",
            node.ledger.status_line()
        );
        for (class, id) in [(UNSAFE, "2"), (KEYED, "3")] {
            match node.submit(class, id) {
                Err(Rejection::Refused(after)) => assert!(after > 0.0),
                Err(other) => panic!("{other:?}"),
                Ok(_) => panic!("accepted while the disk is full"),
            }
        }
        assert!(matches!(node.submit(SAFE, "4").expect("accepted").await, Answer::Served(())));
        assert_eq!(node.sent(), 1, "no attempt that needs an intent was sent");
        node.disk.repair();
        until(|| node.ledger.check_available().is_ok()).await;
        assert!(matches!(node.submit(UNSAFE, "5").expect("accepted").await, Answer::Served(())));
        let recorded = node.close();
        assert!(!recorded.contains_key("2") && recorded["5"].len() == 3, "{recorded:?}");
    });
}

#[test]
fn a_failed_sync_confirms_nothing_although_the_data_may_be_on_disk() {
    run(async {
        let node = TestNode::new(SimDisk::default(), options());
        tokio::task::spawn_local(node.core.clone().run_timer());
        // The write succeeds; the sync after it fails.
        node.disk.fail(node.disk.calls() + 1..node.disk.calls() + 2, DiskFault::Io);
        assert!(matches!(node.submit(KEYED, "1").expect("accepted").await, Answer::Refused(_)));
        assert_eq!(node.sent(), 0);
        until(|| node.ledger.check_available().is_ok()).await;
        assert!(matches!(node.submit(KEYED, "2").expect("accepted").await, Answer::Served(())));
    });
}

#[test]
fn a_hanging_disk_is_reported_as_slow_and_waiting_requests_are_answered_in_time() {
    run(async {
        let stall = Duration::from_millis(50);
        let node = TestNode::with_aim(SimDisk::default(), Options { stall, ..options() }, 500.0);
        tokio::task::spawn_local(node.core.clone().run_timer());
        node.disk.set_latency(Duration::from_millis(1500));
        let request = ClientRequest { id: "1".into(), class: UNSAFE, tenant: None, request: Request("k") };
        let (_, waits) =
            node.core.submit(request, Instant::now() + Duration::from_millis(400)).expect("accepted");
        until(|| node.ledger.check_available() == Err(magpietally_ledger::IntentError::Slow)).await;
        assert!(matches!(node.submit(UNSAFE, "2"), Err(Rejection::Refused(_))));
        assert!(matches!(node.submit(SAFE, "3").expect("accepted").await, Answer::Served(())));
        let answer = waits.await.expect("a final answer");
        assert!(matches!(answer, Answer::Refused(_) | Answer::Failed), "{answer:?}");
        assert_eq!(node.sent(), 1, "only the safe request");
        node.disk.repair();
        // The attempt whose request no longer waited was not sent, and is recorded so.
        let recorded = node.close();
        assert_eq!(recorded["1"][1..], ["NotSent"], "{recorded:?}");
    });
}

/// Two concurrent attempts of one request have two intents, each with its own outcome.
#[test]
fn each_attempt_has_an_intent_of_its_own() {
    run(async {
        let node = TestNode::new(SimDisk::default(), options());
        tokio::task::spawn_local(node.core.clone().run_timer());
        *node.core.transport().outcomes.borrow_mut() = vec![Outcome::Done, Outcome::Reset, Outcome::Full];
        assert!(matches!(node.submit(KEYED, "1").expect("accepted").await, Answer::Served(())));
        let recorded = &node.close()["1"];
        let outcomes: Vec<&String> = recorded.iter().filter(|n| !n.starts_with("to ")).collect();
        assert_eq!(outcomes, ["Full", "Reset", "Done", "final Served"], "{recorded:?}");
    });
}

#[test]
fn a_client_that_leaves_and_its_cancelled_attempt_are_recorded() {
    run(async {
        let node = TestNode::new(SimDisk::default(), options());
        tokio::task::spawn_local(node.core.clone().run_timer());
        node.core.transport().delay.set(Duration::from_secs(20));
        let request = ClientRequest { id: "1".into(), class: UNSAFE, tenant: None, request: Request("k") };
        let (id, _) = node.core.submit(request, Instant::now() + Duration::from_secs(60)).expect("accepted");
        until(|| node.sent() == 1).await;
        node.core.client_gone(id);
        let recorded = &node.close()["1"];
        assert!(recorded.contains(&format!("final {:?}", FinalOutcome::Abandoned)), "{recorded:?}");
        let cancelled = recorded.contains(&format!("{:?}", AttemptOutcome::Cancelled));
        assert!(cancelled || recorded.len() == 2, "an attempt not cancelled is still open: {recorded:?}");
    });
}
