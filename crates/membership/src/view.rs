//! The view: whom a node takes for alive, suspect, dead or gone on purpose, with a version that grows at each change.

use std::fmt;

use crate::id::NodeId;

/// What a node takes another for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Liveness {
    /// It answers probes, or somebody it answered says so.
    Alive,
    /// A probe went unanswered and the suspicion is not yet refuted nor timed out; still counted as a member.
    Suspect,
    /// Suspected for longer than the suspicion lasts, or said to be dead by a member that knew so.
    Dead,
    /// It said it leaves (SIGTERM, a drain).
    Left,
}

impl Liveness {
    /// Counted as a member of the fleet now.
    pub fn is_active(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// The word the view is printed with.
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

/// One node as the view has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Who.
    pub id: NodeId,
    /// Its incarnation: how often it refuted a suspicion since its start.
    pub incarnation: u16,
    /// What it is taken for.
    pub liveness: Liveness,
}

/// How many of each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Alive, the node itself counted.
    pub alive: u32,
    /// Suspect.
    pub suspect: u32,
    /// Dead and not yet forgotten.
    pub dead: u32,
    /// Left on purpose and not yet forgotten.
    pub left: u32,
}

impl Counts {
    /// Alive and suspect: the members now.
    pub fn active(&self) -> u32 {
        self.alive + self.suspect
    }

    /// All that are or may be members: the active and the dead, who may only be cut off. Who left is not.
    pub fn known(&self) -> u32 {
        self.active() + self.dead
    }
}

/// A node's view of the fleet, itself included, in the order of addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    version: u64,
    entries: Vec<Entry>,
}

impl View {
    /// Grows by one at each change of who is in it or what they are taken for.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Everyone, in the order of addresses.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// What `name` is taken for, if it is in the view.
    pub fn liveness_of(&self, name: &str) -> Option<Liveness> {
        // Several entries can carry one name while a restart is told around; the active one speaks for the node.
        let mut found = None;
        for e in self.entries.iter().filter(|e| e.id.name.as_str() == name) {
            if e.liveness.is_active() {
                return Some(e.liveness);
            }
            found = Some(e.liveness);
        }
        found
    }

    /// How many of each.
    pub fn counts(&self) -> Counts {
        let mut c = Counts::default();
        for e in &self.entries {
            match e.liveness {
                Liveness::Alive => c.alive += 1,
                Liveness::Suspect => c.suspect += 1,
                Liveness::Dead => c.dead += 1,
                Liveness::Left => c.left += 1,
            }
        }
        c
    }

    /// Another active node under `me`'s name at another address that started before `me` (or, started in the same
    /// second, has the lower address): `me` must stop, as two nodes may not share a name.
    pub fn name_conflict(&self, me: &NodeId) -> Option<&NodeId> {
        self.entries
            .iter()
            .filter(|e| e.liveness.is_active() && e.id.name == me.name && e.id.addr != me.addr)
            .map(|e| &e.id)
            .find(|other| (other.generation, other.addr) < (me.generation, me.addr))
    }

    /// Takes `entries` (in any order) as the view; the version grows when they differ from what was there.
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
