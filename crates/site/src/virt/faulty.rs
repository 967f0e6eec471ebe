//! Nodes with an injected fault: each breaks one rule, to test that the referee detects it.

use std::collections::BTreeMap;

use magpietally_policy::{
    Action, Effect, Event, ListedState, Millis, Outcome, RequestId, ServerEntry, ServerId, Settings,
};
use serde::{Deserialize, Serialize};

use super::decider::Decider;

/// The fault of a faulty node.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum InjectedFault {
    /// Sends a request of an unsafe class a second time after a time-out or a reset.
    SecondRun,
    /// Keeps sending to draining boxes.
    IgnoresDrains,
    /// Reports requests as refused that may have run.
    RefusesWhatRan,
    /// Never answers some requests.
    LosesRequests,
    /// Sends all requests to boxes that have just started.
    PushesCold,
    /// Delays refusals and failures until the client's deadline is near.
    HoldsBack,
}

impl InjectedFault {
    /// All faults.
    pub const ALL: [Self; 6] = [
        Self::SecondRun,
        Self::IgnoresDrains,
        Self::RefusesWhatRan,
        Self::LosesRequests,
        Self::PushesCold,
        Self::HoldsBack,
    ];

    /// Name on the command line and in files.
    pub fn name(self) -> &'static str {
        match self {
            Self::SecondRun => "second_run",
            Self::IgnoresDrains => "ignores_drains",
            Self::RefusesWhatRan => "refuses_what_ran",
            Self::LosesRequests => "loses_requests",
            Self::PushesCold => "pushes_cold",
            Self::HoldsBack => "holds_back",
        }
    }
}

/// Time after its start during which a box counts as just started.
const JUST_STARTED_MS: Millis = 4000.0;

/// A node that wraps another decision maker and breaks one rule.
pub(super) struct FaultyNode {
    inner: Box<dyn Decider>,
    injected: InjectedFault,
    unsafe_classes: Vec<bool>,
    requests: BTreeMap<RequestId, (usize, usize)>,
    started: BTreeMap<ServerId, Millis>,
    up: Vec<ServerId>,
    /// Server that the policy had picked for each request that went to a cold box. The policy receives the
    /// outcome under that server; otherwise it would wait for it forever.
    intended: BTreeMap<RequestId, ServerId>,
}

impl FaultyNode {
    pub(super) fn new(inner: Box<dyn Decider>, injected: InjectedFault, settings: &Settings) -> Self {
        let unsafe_classes = settings.classes.iter().map(|c| c.effect == Effect::Unsafe).collect();
        let (requests, started) = (BTreeMap::new(), BTreeMap::new());
        let (up, intended) = (Vec::new(), BTreeMap::new());
        Self { inner, injected, unsafe_classes, requests, started, up, intended }
    }

    fn listed(&mut self, entries: &mut Vec<ServerEntry>) {
        for entry in entries.iter() {
            if entry.state == ListedState::Up {
                if !self.up.contains(&entry.server) {
                    self.up.push(entry.server);
                }
                if let Some(at) = entry.started {
                    self.started.insert(entry.server, at);
                }
            }
        }
        if self.injected == InjectedFault::IgnoresDrains {
            entries.retain(|e| e.state == ListedState::Up);
        }
    }
}

impl Decider for FaultyNode {
    fn handle(&mut self, now: Millis, mut event: Event, actions: &mut Vec<Action>) {
        match &mut event {
            Event::List { entries, .. } | Event::ListChange(entries) => self.listed(entries),
            Event::Request { id, class, .. } => {
                self.requests.insert(*id, (*class, 0));
            }
            Event::Ended { id, outcome, finished, server, .. } => {
                *server = self.intended.remove(id).unwrap_or(*server);
                let may_have_run = matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Unheard);
                if let (InjectedFault::SecondRun, true, false) = (self.injected, may_have_run, *finished) {
                    if let Some((class, again)) = self.requests.get_mut(id) {
                        if self.unsafe_classes[*class] && *again == 0 && !self.up.is_empty() {
                            *again = 1;
                            let server = self.up[id.0 as usize % self.up.len()];
                            actions.push(Action::Send { id: *id, server, timeout: Some(200.0) });
                            return;
                        }
                    }
                }
            }
            _ => {}
        }
        let from = actions.len();
        self.inner.handle(now, event, actions);
        for action in &mut actions[from..] {
            match (self.injected, &*action) {
                (InjectedFault::RefusesWhatRan, Action::Fail(id)) => {
                    *action = Action::Refuse { id: *id, stay_away: 0.0 };
                }
                (InjectedFault::PushesCold, Action::Send { id, timeout, server: intended }) => {
                    let cold =
                        self.started.iter().find(|(_, at)| (0.0..JUST_STARTED_MS).contains(&(now - **at)));
                    if let Some((server, _)) = cold {
                        self.intended.insert(*id, *intended);
                        *action = Action::Send { id: *id, server: *server, timeout: *timeout };
                    }
                }
                _ => {}
            }
        }
    }
}
