//! Timing of the list: how long after each failure the node has the change it missed. The calls are the real
//! ones and the pauses between them the policy's own, over in-memory connections and in virtual time.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::future::pending;
use std::io;
use std::rc::Rc;

use hyper_util::rt::TokioIo;
use magpietally_policy::{
    Action, Balancer, Class, Discovery, Effect, Event, Goal, Limits, Millis, Rules, Settings,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::task::{spawn_local, AbortHandle, LocalSet};

use super::*;

/// When changes missed by calls count as received, however the calls failed, and when those of a new
/// discovery address do after a reload.
const RECEIVED_WITHIN_MS: u64 = 6000;
const RECEIVED_AFTER_RELOAD_MS: u64 = 4000;
/// How much later a drain must take effect: the time left for the call that brings the change.
const DRAIN_GRACE_MS: u64 = 750;
/// Jitter depends on the seed, so each property must hold for all of them.
const SEEDS: u64 = 20;

const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const LIST: &str = r#"{"seq":1,"whole":true,"hosts":[]}"#;
const CHANGED_LIST: &str = r#"{"seq":2,"whole":true,"hosts":[]}"#;

/// The bytes sent on a connection after its request, each after a delay in milliseconds. The connection stays
/// open.
type TimedWrites = Vec<(u64, String)>;

/// The fate of one connection.
#[derive(Clone)]
enum Connection {
    /// It opens, and stays open.
    Open(TimedWrites),
    /// It opens, and is closed after the last bytes.
    Closes(TimedWrites),
    /// It is refused.
    Refused,
    /// It hangs, and is reset at this time or never.
    Hangs(Option<u64>),
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn text_line(text: &str) -> String {
    chunk(&format!("{text}\n"))
}

/// A watch that sends this line at once and then `beats` empty lines, one every 2 s.
fn watch(first: &str, beats: usize) -> Connection {
    let mut writes = vec![(0, format!("{RESPONSE_HEAD}{}", text_line(first)))];
    writes.extend((0..beats).map(|_| (2000, text_line(""))));
    Connection::Open(writes)
}

/// A call for the whole list gets a complete response, a watch stays open. Both begin after `wait`.
fn changed_response(path: &str, wait: u64) -> Connection {
    let mut connection = match path.contains("watch") {
        true => watch(CHANGED_LIST, 1000),
        false => Connection::Open(vec![(0, format!("{RESPONSE_HEAD}{}0\r\n\r\n", chunk(CHANGED_LIST)))]),
    };
    if let Connection::Open(writes) = &mut connection {
        writes[0].0 = wait;
    }
    connection
}

/// The service fails a call after this wait.
fn fails_after(wait: u64) -> Connection {
    Connection::Closes(vec![(wait, "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".into())])
}

/// A connection that is reset as soon as a request arrives.
fn reset() -> Connection {
    Connection::Closes(Vec::new())
}

/// The service: plays the scripted connections in order, then refuses connections until `back`, then serves
/// the changed list.
struct Service {
    start: Instant,
    connections: RefCell<VecDeque<Connection>>,
    back: u64,
    /// How long calls wait that bring the changed list.
    wait: u64,
    /// When each connection was requested.
    connects: RefCell<Vec<u64>>,
    /// The paths requested on the connections that opened.
    paths: RefCell<Vec<String>>,
}

impl Service {
    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    async fn serve(self: Rc<Self>, connection: Option<Connection>, mut stream: DuplexStream) {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read_u8().await {
                Ok(byte) => head.push(byte),
                Err(_) => return,
            }
        }
        let path = String::from_utf8_lossy(&head);
        self.paths.borrow_mut().push(path.split(' ').nth(1).unwrap_or_default().to_string());
        let (writes, ends) = match connection.unwrap_or_else(|| changed_response(&path, self.wait)) {
            Connection::Open(writes) => (writes, false),
            Connection::Closes(writes) => (writes, true),
            Connection::Refused | Connection::Hangs(_) => return,
        };
        for (delay, text) in writes {
            sleep(Duration::from_millis(delay)).await;
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
        if !ends {
            pending().await
        }
    }
}

struct TestDial(Rc<Service>);

impl Display for TestDial {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str("wire")
    }
}

impl Dial for TestDial {
    type Io = TokioIo<DuplexStream>;

    async fn dial(&self) -> io::Result<Self::Io> {
        let service = self.0.clone();
        service.connects.borrow_mut().push(service.now());
        let connection = service.connections.borrow_mut().pop_front();
        match connection {
            Some(Connection::Refused) => return Err(io::ErrorKind::ConnectionRefused.into()),
            Some(Connection::Hangs(until)) => {
                let Some(until) = until else { return pending().await };
                sleep(Duration::from_millis(until.saturating_sub(service.now()))).await;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            None if service.now() < service.back => return Err(io::ErrorKind::ConnectionRefused.into()),
            _ => {}
        }
        let (ours, theirs) = tokio::io::duplex(1 << 16);
        spawn_local(service.serve(connection, theirs));
        Ok(TokioIo::new(ours))
    }
}

/// A node, as far as the list is concerned: the policy, its timer and its one call.
struct Node {
    policy: RefCell<Balancer>,
    service: Rc<Service>,
    version: Cell<Option<u64>>,
    /// When the changed list arrived.
    changed_at: Cell<Option<u64>>,
    timer_at: Cell<Option<Instant>>,
    call: RefCell<Option<AbortHandle>>,
}

impl Node {
    fn handle(self: &Rc<Self>, event: Event) {
        let now = self.service.start.elapsed().as_secs_f64() * 1000.0;
        let mut actions = Vec::new();
        self.policy.borrow_mut().handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer(delay) => {
                    let at = Instant::now() + Duration::from_secs_f64(delay / 1000.0);
                    self.timer_at.set(Some(self.timer_at.get().map_or(at, |timer_at| timer_at.min(at))));
                }
                Action::Subscribe => {
                    let node = self.clone();
                    let call = spawn_local(async move {
                        let ended = follow_with(&node, &TestDial(node.service.clone())).await;
                        node.handle(Event::ListFailed(ended.failure));
                    });
                    if let Some(old) = self.call.borrow_mut().replace(call.abort_handle()) {
                        old.abort();
                    }
                }
                _ => {}
            }
        }
    }
}

impl ListConsumer for Rc<Node> {
    fn response_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.policy.borrow().list_response_timeout() / 1000.0)
    }

    fn version(&self) -> Option<u64> {
        self.version.get()
    }

    fn forget_version(&self) {
        self.version.set(None);
    }

    fn list_alive(&self) {
        self.handle(Event::ListChange(Vec::new()));
    }

    fn listed(&self, listing: ServerListing) {
        self.version.set(Some(listing.version));
        if listing.version == 2 && self.changed_at.get().is_none() {
            self.changed_at.set(Some(self.service.now()));
        }
        self.handle(Event::List { entries: Vec::new(), saved: false });
    }
}

/// How a node uses discovery and what happens to its connections.
#[derive(Clone)]
struct Case {
    discovery: Discovery,
    ask_within: Millis,
    /// The list version that it starts with.
    version: Option<u64>,
    connections: Vec<Connection>,
    /// Until when connections beyond the scripted ones are refused.
    back: u64,
    /// How long calls wait that bring the changed list.
    wait: u64,
}

/// Settings of a node that uses discovery this way.
pub(super) fn settings(discovery: Discovery, ask_within: Millis) -> Settings {
    let class = Class { aim: 100.0, worth: 1.0, late_worth: 0.0, effect: Effect::Safe };
    let rules = Rules {
        ask_within,
        cold_share: 0.2,
        warm_within: 1000.0,
        fall_multiple: 3.0,
        fall_window: 1000.0,
        drain_grace: DRAIN_GRACE_MS as f64,
    };
    Settings {
        nodes: 1,
        classes: vec![class],
        goal: Goal { worth: 1.0, ..Goal::default() },
        limits: Limits { attempts: 3, connect_timeout: 100.0, ..Limits::default() },
        rules,
        discovery,
        tick: 1.0,
        ..Settings::default()
    }
}

impl Case {
    fn new(version: Option<u64>, connections: Vec<Connection>) -> Self {
        Self { discovery: Discovery::Polled, ask_within: 10_000.0, version, connections, back: 0, wait: 0 }
    }

    /// Runs until the changed list arrives, 40 s at most. Returns when that was, and when connections were
    /// requested.
    fn run(&self, seed: u64) -> (Option<u64>, Vec<u64>) {
        let (changed_at, service) = self.run_with_service(seed);
        let connects = service.connects.borrow().clone();
        (changed_at, connects)
    }

    /// Like `run`, but returns the service.
    fn run_with_service(&self, seed: u64) -> (Option<u64>, Rc<Service>) {
        let settings = settings(self.discovery, self.ask_within);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        LocalSet::new().block_on(&runtime.expect("a runtime"), async {
            let service = Rc::new(Service {
                start: Instant::now(),
                connections: RefCell::new(self.connections.clone().into()),
                back: self.back,
                wait: self.wait,
                connects: RefCell::default(),
                paths: RefCell::default(),
            });
            let node = Rc::new(Node {
                policy: RefCell::new(Balancer::new(settings, seed).expect("good settings")),
                service: service.clone(),
                version: Cell::new(self.version),
                changed_at: Cell::new(None),
                timer_at: Cell::new(None),
                call: RefCell::default(),
            });
            node.handle(Event::List { entries: Vec::new(), saved: true });
            while service.now() < 40_000 && node.changed_at.get().is_none() {
                // Short steps: the timer may be set by any of the tasks.
                sleep(Duration::from_millis(10)).await;
                if node.timer_at.get().is_some_and(|timer_at| timer_at <= Instant::now()) {
                    node.timer_at.set(None);
                    node.handle(Event::Timer);
                }
            }
            (node.changed_at.get(), service)
        })
    }

    /// The longest delay of the changed list after this time, over all seeds.
    fn max_delay_after(&self, since: u64) -> u64 {
        let delay = |seed| {
            let (changed_at, connects) = self.run(seed);
            let changed_at = changed_at.unwrap_or_else(|| {
                panic!("seed {seed}: the changed list did not arrive; connections at {connects:?}")
            });
            assert!(
                changed_at >= since,
                "seed {seed}: the changed list arrived at {changed_at}, before anything was missed"
            );
            changed_at - since
        };
        let max_delay = (0..SEEDS).map(delay).max().unwrap_or(0);
        println!("longest delay {} ms", max_delay);
        max_delay
    }

    /// The longest delay of the changed list after the connection of this number was requested, whose call
    /// failed at once.
    fn max_delay_from_connect(&self, failed: usize, seeds: u64) -> u64 {
        let delay = |seed| {
            let (changed_at, connects) = self.run(seed);
            changed_at.unwrap_or_else(|| {
                panic!("seed {seed}: the changed list did not arrive; connections at {connects:?}")
            }) - connects[failed]
        };
        (0..seeds).map(delay).max().unwrap_or(0)
    }
}

/// How a call fails, and how long that takes.
const FAILURES: [(&str, u64); 5] =
    [("503 after 2 s", 2000), ("503 after 3 s", 3000), ("reset", 0), ("refused", 0), ("silent", 3200)];

fn failure(kind: usize) -> Connection {
    match FAILURES[kind] {
        ("reset", _) => reset(),
        ("refused", _) => Connection::Refused,
        ("silent", _) => Connection::Open(Vec::new()),
        (_, wait) => fails_after(wait),
    }
}

/// Discovery becomes reachable just as a pause begins, after one or many failures. Whatever calls then wait
/// and fail, the list arrives by the time at which a drain must take effect, as long as the waits themselves,
/// and 0.4 s for each call that failed at once, leave time for it.
#[test]
fn failed_calls_in_a_row_cost_no_more_than_their_own_waits() {
    let sequences =
        |length| (0..5usize.pow(length)).map(move |n| (0..length).map(move |at| n / 5usize.pow(at) % 5));
    let mut max_delay = 0;
    for sequence in (0..=3).flat_map(sequences) {
        let sequence: Vec<usize> = sequence.collect();
        let waits: u64 =
            sequence.iter().map(|kind| FAILURES[*kind].1.max(400 * u64::from(FAILURES[*kind].1 == 0))).sum();
        let Some(left) = RECEIVED_WITHIN_MS.checked_sub(waits) else { continue };
        // The shorter sequences are also tried after many failures, with a node that needs the whole list.
        for (before, version) in
            [(1, Some(1)), (7, None)].into_iter().take(if sequence.len() < 3 { 2 } else { 1 })
        {
            let mut connections = vec![Connection::Refused; before];
            connections.extend(sequence.iter().map(|kind| failure(*kind)));
            let case = Case { wait: left.min(3000), ..Case::new(version, connections) };
            let delay = case.max_delay_from_connect(before - 1, 2);
            let names: Vec<&str> = sequence.iter().map(|kind| FAILURES[*kind].0).collect();
            assert!(
                delay < RECEIVED_WITHIN_MS + DRAIN_GRACE_MS,
                "{delay} ms: {before} refused, {names:?}, answered after {}",
                case.wait
            );
            max_delay = max_delay.max(delay);
        }
    }
    println!("longest delay {max_delay} ms");
}

/// The sequences that take longest, with all seeds.
#[test]
fn calls_that_time_out_leave_time_for_the_next_ones() {
    for (sequence, wait) in [
        (vec![fails_after(3000)], 3000),
        (vec![fails_after(2000), fails_after(2000)], 2000),
        (vec![Connection::Open(Vec::new())], 2800),
        (vec![fails_after(3000), fails_after(3000)], 0),
        (vec![reset(), fails_after(2000), Connection::Refused], 3000),
    ] {
        for ask_within in [1000.0, 10_000.0, 240_000.0] {
            let connections: Vec<Connection> = std::iter::once(reset()).chain(sequence.clone()).collect();
            let delay =
                Case { wait, ask_within, ..Case::new(Some(1), connections) }.max_delay_from_connect(0, SEEDS);
            println!("longest delay {delay} ms");
            assert!(delay < RECEIVED_WITHIN_MS + DRAIN_GRACE_MS, "{delay} ms, ask_within {ask_within}");
        }
    }
}

/// What was written on a watch counts as received, however it was formatted and whatever follows.
#[test]
fn change_and_end_of_watch_in_one_read_are_applied() {
    let indented = "{\n  \"seq\": 2,\n  \"whole\": true,\n  \"hosts\": [\n    {\n      \"host\": \"a\",\n      \
        \"dial\": \"127.0.0.1:1\",\n      \"health\": \"active\"\n    },\n    {\n      \"host\": \"b\",\n      \
        \"dial\": \"127.0.0.1:1\",\n      \"health\": \"active\"\n    }\n  ]\n}";
    for text in [CHANGED_LIST, &format!("  {CHANGED_LIST}"), indented] {
        let open = (0, format!("{RESPONSE_HEAD}{}", text_line(LIST)));
        let (all, bare) = (text_line(text), chunk(text));
        let cut = all.split_at(all.len() / 2);
        for (rest, at) in [
            // A line; the same followed by the end of the watch; a line without its end.
            (vec![(1000, all.clone())], 1000),
            (vec![(1000, format!("{all}0\r\n\r\n"))], 1000),
            (vec![(1000, format!("{bare}0\r\n\r\n"))], 1000),
            // The same cut off, and in two parts.
            (vec![(1000, bare.clone())], 1000),
            (vec![(1000, cut.0.into()), (500, cut.1.into())], 1500),
        ] {
            let writes = std::iter::once(open.clone()).chain(rest).collect();
            let (changed_at, connects) = Case::new(Some(1), vec![Connection::Closes(writes)]).run(0);
            assert_eq!((changed_at, connects.len()), (Some(at), 1), "{text:?}");
        }
        // The watch falls silent after the last byte: the line counts by the time the silence is noticed.
        let writes = vec![open, (1000, bare)];
        let (changed_at, connects) = Case::new(Some(1), vec![Connection::Open(writes)]).run(0);
        assert_eq!((changed_at, connects.len()), (Some(3200), 1), "{text:?}");
        // The same holds for the whole list.
        let whole = Connection::Open(vec![(700, format!("{RESPONSE_HEAD}{}0\r\n\r\n", chunk(text)))]);
        assert_eq!(Case::new(None, vec![whole]).run(0), (Some(700), vec![0, 700]));
    }
}

/// Half an object followed by nothing, or by another line, is not waited for.
#[test]
fn truncated_object_is_requested_again_at_once() {
    for next in [text_line(""), text_line(LIST), text_line("}")] {
        let writes = vec![
            (0, format!("{RESPONSE_HEAD}{}", text_line(LIST))),
            (1000, text_line(&CHANGED_LIST[..22])),
            (200, next),
        ];
        let delay = Case::new(Some(1), vec![Connection::Open(writes)]).max_delay_after(1200);
        assert!(delay <= 410, "{delay}");
    }
}

/// A watch that breaks right before the change, followed by calls that wait.
#[test]
fn watch_reset_right_before_a_change_is_retried_in_time() {
    let mut writes = vec![(0, format!("{RESPONSE_HEAD}{}", text_line(LIST)))];
    writes.extend((0..3).map(|_| (2000, text_line(""))));
    writes.push((500, chunk(&CHANGED_LIST[..20])));
    let broken = Connection::Closes(writes);
    for (sequence, wait) in
        [(vec![], 3000), (vec![fails_after(3000)], 3000), (vec![reset(), fails_after(2000)], 3000)]
    {
        let connections = std::iter::once(broken.clone()).chain(sequence).collect();
        assert!(
            Case { wait, ..Case::new(Some(1), connections) }.max_delay_after(6500)
                < RECEIVED_WITHIN_MS + DRAIN_GRACE_MS
        );
    }
}

#[test]
fn silent_watch_is_retried_in_time() {
    // Two empty lines, the last at 4 s, then silence.
    let case = Case::new(Some(1), vec![watch(LIST, 2)]);
    assert!(case.max_delay_after(4000) < RECEIVED_WITHIN_MS);
    // The settings may let a node pause for longer between calls; that changes nothing.
    assert!(Case { ask_within: 240_000.0, ..case.clone() }.max_delay_after(4000) < RECEIVED_WITHIN_MS);
    // Nor do single bytes of an unfinished line count as a sign of life.
    let mut writes = vec![(0, format!("{RESPONSE_HEAD}{}", text_line(LIST)))];
    writes.extend((0..200).map(|_| (300, chunk(" "))));
    assert!(Case::new(Some(1), vec![Connection::Open(writes)]).max_delay_after(0) < RECEIVED_WITHIN_MS);
}

#[test]
fn truncated_list_is_requested_again_in_time() {
    let truncated = format!("{RESPONSE_HEAD}{}", chunk(&LIST[..20]));
    assert!(
        Case::new(None, vec![Connection::Open(vec![(0, truncated.clone())])]).max_delay_after(0)
            < RECEIVED_WITHIN_MS
    );
    let mut trickle = vec![(0, truncated.clone())];
    trickle.extend((0..200).map(|_| (300, chunk(" "))));
    assert!(Case::new(None, vec![Connection::Open(trickle)]).max_delay_after(0) < RECEIVED_WITHIN_MS);
    // The call waited in the service's queue first: the wait and the silence share one limit.
    assert!(
        Case::new(None, vec![Connection::Open(vec![(3000, truncated)])]).max_delay_after(0)
            < RECEIVED_WITHIN_MS
    );
}

#[test]
fn call_that_waits_and_stays_silent_is_retried_in_time() {
    // The response begins as late as the service lets calls wait; the first line never comes.
    let late_response = Connection::Open(vec![(3000, RESPONSE_HEAD.to_string())]);
    assert!(Case::new(Some(1), vec![late_response]).max_delay_after(0) < RECEIVED_WITHIN_MS);
    // A watch whose first line is the first empty one is not silent and is not called again.
    let slow = Connection::Open(vec![
        (3000, RESPONSE_HEAD.to_string()),
        (2000, text_line("")),
        (1000, text_line(CHANGED_LIST)),
    ]);
    let (changed_at, connects) = Case::new(Some(1), vec![slow]).run(0);
    assert_eq!((changed_at, connects[0]), (Some(6000), 0));
    assert!(connects.get(1).is_none_or(|at| *at > 6000), "{connects:?}");
}

#[test]
fn call_without_response_is_retried_in_time() {
    for version in [None, Some(1)] {
        assert!(Case::new(version, vec![Connection::Open(vec![])]).max_delay_after(0) < RECEIVED_WITHIN_MS);
        // The connection opened late as well, and a second one beside it was no better.
        let connections = vec![Connection::Hangs(None), Connection::Open(vec![])];
        assert!(Case::new(version, connections).max_delay_after(0) < RECEIVED_WITHIN_MS);
    }
}

/// On a cut link nothing arrives and connects hang; once it is back they still hang, or are reset. By then
/// the missed change counts as received, so only the drain's grace time is left.
#[test]
fn list_arrives_within_the_drain_grace_once_a_cut_link_is_back() {
    for back in (4000..12_000).step_by(370) {
        for reset in [None, Some(back)] {
            // From 3.7 s on at the latest a connect starts every half second; as many hang until the link is
            // back.
            let hang = |seed| {
                let mut case = Case::new(Some(1), vec![watch(LIST, 0)]);
                case.connections.extend((0..64).map(|_| Connection::Hangs(reset)));
                let tried = case.run(seed).1.iter().skip(1).filter(|at| **at < back).count();
                case.connections.truncate(1 + tried);
                let (changed_at, connects) = case.run(seed);
                let changed_at = changed_at.unwrap_or_else(|| {
                    panic!("the changed list did not arrive; connections at {connects:?}")
                });
                assert!(
                    changed_at >= back && changed_at < back + DRAIN_GRACE_MS,
                    "back at {back}, the list at {changed_at}: {connects:?}"
                );
            };
            (0..6).for_each(hang);
        }
    }
}

/// However long the outage: a pause that has just begun is no longer than the one after the first failure.
#[test]
fn list_arrives_at_once_after_an_outage_by_subscription_or_agent() {
    for back in (1000..12_000).step_by(970) {
        let subscribed = Case { back, ..Case::new(Some(1), vec![]) };
        assert!(subscribed.max_delay_after(back) < DRAIN_GRACE_MS, "back at {back}");
        let pushed = Case { discovery: Discovery::Agent, ..subscribed };
        assert!(pushed.max_delay_after(back) < DRAIN_GRACE_MS, "back at {back}");
    }
    // The first calls to an agent that is back fail, too.
    let connections = vec![Connection::Refused, reset(), Connection::Refused, fails_after(0)];
    let agent = Case { discovery: Discovery::Agent, ..Case::new(Some(1), connections) };
    assert!(agent.max_delay_from_connect(0, SEEDS) < DRAIN_GRACE_MS);
}

/// After a reload a node counts as having the new address's list 4 s later, whatever happens to its first
/// call.
#[test]
fn failed_first_call_after_a_reload_leaves_time_for_another() {
    let truncated = format!("{RESPONSE_HEAD}{}", chunk(&LIST[..20]));
    for first in [
        Connection::Open(vec![]),
        Connection::Open(vec![(0, RESPONSE_HEAD.to_string())]),
        Connection::Open(vec![(3000, truncated)]),
        Connection::Hangs(None),
        Connection::Refused,
    ] {
        // The whole list is requested, as after a reload: the old version means nothing at the new address.
        let delay = Case::new(None, vec![first]).max_delay_after(0);
        assert!(delay < RECEIVED_AFTER_RELOAD_MS + DRAIN_GRACE_MS, "{delay}");
    }
}

#[test]
fn two_silent_calls_in_a_row_each_have_their_own_time_limit() {
    let case = Case::new(Some(1), vec![watch(LIST, 0), Connection::Open(vec![])]);
    for seed in 0..SEEDS {
        let (changed_at, connects) = case.run(seed);
        assert!(connects[1] < RECEIVED_WITHIN_MS, "{connects:?}");
        assert!(
            changed_at.is_some_and(|changed_at| changed_at - connects[1] < RECEIVED_WITHIN_MS),
            "{changed_at:?}, {connects:?}"
        );
    }
}

#[test]
fn new_process_calls_immediately() {
    for discovery in [Discovery::Polled, Discovery::Agent] {
        let case = Case { discovery, ..Case::new(Some(1), vec![]) };
        assert_eq!(case.run(0), (Some(0), vec![0]));
    }
    // An agent that has not started yet is called again soon.
    let connections = vec![Connection::Refused, Connection::Refused];
    let case = Case { discovery: Discovery::Agent, ..Case::new(Some(1), connections) };
    assert!(case.max_delay_after(0) < DRAIN_GRACE_MS);
}

/// A service that rejects all calls at once, which costs it time, is called less often after ten seconds, and
/// not before. One that lets calls wait, or refuses connections, is called as often as ever.
#[test]
fn service_that_rejects_all_calls_at_once_is_called_less_often() {
    for (connection, in_last) in [
        (fails_after(0), 4..=6),
        (Connection::Refused, 25..=60),
        (reset(), 25..=60),
        (fails_after(400), 18..=25),
    ] {
        let (changed_at, connects) = Case::new(Some(1), vec![connection; 400]).run(0);
        let early = connects.iter().filter(|at| **at < 9000).count();
        let late = connects.iter().filter(|at| (30_000..40_000).contains(*at)).count();
        assert_eq!(changed_at, None);
        assert!(early >= 17 && in_last.contains(&late), "{early} in 9 s, {late} in the last 10 s");
    }
    // Once it answers again, the list arrives in time if the calls themselves leave enough.
    let connections = (0..46).map(|_| fails_after(0)).collect();
    let delay = Case { wait: 3000, ..Case::new(Some(1), connections) }.max_delay_from_connect(45, SEEDS);
    assert!(delay < RECEIVED_WITHIN_MS, "{delay}");
}

/// A list that does not change must not pass for a call without a response.
#[test]
fn unchanged_watch_is_not_retried() {
    let empty = Connection::Open(
        (0..40)
            .map(|n| (2000 * u64::from(n > 0), if n == 0 { RESPONSE_HEAD.into() } else { text_line("") }))
            .collect(),
    );
    let (changed_at, connects) = Case::new(Some(1), vec![watch(LIST, 0), empty]).run(0);
    assert_eq!((changed_at, connects.len()), (None, 2), "{connects:?}");
}

/// The whole list arrived and the watch after it was rejected: the node keeps the list and only requests the
/// watch again.
#[test]
fn rejected_watch_keeps_the_list() {
    let list = Connection::Closes(vec![(0, format!("{RESPONSE_HEAD}{}0\r\n\r\n", chunk(LIST)))]);
    let (changed_at, service) =
        Case::new(None, vec![list, fails_after(0), fails_after(0)]).run_with_service(0);
    let paths = service.paths.borrow();
    assert!(changed_at.is_some());
    assert_eq!(paths[0], "/v1/endpoints");
    assert_eq!(paths[1..], vec!["/v1/endpoints?watch=1&from=1"; 3], "{paths:?}");
}
