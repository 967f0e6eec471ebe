//! The decision maker of a node: the policy, or a variant to compare it with.

use std::collections::HashMap;

use magpietally_policy::{Action, Balancer, Effect, Event, Millis, Outcome, RequestId, Settings};
use serde::{Deserialize, Serialize};

use super::baseline::{BaselineNode, Pick};
use super::faulty::{FaultyNode, InjectedFault};

/// Handles events and returns actions, as the policy does.
pub trait Decider: Send {
    /// Handles one event and appends the resulting actions, in order.
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>);
}

impl Decider for Balancer {
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }
}

/// The fixes described in `docs/findings/`, each with a switch that shows which failure it prevents. Fixes of
/// network handling are switched off in the node. Fixes of decisions are switched off by changing the events
/// and actions of the policy, as the policy itself has no switches.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct Fixes {
    /// A connection that broke before the request was written is not reported as refused (`page4688`). Off:
    /// it is reported as refused.
    pub unwritten: bool,
    /// An attempt without any response byte, at a server that answered later attempts, is not reported as
    /// slow (`page5425`). Off: it is reported as a time-out.
    pub unheard: bool,
    /// A rejection by the server does not count as a late response (`page5425`). Off: it is reported as a
    /// time-out that took at least the aim.
    pub turned_away: bool,
    /// A request without a response in time gets a hedged second attempt (`page5425`). Off: the settings
    /// allow none.
    pub second_copies: bool,
    /// The margin kept back for the response's way to the client shrinks with the time left
    /// (`hurried-clients`). Off: 20 ms are kept back whatever time is left.
    pub margin: bool,
    /// Time-outs of requests that arrived with little time cause no ejection (`hurried-clients`). Off: they
    /// are reported as if at least half the aim had passed.
    pub hurried: bool,
    /// A request is not taken for a repeat only because it has little time left (`hurried-clients`). Off: a
    /// request of an unsafe class whose time left is below the largest seen for its class by more than the
    /// aim is sent with the time-out of a repeat whose aim has passed, 0.001 ms.
    pub repeats: bool,
    /// A connection attempt that had enough time to succeed is attributed to its server. Off: it is reported
    /// as never sent.
    pub silent: bool,
}

impl Default for Fixes {
    fn default() -> Self {
        Self {
            unwritten: true,
            unheard: true,
            turned_away: true,
            second_copies: true,
            margin: true,
            hurried: true,
            repeats: true,
            silent: true,
        }
    }
}

/// The decision maker that the nodes of a run use.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name in reports.
    pub name: String,
    /// The baseline's method of picking a server; absent for the policy.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pick: Option<Pick>,
    /// The fixes that are switched on.
    #[serde(rename = "mends", default)]
    pub fixes: Fixes,
    /// The fault injected into the nodes, for the referee's own tests.
    #[serde(rename = "misdeed", default, skip_serializing_if = "Option::is_none")]
    pub injected: Option<InjectedFault>,
}

impl Variant {
    /// The policy with all fixes.
    pub fn policy() -> Self {
        Self { name: "policy".into(), pick: None, fixes: Fixes::default(), injected: None }
    }

    /// A baseline that picks servers with `pick`.
    pub fn baseline(pick: Pick) -> Self {
        Self { name: pick.name().into(), pick: Some(pick), ..Self::policy() }
    }

    /// The policy in a node with an injected fault.
    pub fn faulty(injected: InjectedFault) -> Self {
        Self { name: injected.name().into(), injected: Some(injected), ..Self::policy() }
    }

    /// The policy with only the given fixes.
    pub fn without(name: &str, fixes: Fixes) -> Self {
        Self { name: name.into(), fixes, ..Self::policy() }
    }

    /// Creates the decision maker of one node.
    pub(super) fn decider(&self, mut settings: Settings, seed: u64) -> Box<dyn Decider> {
        settings.limits.second_copies &= self.fixes.second_copies;
        let inner: Box<dyn Decider> = match self.pick {
            Some(pick) => Box::new(BaselineNode::new(settings.clone(), pick, seed)),
            None => match Balancer::new(settings.clone(), seed) {
                Ok(balancer) => Box::new(balancer),
                // A checked site gives valid settings. If it did not, its nodes would refuse every request,
                // which shows in the results.
                Err(_) => Box::new(BaselineNode::refusing(settings.clone())),
            },
        };
        let Fixes { turned_away, hurried, repeats, .. } = self.fixes;
        let inner: Box<dyn Decider> = if turned_away && hurried && repeats {
            inner
        } else {
            Box::new(WithoutFixes::new(inner, self.fixes, &settings))
        };
        match self.injected {
            Some(injected) => Box::new(FaultyNode::new(inner, injected, &settings)),
            None => inner,
        }
    }
}

/// Wraps a policy and restores the behaviour from before fixes of decisions: it changes the events that the
/// policy receives and the time-outs that it sets.
struct WithoutFixes {
    inner: Box<dyn Decider>,
    fixes: Fixes,
    aims: Vec<Millis>,
    is_unsafe: Vec<bool>,
    /// Largest time left that a request of each class has arrived with.
    most_left: Vec<Millis>,
    /// Class of each open request, and whether it is treated as a repeat.
    open: HashMap<RequestId, (usize, bool)>,
}

/// Time-out of a request that is treated as a repeat whose aim has passed.
const EXPIRED_TIMEOUT_MS: Millis = 0.001;

impl WithoutFixes {
    fn new(inner: Box<dyn Decider>, fixes: Fixes, settings: &Settings) -> Self {
        let classes = &settings.classes;
        Self {
            inner,
            fixes,
            aims: classes.iter().map(|c| c.aim).collect(),
            is_unsafe: classes.iter().map(|c| c.effect == Effect::Unsafe).collect(),
            most_left: vec![0.0; classes.len()],
            open: HashMap::new(),
        }
    }

    fn event_without_fixes(&mut self, now: Millis, event: Event) -> Event {
        match event {
            Event::Request { id, class, deadline, .. } => {
                let left = deadline - now;
                self.most_left[class] = self.most_left[class].max(left);
                let past_aim = self.most_left[class] - left > self.aims[class];
                self.open.insert(id, (class, past_aim && self.is_unsafe[class] && !self.fixes.repeats));
                event
            }
            Event::Ended { id, attempt, server, outcome, took, finished } => {
                let class = self.open.get(&id).map(|(class, _)| *class);
                let aim = class.map_or(took, |c| self.aims[c]);
                let (outcome, took) = match outcome {
                    Outcome::Full if !self.fixes.turned_away => (Outcome::TimedOut, took.max(aim)),
                    Outcome::TimedOut if !self.fixes.hurried => (outcome, took.max(0.5 * aim)),
                    _ => (outcome, took),
                };
                if finished {
                    self.open.remove(&id);
                }
                Event::Ended { id, attempt, server, outcome, took, finished }
            }
            Event::ClientGone(id) => {
                self.open.remove(&id);
                event
            }
            other => other,
        }
    }
}

impl Decider for WithoutFixes {
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        let event = self.event_without_fixes(now, event);
        let from = actions.len();
        self.inner.handle(now, event, actions);
        for action in &mut actions[from..] {
            if let Action::Send { id, timeout, .. } = action {
                if self.open.get(id).is_some_and(|(_, past_aim)| *past_aim) {
                    *timeout = Some(EXPIRED_TIMEOUT_MS);
                }
            }
            if let Action::Refuse { id, .. } | Action::Fail(id) = action {
                self.open.remove(id);
            }
        }
    }
}
