use super::*;
use crate::entry::Topic;
use crate::state_machine::SnapshotError;

/// Proposes its name once a second and keeps the entries it applies.
struct PeriodicProposer {
    me: Peer,
    next_at: Duration,
    proposal: Option<Vec<u8>>,
    applied: Vec<(u64, String)>,
}

impl StateMachine for PeriodicProposer {
    fn topic(&self) -> Topic {
        Topic::Policy
    }
    fn apply(&mut self, _: Now, d: &DecidedEntry) {
        self.applied.push((d.index.0, d.proposal.proposer.to_string()));
    }
    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.applied).expect("serializable values")
    }
    fn restore(&mut self, _: Now, bytes: &[u8]) -> Result<(), SnapshotError> {
        self.applied = postcard::from_bytes(bytes).map_err(|e| SnapshotError(e.to_string()))?;
        Ok(())
    }
    fn tick(&mut self, now: Now, _: bool) {
        self.next_at = now.boot + Duration::from_secs(1);
        self.proposal = Some(self.me.name.as_str().as_bytes().to_vec());
    }
    fn next_due(&self) -> Option<Duration> {
        Some(self.next_at)
    }
    fn take_proposal(&mut self) -> Option<Vec<u8>> {
        self.proposal.take()
    }
}

#[test]
fn every_node_learns_the_same_entries_once_in_order_despite_faults() {
    for seed in 0..20 {
        let faults = Faults { loss: 0.2, duplicate: 0.3, ..Faults::default() };
        let mut model = Model::new(seed, faults, 0);
        let make =
            |me, now: Now| PeriodicProposer { me, next_at: now.boot, proposal: None, applied: Vec::new() };
        for i in 0..4u64 {
            let clocks = Clocks { boot_at_zero: Duration::from_secs(i * 100), rate: 1.0, wall_ahead_ms: 0 };
            model.add(Name::new(&format!("n{i}")).expect("valid name"), clocks, make);
        }
        model.run(Duration::from_secs(5), |_| {});
        model.set_isolated(1, true);
        model.set_paused(2, true);
        model.kill(3);
        model.run(Duration::from_secs(5), |_| {});
        model.set_isolated(1, false);
        model.set_paused(2, false);
        model.start(3, make);
        model.run(Duration::from_secs(5), |_| {});
        model.set_leader(None);
        model.run(Duration::from_secs(1), |_| {});
        let want: Vec<(u64, String)> =
            model.log().iter().map(|d| (d.index.0, d.proposal.proposer.to_string())).collect();
        assert!(want.len() > 20, "seed {seed}: {} entries", want.len());
        let ids: std::collections::BTreeSet<(Peer, u64)> =
            model.log().iter().map(|d| (d.proposal.proposer.clone(), d.proposal.id)).collect();
        assert_eq!(ids.len(), want.len(), "seed {seed}: a proposal was decided twice");
        for i in 0..4 {
            let (machine, _) = model.machine(i).expect("node is running");
            assert_eq!(machine.applied, want, "seed {seed}: node {i}");
        }
    }
}
