//! When the list of servers is asked for. It names no server and no request: what the list says is the policy's to use.

use magpietally_structures::SplitMix;

use crate::api::{Discovery, Millis};

// Whatever became of calls before, a change counts as told 6 s after discovery had it and could be reached, and a drain must
// hold 750 ms later. A call may wait 3 s in the service's queue, fail, and the next wait as long: 0.75 s are left for the
// pause that had begun before and for the one between them. So pauses do not grow. What keeps nodes from crowding the
// service is that they are spread, and that each waits in its queue once at a time.

/// How far apart calls that fail begin, at the most.
const APART: Millis = 400.0;
/// The longest pause behind a call that took so long that its end is already far enough from its beginning.
const BEHIND: Millis = 100.0;
/// The same where an agent is asked: what it has counts at once, and two calls in a row may fail. It has one caller.
const AGENT: (Millis, Millis) = (120.0, 30.0);
/// How long a call may be out with no word of it, where the settings would have it given up sooner: it may stand in the
/// service's queue, and who calls again stands at the end of it.
const OUT: Millis = 6000.0;

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
    /// Asked at this time.
    Asked(Millis),
    /// To be asked at this time.
    AskAt(Millis),
}

impl Asking {
    /// At a node's start.
    pub(crate) fn new(discovery: Discovery, within: Millis) -> Self {
        let call = match discovery {
            Discovery::Pushed => Call::Settled,
            Discovery::Asked | Discovery::Agent => Call::AskAt(f64::NEG_INFINITY),
        };
        Self { discovery, within, call }
    }

    /// A call has been answered.
    pub(crate) fn answered(&mut self) {
        self.call = Call::Settled;
    }

    /// Discovery is elsewhere: the new address is asked at once, whatever became of calls to the old one.
    pub(crate) fn moved(&mut self, now: Millis) {
        self.call = Call::AskAt(now);
    }

    /// A call has failed, or what it had opened has ended. The pause has jitter, so that nodes cut off together do not come
    /// back together.
    pub(crate) fn failed(&mut self, now: Millis, random: &mut SplitMix) {
        let (apart, behind) = match self.discovery {
            Discovery::Pushed => return,
            Discovery::Asked => ((self.within / 20.0).clamp(BEHIND, APART), BEHIND),
            Discovery::Agent => AGENT,
        };
        let took = if let Call::Asked(at) = self.call { now - at } else { 0.0 };
        let span = (apart - took).max(behind);
        self.call = Call::AskAt(now + span * (0.5 + 0.5 * random.part()));
    }

    /// When it is to be looked at again.
    pub(crate) fn due(&self) -> Millis {
        match self.call {
            Call::Settled => f64::INFINITY,
            Call::AskAt(at) => at.max(0.0),
            Call::Asked(at) => at + self.within.max(OUT),
        }
    }

    /// Is it time to ask?
    pub(crate) fn look(&mut self, now: Millis, random: &mut SplitMix) -> bool {
        match self.call {
            Call::AskAt(at) if now >= at => {
                self.call = Call::Asked(now);
                return true;
            }
            // No answer at all: taken for a failure.
            Call::Asked(at) if now - at >= self.within.max(OUT) => self.failed(now, random),
            _ => {}
        }
        false
    }
}
