//! What decides at a node: the policy, or something to hold it against.

use magpietally_policy::{Action, Balancer, Event, Millis, Outcome, Settings};
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
    /// Time-outs of clients in a hurry eject nobody (`hurried-clients`). Out: they are told with a whole aim's time.
    pub hurried: bool,
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
        let aims: Vec<Millis> = settings.classes.iter().map(|c| c.aim).collect();
        let inner: Box<dyn Decider> = match self.pick {
            Some(pick) => Box::new(Plain::new(settings.clone(), pick, seed)),
            None => match Balancer::new(settings.clone(), seed) {
                Ok(balancer) => Box::new(balancer),
                // A checked site gives good settings; should it not, its nodes refuse everything, which shows.
                Err(_) => Box::new(Plain::refusing(settings.clone())),
            },
        };
        let inner: Box<dyn Decider> = if self.mends.turned_away && self.mends.hurried {
            inner
        } else {
            Box::new(Unmended { inner, mends: self.mends, aims, classes: Default::default() })
        };
        match self.misdeed {
            Some(misdeed) => Box::new(Faulty::new(inner, misdeed, &settings)),
            None => inner,
        }
    }
}

/// Tells a policy what it was told before a mend.
struct Unmended {
    inner: Box<dyn Decider>,
    mends: Mends,
    aims: Vec<Millis>,
    classes: std::collections::HashMap<magpietally_policy::RequestId, usize>,
}

impl Decider for Unmended {
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        let event = match event {
            Event::Request { id, class, tenant, deadline } => {
                self.classes.insert(id, class);
                Event::Request { id, class, tenant, deadline }
            }
            Event::Ended { id, attempt, server, outcome, took, finished } => {
                let aim = self.classes.get(&id).and_then(|c| self.aims.get(*c)).copied().unwrap_or(took);
                let (outcome, took) = match outcome {
                    Outcome::Full if !self.mends.turned_away => (Outcome::TimedOut, took.max(aim)),
                    Outcome::TimedOut if !self.mends.hurried => (outcome, took.max(aim)),
                    _ => (outcome, took),
                };
                if finished {
                    self.classes.remove(&id);
                }
                Event::Ended { id, attempt, server, outcome, took, finished }
            }
            Event::ClientGone(id) => {
                self.classes.remove(&id);
                Event::ClientGone(id)
            }
            other => other,
        };
        self.inner.handle(now, event, actions);
    }
}
