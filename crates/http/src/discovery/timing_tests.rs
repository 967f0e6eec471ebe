//! One clock for the list: how long after each trouble the node has what it missed. The calls are the real ones and the pauses
//! between them the policy's own, over links in memory and in virtual time.

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

/// When what calls have missed counts as told, however they failed, and when what a new address has does, after a reload.
const TOLD: u64 = 6000;
const TOLD_AFTER_RELOAD: u64 = 4000;
/// How long after that a drain must hold, and what is left of it for the call that brings the news.
const GRACE: u64 = 750;
/// Jitter is drawn from the seed: what holds has to hold for all of them.
const SEEDS: u64 = 20;

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const LIST: &str = r#"{"seq":1,"whole":true,"hosts":[]}"#;
const NEWS: &str = r#"{"seq":2,"whole":true,"hosts":[]}"#;

/// What comes on a connection once it was asked: after so long, these bytes. Then nothing, and it stays open.
type Says = Vec<(u64, String)>;

/// What becomes of one connection.
#[derive(Clone)]
enum Link {
    /// It comes up.
    Up(Says),
    /// The same, and when all is said it ends.
    Ends(Says),
    /// It is refused.
    Refused,
    /// It hangs, and is reset at this time or never.
    Hangs(Option<u64>),
}

fn chunk(words: &str) -> String {
    format!("{:x}\r\n{words}\r\n", words.len())
}

fn line(words: &str) -> String {
    chunk(&format!("{words}\n"))
}

/// A watch that says this at once and then an empty line every 2 s, so many times.
fn watch(first: &str, beats: usize) -> Link {
    let mut says = vec![(0, format!("{HEAD}{}", line(first)))];
    says.extend((0..beats).map(|_| (2000, line(""))));
    Link::Up(says)
}

/// A call that asks for the whole list gets its end, a watch is open. Both have waited so long.
fn news(path: &str, wait: u64) -> Link {
    let mut link = match path.contains("watch") {
        true => watch(NEWS, 1000),
        false => Link::Up(vec![(0, format!("{HEAD}{}0\r\n\r\n", chunk(NEWS)))]),
    };
    if let Link::Up(says) = &mut link {
        says[0].0 = wait;
    }
    link
}

/// The service fails a call that has waited so long.
fn crowded(wait: u64) -> Link {
    Link::Ends(vec![(wait, "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".into())])
}

/// A connection that is reset as soon as something is asked.
fn reset() -> Link {
    Link::Ends(Vec::new())
}

/// What the service does: the scripted links in turn, then refusals until it is back, then the news.
struct Service {
    start: Instant,
    links: RefCell<VecDeque<Link>>,
    back: u64,
    /// How long calls wait that bring the news.
    wait: u64,
    /// When each connection was asked for.
    asked: RefCell<Vec<u64>>,
    /// What was called for on those that came up.
    paths: RefCell<Vec<String>>,
}

impl Service {
    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    async fn serve(self: Rc<Self>, link: Option<Link>, mut stream: DuplexStream) {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read_u8().await {
                Ok(byte) => head.push(byte),
                Err(_) => return,
            }
        }
        let path = String::from_utf8_lossy(&head);
        self.paths.borrow_mut().push(path.split(' ').nth(1).unwrap_or_default().to_string());
        let (says, ends) = match link.unwrap_or_else(|| news(&path, self.wait)) {
            Link::Up(says) => (says, false),
            Link::Ends(says) => (says, true),
            Link::Refused | Link::Hangs(_) => return,
        };
        for (after, words) in says {
            sleep(Duration::from_millis(after)).await;
            if stream.write_all(words.as_bytes()).await.is_err() {
                return;
            }
        }
        if !ends {
            pending().await
        }
    }
}

struct Wire(Rc<Service>);

impl Display for Wire {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str("wire")
    }
}

impl Dial for Wire {
    type Io = TokioIo<DuplexStream>;

    async fn dial(&self) -> io::Result<Self::Io> {
        let service = self.0.clone();
        service.asked.borrow_mut().push(service.now());
        let link = service.links.borrow_mut().pop_front();
        match link {
            Some(Link::Refused) => return Err(io::ErrorKind::ConnectionRefused.into()),
            Some(Link::Hangs(until)) => {
                let Some(until) = until else { return pending().await };
                sleep(Duration::from_millis(until.saturating_sub(service.now()))).await;
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            None if service.now() < service.back => return Err(io::ErrorKind::ConnectionRefused.into()),
            _ => {}
        }
        let (ours, theirs) = tokio::io::duplex(1 << 16);
        spawn_local(service.serve(link, theirs));
        Ok(TokioIo::new(ours))
    }
}

/// A node, as far as the list goes: the policy, its timer and its one call.
struct Node {
    policy: RefCell<Balancer>,
    service: Rc<Service>,
    version: Cell<Option<u64>>,
    /// When the news was there.
    news: Cell<Option<u64>>,
    due: Cell<Option<Instant>>,
    call: RefCell<Option<AbortHandle>>,
}

impl Node {
    fn feed(self: &Rc<Self>, event: Event) {
        let now = self.service.start.elapsed().as_secs_f64() * 1000.0;
        let mut actions = Vec::new();
        self.policy.borrow_mut().handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer(after) => {
                    let at = Instant::now() + Duration::from_secs_f64(after / 1000.0);
                    self.due.set(Some(self.due.get().map_or(at, |due| due.min(at))));
                }
                Action::Subscribe => {
                    let node = self.clone();
                    let call = spawn_local(async move {
                        let ended = follow_with(&node, &Wire(node.service.clone())).await;
                        node.feed(Event::ListFailed(ended.failure));
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
        self.feed(Event::ListChange(Vec::new()));
    }

    fn listed(&self, listing: ServerListing) {
        self.version.set(Some(listing.version));
        if listing.version == 2 && self.news.get().is_none() {
            self.news.set(Some(self.service.now()));
        }
        self.feed(Event::List { entries: Vec::new(), saved: false });
    }
}

/// How a node is asked and what befalls it.
#[derive(Clone)]
struct Case {
    discovery: Discovery,
    ask_within: Millis,
    /// The version that it has at its start.
    version: Option<u64>,
    links: Vec<Link>,
    /// Until when what no link is scripted for is refused.
    back: u64,
    /// How long calls wait that bring the news.
    wait: u64,
}

/// Settings of a node that asks so.
pub(super) fn settings(discovery: Discovery, ask_within: Millis) -> Settings {
    let class = Class { aim: 100.0, worth: 1.0, late_worth: 0.0, effect: Effect::Safe };
    let rules = Rules {
        ask_within,
        cold_share: 0.2,
        warm_within: 1000.0,
        fall_multiple: 3.0,
        fall_window: 1000.0,
        drain_grace: GRACE as f64,
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
    fn new(version: Option<u64>, links: Vec<Link>) -> Self {
        Self { discovery: Discovery::Polled, ask_within: 10_000.0, version, links, back: 0, wait: 0 }
    }

    /// Plays it until the news is there, 40 s at the most; when that was, and when connections were asked for.
    fn play(&self, seed: u64) -> (Option<u64>, Vec<u64>) {
        let (news, service) = self.play_before(seed);
        let asked = service.asked.borrow().clone();
        (news, asked)
    }

    /// The same, with the service that it was played before.
    fn play_before(&self, seed: u64) -> (Option<u64>, Rc<Service>) {
        let settings = settings(self.discovery, self.ask_within);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        LocalSet::new().block_on(&runtime.expect("a runtime"), async {
            let service = Rc::new(Service {
                start: Instant::now(),
                links: RefCell::new(self.links.clone().into()),
                back: self.back,
                wait: self.wait,
                asked: RefCell::default(),
                paths: RefCell::default(),
            });
            let node = Rc::new(Node {
                policy: RefCell::new(Balancer::new(settings, seed).expect("good settings")),
                service: service.clone(),
                version: Cell::new(self.version),
                news: Cell::new(None),
                due: Cell::new(None),
                call: RefCell::default(),
            });
            node.feed(Event::List { entries: Vec::new(), saved: true });
            while service.now() < 40_000 && node.news.get().is_none() {
                // Short steps: the timer may be set by any of the tasks.
                sleep(Duration::from_millis(10)).await;
                if node.due.get().is_some_and(|due| due <= Instant::now()) {
                    node.due.set(None);
                    node.feed(Event::Timer);
                }
            }
            (node.news.get(), service)
        })
    }

    /// By how much the news came after this time, at the worst.
    fn worst_after(&self, since: u64) -> u64 {
        let late = |seed| {
            let (news, asked) = self.play(seed);
            let news = news.unwrap_or_else(|| panic!("seed {seed}: no news; connections at {asked:?}"));
            assert!(news >= since, "seed {seed}: the news came at {news}, before anything was missed");
            news - since
        };
        let worst = (0..SEEDS).map(late).max().unwrap_or(0);
        println!("{} ms at the worst", worst);
        worst
    }

    /// The same from the moment in which the call failed at once that asked for the connection of this number.
    fn worst_from(&self, failed: usize, seeds: u64) -> u64 {
        let late = |seed| {
            let (news, asked) = self.play(seed);
            news.unwrap_or_else(|| panic!("seed {seed}: no news; connections at {asked:?}")) - asked[failed]
        };
        (0..seeds).map(late).max().unwrap_or(0)
    }
}

/// How a call fails, and how long that takes.
const FAILURES: [(&str, u64); 5] =
    [("503 after 2 s", 2000), ("503 after 3 s", 3000), ("reset", 0), ("refused", 0), ("silent", 3200)];

fn failure(kind: usize) -> Link {
    match FAILURES[kind] {
        ("reset", _) => reset(),
        ("refused", _) => Link::Refused,
        ("silent", _) => Link::Up(Vec::new()),
        (_, wait) => crowded(wait),
    }
}

/// Discovery can be reached from the moment on in which a pause began, after none, one or many failures. Whatever calls wait
/// then, and fail, the list is there by the time at which a drain must hold: so long as the waits themselves leave time for
/// it, and 0.4 s for each call that failed at once.
#[test]
fn of_failed_calls_in_a_row_none_costs_more_than_its_own_wait() {
    let rows =
        |length| (0..5usize.pow(length)).map(move |n| (0..length).map(move |at| n / 5usize.pow(at) % 5));
    let mut worst = 0;
    for row in (0..=3).flat_map(rows) {
        let row: Vec<usize> = row.collect();
        let waits: u64 =
            row.iter().map(|kind| FAILURES[*kind].1.max(400 * u64::from(FAILURES[*kind].1 == 0))).sum();
        let Some(left) = TOLD.checked_sub(waits) else { continue };
        // The shorter rows also behind many failures, by a node that asks for the whole list.
        for (before, version) in [(1, Some(1)), (7, None)].into_iter().take(if row.len() < 3 { 2 } else { 1 })
        {
            let mut links = vec![Link::Refused; before];
            links.extend(row.iter().map(|kind| failure(*kind)));
            let case = Case { wait: left.min(3000), ..Case::new(version, links) };
            let late = case.worst_from(before - 1, 2);
            let named: Vec<&str> = row.iter().map(|kind| FAILURES[*kind].0).collect();
            assert!(
                late < TOLD + GRACE,
                "{late} ms: {before} refused, {named:?}, answered after {}",
                case.wait
            );
            worst = worst.max(late);
        }
    }
    println!("{worst} ms at the worst");
}

/// The rows that take longest, by all seeds.
#[test]
fn calls_that_waited_in_vain_leave_time_for_those_behind_them() {
    for (row, wait) in [
        (vec![crowded(3000)], 3000),
        (vec![crowded(2000), crowded(2000)], 2000),
        (vec![Link::Up(Vec::new())], 2800),
        (vec![crowded(3000), crowded(3000)], 0),
        (vec![reset(), crowded(2000), Link::Refused], 3000),
    ] {
        for ask_within in [1000.0, 10_000.0, 240_000.0] {
            let links: Vec<Link> = std::iter::once(reset()).chain(row.clone()).collect();
            let late = Case { wait, ask_within, ..Case::new(Some(1), links) }.worst_from(0, SEEDS);
            println!("{late} ms at the worst");
            assert!(late < TOLD + GRACE, "{late} ms, time for asking {ask_within}");
        }
    }
}

/// What has been written on a watch has been told, however it was worded and whatever comes behind it.
#[test]
fn news_and_the_end_of_a_watch_in_one_read_are_taken() {
    let indented = "{\n  \"seq\": 2,\n  \"whole\": true,\n  \"hosts\": [\n    {\n      \"host\": \"a\",\n      \
        \"dial\": \"127.0.0.1:1\",\n      \"health\": \"active\"\n    },\n    {\n      \"host\": \"b\",\n      \
        \"dial\": \"127.0.0.1:1\",\n      \"health\": \"active\"\n    }\n  ]\n}";
    for words in [NEWS, &format!("  {NEWS}"), indented] {
        let open = (0, format!("{HEAD}{}", line(LIST)));
        let (all, bare) = (line(words), chunk(words));
        let cut = all.split_at(all.len() / 2);
        for (rest, at) in [
            // A line, the same with the watch's end behind it, and one whose line does not end.
            (vec![(1000, all.clone())], 1000),
            (vec![(1000, format!("{all}0\r\n\r\n"))], 1000),
            (vec![(1000, format!("{bare}0\r\n\r\n"))], 1000),
            // The same broken off, and in two parts.
            (vec![(1000, bare.clone())], 1000),
            (vec![(1000, cut.0.into()), (500, cut.1.into())], 1500),
        ] {
            let says = std::iter::once(open.clone()).chain(rest).collect();
            let (news, asked) = Case::new(Some(1), vec![Link::Ends(says)]).play(0);
            assert_eq!((news, asked.len()), (Some(at), 1), "{words:?}");
        }
        // It falls silent behind the last byte: what it said counts no later than its silence.
        let says = vec![open, (1000, bare)];
        let (news, asked) = Case::new(Some(1), vec![Link::Up(says)]).play(0);
        assert_eq!((news, asked.len()), (Some(3200), 1), "{words:?}");
        // The whole list comes so, too.
        let whole = Link::Up(vec![(700, format!("{HEAD}{}0\r\n\r\n", chunk(words)))]);
        assert_eq!(Case::new(None, vec![whole]).play(0), (Some(700), vec![0, 700]));
    }
}

/// Half an object with nothing behind it, or with another line, is not waited for.
#[test]
fn an_object_that_is_cut_off_is_asked_for_anew_at_once() {
    for behind in [line(""), line(LIST), line("}")] {
        let says = vec![(0, format!("{HEAD}{}", line(LIST))), (1000, line(&NEWS[..22])), (200, behind)];
        let late = Case::new(Some(1), vec![Link::Up(says)]).worst_after(1200);
        assert!(late <= 410, "{late}");
    }
}

/// A watch that breaks right before the news, and calls that wait then.
#[test]
fn a_watch_that_is_reset_right_before_news_is_asked_anew_in_time() {
    let mut says = vec![(0, format!("{HEAD}{}", line(LIST)))];
    says.extend((0..3).map(|_| (2000, line(""))));
    says.push((500, chunk(&NEWS[..20])));
    let broken = Link::Ends(says);
    for (row, wait) in [(vec![], 3000), (vec![crowded(3000)], 3000), (vec![reset(), crowded(2000)], 3000)] {
        let links = std::iter::once(broken.clone()).chain(row).collect();
        assert!(Case { wait, ..Case::new(Some(1), links) }.worst_after(6500) < TOLD + GRACE);
    }
}

#[test]
fn a_watch_that_falls_silent_is_asked_anew_in_time() {
    // Two empty lines, the last at 4 s, and silence from there.
    let case = Case::new(Some(1), vec![watch(LIST, 2)]);
    assert!(case.worst_after(4000) < TOLD);
    // However long the settings let a node leave off asking.
    assert!(Case { ask_within: 240_000.0, ..case.clone() }.worst_after(4000) < TOLD);
    // Also in the middle of a line, of which single bytes still come.
    let mut says = vec![(0, format!("{HEAD}{}", line(LIST)))];
    says.extend((0..200).map(|_| (300, chunk(" "))));
    assert!(Case::new(Some(1), vec![Link::Up(says)]).worst_after(0) < TOLD);
}

#[test]
fn a_list_that_stops_in_the_middle_is_asked_for_anew_in_time() {
    let half = format!("{HEAD}{}", chunk(&LIST[..20]));
    assert!(Case::new(None, vec![Link::Up(vec![(0, half.clone())])]).worst_after(0) < TOLD);
    let mut trickle = vec![(0, half.clone())];
    trickle.extend((0..200).map(|_| (300, chunk(" "))));
    assert!(Case::new(None, vec![Link::Up(trickle)]).worst_after(0) < TOLD);
    // It waited in the service's queue first: the wait and the silence share one clock.
    assert!(Case::new(None, vec![Link::Up(vec![(3000, half)])]).worst_after(0) < TOLD);
}

#[test]
fn a_call_that_waits_and_then_says_nothing_is_asked_anew_in_time() {
    // The answer begins when the service gives up on calls at the latest; the first line never comes.
    let late = Link::Up(vec![(3000, HEAD.to_string())]);
    assert!(Case::new(Some(1), vec![late]).worst_after(0) < TOLD);
    // One whose first line is the first empty one is no silent one, and is not asked anew.
    let slow = Link::Up(vec![(3000, HEAD.to_string()), (2000, line("")), (1000, line(NEWS))]);
    let (news, asked) = Case::new(Some(1), vec![slow]).play(0);
    assert_eq!((news, asked[0]), (Some(6000), 0));
    assert!(asked.get(1).is_none_or(|at| *at > 6000), "{asked:?}");
}

#[test]
fn a_call_without_an_answer_is_made_anew_in_time() {
    for version in [None, Some(1)] {
        assert!(Case::new(version, vec![Link::Up(vec![])]).worst_after(0) < TOLD);
        // Its connection came up late as well, a second one beside it was no better.
        let late = vec![Link::Hangs(None), Link::Up(vec![])];
        assert!(Case::new(version, late).worst_after(0) < TOLD);
    }
}

/// A cut link says nothing, and connections on it hang; when it is back they go on hanging, or are reset. What was missed counts
/// as told by then, so that nothing but the grace is left.
#[test]
fn a_link_that_is_back_brings_the_list_within_the_grace() {
    for back in (4000..12_000).step_by(370) {
        for reset in [None, Some(back)] {
            // Connections are tried every half second from 3.7 s on at the latest: so many hang until then.
            let hang = |seed| {
                let mut case = Case::new(Some(1), vec![watch(LIST, 0)]);
                case.links.extend((0..64).map(|_| Link::Hangs(reset)));
                let tried = case.play(seed).1.iter().skip(1).filter(|at| **at < back).count();
                case.links.truncate(1 + tried);
                let (news, asked) = case.play(seed);
                let news = news.unwrap_or_else(|| panic!("no news; connections at {asked:?}"));
                assert!(news >= back && news < back + GRACE, "back at {back}, the list at {news}: {asked:?}");
            };
            (0..6).for_each(hang);
        }
    }
}

/// However long it was down: the pause that has just begun is no longer than after the first failure.
#[test]
fn after_an_outage_the_list_comes_at_once_asked_for_or_an_agents() {
    for back in (1000..12_000).step_by(970) {
        let asked = Case { back, ..Case::new(Some(1), vec![]) };
        assert!(asked.worst_after(back) < GRACE, "back at {back}");
        let pushed = Case { discovery: Discovery::Agent, ..asked };
        assert!(pushed.worst_after(back) < GRACE, "back at {back}");
    }
    // The first calls to an agent that is back fail, too.
    let links = vec![Link::Refused, reset(), Link::Refused, crowded(0)];
    let agent = Case { discovery: Discovery::Agent, ..Case::new(Some(1), links) };
    assert!(agent.worst_from(0, SEEDS) < GRACE);
}

/// A node that was told of a new address counts as told of its list 4 s later, whatever befalls its first call.
#[test]
fn a_silent_first_call_after_a_reload_leaves_time_for_another() {
    let half = format!("{HEAD}{}", chunk(&LIST[..20]));
    for first in [
        Link::Up(vec![]),
        Link::Up(vec![(0, HEAD.to_string())]),
        Link::Up(vec![(3000, half)]),
        Link::Hangs(None),
        Link::Refused,
    ] {
        // The whole list is asked for, as after a reload: the version so far means nothing at the new address.
        let late = Case::new(None, vec![first]).worst_after(0);
        assert!(late < TOLD_AFTER_RELOAD + GRACE, "{late}");
    }
}

#[test]
fn of_two_silences_in_a_row_each_is_asked_anew_by_its_own_clock() {
    let case = Case::new(Some(1), vec![watch(LIST, 0), Link::Up(vec![])]);
    for seed in 0..SEEDS {
        let (news, asked) = case.play(seed);
        assert!(asked[1] < TOLD, "{asked:?}");
        assert!(news.is_some_and(|news| news - asked[1] < TOLD), "{news:?}, {asked:?}");
    }
}

#[test]
fn a_new_process_asks_at_its_first_moment() {
    for discovery in [Discovery::Polled, Discovery::Agent] {
        let case = Case { discovery, ..Case::new(Some(1), vec![]) };
        assert_eq!(case.play(0), (Some(0), vec![0]));
    }
    // An agent that is not up yet is asked again soon.
    let links = vec![Link::Refused, Link::Refused];
    let case = Case { discovery: Discovery::Agent, ..Case::new(Some(1), links) };
    assert!(case.worst_after(0) < GRACE);
}

/// A service that turns calls away at once, and pays for that, is asked more rarely after ten seconds of it, and not before;
/// one that lets calls wait, or refuses connections, is asked as ever.
#[test]
fn a_service_that_turns_all_calls_away_at_once_is_asked_more_rarely_in_the_end() {
    for (link, in_last) in
        [(crowded(0), 4..=6), (Link::Refused, 25..=60), (reset(), 25..=60), (crowded(400), 18..=25)]
    {
        let (news, asked) = Case::new(Some(1), vec![link; 400]).play(0);
        let early = asked.iter().filter(|at| **at < 9000).count();
        let late = asked.iter().filter(|at| (30_000..40_000).contains(*at)).count();
        assert_eq!(news, None);
        assert!(early >= 17 && in_last.contains(&late), "{early} in 9 s, {late} in the last 10 s");
    }
    // Back after that, the list is there in time where the calls themselves leave as much.
    let links = (0..46).map(|_| crowded(0)).collect();
    let late = Case { wait: 3000, ..Case::new(Some(1), links) }.worst_from(45, SEEDS);
    assert!(late < TOLD, "{late}");
}

/// A list that does not change is no call without an answer.
#[test]
fn a_watch_with_nothing_to_say_is_left_alone() {
    let empty = Link::Up(
        (0..40).map(|n| (2000 * u64::from(n > 0), if n == 0 { HEAD.into() } else { line("") })).collect(),
    );
    let (news, asked) = Case::new(Some(1), vec![watch(LIST, 0), empty]).play(0);
    assert_eq!((news, asked.len()), (None, 2), "{asked:?}");
}

/// The whole list was answered, and the watch behind it rejected: the list is there, and only the watch is asked for again.
#[test]
fn a_watch_that_is_rejected_keeps_the_list_that_is_there() {
    let list = Link::Ends(vec![(0, format!("{HEAD}{}0\r\n\r\n", chunk(LIST)))]);
    let (news, service) = Case::new(None, vec![list, crowded(0), crowded(0)]).play_before(0);
    let paths = service.paths.borrow();
    assert!(news.is_some());
    assert_eq!(paths[0], "/v1/endpoints");
    assert_eq!(paths[1..], vec!["/v1/endpoints?watch=1&from=1"; 3], "{paths:?}");
}
