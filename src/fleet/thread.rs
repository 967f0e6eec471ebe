//! The fleet thread: passes messages between the transports and the log, writes to the store, applies decided
//! entries to the protocols and proposes what the protocols request. It makes no decisions itself.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use magpietally_config::file::read_regular;
use magpietally_consensus::{check as log_check, Node, StateMachine, Topic, Write};
use magpietally_policy_change::{AbortReason, ProposalOutcome, ProposalStatus, Version, DOCUMENT_MAX_BYTES};
use magpietally_store::disk::Folder;
use magpietally_store::{Log, Store, StoreError};
use magpietally_transport::tcp::Tcp;
use magpietally_transport::udp::Udp;
use magpietally_transport::{Event, Kind, Now, Protocol, Transport};

use super::admission::{FleetState, RecordLine};
use super::clock;
use crate::shutdown::request_shutdown;

/// Pause of the thread when it has nothing to do. A message waits at most that long, an entry needs several
/// such pauses, and polling 500 times a second costs 0.5% of a core.
const IDLE_PAUSE: Duration = Duration::from_millis(2);
/// How often the document's file is checked.
const FILE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before a document is proposed again that some node did not acknowledge: a few heartbeats of the
/// others.
const REPROPOSE_DELAY: Duration = Duration::from_secs(1);
/// How long shutdown waits until the log has recorded the return of the leases; the platform sends SIGKILL
/// soon after.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(400);
/// The most events taken from a transport before the protocols run.
const EVENTS_PER_TURN_MAX: usize = 256;

/// The state of the thread.
pub struct FleetWorker {
    shared: Arc<FleetState>,
    log: Node,
    store: Log<Folder>,
    udp: Udp,
    tcp: Tcp,
    document: Option<Document>,
    stop: Arc<AtomicBool>,
    /// The active version and the readiness that were logged last.
    logged: (Version, bool),
    /// The error after which the thread can't continue.
    fatal_error: Option<String>,
}

/// The watched policy document.
struct Document {
    path: PathBuf,
    /// When the file is checked next, on the boot clock.
    next_check: Duration,
    /// The text that was last proposed or rejected.
    last: Option<Vec<u8>>,
    /// The proposal in progress.
    ticket: Option<u64>,
}

impl FleetWorker {
    pub fn new(
        shared: Arc<FleetState>,
        log: Node,
        store: Log<Folder>,
        udp: Udp,
        tcp: Tcp,
        file: Option<PathBuf>,
        stop: Arc<AtomicBool>,
    ) -> Self {
        let document =
            file.map(|path| Document { path, next_check: Duration::ZERO, last: None, ticket: None });
        Self {
            shared,
            log,
            store,
            udp,
            tcp,
            document,
            stop,
            logged: (Version::default(), false),
            fatal_error: None,
        }
    }

    /// Runs until `stop` is set and the leases are returned.
    ///
    /// # Errors
    /// The error for which the thread stopped and requested the shutdown of the node.
    pub fn run(mut self) -> Result<(), String> {
        let mut leaving_since = None;
        loop {
            if let Some(error) = self.fatal_error.take() {
                // The state of the disk is unknown, and only a restart can read it again. The node still
                // answers the requests it has accepted, but sends nothing more to the fleet.
                request_shutdown("fleet", &error);
                return Err(format!("fleet: {error}"));
            }
            let received = self.receive();
            let now = clock::now();
            if self.log.next_due().is_some_and(|due| due <= now.boot) {
                self.log.tick(now);
            }
            self.write(now);
            self.send();
            let applied = self.apply_decided(now);
            self.run_protocols(now);
            self.write(now);
            self.send();
            self.check_document(now);
            self.log_status(now);
            if self.stop.load(Ordering::SeqCst) {
                let since = *leaving_since.get_or_insert_with(|| {
                    self.shared.protocols().policy.leave(now);
                    now.boot
                });
                if self.shared.protocols().policy.has_left() || now.boot.saturating_sub(since) > LEAVE_TIMEOUT
                {
                    return Ok(());
                }
            }
            if !received && !applied {
                std::thread::sleep(IDLE_PAUSE);
            }
        }
    }

    /// Handles received events. Returns whether there were any.
    fn receive(&mut self) -> bool {
        let mut any = false;
        let transports: [&mut dyn Transport; 2] = [&mut self.udp, &mut self.tcp];
        for transport in transports {
            for _ in 0..EVENTS_PER_TURN_MAX {
                let now = clock::now();
                let Some(event) = transport.poll(now.boot) else { break };
                any = true;
                match event {
                    Event::Message { from, bytes } => self.log.on_message(now, &from, &bytes),
                    Event::NewSession(peer) => tracing::info!(target: "fleet", "new session {peer}"),
                    // The log repeats messages by its own timers.
                    Event::Lost { .. } => {}
                    Event::Dropped(reason) => tracing::debug!(target: "fleet", "dropped: {reason}"),
                }
            }
        }
        any
    }

    /// Persists the log's pending writes, before messages that depend on them are sent.
    fn write(&mut self, now: Now) {
        while let Some(ready) = self.log.take_ready(now) {
            let written = match &ready.write {
                Write::Record(bytes) => self.store.append(bytes).and_then(|_| self.store.sync()),
                Write::Snapshot(bytes) => {
                    let covers = self.store.last();
                    self.store.snapshot(covers, bytes)
                }
            };
            match written {
                Ok(()) => self.log.write_completed(now, ready.number),
                Err(error) => {
                    tracing::error!(target: "fleet", "the store refuses: {error}");
                    if matches!(error, StoreError::ReopenRequired(_)) {
                        self.fatal_error = Some(error.to_string());
                        return;
                    }
                    self.log.write_failed(now, ready.number, error.to_string());
                    return;
                }
            }
        }
    }

    fn send(&mut self) {
        while let Some(out) = self.log.take_outgoing() {
            let sent = match out.kind {
                Kind::Datagram => self.udp.send(&out.to, &out.bytes),
                Kind::Stream => self.tcp.send(&out.to, &out.bytes),
            };
            // A message that can't be sent counts as lost, which the protocols tolerate.
            if let Err(error) = sent {
                tracing::debug!(target: "fleet", "to {}: {error}", out.to);
            }
        }
    }

    /// Applies decided entries to the protocols. Returns whether there were any.
    fn apply_decided(&mut self, now: Now) -> bool {
        let mut any = false;
        let protocols = &mut *self.shared.protocols();
        if let Some((index, machines)) = self.log.take_restore() {
            any = true;
            if self.shared.keeps_records() {
                self.record_log(now, log_check::Observation::Restored { index });
            }
            for (topic, snapshot) in machines {
                let restored = match topic {
                    Topic::Policy => protocols.policy.restore(now, &snapshot),
                    Topic::Quota => protocols.quota.restore(now, &snapshot),
                    Topic::Voters | Topic::Addresses => Ok(()),
                };
                if let Err(error) = restored {
                    tracing::error!(target: "fleet", "{topic:?}: {error}");
                }
            }
            self.shared.update_version(protocols, now);
        }
        while let Some(decided) = self.log.take_decided() {
            any = true;
            if self.shared.keeps_records() {
                self.record_log(now, log_check::Observation::entry(&decided));
            }
            match decided.proposal.topic {
                Topic::Policy => {
                    protocols.policy.apply(now, &decided);
                    self.shared.update_version(protocols, now);
                }
                Topic::Quota => protocols.quota.apply(now, &decided),
                Topic::Voters | Topic::Addresses => {}
            }
        }
        if let Some(index) = self.log.snapshot_due() {
            let machines = vec![
                (Topic::Policy, protocols.policy.snapshot()),
                (Topic::Quota, protocols.quota.snapshot()),
            ];
            if let Err(error) = self.log.provide_snapshot(now, index, machines) {
                tracing::error!(target: "fleet", "snapshot at {}: {error}", index.0);
            }
        }
        any
    }

    fn record_log(&self, now: Now, what: log_check::Observation) {
        let at_us = u64::try_from(now.boot.as_micros()).unwrap_or(u64::MAX);
        self.shared.record(&RecordLine::Log(log_check::Record { node: self.udp.me().clone(), at_us, what }));
    }

    /// Runs the protocols' due timers and proposes what they request.
    fn run_protocols(&mut self, now: Now) {
        let leading = self.log.is_leader();
        let protocols = &mut *self.shared.protocols();
        let mut machines: [&mut dyn StateMachine; 2] = [&mut protocols.policy, &mut protocols.quota];
        for machine in &mut machines {
            if machine.next_due().is_some_and(|due| due <= now.boot) {
                machine.tick(now, leading);
            }
            while let Some(body) = machine.take_proposal() {
                // A proposal that is not accepted now is repeated by the protocol's own timer.
                let _ = self.log.propose(now, machine.topic(), body);
            }
        }
    }

    /// Proposes the watched document when its text has changed.
    fn check_document(&mut self, now: Now) {
        let Some(document) = &mut self.document else { return };
        if now.boot < document.next_check {
            return;
        }
        document.next_check = now.boot + FILE_CHECK_INTERVAL;
        let protocols = &mut *self.shared.protocols();
        if let Some(ticket) = document.ticket {
            match protocols.policy.proposal_status(ticket) {
                ProposalStatus::Waiting | ProposalStatus::UnderWay(_) => return,
                status => {
                    tracing::info!(target: "fleet", "{}: {status:?}", document.path.display());
                    document.ticket = None;
                    if matches!(
                        status,
                        ProposalStatus::Ended(ProposalOutcome::Aborted(_, AbortReason::Silent { .. }))
                    ) {
                        // No node rejected the document. It is proposed again, since the silent nodes may
                        // answer by then or no longer be counted.
                        document.last = None;
                        document.next_check = now.boot + REPROPOSE_DELAY;
                        return;
                    }
                }
            }
        }
        let path = document.path.display();
        let text = match read_regular(&document.path, DOCUMENT_MAX_BYTES) {
            Ok(text) => text.into_bytes(),
            // The file may be about to be replaced; otherwise there is nothing to propose.
            Err(error) => return tracing::debug!(target: "fleet", "{path}: {error}"),
        };
        let state = protocols.policy.state();
        if document.last.as_ref() == Some(&text) || state.document == text {
            return;
        }
        // A starting node does not know the fleet's state yet: only when it is ready does it know which
        // version its file would change.
        if !protocols.policy.is_ready(now.boot) {
            return;
        }
        let base = state.active;
        match protocols.policy.propose(now, base, text.clone()) {
            Ok(ticket) => {
                tracing::info!(target: "fleet", "{path}: proposed against version {}", base.0);
                document.ticket = Some(ticket);
            }
            Err(error) => tracing::error!(target: "fleet", "{path}: {error}"),
        }
        document.last = Some(text);
    }

    /// Logs changes of the node's readiness and of the active version.
    fn log_status(&mut self, now: Now) {
        let (active, ready) = {
            let protocols = self.shared.protocols();
            (protocols.policy.state().active, protocols.policy.is_ready(now.boot))
        };
        if self.logged != (active, ready) {
            self.logged = (active, ready);
            let readiness = if ready { "ready" } else { "not ready" };
            let status = self.log.status();
            let no_vote =
                status.no_vote.map_or(String::new(), |reason| format!("; does not vote: {reason:?}"));
            tracing::info!(
                target: "fleet",
                "version {}, {readiness}; log at {} of {}{no_vote}",
                active.0, status.decided.0, status.known.0
            );
        }
    }
}
