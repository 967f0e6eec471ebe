//! What follows from the log's entries alone: the same at every node at the same index.
//!
//! A change goes `Voting` (every member checks the document) to `Closing` (every member stops deciding under the old
//! version) to taken, and may be aborted at any entry before it is taken. Which of the two comes first is the order of the
//! log, so it is never half.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use magpietally_consensus::{Grant, Index};
use magpietally_transport::Peer;
use serde::{Deserialize, Serialize};

use crate::entry::{Entry, Step, Version};

/// Members at most: four times the largest fleet that is measured. Who asks past it gets no lease and does not serve.
pub const MEMBERS_MAX: usize = 2048;
/// Ended proposals that are remembered for the operators, the last ones: a busy day of changes.
pub const HISTORY_MAX: usize = 32;
/// The terms of a lease that are taken, in milliseconds: below, renewals are all the log does; above, one dead node holds
/// a change up for minutes.
pub const TERM_RANGE_MS: std::ops::RangeInclusive<u32> = 500..=120_000;

/// A node that holds a lease by the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its lease.
    pub grant: Grant,
    /// Its lease is not ended by time (`serve`).
    pub serves_without_lease: bool,
    /// The last ticket of a proposal of its that was decided.
    pub last_ticket: u64,
}

/// A proposal under way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The version that it founds if it is taken.
    pub version: Version,
    /// Where it stands.
    pub step: Step,
    /// Whose it is.
    pub proposer: Peer,
    /// The proposer's number for it.
    pub ticket: u64,
    /// What it sets.
    pub document: Vec<u8>,
    /// The members that have done this step; always some of the members.
    pub acknowledged: BTreeSet<Peer>,
}

/// Why a change did not take hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AbortReason {
    /// A member's check refused the document.
    Refused {
        /// Which member.
        by: Peer,
        /// What it said.
        why: String,
    },
    /// Members did not do a step in time.
    Silent {
        /// Which step.
        step: Step,
        /// The first few of them.
        who: Vec<Peer>,
        /// How many in all.
        of: usize,
    },
}

/// How a proposal ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// It is the policy under this version.
    Taken(Version),
    /// No node decided anything under it.
    Aborted(Version, AbortReason),
    /// Another was decided first: this one is the active or the one under way.
    Lost {
        /// The winner's version.
        to: Version,
    },
}

/// A proposal that ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedProposal {
    /// Whose it was.
    pub proposer: Peer,
    /// The proposer's number for it.
    pub ticket: u64,
    /// How it ended.
    pub outcome: ProposalOutcome,
}

/// What an entry did to leases, and whether a change ended: what a node has to count by its own clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A lease was granted or renewed by asking number `ask`.
    Granted(Peer, Grant, u64),
    /// This lease is over.
    Ended(Peer, Index),
}

/// The state of the policy, by the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The active version.
    pub active: Version,
    /// Its document; empty for version 0.
    pub document: Vec<u8>,
    /// The number of the last proposal.
    pub last_version: Version,
    /// Who holds a lease.
    pub members: BTreeMap<Peer, Member>,
    /// What is under way.
    pub change: Option<Change>,
    /// The last ended proposals, oldest first.
    pub history: VecDeque<EndedProposal>,
}

impl State {
    /// Whether nobody may decide under the active version: a change closes it.
    pub fn is_closing(&self) -> bool {
        self.change.as_ref().is_some_and(|c| c.step == Step::Closing)
    }

    /// Takes an entry of `by` at `index`.
    pub fn apply(&mut self, index: Index, by: &Peer, entry: Entry) -> Vec<Effect> {
        let mut effects = Vec::new();
        match entry {
            Entry::Join { request, term_ms, serves_without_lease } => {
                self.join(index, by, request, term_ms, serves_without_lease, &mut effects);
            }
            Entry::Renew { request } => {
                if let Some(member) = self.members.get_mut(by) {
                    member.grant.index = index;
                    effects.push(Effect::Granted(by.clone(), member.grant.clone(), request));
                }
            }
            Entry::Leave => self.end(by, &mut effects),
            Entry::Evict { peer } => self.end(&peer, &mut effects),
            Entry::Expire { expired } => {
                for (peer, grant) in expired {
                    if self
                        .members
                        .get(&peer)
                        .is_some_and(|m| m.grant.index == grant && !m.serves_without_lease)
                    {
                        self.end(&peer, &mut effects);
                    }
                }
            }
            Entry::Propose { base, ticket, document } => self.propose(by, base, ticket, document),
            Entry::Accept { version } => self.acknowledge(by, version, Step::Voting),
            Entry::Stopped { version } => self.acknowledge(by, version, Step::Closing),
            Entry::Reject { version, why } => {
                if self.members.contains_key(by) && self.at(version, Step::Voting) {
                    self.abort(AbortReason::Refused { by: by.clone(), why });
                }
            }
            Entry::Timeout { version, step } => {
                if self.at(version, step) {
                    let done = self.change.as_ref().map(|c| &c.acknowledged);
                    let silent = || self.members.keys().filter(|m| done.is_none_or(|d| !d.contains(*m)));
                    // Enough for an operator to go and look.
                    let (who, of) = (silent().take(8).cloned().collect(), silent().count());
                    self.abort(AbortReason::Silent { step, who, of });
                }
            }
        }
        self.go_on();
        effects
    }

    fn at(&self, version: Version, step: Step) -> bool {
        self.change.as_ref().is_some_and(|c| c.version == version && c.step == step)
    }

    fn join(
        &mut self,
        index: Index,
        by: &Peer,
        request: u64,
        term_ms: u32,
        serves_without_lease: bool,
        out: &mut Vec<Effect>,
    ) {
        let of_name: Vec<Peer> = self.members.keys().filter(|m| m.name == by.name).cloned().collect();
        if !TERM_RANGE_MS.contains(&term_ms) || of_name.iter().any(|m| m.session > by.session) {
            return;
        }
        // A later start of a node tells that the earlier one runs no more: the node's store lets only one of them open it.
        for earlier in of_name.iter().filter(|m| m.session < by.session) {
            self.end(earlier, out);
        }
        if self.members.len() >= MEMBERS_MAX && !self.members.contains_key(by) {
            return;
        }
        let grant = Grant { holder: by.clone(), index, term_ms };
        let last_ticket = self.members.get(by).map_or(0, |m| m.last_ticket);
        let before = self
            .members
            .insert(by.clone(), Member { grant: grant.clone(), serves_without_lease, last_ticket });
        if let Some(change) = self.change.as_mut().filter(|c| c.step == Step::Closing && before.is_none()) {
            // It learns of its lease after it has learnt of the closing, and so never decides under what closes. A member
            // that asked twice is no such case: it may decide at this moment and has to say that it stopped.
            change.acknowledged.insert(by.clone());
        }
        out.push(Effect::Granted(by.clone(), grant, request));
    }

    fn end(&mut self, peer: &Peer, out: &mut Vec<Effect>) {
        let Some(member) = self.members.remove(peer) else { return };
        if let Some(change) = &mut self.change {
            change.acknowledged.remove(peer);
        }
        out.push(Effect::Ended(peer.clone(), member.grant.index));
    }

    fn propose(&mut self, by: &Peer, base: Version, ticket: u64, document: Vec<u8>) {
        let Some(member) = self.members.get_mut(by).filter(|m| ticket > m.last_ticket) else { return };
        member.last_ticket = ticket;
        let winner = match &self.change {
            Some(change) => Some(change.version),
            None => (base != self.active).then_some(self.active),
        };
        if let Some(to) = winner {
            self.remember(EndedProposal {
                proposer: by.clone(),
                ticket,
                outcome: ProposalOutcome::Lost { to },
            });
            return;
        }
        self.last_version.0 += 1;
        self.change = Some(Change {
            version: self.last_version,
            step: Step::Voting,
            proposer: by.clone(),
            ticket,
            document,
            acknowledged: BTreeSet::new(),
        });
    }

    fn acknowledge(&mut self, by: &Peer, version: Version, step: Step) {
        if !self.members.contains_key(by) || !self.at(version, step) {
            return;
        }
        if let Some(change) = &mut self.change {
            change.acknowledged.insert(by.clone());
        }
    }

    fn abort(&mut self, why: AbortReason) {
        if let Some(change) = self.change.take() {
            let outcome = ProposalOutcome::Aborted(change.version, why);
            self.remember(EndedProposal { proposer: change.proposer, ticket: change.ticket, outcome });
        }
    }

    /// Takes a change a step further when every member has done the one it is at.
    fn go_on(&mut self) {
        let Some(change) = &mut self.change else { return };
        if change.acknowledged.len() < self.members.len() {
            return;
        }
        match change.step {
            // With no member at all nobody has looked at the document: it waits for one, or for its time to be up.
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
                    self.remember(EndedProposal {
                        proposer: change.proposer,
                        ticket: change.ticket,
                        outcome,
                    });
                }
            }
        }
    }

    fn remember(&mut self, past: EndedProposal) {
        if self.history.len() >= HISTORY_MAX {
            self.history.pop_front();
        }
        self.history.push_back(past);
    }
}
