//! When the list of servers is asked for. It names no server and no request: what the list says is the policy's to use.

use magpietally_structures::SplitMix;

use crate::api::{Discovery, Millis};

/// The most of a pause that doubles with each failure, before it has doubled. What a subscription that fell silent has missed
/// counts as told 6 s later, however long a node may leave off asking, and 3.2 s of these go by until it is noticed.
const STEP_MOST: Millis = 250.0;
/// The same where an agent is asked: what it has counts at once, and a drain must hold 750 ms later. The longest pause, 16
/// steps, leaves a third of these for the call; an agent has one caller, which such calls do not crowd.
const STEP_AGENT: Millis = 30.0;

/// The calls to discovery.
#[derive(Default)]
pub(crate) struct Asking {
    discovery: Discovery,
    /// The longest a node may leave off asking.
    within: Millis,
    call: Call,
}

/// Where a call stands.
#[derive(Default)]
enum Call {
    /// Not needed, or subscribed.
    #[default]
    Settled,
    /// Asked at this time, after so many failures.
    Asked(Millis, u32),
    /// To be asked at this time.
    AskAt(Millis, u32),
}

impl Asking {
    /// At a node's start.
    pub(crate) fn new(discovery: Discovery, within: Millis) -> Self {
        let call = match discovery {
            Discovery::Pushed => Call::Settled,
            Discovery::Asked | Discovery::Agent => Call::AskAt(f64::NEG_INFINITY, 0),
        };
        Self { discovery, within, call }
    }

    /// A call has been answered.
    pub(crate) fn answered(&mut self) {
        self.call = Call::Settled;
    }

    /// Discovery is elsewhere: whatever backoff the old address had earned, the new one is asked at once.
    pub(crate) fn moved(&mut self, now: Millis) {
        self.call = Call::AskAt(now, 0);
    }

    /// A call has failed. Backoff with jitter, so that nodes cut off together do not come back together; well within
    /// the time after which a node that has not asked counts as told.
    pub(crate) fn failed(&mut self, now: Millis, random: &mut SplitMix) {
        let step = match self.discovery {
            Discovery::Pushed => return,
            Discovery::Asked => (self.within / 40.0).min(STEP_MOST),
            Discovery::Agent => STEP_AGENT,
        };
        let failures = if let Call::Asked(_, failures) = self.call { failures + 1 } else { 1 };
        let span = step * f64::from(1u32 << failures.min(4));
        self.call = Call::AskAt(now + span * (0.5 + 0.5 * random.part()), failures);
    }

    /// When it is to be looked at again.
    pub(crate) fn due(&self) -> Millis {
        match self.call {
            Call::Settled => f64::INFINITY,
            Call::AskAt(at, _) => at.max(0.0),
            Call::Asked(at, _) => at + self.within,
        }
    }

    /// Is it time to ask?
    pub(crate) fn look(&mut self, now: Millis, random: &mut SplitMix) -> bool {
        match self.call {
            Call::AskAt(at, failures) if now >= at => {
                self.call = Call::Asked(now, failures);
                return true;
            }
            // No answer at all: taken for a failure.
            Call::Asked(at, _) if now - at >= self.within => self.failed(now, random),
            _ => {}
        }
        false
    }
}
