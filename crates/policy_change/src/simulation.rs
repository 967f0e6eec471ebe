//! A simulated small fleet on the log's model, for the tests: clients send requests all the time, and
//! everything the nodes do is recorded on the simulation's own clock for the checker.

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

/// Settings short enough that many leases expire in a run of about 20 s.
pub(crate) fn short_settings() -> Settings {
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

/// A check that rejects documents which contain `!` and the node's name.
fn check_for(name: &Name) -> DocumentCheck {
    let marker = format!("!{name}");
    Box::new(move |document| {
        let text = String::from_utf8_lossy(document);
        if text.contains(&marker) {
            return Err(format!("policy.toml:3: key \"share\": {text}"));
        }
        Ok(())
    })
}

struct InFlightRequest {
    request: u64,
    epoch: Epoch,
    due: Duration,
    /// Retries left before the request is answered.
    retries_left: u32,
}

#[derive(Default)]
struct NodeState {
    in_flight: Vec<InFlightRequest>,
    queued: Vec<(u64, QueueSlot)>,
    reopen_count: u64,
    last_ended: Option<EndedProposal>,
    reported_ends: BTreeSet<(u64, bool)>,
    last_proposed: u64,
    killed: bool,
    paused: bool,
    isolated: bool,
}

impl NodeState {
    fn is_down(&self) -> bool {
        self.killed || self.paused || self.isolated
    }
}

pub(crate) struct Simulation {
    pub(crate) model: Model<PolicyChange>,
    pub(crate) records: Vec<Record>,
    pub(crate) rng: Pcg64,
    settings: Vec<Settings>,
    nodes: Vec<NodeState>,
    requests: u64,
    /// Probability that a request arrives at a node in one step.
    pub(crate) load: f64,
}

impl Simulation {
    pub(crate) fn new(seed: u64, settings: Vec<Settings>, faults: Faults) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed ^ 0x9e37);
        let mut model = Model::new(seed, faults, 1_700_000_000_000);
        for (i, settings) in settings.iter().enumerate() {
            let clocks = Clocks {
                boot_at_zero: Duration::from_millis(rng.random_range(0..100_000_000)),
                // The rates of any two clocks differ by less than 1 %.
                rate: rng.random_range(0.9951..1.0049),
                wall_ahead_ms: rng.random_range(-600_000..600_000),
            };
            let name = Name::new(&format!("n{i}")).expect("a valid name");
            model.add(name, clocks, |me, now| new_machine(settings, me, now));
        }
        let nodes = settings.iter().map(|_| NodeState::default()).collect();
        Self { model, records: Vec::new(), rng, settings, nodes, requests: 0, load: 0.02 }
    }

    fn record(&mut self, i: usize, what: Event) {
        let at = self.model.now().as_nanos() as u64;
        self.records.push(Record { at, node: format!("n{i}"), what });
    }

    fn update_node(&mut self, i: usize, ran: bool, change: impl FnOnce(&mut NodeState)) {
        let was_down = self.nodes[i].is_down();
        change(&mut self.nodes[i]);
        let is_down = self.nodes[i].is_down();
        if is_down {
            self.record(i, Event::Down { ran });
        } else if was_down {
            self.record(i, Event::Back);
        }
    }

    pub(crate) fn kill(&mut self, i: usize) {
        self.model.kill(i);
        let isolated = self.nodes[i].isolated;
        self.nodes[i] = NodeState {
            killed: true,
            isolated,
            reported_ends: std::mem::take(&mut self.nodes[i].reported_ends),
            ..NodeState::default()
        };
        self.record(i, Event::Down { ran: false });
    }

    pub(crate) fn start(&mut self, i: usize) {
        let settings = self.settings[i].clone();
        self.model.start(i, |me, now| new_machine(&settings, me, now));
        self.update_node(i, true, |n| (n.killed, n.paused) = (false, false));
    }

    pub(crate) fn pause(&mut self, i: usize, paused: bool) {
        self.model.set_paused(i, paused);
        self.update_node(i, !paused, |n| n.paused = paused);
    }

    pub(crate) fn isolate(&mut self, i: usize, isolated: bool) {
        self.model.set_isolated(i, isolated);
        self.update_node(i, true, |n| n.isolated = isolated);
    }

    pub(crate) fn node(&mut self, i: usize) -> &mut PolicyChange {
        self.model.machine(i).expect("the node runs").0
    }

    /// Proposes at node `i` against the version that is active there. Returns the ticket, if the node runs
    /// and accepts the proposal.
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
            self.step_requests();
        }
    }

    /// Runs until `done` returns true. Returns the time it took, or `None` after `limit`.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        mut done: impl FnMut(&mut Self) -> bool,
    ) -> Option<Duration> {
        let start = self.model.now();
        while !done(self) {
            if self.model.now() - start >= limit {
                return None;
            }
            self.run(STEP);
        }
        Some(self.model.now() - start)
    }

    /// Simulates the clients' requests in this step and records the events of all nodes.
    fn step_requests(&mut self) {
        let true_now = self.model.now();
        let at = true_now.as_nanos() as u64;
        for i in 0..self.nodes.len() {
            let Some((machine, now)) = self.model.machine(i) else { continue };
            let (node, rng, records) = (&mut self.nodes[i], &mut self.rng, &mut self.records);
            let mut record = |what| records.push(Record { at, node: format!("n{i}"), what });
            let boot = now.boot;

            let mut admitted: Vec<(u64, Admission)> = Vec::new();
            let reopened = node.reopen_count != machine.reopen_count();
            node.reopen_count = machine.reopen_count();
            let mut k = 0;
            while k < node.queued.len() {
                if reopened || boot >= node.queued[k].1.expires_at {
                    let (request, slot) = node.queued.remove(k);
                    admitted.push((request, machine.readmit(boot, slot)));
                } else {
                    k += 1;
                }
            }
            if rng.random_bool(self.load) {
                self.requests += 1;
                record(Event::Arrived { request: self.requests });
                let time_left = rng.random_range(0..2000) * MS;
                admitted.push((self.requests, machine.admit(boot, time_left)));
            }
            for (request, admission) in admitted {
                match admission {
                    Admission::Admit(epoch) => {
                        record(Event::Decided { request, version: epoch.version.0 });
                        let retries_left = if rng.random_bool(0.3) { rng.random_range(1..3) } else { 0 };
                        let duration = rng.random_range(1..200) * MS;
                        node.in_flight.push(InFlightRequest {
                            request,
                            epoch,
                            due: true_now + duration,
                            retries_left,
                        });
                    }
                    Admission::Queue(slot) => node.queued.push((request, slot)),
                    Admission::Reject(_) => {}
                }
            }
            assert_eq!(machine.queued(), node.queued.len());

            node.in_flight.retain_mut(|f| {
                if f.due > true_now {
                    return true;
                }
                let (request, version) = (f.request, f.epoch.version.0);
                if f.retries_left == 0 {
                    record(Event::Left { request, version });
                    return false;
                }
                f.retries_left -= 1;
                f.due = true_now + rng.random_range(1..200) * MS;
                let may_retry = machine.check_epoch(boot, &f.epoch).is_ok();
                if may_retry {
                    record(Event::Decided { request, version });
                }
                may_retry
            });

            let state = machine.state();
            if let Some(change) = state.change.as_ref().filter(|c| c.version.0 > node.last_proposed) {
                node.last_proposed = change.version.0;
                record(Event::Proposed { version: change.version.0 });
            }
            if state.history.back() != node.last_ended.as_ref() {
                node.last_ended = state.history.back().cloned();
                for ended in &state.history {
                    let (version, taken) = match &ended.outcome {
                        ProposalOutcome::Taken(v) => (v.0, true),
                        ProposalOutcome::Aborted(v, _) => (v.0, false),
                        ProposalOutcome::Lost { .. } => continue,
                    };
                    if node.reported_ends.insert((version, taken)) {
                        record(Event::Ended { version, taken });
                    }
                }
            }
            // While a version closes, a ready node decides under no version (it queues requests), so none is
            // recorded.
            if at.is_multiple_of(37_000_000) && machine.is_ready(boot) {
                if let Ok(version) = machine.admissible_version(boot) {
                    record(Event::Ready { version: version.0 });
                }
            }
        }
    }

    /// Ends all faults: every node runs and is connected.
    pub(crate) fn end_faults(&mut self) {
        for i in 0..self.nodes.len() {
            if self.nodes[i].isolated {
                self.isolate(i, false);
            }
            if self.nodes[i].killed {
                self.start(i);
            } else if self.nodes[i].paused {
                self.pause(i, false);
            }
        }
        self.model.set_leader(Some(0));
        self.model.set_other_leaders(&[]);
        self.model.set_faults(Faults::default());
    }

    /// Returns the breaches in all records. Every node must be running and must have learned the whole log.
    pub(crate) fn breaches(&mut self) -> Vec<Breach> {
        for i in 0..self.nodes.len() {
            let version = self.node(i).state().active.0;
            self.record(i, Event::Final { version });
        }
        // A rejection counts if it reaches the log while the change is in `Voting` and its sender is a
        // member. It does not count if its sender was cut off before the log had it and the sender's lease
        // expired.
        let mut state = State::default();
        let log = self.model.log().to_vec();
        for decided in log {
            let Some(entry) = Entry::decode(&decided.proposal.body) else { continue };
            let sender = &decided.proposal.proposer;
            if let (Entry::Reject { version, .. }, Some(c)) = (&entry, &state.change) {
                if c.version == *version && c.step == Step::Voting && state.members.contains_key(sender) {
                    let what = Event::Refused { version: version.0 };
                    self.records.push(Record { at: 0, node: sender.name.to_string(), what });
                }
            }
            state.apply(decided.index, sender, entry);
            for i in 0..self.nodes.len() {
                // Each node's state, and its snapshot, equals the state that the log determines up to the
                // last entry the node has learned.
                if self.model.learned_count(i) as u64 == decided.index.0 {
                    assert_eq!(*self.node(i).state(), state, "n{i} differs from the log");
                    let copy = postcard::from_bytes::<State>(&self.node(i).snapshot());
                    assert_eq!(copy.as_ref(), Ok(&state), "the snapshot of n{i} differs from the log");
                }
            }
        }
        check::check(&self.records)
    }
}

fn new_machine(settings: &Settings, me: Peer, now: Now) -> PolicyChange {
    let check = check_for(&me.name);
    PolicyChange::new(me, settings.clone(), check, now).expect("valid settings")
}
