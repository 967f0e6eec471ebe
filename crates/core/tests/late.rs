//! Attempts that are decided in time and could be written too late.

mod common;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use common::{run, settings, setup, until, Boxes, Request, SLIP};
use magpietally_core::{
    Answer, AttemptResult, ClientRequest, Core, ListStreamEnd, ListedServer, ServerListing, Target,
    UpstreamTransport,
};
use magpietally_policy::{DedupScope, Effect, ListedState, Outcome, RequestId, ServerId, Settings};

/// Keeps each attempt until it is told to go on, and notes whether it might be written when it began, and then.
#[derive(Default)]
struct Slow {
    asked: RefCell<Vec<(Target, bool, Option<bool>)>>,
    /// The first attempts end so, at once.
    first: Cell<Option<Outcome>>,
    go_on: Cell<usize>,
}

impl UpstreamTransport for Slow {
    type Request = Request;
    type Reply = ();

    async fn attempt(core: Rc<Core<Self>>, to: Target, _: Rc<Request>) -> AttemptResult<()> {
        let slow = core.transport();
        let number = slow.asked.borrow().len();
        slow.asked.borrow_mut().push((to, core.endpoint_for_attempt(&to).is_some(), None));
        let ended = |outcome| AttemptResult { outcome, reply: None, idle_before: None, took: None };
        if let Some(outcome) = slow.first.take() {
            return ended(outcome);
        }
        until(|| slow.go_on.get() > number).await;
        let may = core.endpoint_for_attempt(&to).is_some();
        slow.asked.borrow_mut()[number].2 = Some(may);
        if may {
            AttemptResult { reply: Some(()), ..ended(Outcome::Done) }
        } else {
            ended(Outcome::NotSent)
        }
    }

    async fn probe(_: Rc<Core<Self>>, _: ServerId) -> Outcome {
        Outcome::Done
    }

    async fn follow_list(_: Rc<Core<Self>>) -> ListStreamEnd {
        std::future::pending().await
    }

    fn drop_connections(&self, _: ServerId) {}

    fn connection_count(&self) -> usize {
        0
    }
}

fn core(settings: Settings) -> Rc<Core<Slow>> {
    Core::new(setup(settings), Slow::default()).expect("good settings")
}

fn asked(class: usize) -> ClientRequest<Request> {
    ClientRequest { id: "t1".into(), class, tenant: None, request: Request("k1") }
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

/// A node that had no processor time from the decision to the moment in which the connection stands: the servers have
/// forgotten the key by then, and the repeat is not written. The one that comes in time is.
#[test]
fn a_keyed_repeat_is_not_written_once_its_key_is_forgotten() {
    for late in [false, true] {
        run(async move {
            let mut settings = settings(10_000.0);
            let memory = if late { 1000.0 } else { 60_000.0 };
            settings.classes[1].effect = Effect::Keyed { scope: DedupScope::All, memory };
            let core = core(settings);
            core.transport().first.set(Some(Outcome::Reset));
            let (_, answered) = core.submit(asked(1), soon()).expect("it is taken");
            until(|| core.transport().asked.borrow().len() == 2).await;
            std::thread::sleep(Duration::from_millis(1010));
            core.transport().go_on.set(usize::MAX);
            let answer = answered.await.expect("an answer");
            let asked = core.transport().asked.borrow().clone();
            assert!(asked[0].0.send_by.is_none() && asked[0].1, "nothing had run before the first");
            assert!(asked[1].0.send_by.is_some() && asked[1].1, "the repeat began in time");
            assert_eq!(asked[1].2, Some(!late));
            assert_eq!(matches!(answer, Answer::Served(())), !late);
            assert_eq!(asked.len(), 2, "and there is no other after it");
        });
    }
}

/// What proves that nothing ran begins no key's time.
#[test]
fn the_time_for_a_key_begins_with_what_may_have_run() {
    run(async {
        let core = core(settings(10_000.0));
        core.transport().first.set(Some(Outcome::ConnectFailed));
        let (_, answered) = core.submit(asked(1), soon()).expect("it is taken");
        until(|| core.transport().asked.borrow().len() == 2).await;
        core.transport().go_on.set(usize::MAX);
        assert!(matches!(answered.await, Ok(Answer::Served(()))));
        assert!(core.transport().asked.borrow()[1].0.send_by.is_none());
    });
}

/// Where attempts may not be called off, one that was not written when its client left, or when its server began to drain,
/// is not written later.
#[test]
fn what_was_not_written_when_its_client_left_is_never_written() {
    for (cancel, leaves) in [(false, true), (false, false), (true, false)] {
        run(async move {
            let mut settings = settings(10_000.0);
            settings.limits.cancel = cancel;
            let core = core(settings);
            let (id, answered) = core.submit(asked(2), soon()).expect("it is taken");
            until(|| core.transport().asked.borrow().len() == 1).await;
            assert!(core.transport().asked.borrow()[0].1);
            if leaves {
                drop(answered);
                core.client_gone(id);
            } else {
                let members = (0..3).map(|n| ListedServer {
                    name: format!("app-{n}"),
                    address: Some(([127, 0, 0, 1], 1 + n).into()),
                    zone: "a".into(),
                    kind: "m".into(),
                    cell: 0,
                    state: ListedState::Draining,
                    weight: 1.0,
                    start_ms: 0.0,
                });
                core.list_received(ServerListing { version: 2, complete: true, servers: members.collect() });
            }
            core.transport().go_on.set(usize::MAX);
            until(|| core.transport().asked.borrow()[0].2.is_some()).await;
            assert_eq!(core.transport().asked.borrow()[0].2, Some(false), "cancel {cancel}, leaves {leaves}");
        });
    }
}

/// Settings that let nothing be called off leave attempts out when their request is over; what is not written then is wanted by
/// nobody, whether its client has left or been answered.
#[test]
fn nobody_waits_for_what_goes_out_when_its_request_is_over() {
    run(async {
        for leaves in [true, false] {
            let mut settings = settings(20_000.0);
            settings.limits.cancel = false;
            let boxes = Boxes { lasts: Duration::from_secs(600).into(), ..Boxes::default() };
            let core = Core::new(setup(settings), boxes).expect("good settings");
            let end = Instant::now() + Duration::from_secs(20);
            let (id, answered) = core.submit(asked(SLIP), end).expect("it is taken");
            until(|| core.transport().sent.borrow().len() == 1).await;
            let server = core.transport().sent.borrow()[0].1;
            let wanted = |id| {
                core.endpoint_for_attempt(&Target { id, server, deadline: end, send_by: None }).is_some()
            };
            assert!(wanted(id));
            if leaves {
                core.client_gone(id);
                assert!(answered.await.is_err());
            } else {
                core.fail_open_requests();
                assert!(answered.await.is_ok());
            }
            assert!(!wanted(id), "leaves: {leaves}");
            assert!(!wanted(RequestId(id.0 + 1)), "nor for one that never came");
            assert!(core.endpoint(server).is_some(), "the server itself may be sent to");
        }
    });
}
