//! The simulation in virtual time: one event queue, ordered by time and, at the same instant, by the order of
//! scheduling.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use magpietally_policy::{Action, Event, Outcome, RequestId, ServerId};
use serde::Serialize;

use super::decider::Variant;
use super::faulty::InjectedFault;
use super::node::{idle_max_us, reserved_time, Attempt, Node, Try};
use crate::model::app_box::{AppBox, FinishedJob, ServerResponse};
use crate::model::clients::{length, Answer, Arrival, Arrivals, RetryPolicy};
use crate::model::faults::{schedule, ActiveEffects, Effect, Rates, Toggle};
use crate::model::list::{BoxList, State};
use crate::model::random::{Purpose, Stream};
use crate::model::referee::{AttemptNo, Final, Referee, RequestNo, TryNo, Verdict};
use crate::model::spec::Site;
use crate::model::time::{micros, millis, Micros, SECOND};

/// How long a run continues after the last arrival, beyond the longest deadline.
const RUN_OUT_US: Micros = SECOND;

/// Result of one run.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Run {
    /// Name of the site.
    pub site: String,
    /// Name of the variant.
    pub variant: String,
    /// Seed of the run.
    pub seed: u64,
    /// The referee's verdict.
    pub verdict: Verdict,
    /// Number of new connections to boxes.
    pub connections: u64,
    /// Number of times that a box fell over.
    pub fallen: u64,
    /// Attempts sent to the busiest box, relative to the mean over all boxes.
    pub busiest: f64,
    /// Number of events handled.
    pub events: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SimEvent {
    Arrive,
    Retry(RequestNo),
    AtNode(TryNo),
    Connected(AttemptNo),
    ConnectEnds(AttemptNo, Outcome),
    AtBox(AttemptNo),
    BoxDue(usize, u32),
    ResponseBack(AttemptNo, ServerResponse),
    Reset(AttemptNo),
    TimeOut(AttemptNo),
    CancelAtBox(AttemptNo),
    AnswerAtDeadline(TryNo),
    HeldBackAnswer(TryNo, Final, Micros),
    AtClient(TryNo, Final, Micros, Micros),
    Unreachable(TryNo, bool),
    Timer(usize, u32, Micros),
    Noticed(usize),
    ListCallDone(usize, u32, u64, bool),
    Push(usize, u32, u64),
    WatchEnds(usize, u32, u64),
    ProbeBack(usize, u32, usize, Outcome, Micros),
    Ready(usize, u32),
    FrontChecksNode(usize),
    Toggle(usize),
    RestartFallen(usize),
}

pub(super) struct QueuedEvent {
    at: Micros,
    number: u64,
    event: SimEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}
impl Eq for QueuedEvent {}
impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// A client's request.
pub(super) struct Request {
    pub(super) arrival: Arrival,
    pub(super) tries: u32,
    /// Whether the last answer was a refusal.
    pub(super) refused: bool,
}

pub(super) struct Simulation<'a> {
    pub(super) site: &'a Site,
    pub(super) variant: &'a Variant,
    pub(super) seed: u64,
    pub(super) now: Micros,
    pub(super) queue: BinaryHeap<Reverse<QueuedEvent>>,
    pub(super) scheduled: u64,
    pub(super) handled: u64,
    pub(super) arrivals: Arrivals,
    pub(super) next_arrival: Option<Arrival>,
    pub(super) rates: Rates,
    pub(super) arrivals_end: Micros,
    pub(super) retries: RetryPolicy,
    pub(super) front: Stream,
    pub(super) network: Stream,
    pub(super) fault_rolls: Stream,
    pub(super) boxes: Vec<AppBox>,
    pub(super) box_due: Vec<(Option<Micros>, u32)>,
    pub(super) box_zone: Vec<usize>,
    pub(super) box_kind: Vec<usize>,
    pub(super) box_connections: Vec<usize>,
    pub(super) fallen: Vec<bool>,
    /// Server number of each box, and box of each server number.
    pub(super) server_of: Vec<u64>,
    pub(super) box_of: Vec<usize>,
    pub(super) sent_to: Vec<u64>,
    pub(super) nodes: Vec<Node>,
    pub(super) list: BoxList,
    pub(super) toggles: Vec<Toggle>,
    pub(super) active: ActiveEffects,
    pub(super) requests: Vec<Request>,
    pub(super) tries: Vec<Try>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) referee: Referee,
    pub(super) connections: u64,
    pub(super) falls: u64,
    pub(super) done: Vec<FinishedJob>,
    pub(super) connect_timeout_us: Micros,
    pub(super) idle_max_us: Micros,
}

/// Runs a site with a seed and a variant of the node.
pub fn run(site: &Site, seed: u64, variant: &Variant) -> Run {
    let mut simulation = Simulation::new(site, seed, variant);
    simulation.begin();
    while let Some(Reverse(item)) = simulation.queue.pop() {
        if item.at > simulation.arrivals_end + simulation.run_out() {
            break;
        }
        simulation.now = item.at;
        simulation.handled += 1;
        simulation.handle(item.event);
    }
    simulation.finish()
}

/// Like [`run`], and returns the elapsed real time in seconds as well.
pub fn run_timed(site: &Site, seed: u64, variant: &Variant) -> (Run, f64) {
    let began = std::time::Instant::now();
    let run = run(site, seed, variant);
    (run, began.elapsed().as_secs_f64())
}

impl<'a> Simulation<'a> {
    fn new(site: &'a Site, seed: u64, variant: &'a Variant) -> Self {
        let toggles = schedule(site, seed);
        let kinds = site.box_kinds();
        let count = kinds.len();
        let own = |b: usize| Stream::new(seed ^ ((b as u64 + 1) << 20), Purpose::Boxes);
        let boxes = kinds.iter().enumerate().map(|(b, k)| AppBox::new(&site.boxes[*k], own(b))).collect();
        let zones: Vec<usize> = (0..count).map(|b| b % site.zones.len()).collect();
        // Server numbers must reveal nothing of the kind: the seed assigns them to boxes at random.
        let mut deal = Stream::new(seed, Purpose::Boxes);
        let mut box_of: Vec<usize> = (0..count).collect();
        for i in 0..count {
            box_of.swap(i, i + deal.below(count - i));
        }
        let mut server_of = vec![0; count];
        for (server, b) in box_of.iter().enumerate() {
            server_of[*b] = server as u64;
        }
        Self {
            now: 0,
            queue: BinaryHeap::new(),
            scheduled: 0,
            handled: 0,
            arrivals: Arrivals::new(site, seed),
            next_arrival: None,
            rates: Rates::of(&toggles),
            arrivals_end: length(site),
            retries: RetryPolicy::new(site, seed),
            front: Stream::new(seed, Purpose::Front),
            network: Stream::new(seed, Purpose::Network),
            fault_rolls: Stream::new(seed ^ 0x5EED, Purpose::Faults),
            boxes,
            box_due: vec![(None, 0); count],
            box_connections: vec![0; count],
            fallen: vec![false; count],
            sent_to: vec![0; count],
            list: BoxList::new(&site.list, count, Stream::new(seed, Purpose::List)),
            referee: Referee::new(site, zones.clone()),
            box_zone: zones,
            box_kind: kinds,
            server_of,
            box_of,
            nodes: Vec::new(),
            toggles,
            active: ActiveEffects::default(),
            requests: Vec::new(),
            tries: Vec::new(),
            attempts: Vec::new(),
            connections: 0,
            falls: 0,
            done: Vec::new(),
            connect_timeout_us: micros(site.network.connect_timeout_ms),
            idle_max_us: idle_max_us(site.network.keepalive_ms),
            site,
            variant,
            seed,
        }
    }

    fn begin(&mut self) {
        for n in 0..self.site.nodes.count {
            let decider = self.variant.decider(self.site.settings(n), self.node_seed(n, 0));
            let mut node = Node::new(n % self.site.zones.len(), self.boxes.len(), decider);
            node.known_boxes.fill(Some((State::Up, None)));
            node.in_rotation = true;
            self.nodes.push(node);
            self.saved_list(n);
        }
        for n in 0..self.toggles.len() {
            self.schedule_at(self.toggles[n].at, SimEvent::Toggle(n));
        }
        self.draw_arrival();
    }

    pub(super) fn node_seed(&self, node: usize, incarnation: u32) -> u64 {
        let mut stream =
            Stream::new(self.seed ^ ((node as u64) << 32) ^ u64::from(incarnation), Purpose::Nodes);
        stream.number()
    }

    /// How long a run continues after the last arrival.
    pub(super) fn run_out(&self) -> Micros {
        let longest = self.site.longest_deadline_ms();
        micros(longest) + micros(self.site.rules.answer_slack_ms) + RUN_OUT_US
    }

    fn finish(mut self) -> Run {
        // Counts the work that boxes wasted, and settles all requests: no client will receive anything more.
        for b in &self.boxes {
            self.referee.add_work(b.wasted(), false);
        }
        let refused: Vec<bool> = self.requests.iter().map(|r| r.refused).collect();
        for (request, refused) in refused.into_iter().enumerate() {
            self.referee.request_finished(request, refused);
        }
        let mean = self.sent_to.iter().sum::<u64>() as f64 / self.sent_to.len().max(1) as f64;
        let most = self.sent_to.iter().copied().max().unwrap_or(0) as f64;
        Run {
            site: self.site.name.clone(),
            variant: self.variant.name.clone(),
            seed: self.seed,
            verdict: self.referee.finish(self.now),
            connections: self.connections,
            fallen: self.falls,
            busiest: if mean > 0.0 { most / mean } else { 1.0 },
            events: self.handled,
        }
    }

    pub(super) fn schedule_at(&mut self, at: Micros, event: SimEvent) {
        self.scheduled += 1;
        self.queue.push(Reverse(QueuedEvent { at: at.max(self.now), number: self.scheduled, event }));
    }

    pub(super) fn schedule_after(&mut self, span: Micros, event: SimEvent) {
        self.schedule_at(self.now + span, event);
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive => self.arrive(),
            SimEvent::Retry(request) => self.send_try(request),
            SimEvent::AtNode(number) => self.at_node(number),
            SimEvent::Connected(attempt) => self.connected(attempt),
            SimEvent::ConnectEnds(attempt, outcome) => self.connect_ends(attempt, outcome),
            SimEvent::AtBox(attempt) => self.at_box(attempt),
            SimEvent::BoxDue(b, number) => self.box_due(b, number),
            SimEvent::ResponseBack(attempt, response) => self.response_back(attempt, response),
            SimEvent::Reset(attempt) => self.reset(attempt),
            SimEvent::TimeOut(attempt) => self.time_out(attempt),
            SimEvent::CancelAtBox(attempt) => self.cancel_at_box(attempt),
            SimEvent::AnswerAtDeadline(number) => self.answer_at_deadline(number),
            SimEvent::HeldBackAnswer(number, answer, retry_after) => {
                self.answer_now(number, answer, retry_after)
            }
            SimEvent::AtClient(number, answer, retry_after, left) => {
                self.at_client(number, answer, retry_after, left)
            }
            SimEvent::Unreachable(number, unsent) => self.unreachable(number, unsent),
            SimEvent::Timer(n, incarnation, at) => {
                if self.nodes[n].incarnation == incarnation && self.nodes[n].timer == Some(at) {
                    self.nodes[n].timer = None;
                    self.deliver(n, Event::Timer);
                }
            }
            SimEvent::Noticed(b) => self.apply_notice(b),
            SimEvent::ListCallDone(n, incarnation, call, ok) => self.list_call_done(n, incarnation, call, ok),
            SimEvent::Push(n, incarnation, call) => self.push_list(n, incarnation, call),
            SimEvent::WatchEnds(n, incarnation, call) => self.watch_ends(n, incarnation, call),
            SimEvent::ProbeBack(n, incarnation, b, outcome, sent) => {
                if self.nodes[n].incarnation == incarnation {
                    let (server, took) = (ServerId(self.server_of[b]), millis(self.now - sent));
                    self.deliver(n, Event::Probed { server, outcome, took });
                }
            }
            SimEvent::Ready(n, incarnation) => {
                if self.nodes[n].incarnation == incarnation {
                    self.nodes[n].in_rotation = true;
                }
            }
            SimEvent::FrontChecksNode(n) => self.nodes[n].in_rotation &= self.nodes[n].up,
            SimEvent::Toggle(n) => self.toggle(n),
            SimEvent::RestartFallen(b) => self.restart_fallen(b),
        }
    }

    // ---- Delays ----

    pub(super) fn jittered(&mut self, ms: f64) -> Micros {
        let jitter = self.site.network.jitter * self.network.unit();
        micros(ms * (1.0 + jitter))
    }

    pub(super) fn delay(&mut self, node: usize, b: usize) -> Micros {
        let n = &self.site.network;
        let ms = if self.nodes[node].zone == self.box_zone[b] { n.same_zone_ms } else { n.cross_zone_ms };
        self.jittered(ms)
    }

    pub(super) fn client_delay(&mut self) -> Micros {
        self.jittered(self.site.network.client_ms)
    }

    pub(super) fn is_cut(&self, node: usize, b: usize) -> bool {
        self.active.cuts(self.nodes[node].zone, self.box_zone[b])
    }

    // ---- Clients ----

    fn draw_arrival(&mut self) {
        let arrival = self.arrivals.next(&self.rates);
        if arrival.at <= self.arrivals_end {
            self.next_arrival = Some(arrival);
            self.schedule_at(arrival.at, SimEvent::Arrive);
        }
    }

    fn arrive(&mut self) {
        let Some(arrival) = self.next_arrival.take() else { return };
        let request = self.referee.request_started(self.now, arrival.class, arrival.tenant, arrival.in_quota);
        self.requests.push(Request { arrival, tries: 0, refused: false });
        self.send_try(request);
        self.draw_arrival();
    }

    /// Picks the node for a try among those that the front considers alive, in the client's zone where there
    /// is one.
    fn pick_node(&mut self, zone: usize) -> Option<usize> {
        let own = (0..self.nodes.len()).filter(|n| self.nodes[*n].in_rotation && self.nodes[*n].zone == zone);
        let mut dealt: Vec<usize> = own.collect();
        if dealt.is_empty() {
            dealt = (0..self.nodes.len()).filter(|n| self.nodes[*n].in_rotation).collect();
        }
        let roll = self.front.number() as usize;
        (!dealt.is_empty()).then(|| dealt[roll % dealt.len()])
    }

    fn send_try(&mut self, request: RequestNo) {
        let Request { arrival, .. } = &mut self.requests[request];
        let (zone, deadline) = (arrival.zone, arrival.deadline);
        self.requests[request].tries += 1;
        let node = self.pick_node(zone);
        let at = node.unwrap_or(0);
        let number = self.referee.try_started(self.now, request, at, deadline);
        let incarnation = self.nodes[at].incarnation;
        self.tries.push(Try {
            request,
            node: at,
            incarnation,
            finished: false,
            closed: false,
            attempts: Vec::new(),
            in_flight: 0,
        });
        let delay = self.client_delay();
        match node {
            Some(n) if self.nodes[n].up => self.schedule_after(delay, SimEvent::AtNode(number)),
            // The front has not noticed the failure yet, or has no node left: connection refused.
            _ => self.schedule_after(2 * delay, SimEvent::Unreachable(number, true)),
        }
    }

    fn at_node(&mut self, number: TryNo) {
        let Try { request, node, incarnation, .. } = self.tries[number];
        if self.nodes[node].incarnation != incarnation || !self.nodes[node].up {
            let delay = self.client_delay();
            self.schedule_after(delay, SimEvent::Unreachable(number, true));
            return;
        }
        self.referee.try_accepted(self.now, number);
        let arrival = self.requests[request].arrival;
        // The request carries whole milliseconds, counted from when the client sent it.
        let remaining = arrival.deadline.saturating_sub(self.now) / 1000 * 1000;
        let (margin, guard) = reserved_time(remaining, self.variant.fixes.margin);
        self.nodes[node].open.insert(number);
        self.schedule_at(self.now + remaining - guard, SimEvent::AnswerAtDeadline(number));
        let deadline = millis(self.now + remaining - margin);
        let (class, tenant) = (arrival.class, arrival.tenant);
        self.deliver(
            node,
            Event::Request { id: RequestId(number as u64), class, tenant, deadline, non_replayable: false },
        );
    }

    /// Answers in the policy's place shortly before the deadline, so that the client does not wait past it
    /// whatever happens to the policy's timers.
    fn answer_at_deadline(&mut self, number: TryNo) {
        let Try { node, finished, incarnation, .. } = self.tries[number];
        if finished
            || self.nodes[node].incarnation != incarnation
            || self.variant.injected == Some(InjectedFault::LosesRequests)
        {
            return;
        }
        self.answer_now(number, Final::Failed, 0);
        self.deliver(node, Event::ClientGone(RequestId(number as u64)));
    }

    pub(super) fn answer(&mut self, number: TryNo, answer: Final, retry_after: Micros) {
        match self.variant.injected {
            Some(InjectedFault::LosesRequests) if answer != Final::Served => {}
            Some(InjectedFault::HoldsBack) if answer != Final::Served => {
                let deadline = self.requests[self.tries[number].request].arrival.deadline;
                self.schedule_at(
                    deadline.saturating_sub(30_000),
                    SimEvent::HeldBackAnswer(number, answer, retry_after),
                );
            }
            _ => self.answer_now(number, answer, retry_after),
        }
    }

    /// Sends the single final answer of a try to its client.
    fn answer_now(&mut self, number: TryNo, answer: Final, retry_after: Micros) {
        if std::mem::replace(&mut self.tries[number].finished, true) {
            return;
        }
        self.drop_if_finished(number);
        let (delay, left) = (self.client_delay(), self.now);
        self.schedule_after(delay, SimEvent::AtClient(number, answer, retry_after, left));
    }

    pub(super) fn drop_if_finished(&mut self, number: TryNo) {
        let t = &self.tries[number];
        if t.finished && t.in_flight == 0 {
            self.nodes[t.node].open.remove(&number);
        }
    }

    fn at_client(&mut self, number: TryNo, answer: Final, retry_after: Micros, left: Micros) {
        if std::mem::replace(&mut self.tries[number].closed, true) {
            return;
        }
        self.referee.answer_received(self.now, left, number, answer);
        let answer = match answer {
            Final::Served => Answer::Served,
            Final::Refused => Answer::Refused(retry_after),
            Final::Failed => Answer::Failed,
        };
        self.retry(number, answer, false);
    }

    fn unreachable(&mut self, number: TryNo, unsent: bool) {
        if std::mem::replace(&mut self.tries[number].closed, true) {
            return;
        }
        self.referee.client_left(self.now, number, false);
        self.retry(number, Answer::Unreachable, unsent);
    }

    fn retry(&mut self, number: TryNo, answer: Answer, unsent: bool) {
        let request = self.tries[number].request;
        self.requests[request].refused = matches!(answer, Answer::Refused(_)) || unsent;
        let Request { arrival, tries, .. } = &self.requests[request];
        if let Some(at) = self.retries.after(self.now, arrival, *tries, answer, unsent) {
            self.schedule_at(at, SimEvent::Retry(request));
        }
    }

    // ---- Nodes ----

    /// Delivers an event to a node's policy and performs its actions. Events that result from these are
    /// queued.
    pub(super) fn deliver(&mut self, n: usize, event: Event) {
        let node = &mut self.nodes[n];
        if !node.up {
            return;
        }
        node.events.push_back(event);
        if node.handling {
            return;
        }
        node.handling = true;
        let mut actions = Vec::new();
        while let Some(event) = self.nodes[n].events.pop_front() {
            let now = millis(self.now);
            self.nodes[n].decider.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(n, action);
            }
        }
        self.nodes[n].handling = false;
    }

    fn perform(&mut self, n: usize, action: Action) {
        match action {
            Action::Send { id, server, timeout } => {
                let known = (id.0 as usize) < self.tries.len() && (server.0 as usize) < self.box_of.len();
                if known {
                    let span = timeout.map_or(Micros::MAX / 4, micros);
                    self.send(id.0 as usize, self.box_of[server.0 as usize], span);
                }
            }
            Action::Cancel { id, attempt } => {
                let number = self.tries.get(id.0 as usize).and_then(|t| t.attempts.get(attempt)).copied();
                if let Some(number) = number {
                    self.call_off(number, Outcome::Cancelled);
                }
            }
            Action::Refuse { id, stay_away } => {
                self.answer(id.0 as usize, Final::Refused, micros(stay_away));
            }
            Action::Fail(id) => self.answer(id.0 as usize, Final::Failed, 0),
            Action::SetTimer(after) => {
                let (at, incarnation) = (self.now + micros(after).max(1), self.nodes[n].incarnation);
                if self.nodes[n].timer.is_none_or(|due| at < due) {
                    self.nodes[n].timer = Some(at);
                    self.schedule_at(at, SimEvent::Timer(n, incarnation, at));
                }
            }
            Action::Subscribe => self.call_list(n),
            Action::Probe(server) => self.probe(n, self.box_of[server.0 as usize]),
        }
    }

    fn probe(&mut self, n: usize, b: usize) {
        let (incarnation, delay) = (self.nodes[n].incarnation, self.delay(n, b));
        let (span, outcome) = if self.active.contains(Effect::Silent(b)) || self.is_cut(n, b) {
            (self.connect_timeout_us, Outcome::ConnectFailed)
        } else if !self.boxes[b].is_running() {
            (2 * delay, Outcome::ConnectFailed)
        } else {
            (4 * delay, Outcome::Done)
        };
        self.schedule_after(span, SimEvent::ProbeBack(n, incarnation, b, outcome, self.now));
    }
}
