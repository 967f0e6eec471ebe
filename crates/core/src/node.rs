//! The event loop: passes events to the policy, carries out its actions, and keeps the state in between.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use magpietally_ledger::{FinalOutcome, Ledger, RepeatRule};
use magpietally_policy::{
    Action, Balancer, Event, Millis, Outcome, RequestId, ServerId, Settings, SettingsError,
};
use tokio::sync::{oneshot, Notify};
use tokio::task::{spawn_local, AbortHandle};

use crate::admission::{AdmissionControl, AdmissionDecision, AdmissionRequest};
use crate::clock::{duration, ms, Clock};
use crate::epochs::{Epochs, Recipient};
use crate::intents::{self, Rejection};
use crate::lifecycle::Lifecycle;
use crate::log_limiter::LogLimiter;
use crate::process::Process;
use crate::requests::{log_line, Answer, Attempt, ClientRequest, Intent, RequestTable, StatusCounts};
use crate::servers::{Endpoint, ServerListing, ServerTable};
use crate::status;
use crate::upstream::{AttemptResult, Payload, Target, UpstreamTransport};

mod list;

/// How long the node waits for the list's source before it serves with the saved list.
const SAVED_LIST_AFTER: Duration = Duration::from_millis(2500);
/// Of the requests that are served by their first attempt, one in this many is logged.
const SERVED_LOG_INTERVAL: u32 = 16;

/// The configuration of a core.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The policy's settings.
    pub settings: Settings,
    /// Seed of the policy's random numbers.
    pub seed: u64,
    /// The names of the classes, by index; for the log.
    pub classes: Vec<String>,
    /// The names of the tenants, by index; for the log.
    pub tenants: Vec<String>,
    /// The maximum number of open requests.
    pub open_cap: usize,
    /// The saved server list, perhaps out of date.
    pub saved_list: Option<ServerListing>,
    /// The state shared with the other workers of the process.
    pub process: Process,
    /// The beginning of status lines, which names the worker if there are several.
    pub label: String,
    /// The ledger that records attempts that must not run twice before they are made; `None` if nothing is
    /// recorded.
    pub ledger: Option<Ledger>,
    /// The fleet's admission control; `None` if the node is not part of a fleet.
    pub admission: Option<Arc<dyn AdmissionControl>>,
}

/// An accepted request: its id in the core, and the receiver of its final answer.
pub type AcceptedRequest<Reply> = (RequestId, oneshot::Receiver<Answer<Reply>>);

pub(crate) struct State<C: UpstreamTransport> {
    pub(crate) epochs: Epochs,
    /// Events that wait to be handled.
    events: VecDeque<(Recipient, Event)>,
    /// Whether an event is being handled; events that come up meanwhile are queued.
    handling: bool,
    pub(crate) requests: RequestTable<C::Request, C::Reply>,
    pub(crate) servers: ServerTable,
    /// When the policy's timer expires.
    timer: Option<Instant>,
    /// The call to the list's source in progress.
    list_call: Option<AbortHandle>,
    pub(crate) counts: StatusCounts,
    /// The settings of the newest module, if they come from the fleet's policy.
    fleet_settings: Option<Arc<Settings>>,
}

/// A worker's core: a policy with its requests and servers.
pub struct Core<C: UpstreamTransport> {
    transport: C,
    pub(crate) classes: Vec<String>,
    pub(crate) tenants: Vec<String>,
    /// What each class may do without the ledger.
    pub(crate) rights: RefCell<Vec<RepeatRule>>,
    pub(crate) ledger: Option<Ledger>,
    admission: Option<Arc<dyn AdmissionControl>>,
    /// The initial settings, for policy versions without settings of their own.
    settings: Settings,
    seed: u64,
    open_cap: usize,
    label: String,
    process: Process,
    log_limiter: LogLimiter,
    clock: Clock,
    /// Whether the list's source has ever responded.
    source_responded: Cell<bool>,
    /// Notified when the list's source responds for the first time.
    first_response: Notify,
    pub(crate) state: RefCell<State<C>>,
    /// Notified when the timer is set to an earlier time.
    timer_changed: Notify,
}

impl<C: UpstreamTransport> State<C> {
    /// Which modules receive an event. For an event of a request this must be determined while the table has
    /// the request.
    fn recipient(&self, event: &Event) -> Recipient {
        if !self.epochs.has_several() {
            return Recipient::All;
        }
        match event {
            Event::Request { id, .. }
            | Event::Streaming { id, .. }
            | Event::Ended { id, .. }
            | Event::ClientGone(id) => {
                self.requests.get(*id).map_or(Recipient::Newest, |open| Recipient::Module(open.module))
            }
            _ => Recipient::All,
        }
    }
}

impl<C: UpstreamTransport> Core<C> {
    /// Creates a core with the saved list, before any call to the list's source.
    ///
    /// # Errors
    /// The policy rejects the settings.
    pub fn new(setup: Setup, transport: C) -> Result<Rc<Self>, SettingsError> {
        let settings = setup.settings.clone();
        let rights = setup.settings.classes.iter().map(|class| intents::right(class.effect)).collect();
        let balancer = Balancer::new(setup.settings, setup.seed)?;
        let state = State {
            epochs: Epochs::new(balancer),
            events: VecDeque::new(),
            handling: false,
            requests: RequestTable::new(setup.process.open_ids.clone()),
            servers: ServerTable::default(),
            timer: None,
            list_call: None,
            counts: StatusCounts::default(),
            fleet_settings: None,
        };
        let core = Rc::new(Self {
            transport,
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
            log_limiter: LogLimiter::default(),
            clock: Clock::new(),
            source_responded: Cell::new(false),
            first_response: Notify::new(),
            state: RefCell::new(state),
            timer_changed: Notify::new(),
        });
        let saved =
            setup.saved_list.unwrap_or(ServerListing { version: 0, complete: true, servers: Vec::new() });
        core.apply_list(saved, true);
        Ok(core)
    }

    /// The transport that moves its bytes.
    pub fn transport(&self) -> &C {
        &self.transport
    }

    /// Runs the policy's timer; never returns.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            let due = self.state.borrow().timer;
            match due {
                None => self.timer_changed.notified().await,
                Some(at) => tokio::select! {
                    () = tokio::time::sleep_until(at.into()) => {
                        self.state.borrow_mut().timer = None;
                        self.handle_event(Event::Timer);
                    }
                    () = self.timer_changed.notified() => {}
                },
            }
        }
    }

    /// The state shared with the other workers of the process.
    pub fn process(&self) -> &Process {
        &self.process
    }

    /// The number of listed servers, and the number of those that get no requests now because they drain or
    /// the policy has ejected them.
    pub fn server_counts(&self) -> (usize, usize) {
        let state = self.state.borrow();
        let usable = state.epochs.newest().status().servers.iter().filter(|s| !s.ejected).count();
        let known = state.servers.len();
        (known, known.saturating_sub(usable))
    }

    /// Returns whether there is a list to serve with: as soon as the list's source has responded, or, with a
    /// saved list, a short time after the start.
    pub fn has_list(&self) -> bool {
        let late = self.clock.age() >= SAVED_LIST_AFTER;
        self.source_responded.get() || (late && self.state.borrow().servers.len() > 0)
    }

    /// Waits until there is a list to serve with, then updates the lifecycle of the process.
    pub async fn wait_for_list(&self) {
        let responded = self.first_response.notified();
        if !self.source_responded.get() {
            let left = SAVED_LIST_AFTER.saturating_sub(self.clock.age());
            let by_saved_list = async {
                tokio::time::sleep(left).await;
                if !self.has_list() {
                    std::future::pending().await
                }
            };
            tokio::select! {
                () = responded => {}
                () = by_saved_list => {}
            }
        }
        self.process.update(Lifecycle::list_received);
    }

    /// Logs a status line, if there was any activity: the counts since the last one, and the state of the
    /// policy. `dropped` is the number of log lines that other rate limits have dropped.
    pub fn log_status(&self, dropped: u64) {
        let dropped = dropped + self.log_limiter.start_second();
        let state = &mut *self.state.borrow_mut();
        let StatusCounts { served, refused, failed, gone, attempts } = std::mem::take(&mut state.counts);
        let status = state.epochs.newest().status();
        let ledger_up = self.ledger.as_ref().is_none_or(|ledger| ledger.check_available().is_ok());
        if served + refused + failed + gone == 0 && status.open == 0 && ledger_up {
            return;
        }
        let servers = status::servers(&status.servers, |server| state.servers.name(server));
        let (held, open, fleet, budget) =
            (status.queued, status.open, status.fleet_factor, status.retry_budget);
        let (connections, label) = (self.transport.connection_count(), &self.label);
        let ledger =
            self.ledger.as_ref().map_or(String::new(), |ledger| format!("; {}", ledger.status_line()));
        let resources = self.transport.describe_resources();
        let list =
            if state.epochs.newest().is_list_stale() { "; list out of date, nothing sent" } else { "" };
        tracing::info!(
            target: "status",
            "{label}served {served} refused {refused} failed {failed} gone {gone}; attempts {attempts:?}; held {held} \
             open {open} fleet {fleet:.2} budget {budget:.1}; connections {connections}; {dropped} lines \
             dropped{ledger}{list}{resources}{servers}"
        );
    }

    // ---- Events ----

    /// Passes an event to the policy and carries out the resulting actions. Events that these cause are
    /// queued.
    pub(crate) fn handle_event(self: &Rc<Self>, event: Event) {
        {
            let mut state = self.state.borrow_mut();
            let recipient = state.recipient(&event);
            state.events.push_back((recipient, event));
            if state.handling {
                return;
            }
            state.handling = true;
        }
        let mut actions = Vec::new();
        loop {
            {
                let mut state = self.state.borrow_mut();
                let Some((recipient, event)) = state.events.pop_front() else {
                    state.handling = false;
                    return;
                };
                let now = self.clock.at(Instant::now());
                state.epochs.handle(recipient, now, event, &mut actions);
            }
            for action in actions.drain(..) {
                self.perform(action);
            }
        }
    }

    /// Submits a client's request; the receiver yields its final answer. The answer must be sent by
    /// `deadline`.
    ///
    /// # Errors
    /// Why the request is rejected, which is also what its client is to be answered at once.
    pub fn submit(
        self: &Rc<Self>,
        request: ClientRequest<C::Request>,
        deadline: Instant,
    ) -> Result<AcceptedRequest<C::Reply>, Rejection> {
        self.check_sent_ids(&request)?;
        self.check_ledger(&request, deadline)?;
        let (answer, answered) = oneshot::channel();
        let (class, tenant, non_replayable) =
            (request.class, request.tenant, request.request.is_single_use());
        let inserted = self.state.borrow_mut().requests.insert(request, deadline, answer);
        let id = inserted.ok_or(Rejection::DuplicateId)?;
        if let Some(admission) = self.admission.clone() {
            self.check_admission(admission.as_ref(), id)?;
        }
        self.handle_event(Event::Request {
            id,
            class,
            tenant,
            deadline: self.clock.at(deadline),
            non_replayable,
        });
        Ok((id, answered))
    }

    /// Asks admission control about a request in the table; a rejected request is removed again.
    fn check_admission(
        self: &Rc<Self>,
        admission: &dyn AdmissionControl,
        id: RequestId,
    ) -> Result<(), Rejection> {
        let decision = {
            let state = self.state.borrow();
            let open = state.requests.get(id).ok_or(Rejection::DuplicateId)?;
            let (class, tenant) = (open.class, open.tenant);
            admission.decide(&AdmissionRequest { id: &open.id, class, tenant, key: open.request.key() })
        };
        let rejection = match decision {
            AdmissionDecision::Admit { epoch, at } => {
                self.switch_epoch(admission, epoch);
                let mut state = self.state.borrow_mut();
                let module = state.epochs.newest_number();
                if let Some(open) = state.requests.get_mut(id) {
                    (open.epoch, open.admitted_at, open.module) = (epoch, at, module);
                }
                return Ok(());
            }
            AdmissionDecision::OverQuota { retry_after } => Rejection::OverQuota(retry_after),
            AdmissionDecision::NoLease { retry_after } => Rejection::Refused(retry_after),
        };
        let mut state = self.state.borrow_mut();
        state.requests.withdraw(id);
        state.counts.refused += 1;
        Err(rejection)
    }

    /// Decides new requests under this version from now on. If its settings are the current ones, only the
    /// version changes; otherwise a new module starts with the current list.
    fn switch_epoch(self: &Rc<Self>, admission: &dyn AdmissionControl, epoch: u64) {
        {
            let state = &mut *self.state.borrow_mut();
            if state.epochs.current() == epoch {
                return;
            }
            let settings = admission.settings(epoch);
            let same = match (&settings, &state.fleet_settings) {
                (Some(new), Some(old)) => Arc::ptr_eq(new, old),
                (None, None) => true,
                _ => false,
            };
            if same {
                return state.epochs.set_epoch(epoch);
            }
            let module_settings = settings.as_ref().map_or_else(|| self.settings.clone(), |s| (**s).clone());
            let rights = module_settings.classes.iter().map(|class| intents::right(class.effect)).collect();
            match Balancer::new(module_settings, self.seed) {
                Ok(balancer) => {
                    self.rights.replace(rights);
                    state.fleet_settings = settings;
                    state.epochs.add(epoch, balancer);
                    let requests = &state.requests;
                    state.epochs.drop_unused(|module| requests.has_requests_of(module));
                }
                Err(error) => {
                    // The document was validated before it was accepted, so this is a bug. Continuing with
                    // the current settings is better than exiting.
                    tracing::error!(target: "fleet", "version {epoch}: {error}");
                    return state.epochs.set_epoch(epoch);
                }
            }
        }
        tracing::info!(target: "fleet", "requests are decided under version {epoch}, by settings of its own");
        let entries = self.state.borrow().servers.entries();
        // This list is no response to a call: the new module has taken over the calls as they are.
        let list = Event::List { entries, saved: true };
        self.state.borrow_mut().events.push_back((Recipient::Newest, list));
        self.handle_event(Event::Timer);
    }

    /// The fleet's admission control, if this node is part of a fleet.
    pub fn admission(&self) -> Option<&dyn AdmissionControl> {
        self.admission.as_deref()
    }

    /// Returns whether the fleet is changing its policy, so that a request should wait a moment before it is
    /// submitted.
    pub fn fleet_is_changing_policy(&self) -> bool {
        self.admission.as_ref().is_some_and(|admission| admission.is_changing_policy())
    }

    /// Returns whether admission control lets this node report that it is ready.
    pub fn fleet_is_ready(&self) -> bool {
        self.admission.as_ref().is_none_or(|admission| admission.is_ready())
    }

    /// The number of requests that await their final answer.
    pub fn open_requests(&self) -> usize {
        self.state.borrow().requests.unanswered()
    }

    /// Answers all open requests because the node is about to exit: an answer is better than a connection
    /// reset. A request of which no attempt can have run is refused, because it can safely be retried; others
    /// fail.
    pub fn fail_open_requests(self: &Rc<Self>) {
        let open = self.state.borrow().requests.ids_by_arrival();
        for id in open {
            let answer = {
                let state = self.state.borrow();
                state.requests.get(id).map_or(Answer::Failed, |open| state.unserved(open))
            };
            self.answer(id, answer);
            self.client_gone(id);
        }
    }

    /// Returns whether one more request may be submitted.
    pub fn has_capacity(&self) -> bool {
        self.state.borrow().requests.len() < self.open_cap
    }

    /// When a client should retry a request of this class that is refused without being submitted; from the
    /// policy.
    pub fn retry_after(&self, class: usize) -> Millis {
        self.state.borrow().epochs.newest().retry_after(class)
    }

    /// The request needs no answer any more: its client left, or has been answered without the policy.
    pub fn client_gone(self: &Rc<Self>, id: RequestId) {
        {
            let mut state = self.state.borrow_mut();
            if state.requests.get(id).is_none() {
                return;
            }
            if state.requests.close(id).is_some() {
                self.record_end(&state, id, false);
                state.counts.gone += 1;
                self.record_final_outcome(&state, id, FinalOutcome::Abandoned);
                self.log_limiter.log(|| self.log_request(&state, id, "client gone"));
            }
        }
        self.handle_event(Event::ClientGone(id));
        self.remove_if_finished(id);
    }

    pub(crate) fn attempt_ended(
        self: &Rc<Self>,
        id: RequestId,
        attempt: usize,
        result: AttemptResult<C::Reply>,
    ) {
        let AttemptResult { outcome, reply, idle_before, took } = result;
        let event = {
            let mut state = self.state.borrow_mut();
            let Some((_, server, took)) =
                self.end_attempt(&mut state, id, attempt, outcome, (idle_before, took))
            else {
                return;
            };
            if let Some(reply) = reply {
                self.send_answer(&mut state, id, Answer::Served(reply));
            } else if outcome == Outcome::Rejected {
                self.send_answer(&mut state, id, Answer::Rejected);
            }
            let finished = state.requests.get(id).is_none_or(|open| open.answer.is_none());
            Event::Ended { id, attempt, server, outcome, took, finished }
        };
        self.handle_event(event);
        self.remove_if_finished(id);
    }

    /// Records the outcome of an attempt, for how long its connection had been idle, and its duration if the
    /// transport measured one. Returns its task, its server and its duration in milliseconds; `None` if it
    /// had already ended.
    pub(crate) fn end_attempt(
        &self,
        state: &mut State<C>,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        (idle_before, took): (Option<Duration>, Option<Duration>),
    ) -> Option<(AbortHandle, ServerId, Millis)> {
        let entry = state.requests.get_mut(id)?.attempts.get_mut(attempt)?;
        let task = entry.task.take()?;
        let duration = took.unwrap_or_else(|| entry.sent.elapsed());
        entry.ended = Some((outcome, duration, idle_before));
        if let Some(intent) = entry.intent {
            self.record_outcome(intent, outcome);
        }
        state.counts.count_attempt(outcome);
        Some((task, entry.server, ms(duration)))
    }

    pub(crate) fn remove_if_finished(&self, id: RequestId) {
        let state = &mut *self.state.borrow_mut();
        state.requests.remove_if_finished(id);
        if state.epochs.has_several() {
            let requests = &state.requests;
            state.epochs.drop_unused(|module| requests.has_requests_of(module));
        }
    }

    // ---- Actions ----

    fn perform(self: &Rc<Self>, action: Action) {
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
        let Some(open) = state.requests.get_mut(id) else { return };
        let now = Instant::now();
        let end = now + duration(timeout.unwrap_or(f64::INFINITY));
        let attempt = open.attempts.len();
        let to = Target {
            id,
            attempt,
            server,
            deadline: end,
            client_deadline: open.deadline,
            send_by: open.deduplicated_until(self.right(open.class)),
        };
        let (core, request) = (self.clone(), open.request.clone());
        let may_send =
            self.admission.as_ref().is_none_or(|admission| admission.may_send(open.epoch, open.admitted_at));
        let (task, intent) = if !may_send {
            (spawn_local(async move { core.attempt_not_sent(id, attempt) }), None)
        } else if self.ledger.is_none() || !self.right(open.class).needs_intent() {
            let task = spawn_local(async move {
                let result = C::attempt(core.clone(), to, request).await;
                core.attempt_ended(id, attempt, result);
            });
            (task, None)
        } else {
            let pending = self.record_intent(&state, id, server);
            let intent = pending.as_ref().ok().map(|p| Intent { number: p.number, confirmed: false });
            let task = spawn_local(async move {
                if !core.wait_confirmed(id, attempt, pending, end).await {
                    return core.attempt_not_sent(id, attempt);
                }
                let result = C::attempt(core.clone(), to, request).await;
                core.attempt_ended(id, attempt, result);
            });
            (task, intent)
        };
        let task = Some(task.abort_handle());
        let Some(open) = state.requests.get_mut(id) else { return };
        open.attempts.push(Attempt { server, sent: now, task, intent, written: false, ended: None });
    }

    /// Cancels an attempt. Aborting its task closes its connection.
    fn cancel(self: &Rc<Self>, id: RequestId, attempt: usize) {
        let event = {
            let mut state = self.state.borrow_mut();
            let ended = self.end_attempt(&mut state, id, attempt, Outcome::Cancelled, (None, None));
            let Some((task, server, took)) = ended else { return };
            task.abort();
            let finished = state.requests.get(id).is_none_or(|open| open.answer.is_none());
            Event::Ended { id, attempt, server, outcome: Outcome::Cancelled, took, finished }
        };
        self.handle_event(event);
        self.remove_if_finished(id);
    }

    fn probe(self: &Rc<Self>, server: ServerId) {
        let core = self.clone();
        spawn_local(async move {
            let sent = Instant::now();
            let outcome = C::probe(core.clone(), server).await;
            core.handle_event(Event::Probed { server, outcome, took: ms(sent.elapsed()) });
        });
    }

    fn answer(&self, id: RequestId, answer: Answer<C::Reply>) {
        self.send_answer(&mut self.state.borrow_mut(), id, answer);
        self.remove_if_finished(id);
    }

    pub(crate) fn send_answer(&self, state: &mut State<C>, id: RequestId, answer: Answer<C::Reply>) {
        let Some(sender) = state.requests.close(id) else { return };
        if let (Some(admission), Some(open)) = (&self.admission, state.requests.get(id)) {
            admission.record_answer(open.epoch, &open.id);
        }
        // A client that has just left gets no answer.
        self.record_end(state, id, !sender.is_closed());
        state.counts.count_answer(&answer);
        self.record_final_outcome(state, id, answer.final_outcome());
        let attempts = state.requests.get(id).map_or(0, |open| open.attempts.len());
        // Some of the requests that were served by their first attempt are logged, for comparison with the
        // others.
        let first_try = matches!(answer, Answer::Served(_)) && attempts == 1;
        if !first_try || state.counts.served % SERVED_LOG_INTERVAL == 1 {
            self.log_limiter.log(|| self.log_request(state, id, answer.name()));
        }
        // The receiver may be gone: a client that has just left needs no answer.
        let _ = sender.send(answer);
    }

    fn log_request(&self, state: &State<C>, id: RequestId, end: &str) {
        if let Some(open) = state.requests.get(id) {
            let line = log_line(open, &state.servers, (&self.classes, &self.tenants), end);
            tracing::info!(target: "request", "{line}");
        }
    }

    fn set_timer(&self, after: Millis) {
        let at = Instant::now() + duration(after);
        let mut state = self.state.borrow_mut();
        if state.timer.is_none_or(|due| at < due) {
            state.timer = Some(at);
            self.timer_changed.notify_one();
        }
    }

    /// The endpoint of a server, if new requests may be sent to it.
    pub fn endpoint(&self, server: ServerId) -> Option<Endpoint> {
        self.state.borrow().servers.endpoint(server)
    }

    /// The endpoint for an attempt that has not been written yet. Also `None` if its client has left or been
    /// answered, because not every deployment allows attempts to be cancelled, and if it is too late to write
    /// it.
    pub fn endpoint_for_attempt(&self, to: &Target) -> Option<Endpoint> {
        let state = self.state.borrow();
        let awaited = state.requests.get(to.id).is_some_and(|open| open.answer.is_some());
        let late = to.send_by.is_some_and(|send_by| Instant::now() >= send_by);
        state.servers.endpoint(to.server).filter(|_| awaited && !late)
    }

    /// Like [`Self::endpoint_for_attempt`], for an attempt that is written now if there is an endpoint.
    pub fn endpoint_to_write(&self, to: &Target) -> Option<Endpoint> {
        let endpoint = self.endpoint_for_attempt(to)?;
        let mut state = self.state.borrow_mut();
        let open = state.requests.get_mut(to.id)?;
        open.attempts.get_mut(to.attempt)?.written = true;
        self.record_sent(open);
        Some(endpoint)
    }
}
