//! The replicated state, determined by the log entries alone: the same on every node at the same index.
//!
//! A change goes from `Voting` (every member validates the document) to `Closing` (every member stops
//! deciding under the old version) to `Taken`. Any entry before that one may abort it. The order of the log
//! decides which of the two comes first, so a change never takes effect on only some of the nodes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use magpietally_consensus::{Grant, Index};
use magpietally_transport::Peer;
use serde::{Deserialize, Serialize};

use crate::entry::{Entry, Step, Version};

/// Maximum number of members: four times the largest measured fleet. A node beyond it gets no lease and does
/// not serve.
pub const MEMBERS_MAX: usize = 2048;
/// Number of ended proposals kept for the operators, the latest ones: a busy day of changes.
pub const HISTORY_MAX: usize = 32;
/// Lease terms that are accepted. Below the range, renewals would take up the log; above it, one dead node
/// would delay a change for minutes.
pub const TERM_RANGE_MS: std::ops::RangeInclusive<u32> = 500..=120_000;

/// A node that holds a lease according to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its lease.
    pub grant: Grant,
    /// Whether its lease never expires (`serve`).
    pub serves_without_lease: bool,
    /// The ticket of its last decided proposal.
    pub last_ticket: u64,
}

/// A change in progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The version it becomes when it takes effect.
    pub version: Version,
    /// The current step.
    pub step: Step,
    /// The node that proposed it.
    pub proposer: Peer,
    /// The proposer's number for it.
    pub ticket: u64,
    /// The proposed document.
    pub document: Vec<u8>,
    /// The members that have completed the current step; always a subset of the members.
    pub acknowledged: BTreeSet<Peer>,
}

/// Why a change was aborted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AbortReason {
    /// A member's check rejected the document.
    Refused {
        /// The member.
        by: Peer,
        /// The reason it gave.
        why: String,
    },
    /// Members did not complete a step in time.
    Silent {
        /// The step.
        step: Step,
        /// The first few of these members.
        who: Vec<Peer>,
        /// Their total number.
        of: usize,
    },
}

/// How a proposal ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// It became the active policy with this version.
    Taken(Version),
    /// It was aborted under this version; no node decided anything under it.
    Aborted(Version, AbortReason),
    /// Another proposal was decided first.
    Lost {
        /// Version of the winner, which is active or in progress.
        to: Version,
    },
}

/// A proposal that ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedProposal {
    /// The node that proposed it.
    pub proposer: Peer,
    /// The proposer's number for it.
    pub ticket: u64,
    /// How it ended.
    pub outcome: ProposalOutcome,
}

/// What an entry did to a lease; nodes time leases by their own clocks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A lease was granted to the node or renewed; the last field is the number of its request.
    Granted(Peer, Grant, u64),
    /// The node's lease has ended; the index is that of the entry that granted it.
    Ended(Peer, Index),
}

/// The state of the policy according to the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The active version.
    pub active: Version,
    /// The document of the active version; empty for version 0.
    pub document: Vec<u8>,
    /// The version of the last proposal.
    pub last_version: Version,
    /// The nodes that hold a lease.
    pub members: BTreeMap<Peer, Member>,
    /// The change in progress.
    pub change: Option<Change>,
    /// The latest ended proposals, oldest first.
    pub history: VecDeque<EndedProposal>,
}

impl State {
    /// Returns whether the active version is closing, so that no node may begin new decisions under it.
    pub fn is_closing(&self) -> bool {
        self.change.as_ref().is_some_and(|c| c.step == Step::Closing)
    }

    /// Applies the entry that `sender` wrote at `index`.
    pub fn apply(&mut self, index: Index, sender: &Peer, entry: Entry) -> Vec<Effect> {
        let mut effects = Vec::new();
        match entry {
            Entry::Join { request, term_ms, serves_without_lease } => {
                self.join(index, sender, request, term_ms, serves_without_lease, &mut effects);
            }
            Entry::Renew { request } => {
                if let Some(member) = self.members.get_mut(sender) {
                    member.grant.index = index;
                    effects.push(Effect::Granted(sender.clone(), member.grant.clone(), request));
                }
            }
            Entry::Leave => self.end_lease(sender, &mut effects),
            Entry::Evict { peer } => self.end_lease(&peer, &mut effects),
            Entry::Expire { expired } => {
                for (peer, grant) in expired {
                    if self
                        .members
                        .get(&peer)
                        .is_some_and(|m| m.grant.index == grant && !m.serves_without_lease)
                    {
                        self.end_lease(&peer, &mut effects);
                    }
                }
            }
            Entry::Propose { base, ticket, document } => self.propose(sender, base, ticket, document),
            Entry::Accept { version } => self.acknowledge(sender, version, Step::Voting),
            Entry::Stopped { version } => self.acknowledge(sender, version, Step::Closing),
            Entry::Reject { version, reason } => {
                if self.members.contains_key(sender) && self.is_at(version, Step::Voting) {
                    self.abort(AbortReason::Refused { by: sender.clone(), why: reason });
                }
            }
            Entry::Timeout { version, step } => {
                if self.is_at(version, step) {
                    let done = self.change.as_ref().map(|c| &c.acknowledged);
                    let silent = || self.members.keys().filter(|m| done.is_none_or(|d| !d.contains(*m)));
                    // Eight names are enough for an operator to start from.
                    let (who, of) = (silent().take(8).cloned().collect(), silent().count());
                    self.abort(AbortReason::Silent { step, who, of });
                }
            }
        }
        self.advance();
        effects
    }

    fn is_at(&self, version: Version, step: Step) -> bool {
        self.change.as_ref().is_some_and(|c| c.version == version && c.step == step)
    }

    fn join(
        &mut self,
        index: Index,
        sender: &Peer,
        request: u64,
        term_ms: u32,
        serves_without_lease: bool,
        effects: &mut Vec<Effect>,
    ) {
        let sessions: Vec<Peer> = self.members.keys().filter(|m| m.name == sender.name).cloned().collect();
        if !TERM_RANGE_MS.contains(&term_ms) || sessions.iter().any(|m| m.session > sender.session) {
            return;
        }
        // A later session of a node proves that the earlier one has ended: a store can be opened by one
        // process only.
        for earlier in sessions.iter().filter(|m| m.session < sender.session) {
            self.end_lease(earlier, effects);
        }
        if self.members.len() >= MEMBERS_MAX && !self.members.contains_key(sender) {
            return;
        }
        let grant = Grant { holder: sender.clone(), index, term_ms };
        let last_ticket = self.members.get(sender).map_or(0, |m| m.last_ticket);
        let previous = self
            .members
            .insert(sender.clone(), Member { grant: grant.clone(), serves_without_lease, last_ticket });
        if let Some(change) = self.change.as_mut().filter(|c| c.step == Step::Closing && previous.is_none()) {
            // A new member learns of its lease after it has learned of the closing, so it never decides under
            // the closing version. A member that requested its lease twice may be deciding at this moment, so
            // it has to confirm that it stopped.
            change.acknowledged.insert(sender.clone());
        }
        effects.push(Effect::Granted(sender.clone(), grant, request));
    }

    fn end_lease(&mut self, peer: &Peer, effects: &mut Vec<Effect>) {
        let Some(member) = self.members.remove(peer) else { return };
        if let Some(change) = &mut self.change {
            change.acknowledged.remove(peer);
        }
        effects.push(Effect::Ended(peer.clone(), member.grant.index));
    }

    fn propose(&mut self, sender: &Peer, base: Version, ticket: u64, document: Vec<u8>) {
        let Some(member) = self.members.get_mut(sender).filter(|m| ticket > m.last_ticket) else { return };
        member.last_ticket = ticket;
        let winner = match &self.change {
            Some(change) => Some(change.version),
            None => (base != self.active).then_some(self.active),
        };
        if let Some(to) = winner {
            self.record_outcome(EndedProposal {
                proposer: sender.clone(),
                ticket,
                outcome: ProposalOutcome::Lost { to },
            });
            return;
        }
        self.last_version.0 += 1;
        self.change = Some(Change {
            version: self.last_version,
            step: Step::Voting,
            proposer: sender.clone(),
            ticket,
            document,
            acknowledged: BTreeSet::new(),
        });
    }

    fn acknowledge(&mut self, sender: &Peer, version: Version, step: Step) {
        if !self.members.contains_key(sender) || !self.is_at(version, step) {
            return;
        }
        if let Some(change) = &mut self.change {
            change.acknowledged.insert(sender.clone());
        }
    }

    fn abort(&mut self, reason: AbortReason) {
        if let Some(change) = self.change.take() {
            let outcome = ProposalOutcome::Aborted(change.version, reason);
            self.record_outcome(EndedProposal { proposer: change.proposer, ticket: change.ticket, outcome });
        }
    }

    /// Moves a change to its next step when every member has completed the current one.
    fn advance(&mut self) {
        let Some(change) = &mut self.change else { return };
        if change.acknowledged.len() < self.members.len() {
            return;
        }
        match change.step {
            // Without members no node has validated the document: the change waits for a member or for its
            // timeout.
            Step::Voting if self.members.is_empty() => {}
            Step::Voting => {
                change.step = Step::Closing;
                change.acknowledged.clear();
            }
            Step::Closing => {
                if let Some(change) = self.change.take() {
                    self.active = change.version;
                    self.document = change.document;
                    let outcome = ProposalOutcome::Taken(change.version);
                    self.record_outcome(EndedProposal {
                        proposer: change.proposer,
                        ticket: change.ticket,
                        outcome,
                    });
                }
            }
        }
    }

    fn record_outcome(&mut self, proposal: EndedProposal) {
        if self.history.len() >= HISTORY_MAX {
            self.history.pop_front();
        }
        self.history.push_back(proposal);
    }
}
