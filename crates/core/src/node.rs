//! The event pump: events into the policy, its actions out, and the state between them.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use magpietally_ledger::{Ledger, Right, Told};
use magpietally_policy::{
    Action, Balancer, Event, Millis, Outcome, RequestId, ServerId, Settings, SettingsError,
};
use tokio::sync::{oneshot, Notify};
use tokio::task::{spawn_local, AbortHandle};

use crate::admission::{AdmissionControl, AdmissionDecision, AdmissionRequest};
use crate::clock::{duration, ms, Clock};
use crate::epochs::{Epochs, For};
use crate::intents::{self, Rejection};
use crate::lifecycle::Lifecycle;
use crate::log_limiter::LogLimiter;
use crate::process::Process;
use crate::requests::{story, Answer, Attempt, ClientRequest, Counts, Intent, Table};
use crate::servers::{Endpoint, ServerListing, ServerTable};
use crate::status;
use crate::upstream::{AttemptResult, ListStreamEnd, Payload, Target, UpstreamTransport};

/// How long the node waits for the list's source before it serves by the saved list.
const READY_WITHIN: Duration = Duration::from_millis(2500);
/// One in so many requests that are served at once has a line in the log.
const SERVED_TOLD: u32 = 16;

/// What a core is told at its start.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The policy's settings.
    pub settings: Settings,
    /// Seed of its random numbers.
    pub seed: u64,
    /// The names of the classes, by index; for the log.
    pub classes: Vec<String>,
    /// The names of the tenants, by index; for the log.
    pub tenants: Vec<String>,
    /// The most requests that may be open.
    pub open_cap: usize,
    /// The list as last had, perhaps out of date.
    pub saved_list: Option<ServerListing>,
    /// What it shares with the process's other workers.
    pub process: Process,
    /// What status lines begin with: which worker this is, where there are several.
    pub label: String,
    /// Where attempts that may not run twice are noted before they are made; `None` where they are not.
    pub ledger: Option<Ledger>,
    /// What the fleet says of requests; `None` where the node stands alone.
    pub admission: Option<Arc<dyn AdmissionControl>>,
}

/// A request that was taken: its number, and where its final answer comes from.
pub type AcceptedRequest<Reply> = (RequestId, oneshot::Receiver<Answer<Reply>>);

pub(crate) struct State<C: UpstreamTransport> {
    pub(crate) epochs: Epochs,
    events: VecDeque<(For, Event)>,
    feeding: bool,
    pub(crate) table: Table<C::Request, C::Reply>,
    pub(crate) servers: ServerTable,
    /// When the policy wants to be woken.
    timer: Option<Instant>,
    /// The call to the list's source that is out.
    call: Option<AbortHandle>,
    pub(crate) counts: Counts,
    /// The settings of the newest module, where the fleet's policy gave them.
    told: Option<Arc<Settings>>,
}

/// One node: a policy, its requests and its servers.
pub struct Core<C: UpstreamTransport> {
    transport: C,
    pub(crate) classes: Vec<String>,
    pub(crate) tenants: Vec<String>,
    /// What each class may do without the ledger.
    pub(crate) rights: RefCell<Vec<Right>>,
    pub(crate) ledger: Option<Ledger>,
    admission: Option<Arc<dyn AdmissionControl>>,
    /// Those of the start, for versions that have none of their own.
    settings: Settings,
    seed: u64,
    open_cap: usize,
    label: String,
    process: Process,
    sample: LogLimiter,
    clock: Clock,
    informed: Cell<bool>,
    /// Told when the list's source is first heard.
    heard: Notify,
    pub(crate) state: RefCell<State<C>>,
    rearmed: Notify,
}

impl<C: UpstreamTransport> State<C> {
    /// Which module an event is for. A request's own is asked while the table still has it.
    fn addressed(&self, event: &Event) -> For {
        if !self.epochs.several() {
            return For::All;
        }
        match event {
            Event::Request { id, .. }
            | Event::Streaming { id, .. }
            | Event::Ended { id, .. }
            | Event::ClientGone(id) => {
                self.table.get(*id).map_or(For::Newest, |open| For::Module(open.module))
            }
            _ => For::All,
        }
    }
}

impl<C: UpstreamTransport> Core<C> {
    /// A node that knows the saved list and has not asked the list's source yet.
    ///
    /// # Errors
    /// Where the policy refuses the settings.
    pub fn new(setup: Setup, carrier: C) -> Result<Rc<Self>, SettingsError> {
        let settings = setup.settings.clone();
        let rights = setup.settings.classes.iter().map(|class| intents::right(class.effect)).collect();
        let balancer = Balancer::new(setup.settings, setup.seed)?;
        let state = State {
            epochs: Epochs::new(balancer),
            events: VecDeque::new(),
            feeding: false,
            table: Table::new(setup.process.open_ids.clone()),
            servers: ServerTable::default(),
            timer: None,
            call: None,
            counts: Counts::default(),
            told: None,
        };
        let core = Rc::new(Self {
            transport: carrier,
            classes: setup.classes,
            tenants: setup.tenants,
            rights: RefCell::new(rights),
            ledger: setup.ledger,
            admission: setup.admission,
            settings,
            seed: setup.seed,
            open_cap: setup.open_cap,
            label: setup.label,
            process: setup.process,
            sample: LogLimiter::default(),
            clock: Clock::new(),
            informed: Cell::new(false),
            heard: Notify::new(),
            state: RefCell::new(state),
            rearmed: Notify::new(),
        });
        let saved =
            setup.saved_list.unwrap_or(ServerListing { version: 0, complete: true, servers: Vec::new() });
        core.take_list(saved, true);
        Ok(core)
    }

    /// What moves its bytes.
    pub fn transport(&self) -> &C {
        &self.transport
    }

    /// Runs the policy's timer; never ends.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            let due = self.state.borrow().timer;
            match due {
                None => self.rearmed.notified().await,
                Some(at) => tokio::select! {
                    () = tokio::time::sleep_until(at.into()) => {
                        self.state.borrow_mut().timer = None;
                        self.feed(Event::Timer);
                    }
                    () = self.rearmed.notified() => {}
                },
            }
        }
    }

    /// What it shares with the process's other workers.
    pub fn process(&self) -> &Process {
        &self.process
    }

    /// How many servers the list names, and how many of them are avoided now: those that drain, and those that the policy
    /// has ejected.
    pub fn server_counts(&self) -> (usize, usize) {
        let state = self.state.borrow();
        let sent_to = state.epochs.newest().status().servers.iter().filter(|s| !s.ejected).count();
        let known = state.servers.len();
        (known, known.saturating_sub(sent_to))
    }

    /// Can it serve? Once the list's source has answered, or soon with a saved list.
    pub fn has_list(&self) -> bool {
        let late = self.clock.age() >= READY_WITHIN;
        self.informed.get() || (late && self.state.borrow().servers.len() > 0)
    }

    /// Waits until it can serve, and says so to the process.
    pub async fn wait_for_list(&self) {
        let heard = self.heard.notified();
        if !self.informed.get() {
            let left = READY_WITHIN.saturating_sub(self.clock.age());
            let by_saved_list = async {
                tokio::time::sleep(left).await;
                if !self.has_list() {
                    std::future::pending().await
                }
            };
            tokio::select! {
                () = heard => {}
                () = by_saved_list => {}
            }
        }
        self.process.update(Lifecycle::list_received);
    }

    /// Logs what was counted since the last time, and what the policy holds: one line, where anything happened.
    /// `dropped` counts lines that others had no room for.
    pub fn log_status(&self, dropped: u64) {
        let dropped = dropped + self.sample.start_second();
        let state = &mut *self.state.borrow_mut();
        let Counts { served, refused, failed, gone, attempts } = std::mem::take(&mut state.counts);
        let status = state.epochs.newest().status();
        let quiet = self.ledger.as_ref().is_none_or(|ledger| ledger.standing().is_ok());
        if served + refused + failed + gone == 0 && status.open == 0 && quiet {
            return;
        }
        let servers = status::servers(&status.servers, |server| state.servers.name(server));
        let (held, open, fleet, budget) =
            (status.queued, status.open, status.fleet_factor, status.retry_budget);
        let (connections, label) = (self.transport.connection_count(), &self.label);
        let ledger = self.ledger.as_ref().map_or(String::new(), |ledger| format!("; {}", ledger.line()));
        let list =
            if state.epochs.newest().is_list_stale() { "; list out of date, nothing sent" } else { "" };
        tracing::info!(
            target: "status",
            "{label}served {served} refused {refused} failed {failed} gone {gone}; attempts {attempts:?}; held {held} \
             open {open} fleet {fleet:.2} budget {budget:.1}; connections {connections}; {dropped} lines \
             dropped{ledger}{list}{servers}"
        );
    }

    // ---- Events ----

    /// Hands an event to the policy and does what it says. Events that come of that wait their turn.
    pub(crate) fn feed(self: &Rc<Self>, event: Event) {
        {
            let mut state = self.state.borrow_mut();
            let to = state.addressed(&event);
            state.events.push_back((to, event));
            if state.feeding {
                return;
            }
            state.feeding = true;
        }
        let mut actions = Vec::new();
        loop {
            {
                let mut state = self.state.borrow_mut();
                let Some((to, event)) = state.events.pop_front() else {
                    state.feeding = false;
                    return;
                };
                let now = self.clock.at(Instant::now());
                state.epochs.handle(to, now, event, &mut actions);
            }
            for action in actions.drain(..) {
                self.act(action);
            }
        }
    }

    /// Takes in a client's request; the final answer comes from the receiver. `deadline` is when the answer
    /// must be on its way.
    ///
    /// # Errors
    /// Why it is not taken, and what its client is to be told at once.
    pub fn submit(
        self: &Rc<Self>,
        asked: ClientRequest<C::Request>,
        deadline: Instant,
    ) -> Result<AcceptedRequest<C::Reply>, Rejection> {
        self.admit(&asked, deadline)?;
        let (answer, answered) = oneshot::channel();
        let (class, tenant, non_replayable) = (asked.class, asked.tenant, asked.request.is_single_use());
        let entered = self.state.borrow_mut().table.enter(asked, deadline, answer);
        let id = entered.ok_or(Rejection::DuplicateId)?;
        if let Some(gate) = self.admission.clone() {
            self.pass_gate(gate.as_ref(), id)?;
        }
        self.feed(Event::Request { id, class, tenant, deadline: self.clock.at(deadline), non_replayable });
        Ok((id, answered))
    }

    /// Asks the fleet about a request that was entered; one that it does not let pass is forgotten again.
    fn pass_gate(self: &Rc<Self>, gate: &dyn AdmissionControl, id: RequestId) -> Result<(), Rejection> {
        let ruling = {
            let state = self.state.borrow();
            let open = state.table.get(id).ok_or(Rejection::DuplicateId)?;
            let (class, tenant) = (open.class, open.tenant);
            gate.decide(&AdmissionRequest { id: &open.id, class, tenant, key: open.request.key() })
        };
        let turned = match ruling {
            AdmissionDecision::Admit { epoch, at } => {
                self.enter_epoch(gate, epoch);
                let mut state = self.state.borrow_mut();
                let module = state.epochs.module();
                if let Some(open) = state.table.get_mut(id) {
                    (open.epoch, open.taken, open.module) = (epoch, at, module);
                }
                return Ok(());
            }
            AdmissionDecision::OverQuota { retry_after } => Rejection::OverQuota(retry_after),
            AdmissionDecision::NoLease { retry_after } => Rejection::Refused(retry_after),
        };
        let mut state = self.state.borrow_mut();
        state.table.withdraw(id);
        state.counts.refused += 1;
        Err(turned)
    }

    /// From now on new requests are decided under this version. Where its settings are those that hold, only its number is
    /// new; else a module of its own begins with the list as it stands.
    fn enter_epoch(self: &Rc<Self>, gate: &dyn AdmissionControl, epoch: u64) {
        {
            let state = &mut *self.state.borrow_mut();
            if state.epochs.current() == epoch {
                return;
            }
            let told = gate.settings(epoch);
            let same = match (&told, &state.told) {
                (Some(new), Some(old)) => Arc::ptr_eq(new, old),
                (None, None) => true,
                _ => false,
            };
            if same {
                return state.epochs.rename(epoch);
            }
            let settings = told.as_ref().map_or_else(|| self.settings.clone(), |s| (**s).clone());
            let rights = settings.classes.iter().map(|class| intents::right(class.effect)).collect();
            match Balancer::new(settings, self.seed) {
                Ok(balancer) => {
                    self.rights.replace(rights);
                    state.told = told;
                    state.epochs.begin(epoch, balancer, state.call.is_some());
                    let table = &state.table;
                    state.epochs.end(|module| table.has_module(module));
                }
                Err(error) => {
                    // The document was checked before it was accepted: this is a fault of the program, and to go on by
                    // the settings that hold is better than to end.
                    tracing::error!(target: "fleet", "version {epoch}: {error}");
                    return state.epochs.rename(epoch);
                }
            }
        }
        tracing::info!(target: "fleet", "requests are decided under version {epoch}, by settings of its own");
        let entries = self.state.borrow().servers.entries();
        let saved = !self.informed.get();
        self.state.borrow_mut().events.push_back((For::Newest, Event::List { entries, saved }));
        self.feed(Event::Timer);
    }

    /// What the fleet says, where this node is part of one.
    pub fn admission(&self) -> Option<&dyn AdmissionControl> {
        self.admission.as_deref()
    }

    /// Does the fleet change its policy, so that a request waits a moment before it is handed in?
    pub fn fleet_is_changing_policy(&self) -> bool {
        self.admission.as_ref().is_some_and(|gate| gate.is_changing_policy())
    }

    /// May this node say that it is ready, as far as the fleet goes?
    pub fn fleet_is_ready(&self) -> bool {
        self.admission.as_ref().is_none_or(|gate| gate.is_ready())
    }

    /// How many requests await their final answer.
    pub fn open_requests(&self) -> usize {
        self.state.borrow().table.unanswered()
    }

    /// Answers all that is still open: the node ends, and an answer is better than a reset. What never went out is refused, as
    /// to ask for it again is harmless.
    pub fn fail_open_requests(self: &Rc<Self>) {
        let open = self.state.borrow().table.numbers();
        for id in open {
            let answer = {
                let state = self.state.borrow();
                state.table.get(id).map_or(Answer::Failed, |open| state.unserved(open))
            };
            self.answer(id, answer);
            self.client_gone(id);
        }
    }

    /// May one more request be taken in?
    pub fn has_capacity(&self) -> bool {
        self.state.borrow().table.len() < self.open_cap
    }

    /// The policy's word on when to come back, for a request of this class that it is not shown.
    pub fn retry_after(&self, class: usize) -> Millis {
        self.state.borrow().epochs.newest().retry_after(class)
    }

    /// Nothing is owed any more: the client left, or has been answered in the policy's place.
    pub fn client_gone(self: &Rc<Self>, id: RequestId) {
        {
            let mut state = self.state.borrow_mut();
            if state.table.get(id).is_none() {
                return;
            }
            if state.table.close(id).is_some() {
                state.counts.gone += 1;
                self.note_told(&state, id, Told::Abandoned);
                self.sample.log(|| self.tell(&state, id, "client gone"));
            }
        }
        self.feed(Event::ClientGone(id));
        self.drop_if_over(id);
    }

    pub(crate) fn attempt_ended(
        self: &Rc<Self>,
        id: RequestId,
        attempt: usize,
        ended: AttemptResult<C::Reply>,
    ) {
        let AttemptResult { outcome, reply, idle_before: kept, took } = ended;
        let event = {
            let mut state = self.state.borrow_mut();
            let Some((_, server, took)) = self.end(&mut state, id, attempt, outcome, (kept, took)) else {
                return;
            };
            if let Some(reply) = reply {
                self.give(&mut state, id, Answer::Served(reply));
            } else if outcome == Outcome::Rejected {
                self.give(&mut state, id, Answer::Rejected);
            }
            let finished = state.table.get(id).is_none_or(|open| open.answer.is_none());
            Event::Ended { id, attempt, server, outcome, took, finished }
        };
        self.feed(event);
        self.drop_if_over(id);
    }

    /// Notes an attempt's one outcome, how long its connection had been kept, and how long it took where its carrier knows
    /// better: its task, its server and how long it took; `None` where it has had one.
    pub(crate) fn end(
        &self,
        state: &mut State<C>,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        (kept, took): (Option<Duration>, Option<Duration>),
    ) -> Option<(AbortHandle, ServerId, Millis)> {
        let ended = state.table.get_mut(id)?.attempts.get_mut(attempt)?;
        let task = ended.task.take()?;
        let span = took.unwrap_or_else(|| ended.sent.elapsed());
        ended.ended = Some((outcome, span, kept));
        if let Some(intent) = ended.intent {
            self.note_outcome(intent, outcome);
        }
        state.counts.ended(outcome);
        Some((task, ended.server, ms(span)))
    }

    pub(crate) fn drop_if_over(&self, id: RequestId) {
        let state = &mut *self.state.borrow_mut();
        state.table.drop_if_over(id);
        if state.epochs.several() {
            let table = &state.table;
            state.epochs.end(|module| table.has_module(module));
        }
    }

    // ---- Actions ----

    fn act(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(id, server, timeout),
            Action::Cancel { id, attempt } => self.cancel(id, attempt),
            Action::Refuse { id, stay_away } => self.answer(id, Answer::Refused(stay_away)),
            Action::Fail(id) => self.answer(id, Answer::Failed),
            Action::SetTimer(after) => self.set_timer(after),
            Action::Subscribe => self.subscribe(),
            Action::Probe(server) => self.probe(server),
        }
    }

    fn send(self: &Rc<Self>, id: RequestId, server: ServerId, timeout: Option<Millis>) {
        let mut state = self.state.borrow_mut();
        let Some(open) = state.table.get_mut(id) else { return };
        let now = Instant::now();
        let end = now + duration(timeout.unwrap_or(f64::INFINITY));
        let attempt = open.attempts.len();
        let to = Target { id, server, deadline: end, send_by: open.known_until(self.right(open.class)) };
        let (core, request) = (self.clone(), open.request.clone());
        let may_go_on = self.admission.as_ref().is_none_or(|gate| gate.may_send(open.epoch, open.taken));
        let (task, intent) = if !may_go_on {
            (spawn_local(async move { core.not_noted(id, attempt) }), None)
        } else if self.ledger.is_none() || !self.right(open.class).needs_intent() {
            let task = spawn_local(async move {
                let ended = C::attempt(core.clone(), to, request).await;
                core.attempt_ended(id, attempt, ended);
            });
            (task, None)
        } else {
            let pending = self.note_intent(&state, id, server);
            let intent = pending.as_ref().ok().map(|p| Intent { number: p.number, promised: false });
            let task = spawn_local(async move {
                if !core.promised(id, attempt, pending, end).await {
                    return core.not_noted(id, attempt);
                }
                let ended = C::attempt(core.clone(), to, request).await;
                core.attempt_ended(id, attempt, ended);
            });
            (task, intent)
        };
        let task = Some(task.abort_handle());
        let Some(open) = state.table.get_mut(id) else { return };
        open.attempts.push(Attempt { server, sent: now, task, intent, ended: None });
    }

    /// Ending the task closes its connection.
    fn cancel(self: &Rc<Self>, id: RequestId, attempt: usize) {
        let event = {
            let mut state = self.state.borrow_mut();
            let ended = self.end(&mut state, id, attempt, Outcome::Cancelled, (None, None));
            let Some((task, server, took)) = ended else { return };
            task.abort();
            let finished = state.table.get(id).is_none_or(|open| open.answer.is_none());
            Event::Ended { id, attempt, server, outcome: Outcome::Cancelled, took, finished }
        };
        self.feed(event);
        self.drop_if_over(id);
    }

    fn probe(self: &Rc<Self>, server: ServerId) {
        let core = self.clone();
        spawn_local(async move {
            let sent = Instant::now();
            let outcome = C::probe(core.clone(), server).await;
            core.feed(Event::Probed { server, outcome, took: ms(sent.elapsed()) });
        });
    }

    fn answer(&self, id: RequestId, answer: Answer<C::Reply>) {
        self.give(&mut self.state.borrow_mut(), id, answer);
        self.drop_if_over(id);
    }

    pub(crate) fn give(&self, state: &mut State<C>, id: RequestId, answer: Answer<C::Reply>) {
        let Some(to) = state.table.close(id) else { return };
        if let (Some(gate), Some(open)) = (&self.admission, state.table.get(id)) {
            gate.record_answer(open.epoch, &open.id);
        }
        state.counts.answered(&answer);
        self.note_told(state, id, answer.told());
        let attempts = state.table.get(id).map_or(0, |open| open.attempts.len());
        // Of what was served at the first attempt some are told, to compare the others with.
        let plain = matches!(answer, Answer::Served(_)) && attempts == 1;
        if !plain || state.counts.served % SERVED_TOLD == 1 {
            self.sample.log(|| self.tell(state, id, answer.word()));
        }
        // A client that has just left needs no answer.
        let _ = to.send(answer);
    }

    fn tell(&self, state: &State<C>, id: RequestId, end: &str) {
        if let Some(open) = state.table.get(id) {
            let line = story(open, &state.servers, (&self.classes, &self.tenants), end);
            tracing::info!(target: "request", "{line}");
        }
    }

    fn set_timer(&self, after: Millis) {
        let at = Instant::now() + duration(after);
        let mut state = self.state.borrow_mut();
        if state.timer.is_none_or(|due| at < due) {
            state.timer = Some(at);
            self.rearmed.notify_one();
        }
    }

    // ---- The list ----

    fn subscribe(self: &Rc<Self>) {
        let core = self.clone();
        let call = spawn_local(async move {
            let ListStreamEnd { failure, message: words } = C::follow_list(core.clone()).await;
            tracing::info!(target: "list", "{words}");
            core.feed(Event::ListFailed(failure));
        });
        // One call at a time: what the policy no longer waits for is only load on the service.
        if let Some(old) = self.state.borrow_mut().call.replace(call.abort_handle()) {
            old.abort();
        }
    }

    /// The list's source is elsewhere from now on, and is asked there at once. The list is kept with its version: all nodes
    /// share one service, and at another address it goes on from there. Ending the old call first keeps its late lines out.
    pub fn list_source_moved(self: &Rc<Self>) {
        if let Some(old) = self.state.borrow_mut().call.take() {
            old.abort();
        }
        self.feed(Event::DiscoveryMoved);
    }

    /// How long the answer to a call for the list may take to begin.
    pub fn list_timeout(&self) -> Duration {
        duration(self.state.borrow().epochs.newest().list_response_timeout())
    }

    /// The version to follow from; `None` where the whole list is needed first.
    pub fn list_version(&self) -> Option<u64> {
        self.state.borrow().servers.version
    }

    /// What was read last can't be trusted to follow on what the node has.
    pub fn reset_list_version(&self) {
        self.state.borrow_mut().servers.version = None;
    }

    /// Notes that the list's source was heard.
    fn source_heard(&self) {
        if !self.informed.replace(true) {
            self.heard.notify_one();
        }
    }

    /// The source has answered a call, with no news: to be told once a call, as the policy waits for that.
    pub fn list_unchanged(self: &Rc<Self>) {
        self.source_heard();
        self.feed(Event::ListChange(Vec::new()));
    }

    /// The source has brought a list, or changes.
    pub fn list_received(self: &Rc<Self>, listing: ServerListing) {
        self.source_heard();
        self.take_list(listing, false);
    }

    fn take_list(self: &Rc<Self>, listing: ServerListing, saved: bool) {
        let whole = listing.complete;
        let (entries, void) = self.state.borrow_mut().servers.apply(listing, |unix| self.clock.at_unix(unix));
        for server in void {
            self.transport.drop_connections(server);
        }
        self.feed(if whole { Event::List { entries, saved } } else { Event::ListChange(entries) });
    }

    /// Where a server listens and which of its lives this is, if something new may be sent to it.
    pub fn endpoint(&self, server: ServerId) -> Option<Endpoint> {
        self.state.borrow().servers.endpoint(server)
    }

    /// The same for an attempt that has not been written yet; `None` also where its client has gone or been answered, as not
    /// every deployment lets attempts be called off, and where it comes too late.
    pub fn endpoint_for_attempt(&self, to: &Target) -> Option<Endpoint> {
        let state = self.state.borrow();
        let owed = state.table.get(to.id).is_some_and(|open| open.answer.is_some());
        let late = to.send_by.is_some_and(|by| Instant::now() >= by);
        state.servers.endpoint(to.server).filter(|_| owed && !late)
    }
}
