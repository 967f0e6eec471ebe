//! The fleet's thread: messages between the transports and the log, writes into the store, entries into the rooms, and the
//! rooms' proposals back. It decides nothing.

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

use super::clock;
use super::gate::{Line, Shared};
use crate::shutdown::request_shutdown;

/// How long the thread rests when nothing came: a message waits that long at most, an entry takes some of these, and five
/// hundred looks a second cost half a hundredth of a core.
const REST: Duration = Duration::from_millis(2);
/// How often the document's file is looked at.
const FILE_LOOK: Duration = Duration::from_millis(250);
/// After how long a document is proposed again that some node did not answer: a few beats of the others.
const AGAIN: Duration = Duration::from_secs(1);
/// How long the end waits for the log to take the leases back; SIGKILL is near by then.
const LEAVE_WITHIN: Duration = Duration::from_millis(400);
/// Events taken from a transport before the rooms have their turn.
const EVENTS_AT_ONCE: usize = 256;

/// What the thread holds.
pub struct Carrier {
    shared: Arc<Shared>,
    log: Node,
    store: Log<Folder>,
    udp: Udp,
    tcp: Tcp,
    document: Option<Document>,
    stop: Arc<AtomicBool>,
    told: (Version, bool),
    /// Why it can't go on.
    doubt: Option<String>,
}

/// The watched document.
struct Document {
    path: PathBuf,
    look_at: Duration,
    /// What was read last and proposed, or refused.
    last: Option<Vec<u8>>,
    /// The proposal that is under way.
    ticket: Option<u64>,
}

impl Carrier {
    pub fn new(
        shared: Arc<Shared>,
        log: Node,
        store: Log<Folder>,
        udp: Udp,
        tcp: Tcp,
        file: Option<PathBuf>,
        stop: Arc<AtomicBool>,
    ) -> Self {
        let document = file.map(|path| Document { path, look_at: Duration::ZERO, last: None, ticket: None });
        Self { shared, log, store, udp, tcp, document, stop, told: (Version::default(), false), doubt: None }
    }

    /// Runs until it is told to stop and the leases are given back.
    ///
    /// # Errors
    /// Why it could not go on, and has told the node to end.
    pub fn run(mut self) -> Result<(), String> {
        let mut leaving_since = None;
        loop {
            if let Some(words) = self.doubt.take() {
                // Nothing is known of what is on the disk: only a new start can read it. What the node has taken it still
                // answers; the fleet hears no more of it.
                request_shutdown("fleet", &words);
                return Err(format!("fleet: {words}"));
            }
            let came = self.hear();
            let now = clock::now();
            if self.log.next_due().is_some_and(|due| due <= now.boot) {
                self.log.tick(now);
            }
            self.write(now);
            self.send();
            let learnt = self.learn(now);
            self.rooms(now);
            self.write(now);
            self.send();
            self.look_at_document(now);
            self.tell(now);
            if self.stop.load(Ordering::SeqCst) {
                let since = *leaving_since.get_or_insert_with(|| {
                    self.shared.rooms().policy.leave(now);
                    now.boot
                });
                if self.shared.rooms().policy.has_left() || now.boot.saturating_sub(since) > LEAVE_WITHIN {
                    return Ok(());
                }
            }
            if !came && !learnt {
                std::thread::sleep(REST);
            }
        }
    }

    /// Takes what came; whether anything did.
    fn hear(&mut self) -> bool {
        let mut any = false;
        let transports: [&mut dyn Transport; 2] = [&mut self.udp, &mut self.tcp];
        for transport in transports {
            for _ in 0..EVENTS_AT_ONCE {
                let now = clock::now();
                let Some(event) = transport.poll(now.boot) else { break };
                any = true;
                match event {
                    Event::Message { from, bytes } => self.log.on_message(now, &from, &bytes),
                    Event::NewSession(peer) => tracing::info!(target: "fleet", "met {peer}"),
                    // The log repeats by its own timers.
                    Event::Lost { .. } => {}
                    Event::Dropped(why) => tracing::debug!(target: "fleet", "dropped: {why}"),
                }
            }
        }
        any
    }

    /// Makes durable what has to be before what depends on it may be sent.
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
                        self.doubt = Some(error.to_string());
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
            // Lost, as a message may be.
            if let Err(error) = sent {
                tracing::debug!(target: "fleet", "to {}: {error}", out.to);
            }
        }
    }

    /// Hands decided entries to the rooms; whether there were any.
    fn learn(&mut self, now: Now) -> bool {
        let mut any = false;
        let rooms = &mut *self.shared.rooms();
        if let Some((index, machines)) = self.log.take_restore() {
            any = true;
            if self.shared.keeps_records() {
                self.record_log(now, log_check::Observation::Restored { index });
            }
            for (topic, snapshot) in machines {
                let restored = match topic {
                    Topic::Policy => rooms.policy.restore(now, &snapshot),
                    Topic::Quota => rooms.quota.restore(now, &snapshot),
                    Topic::Voters | Topic::Addresses => Ok(()),
                };
                if let Err(error) = restored {
                    tracing::error!(target: "fleet", "{topic:?}: {error}");
                }
            }
            self.shared.follow(rooms, now);
        }
        while let Some(decided) = self.log.take_decided() {
            any = true;
            if self.shared.keeps_records() {
                self.record_log(now, log_check::Observation::entry(&decided));
            }
            match decided.proposal.topic {
                Topic::Policy => {
                    rooms.policy.apply(now, &decided);
                    self.shared.follow(rooms, now);
                }
                Topic::Quota => rooms.quota.apply(now, &decided),
                Topic::Voters | Topic::Addresses => {}
            }
        }
        if let Some(index) = self.log.snapshot_due() {
            let machines =
                vec![(Topic::Policy, rooms.policy.snapshot()), (Topic::Quota, rooms.quota.snapshot())];
            if let Err(error) = self.log.provide_snapshot(now, index, machines) {
                tracing::error!(target: "fleet", "a snapshot at {}: {error}", index.0);
            }
        }
        any
    }

    fn record_log(&self, now: Now, what: log_check::Observation) {
        let at_us = u64::try_from(now.boot.as_micros()).unwrap_or(u64::MAX);
        self.shared.record(&Line::Log(log_check::Record { node: self.udp.me().clone(), at_us, what }));
    }

    /// Lets the rooms do what is due, and proposes what they want.
    fn rooms(&mut self, now: Now) {
        let leading = self.log.is_leader();
        let rooms = &mut *self.shared.rooms();
        let mut machines: [&mut dyn StateMachine; 2] = [&mut rooms.policy, &mut rooms.quota];
        for machine in &mut machines {
            if machine.next_due().is_some_and(|due| due <= now.boot) {
                machine.tick(now, leading);
            }
            while let Some(body) = machine.take_proposal() {
                // What is not taken now is said again by the machine's own timer.
                let _ = self.log.propose(now, machine.topic(), body);
            }
        }
    }

    /// Proposes the watched document when its text is a new one.
    fn look_at_document(&mut self, now: Now) {
        let Some(document) = &mut self.document else { return };
        if now.boot < document.look_at {
            return;
        }
        document.look_at = now.boot + FILE_LOOK;
        let rooms = &mut *self.shared.rooms();
        if let Some(ticket) = document.ticket {
            match rooms.policy.proposal_status(ticket) {
                ProposalStatus::Waiting | ProposalStatus::UnderWay(_) => return,
                ended => {
                    tracing::info!(target: "fleet", "{}: {ended:?}", document.path.display());
                    document.ticket = None;
                    if matches!(
                        ended,
                        ProposalStatus::Ended(ProposalOutcome::Aborted(_, AbortReason::Silent { .. }))
                    ) {
                        // Nobody was against it: what the file says is still wanted, once those who were silent speak or
                        // are no longer counted.
                        document.last = None;
                        document.look_at = now.boot + AGAIN;
                        return;
                    }
                }
            }
        }
        let path = document.path.display();
        let text = match read_regular(&document.path, DOCUMENT_MAX_BYTES) {
            Ok(text) => text.into_bytes(),
            // It may be in the middle of being replaced; if not, there is nothing to propose.
            Err(error) => return tracing::debug!(target: "fleet", "{path}: {error}"),
        };
        let state = rooms.policy.state();
        if document.last.as_ref() == Some(&text) || state.document == text {
            return;
        }
        // A node that starts holds its own file against a fleet that it does not know yet: only once it is ready does it
        // know which version it would change.
        if !rooms.policy.is_ready(now.boot) {
            return;
        }
        let base = state.active;
        match rooms.policy.propose(now, base, text.clone()) {
            Ok(ticket) => {
                tracing::info!(target: "fleet", "{path}: proposed against version {}", base.0);
                document.ticket = Some(ticket);
            }
            Err(error) => tracing::error!(target: "fleet", "{path}: {error}"),
        }
        document.last = Some(text);
    }

    /// Says in the log when the node becomes ready or stops being so, and under which version.
    fn tell(&mut self, now: Now) {
        let (active, ready) = {
            let rooms = self.shared.rooms();
            (rooms.policy.state().active, rooms.policy.is_ready(now.boot))
        };
        if self.told != (active, ready) {
            self.told = (active, ready);
            let word = if ready { "ready" } else { "not ready" };
            let status = self.log.status();
            let why = status.no_vote.map_or(String::new(), |why| format!("; does not vote: {why:?}"));
            tracing::info!(
                target: "fleet",
                "version {}, {word}; log at {} of {}{why}",
                active.0, status.decided.0, status.known.0
            );
        }
    }
}
