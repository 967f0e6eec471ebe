//! The world in virtual time: one queue of events in the order of time and, at the same instant, of their making.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use magpietally_policy::{Action, Event, Outcome, RequestId, ServerId};
use serde::Serialize;

use super::decider::Variant;
use super::faulty::Misdeed;
use super::shell::{idle_most, kept_back, Attempt, Node, Try};
use crate::model::boxes::{AppBox, Finished, Word};
use crate::model::clients::{length, Answer, Arrival, Arrivals, Retries};
use crate::model::faults::{schedule, Active, Effect, Rates, Toggle};
use crate::model::list::{BoxList, State};
use crate::model::random::{Purpose, Stream};
use crate::model::referee::{AttemptNo, Final, Referee, RequestNo, TryNo, Verdict};
use crate::model::spec::Site;
use crate::model::time::{micros, millis, Micros, SECOND};

/// How long a run goes on after the last arrival, beyond the longest deadline.
const AFTER: Micros = SECOND;

/// What one run came to.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Run {
    /// The site's name.
    pub site: String,
    /// The variant's name.
    pub variant: String,
    /// The seed.
    pub seed: u64,
    /// The referee's word.
    pub verdict: Verdict,
    /// New connections to boxes.
    pub connections: u64,
    /// Boxes that fell over.
    pub fallen: u64,
    /// Work sent to each box, as the share of the busiest box in the mean.
    pub busiest: f64,
    /// Events that were played.
    pub events: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ev {
    Arrive,
    Retry(RequestNo),
    AtNode(TryNo),
    Connected(AttemptNo),
    ConnectEnds(AttemptNo, Outcome),
    AtBox(AttemptNo),
    BoxDue(usize, u32),
    Back(AttemptNo, Word),
    Reset(AttemptNo),
    End(AttemptNo),
    CancelAtBox(AttemptNo),
    Guard(TryNo),
    Held(TryNo, Final, Micros),
    AtClient(TryNo, Final, Micros, Micros),
    Unreachable(TryNo, bool),
    Timer(usize, u32, Micros),
    Noticed(usize),
    CallDone(usize, u32, u64, bool),
    Push(usize, u32, u64),
    WatchEnds(usize, u32, u64),
    ProbeBack(usize, u32, usize, Outcome, Micros),
    Ready(usize, u32),
    FrontLooks(usize),
    Toggle(usize),
    Rises(usize),
}

pub(super) struct Item {
    at: Micros,
    number: u64,
    ev: Ev,
}

impl PartialEq for Item {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}
impl Eq for Item {}
impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Item {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// A client's request.
pub(super) struct Request {
    pub(super) arrival: Arrival,
    pub(super) tries: u32,
    /// The last answer was a refusal.
    pub(super) refused: bool,
}

pub(super) struct World<'a> {
    pub(super) site: &'a Site,
    pub(super) variant: &'a Variant,
    pub(super) seed: u64,
    pub(super) now: Micros,
    pub(super) queue: BinaryHeap<Reverse<Item>>,
    pub(super) made: u64,
    pub(super) played: u64,
    pub(super) arrivals: Arrivals,
    pub(super) next_arrival: Option<Arrival>,
    pub(super) rates: Rates,
    pub(super) ends: Micros,
    pub(super) retries: Retries,
    pub(super) front: Stream,
    pub(super) network: Stream,
    pub(super) rolls: Stream,
    pub(super) boxes: Vec<AppBox>,
    pub(super) box_due: Vec<(Option<Micros>, u32)>,
    pub(super) box_zone: Vec<usize>,
    pub(super) box_kind: Vec<usize>,
    pub(super) box_conns: Vec<usize>,
    pub(super) fallen: Vec<bool>,
    /// The server's number of each box, and back.
    pub(super) server_of: Vec<u64>,
    pub(super) box_of: Vec<usize>,
    pub(super) sent_to: Vec<u64>,
    pub(super) nodes: Vec<Node>,
    pub(super) list: BoxList,
    pub(super) toggles: Vec<Toggle>,
    pub(super) active: Active,
    pub(super) requests: Vec<Request>,
    pub(super) tries: Vec<Try>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) referee: Referee,
    pub(super) connections: u64,
    pub(super) falls: u64,
    pub(super) done: Vec<Finished>,
    pub(super) connect: Micros,
    pub(super) idle_most: Micros,
}

/// Plays a site under a seed with a variant of the node.
pub fn run(site: &Site, seed: u64, variant: &Variant) -> Run {
    let mut world = World::new(site, seed, variant);
    world.begin();
    while let Some(Reverse(item)) = world.queue.pop() {
        if item.at > world.ends + world.rest() {
            break;
        }
        world.now = item.at;
        world.played += 1;
        world.play(item.ev);
    }
    world.finish()
}

/// The same, and how long it took in seconds of real time.
pub fn run_timed(site: &Site, seed: u64, variant: &Variant) -> (Run, f64) {
    let began = std::time::Instant::now();
    let run = run(site, seed, variant);
    (run, began.elapsed().as_secs_f64())
}

impl<'a> World<'a> {
    fn new(site: &'a Site, seed: u64, variant: &'a Variant) -> Self {
        let toggles = schedule(site, seed);
        let kinds = site.box_kinds();
        let count = kinds.len();
        let own = |b: usize| Stream::new(seed ^ ((b as u64 + 1) << 20), Purpose::Boxes);
        let boxes = kinds.iter().enumerate().map(|(b, k)| AppBox::new(&site.boxes[*k], own(b))).collect();
        let zones: Vec<usize> = (0..count).map(|b| b % site.zones.len()).collect();
        // Servers' numbers tell nothing of their kind: the boxes are dealt to them by the seed.
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
            made: 0,
            played: 0,
            arrivals: Arrivals::new(site, seed),
            next_arrival: None,
            rates: Rates::of(&toggles),
            ends: length(site),
            retries: Retries::new(site, seed),
            front: Stream::new(seed, Purpose::Front),
            network: Stream::new(seed, Purpose::Network),
            rolls: Stream::new(seed ^ 0x5EED, Purpose::Faults),
            boxes,
            box_due: vec![(None, 0); count],
            box_conns: vec![0; count],
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
            active: Active::default(),
            requests: Vec::new(),
            tries: Vec::new(),
            attempts: Vec::new(),
            connections: 0,
            falls: 0,
            done: Vec::new(),
            connect: micros(site.network.connect_timeout_ms),
            idle_most: idle_most(site.network.keepalive_ms),
            site,
            variant,
            seed,
        }
    }

    fn begin(&mut self) {
        for n in 0..self.site.nodes.count {
            let decider = self.variant.decider(self.site.settings(n), self.node_seed(n, 0));
            let mut node = Node::new(n % self.site.zones.len(), self.boxes.len(), decider);
            node.known.fill(Some((State::Up, None)));
            node.dealt = true;
            self.nodes.push(node);
            self.saved_list(n);
        }
        for n in 0..self.toggles.len() {
            self.at(self.toggles[n].at, Ev::Toggle(n));
        }
        self.draw_arrival();
    }

    pub(super) fn node_seed(&self, node: usize, life: u32) -> u64 {
        let mut stream = Stream::new(self.seed ^ ((node as u64) << 32) ^ u64::from(life), Purpose::Nodes);
        stream.number()
    }

    /// How long a run goes on after its last arrival.
    pub(super) fn rest(&self) -> Micros {
        let longest = self.site.longest_deadline_ms();
        micros(longest) + micros(self.site.rules.answer_slack_ms) + AFTER
    }

    fn finish(mut self) -> Run {
        // What boxes did for nobody, and what nobody will be told of any more.
        for b in &self.boxes {
            self.referee.work(b.wasted(), false);
        }
        let refused: Vec<bool> = self.requests.iter().map(|r| r.refused).collect();
        for (request, refused) in refused.into_iter().enumerate() {
            self.referee.settled(request, refused);
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
            events: self.played,
        }
    }

    pub(super) fn at(&mut self, at: Micros, ev: Ev) {
        self.made += 1;
        self.queue.push(Reverse(Item { at: at.max(self.now), number: self.made, ev }));
    }

    pub(super) fn after(&mut self, span: Micros, ev: Ev) {
        self.at(self.now + span, ev);
    }

    fn play(&mut self, ev: Ev) {
        match ev {
            Ev::Arrive => self.arrive(),
            Ev::Retry(request) => self.ask(request),
            Ev::AtNode(number) => self.at_node(number),
            Ev::Connected(attempt) => self.connected(attempt),
            Ev::ConnectEnds(attempt, outcome) => self.connect_ends(attempt, outcome),
            Ev::AtBox(attempt) => self.at_box(attempt),
            Ev::BoxDue(b, number) => self.box_due(b, number),
            Ev::Back(attempt, word) => self.back(attempt, word),
            Ev::Reset(attempt) => self.reset(attempt),
            Ev::End(attempt) => self.time_out(attempt),
            Ev::CancelAtBox(attempt) => self.cancel_at_box(attempt),
            Ev::Guard(number) => self.guard(number),
            Ev::Held(number, answer, away) => self.give_now(number, answer, away),
            Ev::AtClient(number, answer, away, left) => self.at_client(number, answer, away, left),
            Ev::Unreachable(number, unsent) => self.unreachable(number, unsent),
            Ev::Timer(n, life, at) => {
                if self.nodes[n].life == life && self.nodes[n].timer == Some(at) {
                    self.nodes[n].timer = None;
                    self.feed(n, Event::Timer);
                }
            }
            Ev::Noticed(b) => self.noticed(b),
            Ev::CallDone(n, life, call, ok) => self.call_done(n, life, call, ok),
            Ev::Push(n, life, call) => self.push_list(n, life, call),
            Ev::WatchEnds(n, life, call) => self.watch_ends(n, life, call),
            Ev::ProbeBack(n, life, b, outcome, sent) => {
                if self.nodes[n].life == life {
                    let (server, took) = (ServerId(self.server_of[b]), millis(self.now - sent));
                    self.feed(n, Event::Probed { server, outcome, took });
                }
            }
            Ev::Ready(n, life) => {
                if self.nodes[n].life == life {
                    self.nodes[n].dealt = true;
                }
            }
            Ev::FrontLooks(n) => self.nodes[n].dealt &= self.nodes[n].up,
            Ev::Toggle(n) => self.toggle(n),
            Ev::Rises(b) => self.rises(b),
        }
    }

    // ---- Delays ----

    pub(super) fn jittered(&mut self, ms: f64) -> Micros {
        let jitter = self.site.network.jitter * self.network.part();
        micros(ms * (1.0 + jitter))
    }

    pub(super) fn way(&mut self, node: usize, b: usize) -> Micros {
        let n = &self.site.network;
        let ms = if self.nodes[node].zone == self.box_zone[b] { n.same_zone_ms } else { n.cross_zone_ms };
        self.jittered(ms)
    }

    pub(super) fn client_way(&mut self) -> Micros {
        self.jittered(self.site.network.client_ms)
    }

    pub(super) fn is_cut(&self, node: usize, b: usize) -> bool {
        self.active.cuts(self.nodes[node].zone, self.box_zone[b])
    }

    // ---- Clients ----

    fn draw_arrival(&mut self) {
        let arrival = self.arrivals.next(&self.rates);
        if arrival.at <= self.ends {
            self.next_arrival = Some(arrival);
            self.at(arrival.at, Ev::Arrive);
        }
    }

    fn arrive(&mut self) {
        let Some(arrival) = self.next_arrival.take() else { return };
        let request = self.referee.asked(self.now, arrival.class, arrival.tenant, arrival.in_quota);
        self.requests.push(Request { arrival, tries: 0, refused: false });
        self.ask(request);
        self.draw_arrival();
    }

    /// The front deals a try to a node that it takes for alive: of its client's zone where there is one.
    fn deal(&mut self, zone: usize) -> Option<usize> {
        let own = (0..self.nodes.len()).filter(|n| self.nodes[*n].dealt && self.nodes[*n].zone == zone);
        let mut dealt: Vec<usize> = own.collect();
        if dealt.is_empty() {
            dealt = (0..self.nodes.len()).filter(|n| self.nodes[*n].dealt).collect();
        }
        let roll = self.front.number() as usize;
        (!dealt.is_empty()).then(|| dealt[roll % dealt.len()])
    }

    fn ask(&mut self, request: RequestNo) {
        let Request { arrival, .. } = &mut self.requests[request];
        let (zone, deadline) = (arrival.zone, arrival.deadline);
        self.requests[request].tries += 1;
        let node = self.deal(zone);
        let at = node.unwrap_or(0);
        let number = self.referee.tried(self.now, request, at, deadline);
        let life = self.nodes[at].life;
        self.tries.push(Try {
            request,
            node: at,
            life,
            over: false,
            closed: false,
            attempts: Vec::new(),
            out: 0,
        });
        let way = self.client_way();
        match node {
            Some(n) if self.nodes[n].up => self.after(way, Ev::AtNode(number)),
            // The front has not noticed yet, or has nobody left: refused.
            _ => self.after(2 * way, Ev::Unreachable(number, true)),
        }
    }

    fn at_node(&mut self, number: TryNo) {
        let Try { request, node, life, .. } = self.tries[number];
        if self.nodes[node].life != life || !self.nodes[node].up {
            let way = self.client_way();
            self.after(way, Ev::Unreachable(number, true));
            return;
        }
        self.referee.taken(self.now, number);
        let arrival = self.requests[request].arrival;
        // The wire tells whole milliseconds, counted from when the client sent them.
        let remaining = arrival.deadline.saturating_sub(self.now) / 1000 * 1000;
        let (margin, guard) = kept_back(remaining, self.variant.mends.margin);
        self.nodes[node].open.insert(number);
        self.at(self.now + remaining - guard, Ev::Guard(number));
        let deadline = millis(self.now + remaining - margin);
        let (class, tenant) = (arrival.class, arrival.tenant);
        self.feed(
            node,
            Event::Request { id: RequestId(number as u64), class, tenant, deadline, non_replayable: false },
        );
    }

    /// Whatever becomes of the policy's timers, the client is not kept waiting past its deadline.
    fn guard(&mut self, number: TryNo) {
        let Try { node, over, life, .. } = self.tries[number];
        if over || self.nodes[node].life != life || self.variant.misdeed == Some(Misdeed::LosesRequests) {
            return;
        }
        self.give_now(number, Final::Failed, 0);
        self.feed(node, Event::ClientGone(RequestId(number as u64)));
    }

    pub(super) fn give(&mut self, number: TryNo, answer: Final, away: Micros) {
        match self.variant.misdeed {
            Some(Misdeed::LosesRequests) if answer != Final::Served => {}
            Some(Misdeed::HoldsBack) if answer != Final::Served => {
                let deadline = self.requests[self.tries[number].request].arrival.deadline;
                self.at(deadline.saturating_sub(30_000), Ev::Held(number, answer, away));
            }
            _ => self.give_now(number, answer, away),
        }
    }

    /// The one final answer leaves the node.
    fn give_now(&mut self, number: TryNo, answer: Final, away: Micros) {
        if std::mem::replace(&mut self.tries[number].over, true) {
            return;
        }
        self.drop_if_over(number);
        let (way, left) = (self.client_way(), self.now);
        self.after(way, Ev::AtClient(number, answer, away, left));
    }

    pub(super) fn drop_if_over(&mut self, number: TryNo) {
        let t = &self.tries[number];
        if t.over && t.out == 0 {
            self.nodes[t.node].open.remove(&number);
        }
    }

    fn at_client(&mut self, number: TryNo, answer: Final, away: Micros, left: Micros) {
        if std::mem::replace(&mut self.tries[number].closed, true) {
            return;
        }
        self.referee.answered(self.now, left, number, answer);
        let answer = match answer {
            Final::Served => Answer::Served,
            Final::Refused => Answer::Refused(away),
            Final::Failed => Answer::Failed,
        };
        self.again(number, answer, false);
    }

    fn unreachable(&mut self, number: TryNo, unsent: bool) {
        if std::mem::replace(&mut self.tries[number].closed, true) {
            return;
        }
        self.referee.left(self.now, number, false);
        self.again(number, Answer::Unreachable, unsent);
    }

    fn again(&mut self, number: TryNo, answer: Answer, unsent: bool) {
        let request = self.tries[number].request;
        self.requests[request].refused = matches!(answer, Answer::Refused(_)) || unsent;
        let Request { arrival, tries, .. } = &self.requests[request];
        if let Some(at) = self.retries.after(self.now, arrival, *tries, answer, unsent) {
            self.at(at, Ev::Retry(request));
        }
    }

    // ---- Nodes ----

    /// Hands an event to a node's policy and does what it says; events that come of that wait their turn.
    pub(super) fn feed(&mut self, n: usize, event: Event) {
        let node = &mut self.nodes[n];
        if !node.up {
            return;
        }
        node.events.push_back(event);
        if node.feeding {
            return;
        }
        node.feeding = true;
        let mut actions = Vec::new();
        while let Some(event) = self.nodes[n].events.pop_front() {
            let now = millis(self.now);
            self.nodes[n].decider.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(n, action);
            }
        }
        self.nodes[n].feeding = false;
    }

    fn act(&mut self, n: usize, action: Action) {
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
                self.give(id.0 as usize, Final::Refused, micros(stay_away));
            }
            Action::Fail(id) => self.give(id.0 as usize, Final::Failed, 0),
            Action::SetTimer(after) => {
                let (at, life) = (self.now + micros(after).max(1), self.nodes[n].life);
                if self.nodes[n].timer.is_none_or(|due| at < due) {
                    self.nodes[n].timer = Some(at);
                    self.at(at, Ev::Timer(n, life, at));
                }
            }
            Action::Subscribe => self.call(n),
            Action::Probe(server) => self.probe(n, self.box_of[server.0 as usize]),
        }
    }

    fn probe(&mut self, n: usize, b: usize) {
        let (life, way) = (self.nodes[n].life, self.way(n, b));
        let (span, outcome) = if self.active.holds(Effect::Silent(b)) || self.is_cut(n, b) {
            (self.connect, Outcome::ConnectFailed)
        } else if !self.boxes[b].up() {
            (2 * way, Outcome::ConnectFailed)
        } else {
            (4 * way, Outcome::Done)
        };
        self.after(span, Ev::ProbeBack(n, life, b, outcome, self.now));
    }
}
