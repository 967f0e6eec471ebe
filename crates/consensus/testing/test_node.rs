//! A node of the log with a disk and a state machine, for tests and measurements. It is a protocol without
//! I/O itself and runs in the simulated network.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use magpietally_consensus::check::{Observation, Record};
use magpietally_consensus::{DecidedEntry, Index, Node, Ready, Settings, Topic, Write};
use magpietally_transport::{Now, Outgoing, Peer, Protocol};

/// Content of a disk, and whether it is full.
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

/// A node and its driver. Its boot clock must show the network's time, because records take their times from
/// it.
pub struct TestNode {
    pub node: Node,
    pub me: Peer,
    disk: Option<SharedDisk>,
    sync_time: Duration,
    pending: Option<(Duration, Ready)>,
    /// The state machine: the index it has reached, and a digest of all entries applied.
    pub index: Index,
    pub digest: u64,
    /// Observations, to be taken by the test.
    pub records: Vec<Record>,
    reads: BTreeMap<u64, u64>,
    /// Whether observations are recorded; measurements of many nodes do without.
    pub keep_records: bool,
}

impl TestNode {
    /// Starts a node. Learners have no disk.
    pub fn start(
        settings: Settings,
        me: Peer,
        now: Now,
        disk: Option<SharedDisk>,
        sync_time: Duration,
    ) -> Self {
        let stored = disk.as_ref().map(|d| d.lock().expect("disk lock").clone()).unwrap_or_default();
        let node = Node::open(settings, me.clone(), now, stored.snapshot.as_deref(), &stored.records)
            .expect("valid settings and store");
        let mut test_node = Self {
            node,
            me,
            disk,
            sync_time,
            pending: None,
            index: Index(0),
            digest: 0,
            records: Vec::new(),
            reads: BTreeMap::new(),
            keep_records: true,
        };
        test_node.run_until_idle(now);
        test_node
    }

    /// Simulates a power loss; `written` is whether the write in progress has reached the disk.
    #[allow(dead_code)]
    pub fn lose_power(&mut self, written: bool) {
        if let (Some((_, ready)), Some(disk), true) = (self.pending.take(), &self.disk, written) {
            let mut disk = disk.lock().expect("disk lock");
            if !disk.full {
                disk.write(&ready.write);
            }
        }
    }

    pub fn propose(&mut self, now: Now, body: Vec<u8>) -> bool {
        let taken = self.node.propose(now, Topic::Policy, body).is_ok();
        self.run_until_idle(now);
        taken
    }

    /// Requests a linearizable read.
    #[allow(dead_code)]
    pub fn read(&mut self, now: Now) {
        if let Ok(id) = self.node.propose(now, Topic::Voters, Vec::new()) {
            self.reads.insert(id, now.boot.as_micros() as u64);
        }
        self.run_until_idle(now);
    }

    fn record(&mut self, now: Now, what: Observation) {
        if self.keep_records {
            self.records.push(Record { node: self.me.clone(), at_us: now.boot.as_micros() as u64, what });
        }
    }

    fn apply(&mut self, now: Now, decided: &DecidedEntry) {
        self.index = decided.index;
        let what = Observation::entry(decided);
        if let Observation::Entry { hash, .. } = &what {
            self.digest = self.digest.rotate_left(7).wrapping_add(*hash);
        }
        self.record(now, what);
        if decided.proposal.proposer == self.me {
            if let Some(asked_us) = self.reads.remove(&decided.proposal.id) {
                self.record(now, Observation::Read { asked_us, index: self.index });
            }
        }
    }

    fn run_until_idle(&mut self, now: Now) {
        loop {
            let mut idle = true;
            if self.pending.as_ref().is_some_and(|(due, _)| now.boot >= *due) {
                if let (Some((_, ready)), Some(disk)) = (self.pending.take(), &self.disk) {
                    let mut disk = disk.lock().expect("disk lock");
                    if disk.full {
                        self.node.write_failed(now, ready.number, "no space left".to_owned());
                    } else {
                        disk.write(&ready.write);
                        self.node.write_completed(now, ready.number);
                    }
                    idle = false;
                }
            }
            if self.pending.is_none() {
                if let Some(ready) = self.node.take_ready(now) {
                    self.pending = Some((now.boot + self.sync_time, ready));
                    idle = false;
                }
            }
            if let Some((index, machines)) = self.node.take_restore() {
                let digest = machines.iter().find(|(t, _)| *t == Topic::Policy).map(|(_, m)| m.clone());
                let digest = digest.and_then(|m| <[u8; 8]>::try_from(m).ok());
                self.digest = u64::from_le_bytes(digest.expect("the state machine's own snapshot"));
                self.index = index;
                self.record(now, Observation::Restored { index });
                idle = false;
            }
            while let Some(decided) = self.node.take_decided() {
                self.apply(now, &decided);
                idle = false;
            }
            if let Some(at) = self.node.snapshot_due() {
                let machines = vec![(Topic::Policy, self.digest.to_le_bytes().to_vec())];
                self.node.provide_snapshot(now, at, machines).expect("a small snapshot");
                idle = false;
            }
            if idle {
                return;
            }
        }
    }
}

impl Protocol for TestNode {
    fn on_message(&mut self, now: Now, from: &Peer, bytes: &[u8]) {
        self.node.on_message(now, from, bytes);
        self.run_until_idle(now);
    }

    fn tick(&mut self, now: Now) {
        self.run_until_idle(now);
        self.node.tick(now);
        self.run_until_idle(now);
    }

    fn next_due(&self) -> Option<Duration> {
        let pending = self.pending.as_ref().map(|(due, _)| *due);
        self.node.next_due().into_iter().chain(pending).min()
    }

    fn take_outgoing(&mut self) -> Option<Outgoing> {
        self.node.take_outgoing()
    }
}
