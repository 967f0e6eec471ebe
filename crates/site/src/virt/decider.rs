//! What decides at a node: the policy, or something to hold it against.

use std::collections::HashMap;

use magpietally_policy::{Action, Balancer, Effect, Event, Millis, Outcome, RequestId, Settings};
use serde::{Deserialize, Serialize};

use super::faulty::{Faulty, Misdeed};
use super::plain::{Pick, Plain};

/// Takes events and answers with actions, as the policy does.
pub trait Decider: Send {
    /// Takes one event and appends what is to be done, in order.
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>);
}

impl Decider for Balancer {
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }
}

/// What `docs/findings/` mended, each as a switch, to show what it guards against. Those of the network are the
/// node's; those of decisions are taken out by what the policy is told, as its own text has no switches.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(deny_unknown_fields, default)]
pub struct Mends {
    /// A connection that broke before the request was out is no refused one (`page4688`). Out: it is told as one.
    pub unwritten: bool,
    /// An attempt without a byte, at a server that answered later ones, is no slow one (`page5425`). Out: it is told
    /// as a time-out.
    pub unheard: bool,
    /// What is turned away does not pass for a late answer (`page5425`). Out: it is told as a time-out at its aim.
    pub turned_away: bool,
    /// A missed answer has a second copy (`page5425`). Out: the settings allow none.
    pub second_copies: bool,
    /// Little time is not spent on the way back (`hurried-clients`). Out: 20 ms are kept back whatever is left.
    pub margin: bool,
    /// Time-outs of clients in a hurry eject nobody (`hurried-clients`). Out: they are told as if half the aim had passed.
    pub hurried: bool,
    /// Little time alone makes no repeat (`hurried-clients`). Out: what may never run twice and comes with less time
    /// than the most seen is sent with the time-out that it had as a repeat whose aim was long over, 0.001 ms.
    pub repeats: bool,
    /// A connect that had its time tells of its server. Out: it is told as never sent.
    pub silent: bool,
}

impl Default for Mends {
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

/// What runs at the nodes of a run.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// What it is called in reports.
    pub name: String,
    /// A baseline's way to pick; the policy where it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pick: Option<Pick>,
    /// Which mends are in.
    #[serde(default)]
    pub mends: Mends,
    /// What a deliberately faulty node does; for the referee's own tests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub misdeed: Option<Misdeed>,
}

impl Variant {
    /// The policy with all mends.
    pub fn policy() -> Self {
        Self { name: "policy".into(), pick: None, mends: Mends::default(), misdeed: None }
    }

    /// A baseline.
    pub fn baseline(pick: Pick) -> Self {
        Self { name: pick.name().into(), pick: Some(pick), ..Self::policy() }
    }

    /// The policy in a node that does something that it must not.
    pub fn faulty(misdeed: Misdeed) -> Self {
        Self { name: misdeed.name().into(), misdeed: Some(misdeed), ..Self::policy() }
    }

    /// The policy with some mends taken out.
    pub fn without(name: &str, mends: Mends) -> Self {
        Self { name: name.into(), mends, ..Self::policy() }
    }

    /// What decides at one node.
    pub(super) fn decider(&self, mut settings: Settings, seed: u64) -> Box<dyn Decider> {
        settings.limits.second_copies &= self.mends.second_copies;
        let inner: Box<dyn Decider> = match self.pick {
            Some(pick) => Box::new(Plain::new(settings.clone(), pick, seed)),
            None => match Balancer::new(settings.clone(), seed) {
                Ok(balancer) => Box::new(balancer),
                // A checked site gives good settings; should it not, its nodes refuse everything, which shows.
                Err(_) => Box::new(Plain::refusing(settings.clone())),
            },
        };
        let Mends { turned_away, hurried, repeats, .. } = self.mends;
        let inner: Box<dyn Decider> = if turned_away && hurried && repeats {
            inner
        } else {
            Box::new(Unmended::new(inner, self.mends, &settings))
        };
        match self.misdeed {
            Some(misdeed) => Box::new(Faulty::new(inner, misdeed, &settings)),
            None => inner,
        }
    }
}

/// Tells a policy what it was told before a mend, and does what it did.
struct Unmended {
    inner: Box<dyn Decider>,
    mends: Mends,
    aims: Vec<Millis>,
    once: Vec<bool>,
    /// The most time that a request of each class ever had left.
    most_left: Vec<Millis>,
    /// The class of each open request, and whether it is taken for a repeat.
    open: HashMap<RequestId, (usize, bool)>,
}

/// The time-out of what was taken for a repeat whose aim was over.
const NO_TIME: Millis = 0.001;

impl Unmended {
    fn new(inner: Box<dyn Decider>, mends: Mends, settings: &Settings) -> Self {
        let classes = &settings.classes;
        Self {
            inner,
            mends,
            aims: classes.iter().map(|c| c.aim).collect(),
            once: classes.iter().map(|c| c.effect == Effect::Unsafe).collect(),
            most_left: vec![0.0; classes.len()],
            open: HashMap::new(),
        }
    }

    fn told(&mut self, now: Millis, event: Event) -> Event {
        match event {
            Event::Request { id, class, deadline, .. } => {
                let left = deadline - now;
                self.most_left[class] = self.most_left[class].max(left);
                let over = self.most_left[class] - left > self.aims[class];
                self.open.insert(id, (class, over && self.once[class] && !self.mends.repeats));
                event
            }
            Event::Ended { id, attempt, server, outcome, took, finished } => {
                let class = self.open.get(&id).map(|(class, _)| *class);
                let aim = class.map_or(took, |c| self.aims[c]);
                let (outcome, took) = match outcome {
                    Outcome::Full if !self.mends.turned_away => (Outcome::TimedOut, took.max(aim)),
                    Outcome::TimedOut if !self.mends.hurried => (outcome, took.max(0.5 * aim)),
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

impl Decider for Unmended {
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        let event = self.told(now, event);
        let from = actions.len();
        self.inner.handle(now, event, actions);
        for action in &mut actions[from..] {
            if let Action::Send { id, timeout, .. } = action {
                if self.open.get(id).is_some_and(|(_, over)| *over) {
                    *timeout = Some(NO_TIME);
                }
            }
            if let Action::Refuse { id, .. } | Action::Fail(id) = action {
                self.open.remove(id);
            }
        }
    }
}
