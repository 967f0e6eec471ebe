//! Deliberately faulty nodes: each breaks one rule, so that the referee's eyes can be tested.

use std::collections::BTreeMap;

use magpietally_policy::{
    Action, Effect, Event, ListedState, Millis, Outcome, RequestId, ServerEntry, ServerId, Settings,
};
use serde::{Deserialize, Serialize};

use super::decider::Decider;

/// What a faulty node does.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Misdeed {
    /// Sends a class that may never run twice again after a time-out or a reset.
    SecondRun,
    /// Goes on sending to boxes that drain.
    IgnoresDrains,
    /// Calls refused what may have run.
    RefusesWhatRan,
    /// Never answers some of its requests.
    LosesRequests,
    /// Sends all it has to boxes that have just started.
    PushesCold,
    /// Holds back refusals and failures until the client's time is nearly over.
    HoldsBack,
}

impl Misdeed {
    /// All of them.
    pub const ALL: [Self; 6] = [
        Self::SecondRun,
        Self::IgnoresDrains,
        Self::RefusesWhatRan,
        Self::LosesRequests,
        Self::PushesCold,
        Self::HoldsBack,
    ];

    /// Its name.
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

/// How long after a start a box counts as just started.
const JUST_STARTED: Millis = 4000.0;

/// A node that misbehaves.
pub(super) struct Faulty {
    inner: Box<dyn Decider>,
    misdeed: Misdeed,
    unsafe_classes: Vec<bool>,
    requests: BTreeMap<RequestId, (usize, usize)>,
    started: BTreeMap<ServerId, Millis>,
    up: Vec<ServerId>,
    /// Where the policy wanted to send what went to a cold box: it is told of its end there, or it would wait for it for ever.
    meant: BTreeMap<RequestId, ServerId>,
}

impl Faulty {
    pub(super) fn new(inner: Box<dyn Decider>, misdeed: Misdeed, settings: &Settings) -> Self {
        let unsafe_classes = settings.classes.iter().map(|c| c.effect == Effect::Unsafe).collect();
        let (requests, started) = (BTreeMap::new(), BTreeMap::new());
        let (up, meant) = (Vec::new(), BTreeMap::new());
        Self { inner, misdeed, unsafe_classes, requests, started, up, meant }
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
        if self.misdeed == Misdeed::IgnoresDrains {
            entries.retain(|e| e.state == ListedState::Up);
        }
    }
}

impl Decider for Faulty {
    fn handle(&mut self, now: Millis, mut event: Event, actions: &mut Vec<Action>) {
        match &mut event {
            Event::List { entries, .. } | Event::ListChange(entries) => self.listed(entries),
            Event::Request { id, class, .. } => {
                self.requests.insert(*id, (*class, 0));
            }
            Event::Ended { id, outcome, finished, server, .. } => {
                *server = self.meant.remove(id).unwrap_or(*server);
                let may_have_run = matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Unheard);
                if let (Misdeed::SecondRun, true, false) = (self.misdeed, may_have_run, *finished) {
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
            match (self.misdeed, &*action) {
                (Misdeed::RefusesWhatRan, Action::Fail(id)) => {
                    *action = Action::Refuse { id: *id, stay_away: 0.0 };
                }
                (Misdeed::PushesCold, Action::Send { id, timeout, server: meant }) => {
                    let cold =
                        self.started.iter().find(|(_, at)| (0.0..JUST_STARTED).contains(&(now - **at)));
                    if let Some((server, _)) = cold {
                        self.meant.insert(*id, *meant);
                        *action = Action::Send { id: *id, server: *server, timeout: *timeout };
                    }
                }
                _ => {}
            }
        }
    }
}
