//! Baselines: the common load-balancing methods. They see what a node may see and keep the rules on repeats
//! and drains, but have no limits, no ejection and no special treatment of cold servers.

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
    /// At random with equal probability.
    Random,
    /// Round robin, starting at the node's own offset.
    RoundRobin,
    /// The server with the fewest attempts in flight from this node.
    LeastInFlight,
    /// The one with fewer attempts in flight of two servers drawn at random.
    TwoChoices,
}

impl Pick {
    /// All methods.
    pub const ALL: [Self; 4] = [Self::Random, Self::RoundRobin, Self::LeastInFlight, Self::TwoChoices];

    /// Name on the command line and in files.
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round_robin",
            Self::LeastInFlight => "least_in_flight",
            Self::TwoChoices => "two_choices",
        }
    }
}

struct OpenRequest {
    class: usize,
    deadline: Millis,
    attempts: Vec<(ServerId, u64, Millis, Option<Outcome>)>,
}

/// How long a baseline waits before it requests the list again.
const LIST_RETRY_MS: Millis = 500.0;

/// Decision maker of a baseline node.
pub(super) struct BaselineNode {
    settings: Settings,
    pick: Option<Pick>,
    random: Stream,
    servers: BTreeMap<ServerId, ServerEntry>,
    /// Servers in service, sorted.
    up: Vec<ServerId>,
    in_flight: BTreeMap<ServerId, usize>,
    next_turn: usize,
    requests: BTreeMap<RequestId, OpenRequest>,
    /// When to subscribe to the list.
    subscribe_at: Option<Millis>,
}

impl BaselineNode {
    pub(super) fn new(settings: Settings, pick: Pick, seed: u64) -> Self {
        Self { pick: Some(pick), random: Stream::new(seed, Purpose::Nodes), ..Self::refusing(settings) }
    }

    /// A node that refuses every request.
    pub(super) fn refusing(settings: Settings) -> Self {
        let subscribe_at = (settings.discovery == Discovery::Polled).then_some(f64::NEG_INFINITY);
        Self {
            next_turn: settings.number,
            settings,
            pick: None,
            random: Stream::new(0, Purpose::Nodes),
            servers: BTreeMap::new(),
            up: Vec::new(),
            in_flight: BTreeMap::new(),
            requests: BTreeMap::new(),
            subscribe_at,
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
        self.in_flight.get(&server).copied().unwrap_or(0)
    }

    /// Picks the server of a first attempt, which may go to any server that is up.
    fn choose_first(&mut self) -> Option<ServerId> {
        let count = self.up.len();
        if count == 0 {
            return None;
        }
        match self.pick? {
            Pick::Random => Some(self.up[self.random.below(count)]),
            Pick::RoundRobin => {
                let turn = self.up[self.next_turn % count];
                self.next_turn = self.next_turn % count + 1;
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

    fn choose(&mut self, candidates: &[ServerId]) -> Option<ServerId> {
        if candidates.is_empty() {
            return None;
        }
        Some(match self.pick? {
            Pick::Random => candidates[self.random.below(candidates.len())],
            Pick::RoundRobin => {
                // The next candidate in round-robin order.
                let count = self.up.len();
                let turn = (0..count)
                    .map(|n| self.up[(self.next_turn + n) % count])
                    .find(|s| candidates.contains(s))?;
                self.next_turn = self.up.iter().position(|s| *s == turn).unwrap_or(0) + 1;
                turn
            }
            Pick::LeastInFlight => {
                let least = candidates.iter().map(|s| self.load(*s)).min()?;
                let least: Vec<ServerId> =
                    candidates.iter().copied().filter(|s| self.load(*s) == least).collect();
                least[self.random.below(least.len())]
            }
            Pick::TwoChoices => {
                let (a, b) = (self.random.below(candidates.len()), self.random.below(candidates.len()));
                self.less_loaded(candidates[a], candidates[b])
            }
        })
    }

    /// Returns whether the rules on repeats allow the request to be sent to this server, again or for the
    /// first time (`None`: whether it may be refused).
    fn may_send(&self, request: &OpenRequest, now: Millis, to: Option<&ServerEntry>) -> bool {
        let mut ran = request.attempts.iter().filter(|a| !a.3.is_some_and(Outcome::never_ran));
        match self.settings.classes[request.class].effect {
            Effect::Safe => true,
            Effect::Unsafe => ran.next().is_none(),
            Effect::Keyed { scope, memory } => ran.all(|a| match to {
                None => scope == DedupScope::All,
                Some(to) => (scope == DedupScope::All || a.1 == to.zone) && now - a.2 < memory,
            }),
        }
    }

    fn serve(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let server = if request.attempts.is_empty() && now < request.deadline {
            self.choose_first()
        } else {
            let last = request.attempts.last().map(|a| a.0);
            let may_retry = request.attempts.len() < self.settings.limits.attempts && now < request.deadline;
            let allowed =
                |s: &&ServerId| self.servers.get(s).is_some_and(|e| self.may_send(request, now, Some(e)));
            let mut to: Vec<ServerId> =
                if may_retry { self.up.iter().filter(allowed).copied().collect() } else { Vec::new() };
            if to.len() > 1 {
                to.retain(|s| Some(*s) != last);
            }
            self.choose(&to)
        };
        let Some(server) = server else {
            let refuse = self.requests.remove(&id).is_some_and(|request| self.may_send(&request, now, None));
            actions.push(if refuse { Action::Refuse { id, stay_away: 0.0 } } else { Action::Fail(id) });
            return;
        };
        let zone = self.servers.get(&server).map_or(0, |e| e.zone);
        *self.in_flight.entry(server).or_default() += 1;
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts.push((server, zone, now, None));
            let timeout = Some((request.deadline - now).max(0.001));
            actions.push(Action::Send { id, server, timeout });
        }
    }
}

impl Decider for BaselineNode {
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::List { entries, .. } => self.list(entries, true),
            Event::ListChange(entries) => self.list(entries, false),
            Event::ListFailed(_) | Event::DiscoveryMoved => {
                self.subscribe_at = Some(now + LIST_RETRY_MS);
                actions.push(Action::SetTimer(LIST_RETRY_MS));
            }
            Event::Request { id, class, deadline, .. } => {
                self.requests.insert(id, OpenRequest { class, deadline, attempts: Vec::new() });
                self.serve(now, id, actions);
            }
            Event::Ended { id, attempt, server, outcome, finished, .. } => {
                if let Some(out) = self.in_flight.get_mut(&server) {
                    *out = out.saturating_sub(1);
                }
                if finished {
                    self.requests.remove(&id);
                } else if let Some(request) = self.requests.get_mut(&id) {
                    if let Some(a) = request.attempts.get_mut(attempt) {
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
        if self.subscribe_at.is_some_and(|at| now >= at) {
            self.subscribe_at = None;
            actions.push(Action::Subscribe);
        }
    }
}
