//! A node's view of the fleet: which nodes it considers alive, suspect, dead or left, with a version that is
//! incremented at each change.

use std::collections::BTreeMap;
use std::fmt;

use crate::id::NodeId;

/// State of a node as seen by another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Liveness {
    /// It answers probes, or another member that it answered reported so.
    Alive,
    /// A probe went unanswered and the suspicion is neither refuted nor timed out. The node still counts as a
    /// member.
    Suspect,
    /// The suspicion timed out, or another member reported the node dead.
    Dead,
    /// It announced that it leaves (SIGTERM, a drain).
    Left,
}

impl Liveness {
    /// Returns whether the node currently counts as a member of the fleet.
    pub fn is_active(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// The name under which the state is printed.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }
}

impl fmt::Display for Liveness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// One node in a view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The node's identity.
    pub id: NodeId,
    /// Number of suspicions the node has refuted since its start.
    pub incarnation: u16,
    /// The node's state.
    pub liveness: Liveness,
}

impl Entry {
    /// Orders the starts of one node by how well they describe it: an alive start describes it better than a
    /// suspect one, an active one better than one that is dead or left, and otherwise a later one better.
    fn precedence(&self) -> (bool, bool, u32) {
        (self.liveness.is_active(), self.liveness == Liveness::Alive, self.id.generation)
    }
}

/// Number of nodes in each state. A node that is listed with several starts counts once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Alive, including the node itself.
    pub alive: u32,
    /// Suspect.
    pub suspect: u32,
    /// Dead and not yet removed from the view.
    pub dead: u32,
    /// Left on purpose and not yet removed from the view.
    pub left: u32,
}

impl Counts {
    /// Returns the number of current members: alive and suspect.
    pub fn active(&self) -> u32 {
        self.alive + self.suspect
    }

    /// Returns the number of nodes that are or may be members: the active ones, and the dead ones, which may
    /// only be partitioned from this node. Nodes that left are not counted.
    pub fn known(&self) -> u32 {
        self.active() + self.dead
    }
}

/// A node's view of the fleet, including itself, ordered by address.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    version: u64,
    entries: Vec<Entry>,
}

impl View {
    /// Returns the version, which is incremented at each change of the entries.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns all nodes, ordered by address.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the state of the node named `name`, or `None` if the view has no such node. Of several starts of
    /// the node an active one takes precedence, then the latest.
    pub fn liveness_of(&self, name: &str) -> Option<Liveness> {
        let starts = self.entries.iter().filter(|e| e.id.name.as_str() == name);
        starts.max_by_key(|e| e.precedence()).map(|e| e.liveness)
    }

    /// Returns the entries of other starts of the node `me`: those with its name and another address.
    pub fn other_starts<'a>(&'a self, me: &'a NodeId) -> impl Iterator<Item = &'a Entry> {
        self.entries.iter().filter(|e| e.id.is_other_start_of(me))
    }

    /// Counts the nodes in each state. A view lists several starts of a node that was restarted at another
    /// address; the node counts once, in the state of [`View::liveness_of`].
    pub fn counts(&self) -> Counts {
        let mut nodes = BTreeMap::new();
        for e in &self.entries {
            let start = nodes.entry(&e.id.name).or_insert(e);
            if e.precedence() >= start.precedence() {
                *start = e;
            }
        }
        let mut c = Counts::default();
        for e in nodes.values() {
            match e.liveness {
                Liveness::Alive => c.alive += 1,
                Liveness::Suspect => c.suspect += 1,
                Liveness::Dead => c.dead += 1,
                Liveness::Left => c.left += 1,
            }
        }
        c
    }

    /// Replaces the entries with `entries`, given in any order. If they differ from the current ones,
    /// increments the version and returns true.
    pub(crate) fn replace(&mut self, mut entries: Vec<Entry>) -> bool {
        entries.sort_by(|a, b| a.id.cmp(&b.id));
        if entries == self.entries {
            return false;
        }
        self.entries = entries;
        self.version += 1;
        true
    }
}

#[cfg(test)]
mod tests;
