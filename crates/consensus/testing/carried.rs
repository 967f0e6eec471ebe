//! A node of the log with a disk and a machine, as a room: the carrier of the tests and of the measurements.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use magpietally_consensus::check::{Observation, Record};
use magpietally_consensus::{DecidedEntry, Index, Node, Ready, Settings, Topic, Write};
use magpietally_transport::{Now, Outgoing, Peer, Room};

/// What is on a disk, and whether there is space on it.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub snapshot: Option<Vec<u8>>,
    pub records: Vec<Vec<u8>>,
    pub full: bool,
}

impl Disk {
    fn write(&mut self, write: &Write) {
        match write {
            Write::Record(bytes) => self.records.push(bytes.clone()),
            Write::Snapshot(bytes) => {
                self.snapshot = Some(bytes.clone());
                self.records.clear();
            }
        }
    }
}

/// A disk that outlives its node.
pub type SharedDisk = Arc<Mutex<Disk>>;

/// A node and what carries it. Its boot clock has to be the network's time: the records' times are read from it.
pub struct Carried {
    pub node: Node,
    pub me: Peer,
    disk: Option<SharedDisk>,
    sync: Duration,
    pending: Option<(Duration, Ready)>,
    /// The machine: how far it is, and a number that every entry of its topic has gone into.
    pub index: Index,
    pub digest: u64,
    /// What was seen, to be taken by the test.
    pub seen: Vec<Record>,
    reads: BTreeMap<u64, u64>,
    /// Whether entries are recorded; a measurement of many nodes does without.
    pub records: bool,
}

impl Carried {
    /// A node at a start. Learners have no disk.
    pub fn start(settings: Settings, me: Peer, now: Now, disk: Option<SharedDisk>, sync: Duration) -> Self {
        let held = disk.as_ref().map(|d| d.lock().expect("a disk").clone()).unwrap_or_default();
        let node =
            Node::open(settings, me.clone(), now, held.snapshot.as_deref(), &held.records).expect("a node");
        let mut carried = Self {
            node,
            me,
            disk,
            sync,
            pending: None,
            index: Index(0),
            digest: 0,
            seen: Vec::new(),
            reads: BTreeMap::new(),
            records: true,
        };
        carried.settle(now);
        carried
    }

    /// The power fails; `written` says whether the write under way had reached the disk.
    #[allow(dead_code)]
    pub fn lose_power(&mut self, written: bool) {
        if let (Some((_, ready)), Some(disk), true) = (self.pending.take(), &self.disk, written) {
            let mut disk = disk.lock().expect("a disk");
            if !disk.full {
                disk.write(&ready.write);
            }
        }
    }

    pub fn propose(&mut self, now: Now, body: Vec<u8>) -> bool {
        let taken = self.node.propose(now, Topic::Policy, body).is_ok();
        self.settle(now);
        taken
    }

    /// Asks for a current read.
    #[allow(dead_code)]
    pub fn read(&mut self, now: Now) {
        if let Ok(id) = self.node.propose(now, Topic::Voters, Vec::new()) {
            self.reads.insert(id, now.boot.as_micros() as u64);
        }
        self.settle(now);
    }

    fn see(&mut self, now: Now, what: Observation) {
        if self.records {
            self.seen.push(Record { node: self.me.clone(), at_us: now.boot.as_micros() as u64, what });
        }
    }

    fn apply(&mut self, now: Now, decided: &DecidedEntry) {
        self.index = decided.index;
        let what = Observation::entry(decided);
        if let Observation::Entry { hash, .. } = &what {
            self.digest = self.digest.rotate_left(7).wrapping_add(*hash);
        }
        self.see(now, what);
        if decided.proposal.proposer == self.me {
            if let Some(asked_us) = self.reads.remove(&decided.proposal.id) {
                self.see(now, Observation::Read { asked_us, index: self.index });
            }
        }
    }

    fn settle(&mut self, now: Now) {
        loop {
            let mut still = true;
            if self.pending.as_ref().is_some_and(|(due, _)| now.boot >= *due) {
                if let (Some((_, ready)), Some(disk)) = (self.pending.take(), &self.disk) {
                    let mut disk = disk.lock().expect("a disk");
                    if disk.full {
                        self.node.write_failed(now, ready.number, "no space left".to_owned());
                    } else {
                        disk.write(&ready.write);
                        self.node.write_completed(now, ready.number);
                    }
                    still = false;
                }
            }
            if self.pending.is_none() {
                if let Some(ready) = self.node.take_ready(now) {
                    self.pending = Some((now.boot + self.sync, ready));
                    still = false;
                }
            }
            if let Some((index, machines)) = self.node.take_restore() {
                let digest = machines.iter().find(|(t, _)| *t == Topic::Policy).map(|(_, m)| m.clone());
                let digest = digest.and_then(|m| <[u8; 8]>::try_from(m).ok());
                self.digest = u64::from_le_bytes(digest.expect("the machine's own snapshot"));
                self.index = index;
                self.see(now, Observation::Restored { index });
                still = false;
            }
            while let Some(decided) = self.node.take_decided() {
                self.apply(now, &decided);
                still = false;
            }
            if let Some(at) = self.node.snapshot_due() {
                let machines = vec![(Topic::Policy, self.digest.to_le_bytes().to_vec())];
                self.node.provide_snapshot(now, at, machines).expect("a small snapshot");
                still = false;
            }
            if still {
                return;
            }
        }
    }
}

impl Room for Carried {
    fn on_message(&mut self, now: Now, from: &Peer, bytes: &[u8]) {
        self.node.on_message(now, from, bytes);
        self.settle(now);
    }

    fn tick(&mut self, now: Now) {
        self.settle(now);
        self.node.tick(now);
        self.settle(now);
    }

    fn next_due(&self) -> Option<Duration> {
        let pending = self.pending.as_ref().map(|(due, _)| *due);
        self.node.next_due().into_iter().chain(pending).min()
    }

    fn take_outgoing(&mut self) -> Option<Outgoing> {
        self.node.take_outgoing()
    }
}
