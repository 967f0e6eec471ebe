//! Baselines: what people would pick instead. They see what a node may see, keep the rules on repeats and drains, and
//! have no limits, no ejection and no care for cold servers.

use std::collections::BTreeMap;

use magpietally_policy::{
    Action, DedupScope, Discovery, Effect, Event, ListedState, Millis, Outcome, RequestId, ServerEntry,
    ServerId, Settings,
};
use serde::{Deserialize, Serialize};

use super::decider::Decider;
use crate::model::random::{Purpose, Stream};

/// How a baseline picks a server.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Pick {
    /// Any, each as likely.
    Random,
    /// In turn, from the node's own offset.
    RoundRobin,
    /// Where the node itself has least out.
    LeastInFlight,
    /// The one with less out of two drawn ones.
    TwoChoices,
}

impl Pick {
    /// All of them.
    pub const ALL: [Self; 4] = [Self::Random, Self::RoundRobin, Self::LeastInFlight, Self::TwoChoices];

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round_robin",
            Self::LeastInFlight => "least_in_flight",
            Self::TwoChoices => "two_choices",
        }
    }
}

struct Held {
    class: usize,
    deadline: Millis,
    attempts: Vec<(ServerId, u64, Millis, Option<Outcome>)>,
}

/// How long a baseline waits before it asks for the list again.
const ASK_AGAIN: Millis = 500.0;

/// A baseline node.
pub(super) struct Plain {
    settings: Settings,
    pick: Option<Pick>,
    random: Stream,
    servers: BTreeMap<ServerId, ServerEntry>,
    /// Those in service, sorted.
    up: Vec<ServerId>,
    out: BTreeMap<ServerId, usize>,
    cursor: usize,
    requests: BTreeMap<RequestId, Held>,
    /// When the list is to be asked for.
    ask_at: Option<Millis>,
}

impl Plain {
    pub(super) fn new(settings: Settings, pick: Pick, seed: u64) -> Self {
        Self { pick: Some(pick), random: Stream::new(seed, Purpose::Nodes), ..Self::refusing(settings) }
    }

    /// A node that sends nothing.
    pub(super) fn refusing(settings: Settings) -> Self {
        let ask_at = (settings.discovery == Discovery::Polled).then_some(f64::NEG_INFINITY);
        Self {
            cursor: settings.number,
            settings,
            pick: None,
            random: Stream::new(0, Purpose::Nodes),
            servers: BTreeMap::new(),
            up: Vec::new(),
            out: BTreeMap::new(),
            requests: BTreeMap::new(),
            ask_at,
        }
    }

    fn list(&mut self, entries: Vec<ServerEntry>, whole: bool) {
        if whole {
            self.servers.clear();
        }
        for entry in entries {
            self.servers.insert(entry.server, entry);
        }
        let up = self.servers.values().filter(|e| e.state == ListedState::Up);
        self.up = up.map(|e| e.server).collect();
    }

    fn load(&self, server: ServerId) -> usize {
        self.out.get(&server).copied().unwrap_or(0)
    }

    /// A first attempt may go to any server that is up.
    fn choose_first(&mut self) -> Option<ServerId> {
        let count = self.up.len();
        if count == 0 {
            return None;
        }
        match self.pick? {
            Pick::Random => Some(self.up[self.random.below(count)]),
            Pick::RoundRobin => {
                let turn = self.up[self.cursor % count];
                self.cursor = self.cursor % count + 1;
                Some(turn)
            }
            Pick::TwoChoices => {
                let (a, b) = (self.random.below(count), self.random.below(count));
                Some(self.less_loaded(self.up[a], self.up[b]))
            }
            Pick::LeastInFlight => {
                let up = std::mem::take(&mut self.up);
                let least = self.choose(&up);
                self.up = up;
                least
            }
        }
    }

    fn less_loaded(&self, a: ServerId, b: ServerId) -> ServerId {
        if self.load(b) < self.load(a) {
            b
        } else {
            a
        }
    }

    fn choose(&mut self, may: &[ServerId]) -> Option<ServerId> {
        if may.is_empty() {
            return None;
        }
        Some(match self.pick? {
            Pick::Random => may[self.random.below(may.len())],
            Pick::RoundRobin => {
                // The next in turn that may have it.
                let count = self.up.len();
                let turn =
                    (0..count).map(|n| self.up[(self.cursor + n) % count]).find(|s| may.contains(s))?;
                self.cursor = self.up.iter().position(|s| *s == turn).unwrap_or(0) + 1;
                turn
            }
            Pick::LeastInFlight => {
                let least = may.iter().map(|s| self.load(*s)).min()?;
                let least: Vec<ServerId> = may.iter().copied().filter(|s| self.load(*s) == least).collect();
                least[self.random.below(least.len())]
            }
            Pick::TwoChoices => {
                let (a, b) = (self.random.below(may.len()), self.random.below(may.len()));
                self.less_loaded(may[a], may[b])
            }
        })
    }

    /// May the request go out, again or for the first time, to this server (`None`: be refused)?
    fn harmless(&self, held: &Held, now: Millis, to: Option<&ServerEntry>) -> bool {
        let mut ran = held.attempts.iter().filter(|a| !a.3.is_some_and(Outcome::never_ran));
        match self.settings.classes[held.class].effect {
            Effect::Safe => true,
            Effect::Unsafe => ran.next().is_none(),
            Effect::Keyed { scope, memory } => ran.all(|a| match to {
                None => scope == DedupScope::All,
                Some(to) => (scope == DedupScope::All || a.1 == to.zone) && now - a.2 < memory,
            }),
        }
    }

    fn serve(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some(held) = self.requests.get(&id) else { return };
        let server = if held.attempts.is_empty() && now < held.deadline {
            self.choose_first()
        } else {
            let last = held.attempts.last().map(|a| a.0);
            let more = held.attempts.len() < self.settings.limits.attempts && now < held.deadline;
            let may = |s: &&ServerId| self.servers.get(s).is_some_and(|e| self.harmless(held, now, Some(e)));
            let mut to: Vec<ServerId> =
                if more { self.up.iter().filter(may).copied().collect() } else { Vec::new() };
            if to.len() > 1 {
                to.retain(|s| Some(*s) != last);
            }
            self.choose(&to)
        };
        let Some(server) = server else {
            let refuse = self.requests.remove(&id).is_some_and(|held| self.harmless(&held, now, None));
            actions.push(if refuse { Action::Refuse { id, stay_away: 0.0 } } else { Action::Fail(id) });
            return;
        };
        let zone = self.servers.get(&server).map_or(0, |e| e.zone);
        *self.out.entry(server).or_default() += 1;
        if let Some(held) = self.requests.get_mut(&id) {
            held.attempts.push((server, zone, now, None));
            let timeout = Some((held.deadline - now).max(0.001));
            actions.push(Action::Send { id, server, timeout });
        }
    }
}

impl Decider for Plain {
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::List { entries, .. } => self.list(entries, true),
            Event::ListChange(entries) => self.list(entries, false),
            Event::ListFailed(_) | Event::DiscoveryMoved => {
                self.ask_at = Some(now + ASK_AGAIN);
                actions.push(Action::SetTimer(ASK_AGAIN));
            }
            Event::Request { id, class, deadline, .. } => {
                self.requests.insert(id, Held { class, deadline, attempts: Vec::new() });
                self.serve(now, id, actions);
            }
            Event::Ended { id, attempt, server, outcome, finished, .. } => {
                if let Some(out) = self.out.get_mut(&server) {
                    *out = out.saturating_sub(1);
                }
                if finished {
                    self.requests.remove(&id);
                } else if let Some(held) = self.requests.get_mut(&id) {
                    if let Some(a) = held.attempts.get_mut(attempt) {
                        a.3 = Some(outcome);
                    }
                    self.serve(now, id, actions);
                }
            }
            Event::ClientGone(id) => {
                self.requests.remove(&id);
            }
            Event::Streaming { .. } | Event::Probed { .. } | Event::Timer => {}
        }
        if self.ask_at.is_some_and(|at| now >= at) {
            self.ask_at = None;
            actions.push(Action::Subscribe);
        }
    }
}
