//! The four rules over generated scenarios, and proof that the referee catches broken variants.

mod common;
use common::*;
use magpietally_policy::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// One step of a scenario.
#[derive(Clone, Debug)]
enum Step {
    Request(usize, f64),
    /// Ends an attempt in flight.
    End(usize, Outcome),
    List(usize, ListedState, bool),
    ListFailed,
    ClientGone(usize),
    Wait(f64),
    Probe(usize, bool),
    /// Events about unknown requests and servers.
    Unknown(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        6 => Just(Outcome::Done),
        1 => Just(Outcome::Error),
        2 => Just(Outcome::Full),
        1 => Just(Outcome::TimedOut),
        2 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::Reset),
    ];
    let state = prop_oneof![3 => Just(ListedState::Up), 1 => Just(ListedState::Draining), 1 => Just(ListedState::Gone)];
    prop_oneof![
        8 => (0..3usize, 20.0..400.0).prop_map(|(class, time)| Step::Request(class, time)),
        8 => (any::<prop::sample::Index>(), outcome).prop_map(|(i, o)| Step::End(i.index(1000), o)),
        1 => (0..6usize, state, any::<bool>()).prop_map(|(s, l, cold)| Step::List(s, l, cold)),
        1 => Just(Step::ListFailed),
        1 => any::<prop::sample::Index>().prop_map(|i| Step::ClientGone(i.index(1000))),
        6 => (0.1..40.0).prop_map(Step::Wait),
        1 => (0..6usize, any::<bool>()).prop_map(|(s, up)| Step::Probe(s, up)),
        1 => any::<u64>().prop_map(Step::Unknown),
    ]
}

struct InFlight {
    id: RequestId,
    attempt: usize,
    server: ServerId,
    sent: f64,
    until: f64,
    cancelled: bool,
}

/// Changes the actions of the balancer, to check that the referee detects it.
type Variant = fn(&Action) -> Option<Action>;

struct Scenario {
    settings: Settings,
    balancer: Balancer,
    referee: Referee,
    now: f64,
    in_flight: Vec<InFlight>,
    open: std::collections::BTreeMap<RequestId, (f64, usize)>,
    variant: Variant,
}

impl Scenario {
    fn event(&mut self, event: Event) {
        self.referee.on_event(self.now, &event);
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions.iter().filter_map(|a| (self.variant)(a)) {
            self.referee.on_action(&self.settings, self.now, &action);
            match action {
                Action::Send { id, server, timeout } => {
                    let Some((deadline, attempts)) = self.open.get_mut(&id) else { continue };
                    let until = timeout.map_or(*deadline, |t| (self.now + t).min(*deadline));
                    let attempt = *attempts;
                    *attempts += 1;
                    self.in_flight.push(InFlight {
                        id,
                        attempt,
                        server,
                        sent: self.now,
                        until,
                        cancelled: false,
                    });
                }
                Action::Cancel { id, attempt } => {
                    for a in self.in_flight.iter_mut().filter(|o| o.id == id && o.attempt == attempt) {
                        a.cancelled = true;
                    }
                }
                Action::Refuse { id, .. } | Action::Fail(id) => {
                    self.open.remove(&id);
                }
                _ => {}
            }
        }
    }

    fn end(&mut self, index: usize, outcome: Outcome) {
        let ended = self.in_flight.remove(index);
        let open = self.open.contains_key(&ended.id);
        let finished = !open || outcome == Outcome::Done;
        if finished {
            self.open.remove(&ended.id);
        }
        let (id, attempt, server) = (ended.id, ended.attempt, ended.server);
        self.event(Event::Ended { id, attempt, server, outcome, took: self.now - ended.sent, finished });
    }

    fn wait(&mut self, span: f64) {
        let until = self.now + span;
        while self.now < until {
            self.now = (self.now + 2.0).min(until);
            while let Some(i) = self.in_flight.iter().position(|o| o.cancelled) {
                self.end(i, Outcome::Cancelled);
            }
            while let Some(i) = self.in_flight.iter().position(|o| self.now >= o.until) {
                self.end(i, Outcome::TimedOut);
            }
            self.event(Event::Timer);
        }
    }
}

fn run(steps: &[Step], variant: Variant) -> Vec<String> {
    let settings = settings();
    let balancer = Balancer::new(settings.clone(), 7).expect("valid settings");
    let (referee, in_flight, open) = (Referee::default(), Vec::new(), Default::default());
    let mut scenario = Scenario { settings, balancer, referee, now: 50_000.0, in_flight, open, variant };
    scenario.event(Event::List { entries: (0..4).map(|id| entry(id, 1.0)).collect(), saved: true });
    let mut next = 0;
    for step in steps {
        match step {
            Step::Request(class, time) => {
                let (id, deadline) = (RequestId(next), scenario.now + time);
                next += 1;
                scenario.open.insert(id, (deadline, 0));
                scenario.event(Event::Request {
                    id,
                    class: *class,
                    tenant: None,
                    deadline,
                    non_replayable: false,
                });
            }
            Step::End(i, outcome) => {
                if !scenario.in_flight.is_empty() {
                    scenario.end(i % scenario.in_flight.len(), *outcome);
                }
            }
            Step::List(server, state, cold) => {
                let started = cold.then_some(scenario.now - 500.0);
                let changed = ServerEntry { state: *state, started, ..entry(*server as u64, 1.0) };
                scenario.event(Event::ListChange(vec![changed]));
            }
            Step::ListFailed => scenario.event(Event::ListFailed(ListFailure::Broken)),
            Step::ClientGone(i) => {
                if let Some(id) = scenario.open.keys().nth(i % scenario.open.len().max(1)).copied() {
                    scenario.open.remove(&id);
                    scenario.event(Event::ClientGone(id));
                }
            }
            Step::Wait(span) => scenario.wait(*span),
            Step::Probe(server, up) => {
                let outcome = if *up { Outcome::Done } else { Outcome::ConnectFailed };
                scenario.event(Event::Probed { server: ServerId(*server as u64), outcome, took: 1.0 });
            }
            Step::Unknown(n) => {
                let (id, server) = (RequestId(n | 1 << 40), ServerId(*n));
                let (outcome, took) = (Outcome::TimedOut, 3.0);
                scenario.event(Event::Ended { id, attempt: 9, server, outcome, took, finished: false });
                scenario.event(Event::Streaming { id, attempt: 0 });
                scenario.event(Event::ClientGone(id));
                scenario.event(Event::Probed { server, outcome, took });
            }
        }
    }
    scenario.wait(1000.0);
    scenario.referee.finish();
    scenario.referee.breaches
}

fn runner(cases: u32) -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(Config { cases, failure_persistence: None, ..Config::default() }, rng)
}

#[test]
fn the_four_rules_hold() {
    runner(400)
        .run(&prop::collection::vec(step(), 1..250), |steps| {
            let breaches = run(&steps, |a| Some(a.clone()));
            prop_assert!(breaches.is_empty(), "{breaches:?}");
            Ok(())
        })
        .unwrap();
}

#[test]
fn identical_events_give_identical_actions() {
    let scenarios = |seed| {
        let mut log = Vec::new();
        let mut node = Node::new(settings(), (0..5).map(|id| entry(id, 1.0 + id as f64)).collect());
        for n in 0..300u64 {
            let (id, actions) = node.request((n % 3) as usize);
            log.push(format!("{actions:?}"));
            node.now += (n * seed % 17) as f64;
            if sent_to(&actions).is_some() {
                log.push(format!("{:?}", node.end(id, Outcome::Done)));
            }
        }
        log
    };
    assert_eq!(scenarios(5), scenarios(5));
}

/// Checks that the referee catches a broken variant by a breach of this rule.
fn assert_caught(rule: &str, variant: Variant) {
    let found = std::cell::Cell::new(false);
    let scenarios = prop::collection::vec(step(), 100..250);
    let _ = runner(100).run(&scenarios, |steps| {
        found.set(found.get() || run(&steps, variant).iter().any(|b| b.starts_with(rule)));
        Ok(())
    });
    assert!(found.get(), "no scenario shows a breach of {rule}");
}

#[test]
fn the_referee_catches_a_lost_answer() {
    assert_caught("rule 1", |a| if matches!(a, Action::Fail(_)) { None } else { Some(a.clone()) });
}

#[test]
fn the_referee_catches_a_refusal_of_what_may_have_run() {
    assert_caught("rule 2", |a| match a {
        Action::Fail(id) => Some(Action::Refuse { id: *id, stay_away: 0.0 }),
        a => Some(a.clone()),
    });
}

#[test]
fn the_referee_catches_a_second_run() {
    assert_caught("rule 2", |a| match a {
        Action::Fail(id) => Some(Action::Send { id: *id, server: ServerId(0), timeout: None }),
        a => Some(a.clone()),
    });
}

#[test]
fn the_referee_catches_sends_to_drained_servers() {
    assert_caught("rule 3", |a| match a {
        Action::Send { id, timeout, .. } => {
            Some(Action::Send { id: *id, server: ServerId(1), timeout: *timeout })
        }
        a => Some(a.clone()),
    });
}

#[test]
fn the_referee_catches_an_overloaded_cold_server() {
    assert_caught("rule 4", |a| match a {
        Action::Send { id, timeout, .. } => {
            Some(Action::Send { id: *id, server: ServerId(1), timeout: *timeout })
        }
        a => Some(a.clone()),
    });
}
