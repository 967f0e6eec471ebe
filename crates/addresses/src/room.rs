//! One node's part of the room: reports, speaks if it is its site's speaker, and does the fleet's chores if it leads.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use magpietally_consensus::{DecidedEntry, HeldLease, SnapshotError, StateMachine, Topic, DRIFT, SLACK};
use magpietally_transport::{Name, Now, Peer};

use crate::decide;
use crate::health::{Figures, Judgement, Sums};
use crate::line::Line;
use crate::rules::{Kind, Rules, RulesError};
use crate::state::{Body, Key, Report, State, ENDS_MAX};

/// What is due is looked for so often: a twentieth of the second in which a site has to be withdrawn.
const LOOK: Duration = Duration::from_millis(50);
/// Two reports of a node lie at least so far apart: it bounds what one node costs the log.
const GAP: Duration = Duration::from_millis(200);
/// A report or a chore that was not seen decided is said anew after this long: several times what deciding takes.
const RETRY: Duration = Duration::from_millis(500);
/// A speaker reports so often: with a term of 5 s and a guard of 1.8 s it has three tries.
const REPORT_SPEAKER: Duration = Duration::from_secs(1);
/// Others: two tries, each said again after [`RETRY`]; 250 entries a second at 500 nodes.
const REPORT: Duration = Duration::from_secs(2);
/// No entry for so long means that the log stood still (somebody reports every [`REPORT`]); leases that lapsed meanwhile
/// say nothing of their holders.
const STILL: Duration = Duration::from_millis(2500);
/// And so long after it moves again they have had two tries to renew.
const MOVING: Duration = Duration::from_secs(1);
/// Own reports remembered with the time of their asking; an older one renews nothing.
const ASKED_MAX: usize = 32;
/// A stopping speaker leaves shared addresses up so long for the next one to take over.
const HAND_OVER: Duration = Duration::from_secs(2);

/// How long leases last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// From the asking on. It has to be longer than the router's hold and the write together, or no exclusive address is
    /// ever announced.
    pub term: Duration,
}

impl Default for Settings {
    /// 5 s: see `REPORT_SPEAKER`.
    fn default() -> Self {
        Self { term: Duration::from_secs(5) }
    }
}

/// Faults planted for tests, to see that checkers catch them. Never set by a program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Planted {
    /// None.
    #[default]
    None,
    /// Keeps an exclusive address after its lease.
    KeepsExclusive,
    /// Counts leases from the answer instead of from the asking.
    CountsFromAnswer,
    /// Says nothing of what an earlier start left announced.
    ForgetsStale,
}

/// One node's part.
#[derive(Clone)]
pub struct Addresses {
    me: Peer,
    site: Name,
    settings: Settings,
    planted: Planted,
    pub(crate) state: State,
    wanted_rules: Option<(u64, Rules)>,
    rules_since: Duration,
    rules_said: Option<Duration>,
    figures: Figures,
    seq: u64,
    /// Own reports: number and when asked; at most [`ASKED_MAX`].
    asked: VecDeque<(u64, Duration)>,
    reported: Option<(Duration, Judgement)>,
    /// The last report's number that was seen decided.
    seen: u64,
    speaker: Option<HeldLease>,
    owned: BTreeMap<String, HeldLease>,
    said: BTreeMap<String, u32>,
    refreshed: Duration,
    anew: bool,
    leaving: Option<Duration>,
    left_said: Option<Duration>,
    heard: Duration,
    moving: Duration,
    ended: Option<Duration>,
    pub(crate) timers: decide::Timers,
    due: Duration,
    out: VecDeque<Body>,
}

impl Addresses {
    /// A node of `site`, started at `now`.
    pub fn new(me: Peer, site: Name, settings: Settings, now: Now) -> Self {
        Self {
            me,
            site,
            settings,
            planted: Planted::None,
            state: State::default(),
            wanted_rules: None,
            rules_since: now.boot,
            rules_said: None,
            figures: Figures::default(),
            seq: 0,
            asked: VecDeque::new(),
            reported: None,
            seen: 0,
            speaker: None,
            owned: BTreeMap::new(),
            said: BTreeMap::new(),
            refreshed: now.boot,
            anew: true,
            leaving: None,
            left_said: None,
            heard: now.boot,
            moving: now.boot,
            ended: None,
            timers: decide::Timers::default(),
            due: now.boot,
            out: VecDeque::new(),
        }
    }

    /// Plants a fault, for tests.
    #[doc(hidden)]
    pub fn plant(&mut self, planted: Planted) {
        self.planted = planted;
    }

    /// Rules of a version, to hold in the whole fleet. An older version than the log's changes nothing.
    ///
    /// # Errors
    /// Rules that can't be followed; those before stay.
    pub fn set_rules(&mut self, now: Now, version: u64, rules: Rules) -> Result<(), RulesError> {
        rules.check()?;
        if guard(&rules) >= self.settings.term {
            return Err(RulesError {
                field: "router_hold".into(),
                why: "with write not under the lease's term".into(),
            });
        }
        self.wanted_rules = Some((version, rules));
        (self.rules_since, self.rules_said) = (now.boot, None);
        Ok(())
    }

    /// What this node saw in its window.
    pub fn observe(&mut self, figures: Figures) {
        self.figures = figures;
    }

    /// The log's state as far as this node has learnt it.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whether this node speaks for its site at `now`.
    pub fn speaks(&self, now: Now) -> bool {
        self.speaker.is_some_and(|h| h.is_valid(now.boot))
    }

    /// Whether this node holds an exclusive address at `now`: asked at each use, with a fresh clock.
    pub fn owns(&self, now: Now, prefix: &str) -> bool {
        self.planted == Planted::KeepsExclusive && self.owned.contains_key(prefix)
            || self.owned.get(prefix).is_some_and(|h| h.is_valid(now.boot))
    }

    /// A planned stop of this node begins: see [`crate::Stop`].
    pub fn leave(&mut self, now: Now) {
        self.leaving.get_or_insert(now.boot);
    }

    /// Whether a planned stop has handed out its last withdrawal, and the log knows of it.
    pub fn left(&self) -> bool {
        let alive = self.state.holder(&Key::Node(self.me.name.clone())) == Some(&self.me);
        self.leaving.is_some() && self.said.is_empty() && !alive
    }

    /// The whole state is to be said anew: the carrier's end was opened again.
    pub fn say_anew(&mut self) {
        self.anew = true;
    }

    /// The lines to be written now. The carrier calls it every `LOOK` with a clock just read and writes the lines at once;
    /// a write that takes longer than the rules' `write` is given up by closing the end.
    pub fn speak(&mut self, now: Now) -> Vec<Line> {
        let now = now.boot;
        let wanted = self.wanted(now);
        let mut lines = Vec::new();
        if self.anew && self.state.plain.version > 0 {
            self.anew = false;
            let stale = self.state.plain.rules.addresses.iter().filter(|a| !wanted.contains_key(&a.prefix));
            if self.planted != Planted::ForgetsStale {
                lines.extend(stale.map(|a| Line::Withdraw { prefix: a.prefix.clone() }));
            }
            self.said.retain(|prefix, _| self.state.plain.rules.of(prefix).is_none());
        }
        let gone = self.said.keys().filter(|p| !wanted.contains_key(*p));
        lines.extend(gone.map(|p| Line::Withdraw { prefix: p.clone() }));
        // Three tries within the router's hold time.
        let again = ms(self.state.plain.rules.router_hold) / 3;
        let all = now >= self.refreshed + again;
        if all {
            self.refreshed = now;
        }
        for (prefix, med) in &wanted {
            if all || self.said.get(prefix) != Some(med) {
                lines.push(Line::Announce { prefix: prefix.clone(), med: *med });
            }
        }
        self.said = wanted;
        lines
    }

    /// What this node is to have announced at `now`, with the metric.
    fn wanted(&self, now: Duration) -> BTreeMap<String, u32> {
        let rules = &self.state.plain.rules;
        let successor = self.state.holder(&Key::Speaker(self.site.clone())).is_some_and(|p| *p != self.me);
        let speaks = self.speaker.is_some_and(|h| h.is_valid(now));
        // Without the log nothing can be decided; a lost log must not be lost service.
        let kept = self.speaker.is_some_and(|h| now < h.expires_at() + ms(rules.keep_shared))
            && self.own_judgement() != Judgement::Dead;
        let handing = |since: Duration| {
            now < since + HAND_OVER && self.state.order(&self.site).any(|n| *n != self.me.name)
        };
        let shared = !successor && (speaks || kept) && self.leaving.is_none_or(handing);
        let exclusive = speaks && self.leaving.is_none();
        let guarded = now + guard(rules);
        rules
            .addresses
            .iter()
            .filter(|a| self.state.sites(&a.prefix).any(|s| *s == self.site))
            .filter(|a| match a.kind {
                Kind::Shared => shared,
                Kind::Exclusive if self.planted == Planted::KeepsExclusive => {
                    self.owned.contains_key(&a.prefix)
                }
                Kind::Exclusive => {
                    exclusive && self.owned.get(&a.prefix).is_some_and(|h| h.is_valid(guarded))
                }
            })
            .map(|a| (a.prefix.clone(), a.med))
            .collect()
    }

    fn own_judgement(&self) -> Judgement {
        let mut sums = Sums::default();
        sums.add(&self.figures);
        sums.judge(&self.state.plain.rules, Judgement::Sick)
    }

    /// Whether this node is or should be its site's speaker: the first in order when nobody is.
    fn would_speak(&self) -> bool {
        match self.state.holder(&Key::Speaker(self.site.clone())) {
            Some(peer) => *peer == self.me,
            None => self.state.order(&self.site).next() == Some(&self.me.name),
        }
    }

    /// Exclusive addresses that its site was chosen for and nobody else holds yet.
    fn would_own(&self) -> Vec<String> {
        let rules = &self.state.plain.rules;
        let chosen = rules.addresses.iter().filter(|a| {
            a.kind == Kind::Exclusive
                && self.state.sites(&a.prefix).any(|s| *s == self.site)
                && self.state.holder(&Key::Owner(a.prefix.clone())).is_none_or(|p| *p == self.me)
        });
        chosen.map(|a| a.prefix.clone()).collect()
    }

    fn report(&mut self, now: Duration) {
        let speak = self.would_speak();
        let own = if speak { self.would_own() } else { Vec::new() };
        let judgement = self.own_judgement();
        if let Some((last, told)) = self.reported {
            let lacks = speak && !self.speaker.is_some_and(|h| h.is_valid(now))
                || own.iter().any(|p| !self.owned.get(p).is_some_and(|h| h.is_valid(now)));
            let every = if speak { REPORT_SPEAKER } else { REPORT };
            let wait = if lacks || told != judgement {
                GAP
            } else if self.seen < self.seq {
                RETRY
            } else {
                every
            };
            if now < last + wait {
                return;
            }
        }
        self.seq += 1;
        self.reported = Some((now, judgement));
        if self.asked.len() >= ASKED_MAX {
            self.asked.pop_front();
        }
        self.asked.push_back((self.seq, now));
        // Terms are seconds.
        let term_ms = self.settings.term.as_millis() as u32;
        let (seq, site, figures) = (self.seq, self.site.clone(), self.figures);
        self.out.push_back(Body::Report(Report { seq, site, figures, term_ms, speak, own }));
    }

    /// An own report was decided: what the log granted by it counts from its asking.
    fn granted(&mut self, now: Duration, seq: u64) {
        self.seen = self.seen.max(seq);
        let Some(&(_, asked)) = self.asked.iter().find(|a| a.0 == seq) else { return };
        let from = if self.planted == Planted::CountsFromAnswer { now } else { asked };
        let held = HeldLease::new(from, self.settings.term);
        // Only grants of this very entry: a report may have been refused a renewal that an earlier one got.
        let Some(index) = self.state.leases.get(&Key::Node(self.me.name.clone())).map(|g| g.index) else {
            return;
        };
        let speaker = Key::Speaker(self.site.clone());
        if self.state.leases.get(&speaker).is_some_and(|g| g.holder == self.me && g.index == index) {
            if !self.speaker.is_some_and(|h| h.is_valid(now)) {
                self.anew = true;
            }
            self.speaker = Some(self.speaker.map_or(held, |h| h.or_later(held)));
        }
        for (key, grant) in self.state.leases.grants() {
            if let Key::Owner(prefix) = key {
                if grant.holder == self.me && grant.index == index {
                    let held = self.owned.get(prefix).map_or(held, |h| h.or_later(held));
                    self.owned.insert(prefix.clone(), held);
                }
            }
        }
    }

    fn chores(&mut self, now: Duration) {
        let still = now > self.heard + STILL || now < self.moving + MOVING;
        if !still && self.ended.is_none_or(|at| now >= at + RETRY) {
            let ends: Vec<_> =
                self.state.leases.expired(now).take(ENDS_MAX).map(|(k, g)| (k.clone(), g.index)).collect();
            if !ends.is_empty() {
                self.ended = Some(now);
                self.out.push_back(Body::End(ends));
            }
        }
        if self.state.plain.version > 0 {
            self.out.extend(self.timers.decide(now, &self.state));
        }
    }
}

/// A time of the rules.
pub(crate) fn ms(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}

/// How long before its lease ends an exclusive address is last announced: the line may take the write's time to reach the
/// router, which then holds it for its hold time by a clock that may be slower.
fn guard(rules: &Rules) -> Duration {
    (ms(rules.router_hold) + ms(rules.write)).mul_f64(1.0 + DRIFT) + SLACK
}

impl StateMachine for Addresses {
    fn topic(&self) -> Topic {
        Topic::Addresses
    }

    fn apply(&mut self, now: Now, decided: &DecidedEntry) {
        let now = now.boot;
        if now > self.heard + STILL {
            self.moving = now;
        }
        self.heard = now;
        let effect = self.state.apply(now, decided);
        if let Some(seq) = effect.report.filter(|_| decided.proposal.proposer == self.me) {
            self.granted(now, seq);
        }
        if self.planted != Planted::KeepsExclusive {
            let (state, me) = (&self.state, &self.me);
            self.owned.retain(|p, _| state.holder(&Key::Owner(p.clone())) == Some(me));
        }
        self.timers.learnt(now, &self.state, &effect);
    }

    fn snapshot(&self) -> Vec<u8> {
        self.state.encode()
    }

    fn restore(&mut self, now: Now, snapshot: &[u8]) -> Result<(), SnapshotError> {
        self.state = State::decode(snapshot, now.boot).map_err(SnapshotError)?;
        // Grants that came with it were asked for at times that may be forgotten: only what is held is kept.
        let (state, me) = (&self.state, &self.me);
        self.owned.retain(|p, _| state.holder(&Key::Owner(p.clone())) == Some(me));
        (self.heard, self.moving) = (now.boot, now.boot);
        self.timers = decide::Timers::restored(now.boot, &self.state);
        Ok(())
    }

    fn tick(&mut self, now: Now, leading: bool) {
        let now = now.boot;
        self.due = now + LOOK;
        if let Some(since) = self.leaving {
            let alone = self.state.order(&self.site).all(|n| *n == self.me.name);
            let ready = !alone || self.said.is_empty();
            let told = self.left_said.is_some_and(|at| now < at + RETRY);
            if ready && !told && !self.left() && now >= since {
                self.left_said = Some(now);
                self.out.push_back(Body::Leave);
            }
        } else {
            self.report(now);
        }
        if let Some((version, rules)) = &self.wanted_rules {
            // Who doesn't lead waits for who does, lest all say it at once.
            let turn = leading || now >= self.rules_since + MOVING;
            if *version > self.state.plain.version
                && turn
                && self.rules_said.is_none_or(|at| now >= at + RETRY)
            {
                self.rules_said = Some(now);
                self.out.push_back(Body::Rules(*version, rules.clone()));
            }
        }
        if leading {
            self.chores(now);
        }
    }

    fn next_due(&self) -> Option<Duration> {
        Some(self.due)
    }

    fn take_proposal(&mut self) -> Option<Vec<u8>> {
        // Emptied after every tick, which adds one an address at most.
        self.out.pop_front().map(|body| body.encode())
    }
}

/// The sites that rules name.
pub(crate) fn named(rules: &Rules) -> BTreeSet<&Name> {
    rules.addresses.iter().flat_map(|a| a.sites.iter()).collect()
}

#[cfg(test)]
#[path = "exhaustive.rs"]
mod exhaustive;
