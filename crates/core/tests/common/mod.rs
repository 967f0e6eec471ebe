//! A transport that only records the attempts, settings for it, and helpers to run and wait.
#![allow(dead_code)] // Each test file uses only a part.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use magpietally_core::{
    AttemptResult, Core, Lifecycle, ListStreamEnd, ListedServer, Payload, Process, ServerListing, Setup,
    Target, UpstreamTransport,
};
use magpietally_policy::{
    Class, DedupScope, Effect, Goal, Limits, ListedState, Outcome, Rules, ServerId, Settings,
};
use tokio::task::LocalSet;

pub const SAFE: usize = 0;
pub const KEYED: usize = 1;
pub const UNSAFE: usize = 2;

/// A request with its idempotency key.
pub struct Request(pub &'static str);

impl Payload for Request {
    fn describe(&self, to: &mut dyn fmt::Write) -> fmt::Result {
        to.write_str("a test's")
    }

    fn key(&self) -> Option<&[u8]> {
        Some(self.0.as_bytes())
    }
}

/// Records each attempt. Responds after `delay` with the outcomes that the test has set, the last one first,
/// and with success once they are used up.
#[derive(Default)]
pub struct TestTransport {
    pub sent: RefCell<Vec<(Instant, ServerId)>>,
    pub outcomes: RefCell<Vec<Outcome>>,
    pub delay: Cell<Duration>,
}

impl UpstreamTransport for TestTransport {
    type Request = Request;
    type Reply = ();

    async fn attempt(core: Rc<Core<Self>>, to: Target, _: Rc<Request>) -> AttemptResult<()> {
        let transport = core.transport();
        transport.sent.borrow_mut().push((Instant::now(), to.server));
        let outcome = transport.outcomes.borrow_mut().pop().unwrap_or(Outcome::Done);
        tokio::time::sleep(transport.delay.get()).await;
        AttemptResult {
            outcome,
            reply: (outcome == Outcome::Done).then_some(()),
            idle_before: None,
            took: None,
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

pub fn settings(aim: f64) -> Settings {
    let class = |effect| Class { aim, worth: 1.0, late_worth: 0.0, effect };
    Settings {
        nodes: 1,
        classes: vec![
            class(Effect::Safe),
            class(Effect::Keyed { scope: DedupScope::All, memory: 60_000.0 }),
            class(Effect::Unsafe),
        ],
        goal: Goal { worth: 1.0, ..Goal::default() },
        limits: Limits {
            attempts: 3,
            cancel: true,
            connect_timeout: 100.0,
            max_retry_after: 2000.0,
            ..Limits::default()
        },
        rules: Rules {
            ask_within: 1e6,
            cold_share: 0.2,
            warm_within: 1000.0,
            fall_multiple: 3.0,
            fall_window: 1000.0,
            drain_grace: 750.0,
        },
        tick: 1.0,
        ..Settings::default()
    }
}

/// A node with three servers, without ledger or admission control.
pub fn setup(settings: Settings) -> Setup {
    let server = |n: u16| ListedServer {
        name: format!("app-{n}"),
        address: Some(([127, 0, 0, 1], 1 + n).into()),
        zone: "a".into(),
        kind: "m".into(),
        cell: 0,
        state: ListedState::Up,
        weight: 1.0,
        start_ms: 0.0,
    };
    Setup {
        settings,
        seed: 1,
        classes: ["look", "pay", "slip"].map(String::from).to_vec(),
        tenants: Vec::new(),
        open_cap: 100,
        saved_list: Some(ServerListing { version: 1, complete: true, servers: (0..3).map(server).collect() }),
        process: Process::new(3, Lifecycle::new(60_000.0, false)),
        label: String::new(),
        admission: None,
        ledger: None,
    }
}

pub fn run<F: std::future::Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new()
        .block_on(&runtime, async { tokio::time::timeout(Duration::from_secs(30), test).await })
        .expect("the test timed out")
}

pub async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
