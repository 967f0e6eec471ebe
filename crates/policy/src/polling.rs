//! When the list of servers is asked for. It names no server and no request: what the list says is the policy's to use.

use magpietally_structures::SplitMix;

use crate::api::{Discovery, ListFailure, Millis, Settings, WATCH_SILENCE_TIMEOUT};
use crate::balance::Balancer;

// Whatever became of calls before, a change counts as told 6 s after discovery had it and could be reached, and a drain must
// hold 750 ms later. A call may wait 3 s in the service's queue, fail, and the next wait as long: 0.75 s are left for the
// pause that had begun before and for the one between them. So pauses do not grow. What keeps nodes from crowding the
// service is that they are spread, and that each waits in its queue once at a time.
//
// Where the service rejects calls at once there is no such wait, and each rejection takes from its work: a fleet that asks again
// at once keeps it from serving anybody. How many fellows are turned away, and how fast the service is, no node knows. So each
// backs off with jitter (`docs/design/asking.md`): the first backoff lasts about as long as a service's queue takes to drain, so
// that a fleet that it can serve in some seconds offers little more than that; later ones grow, for services that are slower.

/// How far apart calls that fail begin, at the most.
const APART: Millis = 400.0;
/// The longest pause behind a call that took so long that its end is already far enough from its beginning.
const BEHIND: Millis = 100.0;
/// The same where an agent is asked: what it has counts at once, and two calls in a row may fail. It has one caller.
const AGENT: (Millis, Millis) = (120.0, 30.0);
/// The backoff behind calls that are rejected at once, in a fleet.
const FLEET: Backoff = Backoff { first: 2500.0, free: 1, growth: 1.2, steep: 5 };
/// The same for a node that stands alone: there is no crowd of its own kind that would come back with it. Calls come more rarely
/// after some seconds all the same, as its settings may be wrong.
const ALONE: Backoff = Backoff { first: APART, free: 13, growth: 1.055, steep: 50 };
/// By how much each longest pause exceeds the one before, once the service is seen to be overwhelmed, not just busy.
const STEEP: f64 = 1.5;
/// No pause is longer.
const BACKOFF_MOST: Millis = 30_000.0;
/// How long a call may be out with no word of it, where the settings would have it given up sooner: it may stand in the
/// service's queue, and who calls again stands at the end of it.
const OUT: Millis = 7500.0;
/// How long the answer to a call may take to begin. The service itself fails calls that had to wait in its queue for 3 s.
const PATIENCE: Millis = 3200.0;
/// The same behind a rejection: the service is there, and crowded. Some let calls wait for 4 s; who gives up sooner costs it a call
/// for nothing, and begins again at the end of its queue. One that fell silent meanwhile is asked anew within 6 s all the same.
const PATIENCE_CROWDED: Millis = 4700.0;

// A node that has lost its watch, and whose calls are rejected, is blind: servers may have been told to drain that it still
// sends to, and what it was not told counts as told all the same. It stays so for too long where a service needs longer for a
// whole fleet than a change has until it counts as told. Such a node sends nothing until it has the list: what it gets is
// refused soon, and served by those that have it. Only a rejection shows that discovery is there. While it is down nothing
// counts as told, and a node goes on with the list that it has.

/// When a change counts as told, from when discovery had it and could be reached.
const TOLD: Millis = 6000.0;
/// When what discovery has to tell does, from a reload.
const TOLD_AFTER_RELOAD: Millis = 4000.0;
/// For how long a node sends nothing for this. A service that only seems to be there, as what stands in front of it rejects
/// all calls, must not end all service.
const HELD_BACK: Millis = 9000.0;
/// How long news takes to all watches of a fleet at the least, where no call is before it in the service's queue.
const NEWS_LAG: Millis = 500.0;

/// How the pauses between calls grow that are rejected at once.
#[derive(Clone, Copy)]
struct Backoff {
    /// The longest of the first pause.
    first: Millis,
    /// How many in a row have no longer one.
    free: u32,
    /// By how much each further one is longer than the one before.
    growth: f64,
    /// Behind more than so many they grow faster.
    steep: u32,
}

impl Backoff {
    /// The longest pause behind so many rejected calls in a row.
    fn longest(self, rejected: u32) -> Millis {
        let steps = |from: u32, to: u32| i32::try_from(to.saturating_sub(from)).unwrap_or(i32::MAX);
        let grown = self.growth.powi(steps(self.free, rejected.min(self.steep)));
        (self.first * grown * STEEP.powi(steps(self.steep, rejected))).min(BACKOFF_MOST)
    }
}

/// The calls to discovery.
#[derive(Default)]
pub(crate) struct ListPolling {
    discovery: Discovery,
    /// The longest a node may leave off asking.
    within: Millis,
    /// It is one of a fleet.
    fleet: bool,
    call: Call,
    /// How many calls in a row have been rejected at once.
    rejected: u32,
    /// For how long a node may go on sending by a list of which it was not told that it has changed: until that counts as
    /// told and the grace is over, less the time that an attempt may wait for its connection.
    told: Millis,
    told_after_reload: Millis,
    /// When the last call was answered.
    had: Millis,
    /// The longest that an answered call had waited in the service's queue, as news does.
    waited: Millis,
    /// Until when the list may be used if discovery can be reached; no end while it is watched.
    good_until: Millis,
    /// The same for what discovery has at that time, from the last reload.
    good_after_reload: Millis,
    /// Discovery has rejected a call since the list was last watched, or discovery last out of reach: it is there.
    reached: bool,
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

impl ListPolling {
    /// At a node's start.
    pub(crate) fn new(settings: &Settings) -> Self {
        let (discovery, rules) = (settings.discovery, &settings.rules);
        let call = match discovery {
            Discovery::Pushed => Call::Settled,
            Discovery::Polled | Discovery::Agent => Call::AskAt(f64::NEG_INFINITY),
        };
        let grace = (rules.drain_grace - settings.limits.connect_timeout).max(0.0);
        Self {
            discovery,
            within: rules.ask_within,
            fleet: settings.nodes > 1,
            call,
            told: TOLD + grace,
            told_after_reload: TOLD_AFTER_RELOAD + grace,
            good_until: f64::INFINITY,
            good_after_reload: f64::NEG_INFINITY,
            ..Self::default()
        }
    }

    /// A call has been answered, or a watch has brought news.
    pub(crate) fn answered(&mut self, now: Millis) {
        if let Call::Asked(at) = self.call {
            self.waited = self.waited.max(now - at);
            self.had = now;
        }
        (self.call, self.rejected) = (Call::Settled, 0);
        (self.good_until, self.reached) = (f64::INFINITY, false);
    }

    /// Discovery is elsewhere: the new address is asked at once, whatever became of calls to the old one.
    pub(crate) fn moved(&mut self, now: Millis) {
        self.good_after_reload = now + self.told_after_reload;
        self.good_until = self.good_until.min(self.good_after_reload);
        (self.call, self.rejected) = (Call::AskAt(now), 0);
    }

    /// Notes until when the list is good, now that a call has failed, or the watch.
    fn note_failure(&mut self, now: Millis, failure: ListFailure) {
        match (&self.call, failure) {
            (Call::Settled, _) => {
                // What a watch had not brought yet when it broke is missed, too.
                let silent = failure == ListFailure::Silent;
                let lag = if silent { WATCH_SILENCE_TIMEOUT } else { self.waited.max(NEWS_LAG) };
                self.good_until = (now - lag).max(self.had) + self.told;
                if now < self.good_after_reload {
                    self.good_until = self.good_until.min(self.good_after_reload);
                }
            }
            (Call::Asked(at), ListFailure::Broken) => {
                self.good_until = self.good_until.max(at + self.told);
                self.reached = false;
            }
            _ => {}
        }
        self.reached |= failure == ListFailure::Rejected;
    }

    /// May servers have been told to drain of which the node has not heard?
    pub(crate) fn out_of_date(&self, now: Millis) -> bool {
        self.reached && now >= self.good_until && now < self.good_until + HELD_BACK
    }

    /// How long the answer to the call that is out may take to begin.
    fn patience(&self) -> Millis {
        if self.rejected > 0 {
            PATIENCE_CROWDED
        } else {
            PATIENCE
        }
    }

    /// A call has failed, or what it had opened has ended. The pause has jitter, so that nodes cut off together do not come
    /// back together.
    pub(crate) fn failed(&mut self, now: Millis, failure: ListFailure, random: &mut SplitMix) {
        self.rejected = if failure == ListFailure::Rejected { self.rejected.saturating_add(1) } else { 0 };
        let (apart, behind) = match self.discovery {
            Discovery::Pushed => return,
            Discovery::Polled => {
                self.note_failure(now, failure);
                ((self.within / 20.0).clamp(BEHIND, APART), BEHIND)
            }
            Discovery::Agent => AGENT,
        };
        let took = if let Call::Asked(at) = self.call { now - at } else { 0.0 };
        let again = (apart - took).max(behind);
        let span = match (self.discovery, self.rejected) {
            (Discovery::Polled, 1..) => {
                let backoff = if self.fleet { FLEET } else { ALONE };
                backoff.longest(self.rejected).max(again)
            }
            _ => again,
        };
        self.call = Call::AskAt(now + span * (0.5 + 0.5 * random.next_f64()));
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
    pub(crate) fn start_call(&mut self, now: Millis, random: &mut SplitMix) -> bool {
        match self.call {
            Call::AskAt(at) if now >= at => {
                if at == f64::NEG_INFINITY {
                    // At its start a node has a list that may be old.
                    self.good_until = now + self.told;
                }
                self.call = Call::Asked(now);
                return true;
            }
            // No answer at all: taken for a failure.
            Call::Asked(at) if now - at >= self.within.max(OUT) => {
                self.failed(now, ListFailure::Silent, random);
            }
            _ => {}
        }
        false
    }
}

impl Balancer {
    /// How long the answer to the call for the list that was asked for last may take to begin, in milliseconds.
    pub fn list_response_timeout(&self) -> Millis {
        self.polling.patience()
    }

    /// Is the list so old that nothing is sent by it? Servers may have been told to drain of which the node has not heard.
    pub fn is_list_stale(&self) -> bool {
        self.polling.out_of_date(self.now)
    }
}
