//! A small fleet on the log's model, for the tests: requests that come all the time, and a record of all that nodes do, on
//! the true clock, for the checker.

use std::collections::BTreeSet;
use std::time::Duration;

use magpietally_consensus::model::{Clocks, Faults, Model, STEP};
use magpietally_consensus::StateMachine;
use magpietally_transport::{Name, Now, Peer};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::check::{self, Breach, Event, Record};
use crate::{
    Admission, DocumentCheck, EndedProposal, Entry, Epoch, PolicyChange, ProposalOutcome, ProposalStatus,
    QueueSlot, Settings, State, Step,
};

pub(crate) const MS: Duration = Duration::from_millis(1);

/// Short enough that a run of some twenty seconds sees many leases end.
pub(crate) fn short() -> Settings {
    let term = 2000 * MS;
    Settings {
        term,
        retry_interval: 100 * MS,
        vote_timeout: 3200 * MS,
        close_timeout: 600 * MS,
        queue_timeout: 300 * MS,
        queue_max: 8,
        min_time_left: 100 * MS,
        ..Settings::default()
    }
}

/// A node's check refuses a document that names it after a `!`.
fn checker(name: &Name) -> DocumentCheck {
    let mark = format!("!{name}");
    Box::new(move |document| {
        let text = String::from_utf8_lossy(document);
        if text.contains(&mark) {
            return Err(format!("policy.toml:3: key \"share\": {text}"));
        }
        Ok(())
    })
}

struct Flight {
    request: u64,
    epoch: Epoch,
    at: Duration,
    /// Tries that are still to come before it is answered.
    tries: u32,
}

#[derive(Default)]
struct Local {
    flights: Vec<Flight>,
    held: Vec<(u64, QueueSlot)>,
    moved: u64,
    last_past: Option<EndedProposal>,
    told: BTreeSet<(u64, bool)>,
    proposed: u64,
    killed: bool,
    paused: bool,
    cut: bool,
}

impl Local {
    fn down(&self) -> bool {
        self.killed || self.paused || self.cut
    }
}

pub(crate) struct Play {
    pub(crate) model: Model<PolicyChange>,
    pub(crate) records: Vec<Record>,
    pub(crate) rng: Pcg64,
    settings: Vec<Settings>,
    locals: Vec<Local>,
    requests: u64,
    /// The chance that a request comes to a node in one step.
    pub(crate) load: f64,
}

impl Play {
    pub(crate) fn new(seed: u64, settings: Vec<Settings>, faults: Faults) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed ^ 0x9e37);
        let mut model = Model::new(seed, faults, 1_700_000_000_000);
        for (i, settings) in settings.iter().enumerate() {
            let clocks = Clocks {
                boot_at_zero: Duration::from_millis(rng.random_range(0..100_000_000)),
                // Any two within a hundredth of each other.
                rate: rng.random_range(0.9951..1.0049),
                wall_ahead_ms: rng.random_range(-600_000..600_000),
            };
            let name = Name::new(&format!("n{i}")).expect("a name");
            model.add(name, clocks, |me, now| node(settings, me, now));
        }
        let locals = settings.iter().map(|_| Local::default()).collect();
        Self { model, records: Vec::new(), rng, settings, locals, requests: 0, load: 0.02 }
    }

    fn record(&mut self, i: usize, what: Event) {
        let at = self.model.now().as_nanos() as u64;
        self.records.push(Record { at, node: format!("n{i}"), what });
    }

    fn befall(&mut self, i: usize, ran: bool, change: impl FnOnce(&mut Local)) {
        let was = self.locals[i].down();
        change(&mut self.locals[i]);
        let is = self.locals[i].down();
        if is {
            self.record(i, Event::Down { ran });
        } else if was {
            self.record(i, Event::Back);
        }
    }

    pub(crate) fn kill(&mut self, i: usize) {
        self.model.kill(i);
        let cut = self.locals[i].cut;
        self.locals[i] =
            Local { killed: true, cut, told: std::mem::take(&mut self.locals[i].told), ..Local::default() };
        self.record(i, Event::Down { ran: false });
    }

    pub(crate) fn start(&mut self, i: usize) {
        let settings = self.settings[i].clone();
        self.model.start(i, |me, now| node(&settings, me, now));
        self.befall(i, true, |l| (l.killed, l.paused) = (false, false));
    }

    pub(crate) fn pause(&mut self, i: usize, paused: bool) {
        self.model.set_paused(i, paused);
        self.befall(i, !paused, |l| l.paused = paused);
    }

    pub(crate) fn cut(&mut self, i: usize, cut: bool) {
        self.model.set_isolated(i, cut);
        self.befall(i, true, |l| l.cut = cut);
    }

    pub(crate) fn node(&mut self, i: usize) -> &mut PolicyChange {
        self.model.machine(i).expect("it runs").0
    }

    /// Proposes at node `i` against what it holds to be active; its ticket, if it runs and takes it.
    pub(crate) fn propose(&mut self, i: usize, document: &str) -> Option<u64> {
        let (machine, now) = self.model.machine(i)?;
        let base = machine.state().active;
        machine.propose(now, base, document.as_bytes().to_vec()).ok()
    }

    pub(crate) fn proposal_status(&mut self, i: usize, ticket: u64) -> ProposalStatus {
        self.node(i).proposal_status(ticket)
    }

    pub(crate) fn run(&mut self, d: Duration) {
        let end = self.model.now() + d;
        while self.model.now() < end {
            self.model.run(STEP, |_| {});
            self.serve();
        }
    }

    /// Runs until `done`, for at most `limit`; the time it took.
    pub(crate) fn until(
        &mut self,
        limit: Duration,
        mut done: impl FnMut(&mut Self) -> bool,
    ) -> Option<Duration> {
        let begun = self.model.now();
        while !done(self) {
            if self.model.now() - begun >= limit {
                return None;
            }
            self.run(STEP);
        }
        Some(self.model.now() - begun)
    }

    /// What the nodes' users do in this step, and what there is to write down.
    fn serve(&mut self) {
        let true_now = self.model.now();
        let at = true_now.as_nanos() as u64;
        for i in 0..self.locals.len() {
            let Some((machine, now)) = self.model.machine(i) else { continue };
            let (local, rng, records) = (&mut self.locals[i], &mut self.rng, &mut self.records);
            let mut record = |what| records.push(Record { at, node: format!("n{i}"), what });
            let boot = now.boot;

            let mut admitted: Vec<(u64, Admission)> = Vec::new();
            let moved = local.moved != machine.reopen_count();
            local.moved = machine.reopen_count();
            let mut k = 0;
            while k < local.held.len() {
                if moved || boot >= local.held[k].1.expires_at {
                    let (request, ticket) = local.held.remove(k);
                    admitted.push((request, machine.readmit(boot, ticket)));
                } else {
                    k += 1;
                }
            }
            if rng.random_bool(self.load) {
                self.requests += 1;
                record(Event::Arrived { request: self.requests });
                let left = rng.random_range(0..2000) * MS;
                admitted.push((self.requests, machine.admit(boot, left)));
            }
            for (request, admission) in admitted {
                match admission {
                    Admission::Admit(epoch) => {
                        record(Event::Decided { request, version: epoch.version.0 });
                        let tries = if rng.random_bool(0.3) { rng.random_range(1..3) } else { 0 };
                        let takes = rng.random_range(1..200) * MS;
                        local.flights.push(Flight { request, epoch, at: true_now + takes, tries });
                    }
                    Admission::Queue(ticket) => local.held.push((request, ticket)),
                    Admission::Reject(_) => {}
                }
            }
            assert_eq!(machine.queued(), local.held.len());

            local.flights.retain_mut(|f| {
                if f.at > true_now {
                    return true;
                }
                let (request, version) = (f.request, f.epoch.version.0);
                if f.tries == 0 {
                    record(Event::Left { request, version });
                    return false;
                }
                f.tries -= 1;
                f.at = true_now + rng.random_range(1..200) * MS;
                let goes_on = machine.check_epoch(boot, &f.epoch).is_ok();
                if goes_on {
                    record(Event::Decided { request, version });
                }
                goes_on
            });

            let state = machine.state();
            if let Some(change) = state.change.as_ref().filter(|c| c.version.0 > local.proposed) {
                local.proposed = change.version.0;
                record(Event::Proposed { version: change.version.0 });
            }
            if state.history.back() != local.last_past.as_ref() {
                local.last_past = state.history.back().cloned();
                for past in &state.history {
                    let (version, taken) = match &past.outcome {
                        ProposalOutcome::Taken(v) => (v.0, true),
                        ProposalOutcome::Aborted(v, _) => (v.0, false),
                        ProposalOutcome::Lost { .. } => continue,
                    };
                    if local.told.insert((version, taken)) {
                        record(Event::Ended { version, taken });
                    }
                }
            }
            // While a version closes a node that says it is ready claims no version: it holds what comes.
            if at.is_multiple_of(37_000_000) && machine.is_ready(boot) {
                if let Ok(version) = machine.admissible_version(boot) {
                    record(Event::Ready { version: version.0 });
                }
            }
        }
    }

    /// Ends all faults.
    pub(crate) fn heal(&mut self) {
        for i in 0..self.locals.len() {
            if self.locals[i].cut {
                self.cut(i, false);
            }
            if self.locals[i].killed {
                self.start(i);
            } else if self.locals[i].paused {
                self.pause(i, false);
            }
        }
        self.model.set_leader(Some(0));
        self.model.set_other_leaders(&[]);
        self.model.set_faults(Faults::default());
    }

    /// The breaches in all that was written down, once every node runs and knows all.
    pub(crate) fn verdict(&mut self) -> Vec<Breach> {
        for i in 0..self.locals.len() {
            let version = self.node(i).state().active.0;
            self.record(i, Event::Final { version });
        }
        // A refusal counts when the log has it from a member while the members check: one that was cut off before it came
        // to the log, and whose lease ran out, is not counted any more.
        let mut state = State::default();
        let log = self.model.log().to_vec();
        for decided in log {
            let Some(entry) = Entry::decode(&decided.proposal.body) else { continue };
            let by = &decided.proposal.proposer;
            if let (Entry::Reject { version, .. }, Some(c)) = (&entry, &state.change) {
                if c.version == *version && c.step == Step::Voting && state.members.contains_key(by) {
                    let what = Event::Refused { version: version.0 };
                    self.records.push(Record { at: 0, node: by.name.to_string(), what });
                }
            }
            state.apply(decided.index, by, entry);
            for i in 0..self.locals.len() {
                // Each knows what the log says up to the entry it has learnt, and that is what its snapshot holds.
                if self.model.learned_count(i) as u64 == decided.index.0 {
                    assert_eq!(*self.node(i).state(), state, "n{i} and the log");
                    let copy = postcard::from_bytes::<State>(&self.node(i).snapshot());
                    assert_eq!(copy.as_ref(), Ok(&state), "n{i}'s snapshot");
                }
            }
        }
        check::check(&self.records)
    }
}

fn node(settings: &Settings, me: Peer, now: Now) -> PolicyChange {
    let check = checker(&me.name);
    PolicyChange::new(me, settings.clone(), check, now).expect("settings that fit")
}
