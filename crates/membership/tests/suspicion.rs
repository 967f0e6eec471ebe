//! No suspicion lasts longer than its bound in any view, regardless of what happens to the node that
//! suspects: renewed identities, loss, one-way links, pauses.
//!
//! The scenarios run in virtual time over many seeds. Every 100 ms the test reads the view of every running
//! node and measures for how long it has listed an identity as suspect under one incarnation, counting only
//! time in which the suspecting node ran. At the end, all nodes must see each other as alive again.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::BufMut;
use foca::{Codec, Header, Member, Message, State};
use magpietally_membership::sim::{Faults, Fleet};
use magpietally_membership::{Liveness, Membership, Name, NodeId, Settings, WireCodec};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const S: Duration = Duration::from_secs(1);
/// Interval at which the views are read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
const SEEDS: u64 = 200;

/// How long each view has listed each suspect.
struct SuspicionTimes {
    limit: Duration,
    durations: BTreeMap<(NodeId, NodeId, u16), Duration>,
    longest: Duration,
}

impl SuspicionTimes {
    fn new(settings: &Settings) -> Self {
        Self { limit: settings.suspicion_max(), durations: BTreeMap::new(), longest: Duration::ZERO }
    }

    /// Records that `holder` ran for another [`SAMPLE_INTERVAL`] and now lists `suspects`. The error names a
    /// suspicion that exceeded the limit.
    fn record(&mut self, holder: &NodeId, suspects: &[(NodeId, u16)]) -> Result<(), String> {
        self.durations.retain(|(h, id, incarnation), _| {
            h.addr != holder.addr || h == holder && suspects.iter().any(|s| s.0 == *id && s.1 == *incarnation)
        });
        for (id, incarnation) in suspects {
            let age = self.durations.entry((holder.clone(), id.clone(), *incarnation)).or_default();
            *age += SAMPLE_INTERVAL;
            self.longest = self.longest.max(*age);
            if *age > self.limit {
                return Err(format!("{holder} suspected {id} incarnation {incarnation} for {age:?}"));
            }
        }
        Ok(())
    }
}

/// A fleet whose suspicions are checked while it runs.
struct CheckedFleet {
    fleet: Fleet,
    paused: Vec<bool>,
    killed: Vec<bool>,
    suspicions: SuspicionTimes,
    seed: u64,
}

impl CheckedFleet {
    fn new(n: usize, seed: u64) -> Self {
        let settings = Settings { fleet_size: n as u32, ..Settings::default() };
        Self {
            fleet: Fleet::new(n, &settings, Faults::default(), seed),
            paused: vec![false; n],
            killed: vec![false; n],
            suspicions: SuspicionTimes::new(&settings),
            seed,
        }
    }

    fn run(&mut self, d: Duration) -> Result<(), String> {
        let end = self.fleet.now() + d;
        while self.fleet.now() < end {
            self.fleet.run(SAMPLE_INTERVAL);
            for i in (0..self.paused.len()).filter(|&i| !self.paused[i]) {
                let holder = self.fleet.id(i);
                let Some(view) = self.fleet.view(i) else { continue };
                let suspects: Vec<(NodeId, u16)> = view
                    .entries()
                    .iter()
                    .filter(|e| e.liveness == Liveness::Suspect)
                    .map(|e| (e.id.clone(), e.incarnation))
                    .collect();
                self.suspicions
                    .record(&holder, &suspects)
                    .map_err(|e| format!("seed {} at {:?}: {e}", self.seed, self.fleet.now()))?;
            }
        }
        Ok(())
    }

    fn set_paused(&mut self, i: usize, paused: bool) {
        self.paused[i] = paused;
        self.fleet.set_paused(i, paused);
    }

    fn kill(&mut self, i: usize) {
        self.paused[i] = false;
        self.killed[i] = true;
        self.fleet.kill(i);
    }

    fn start(&mut self, i: usize) {
        self.killed[i] = false;
        self.fleet.start(i);
    }

    /// Heals all links, resumes and starts all nodes, and checks that `d` later all nodes see each other as
    /// alive.
    fn settle(&mut self, d: Duration) -> Result<(), String> {
        let all: Vec<usize> = (0..self.paused.len()).collect();
        self.fleet.heal();
        self.fleet.set_faults(Faults::default());
        for &i in &all {
            self.set_paused(i, false);
            if self.killed[i] {
                self.start(i);
            }
        }
        self.run(d)?;
        if !self.fleet.all_see(&all, Liveness::Alive, &[]) {
            return Err(format!(
                "seed {}: {d:?} after the heal not all nodes see each other as alive",
                self.seed
            ));
        }
        Ok(())
    }

    fn rejoined(&self) -> u64 {
        (0..self.paused.len()).filter_map(|i| self.fleet.membership(i)).map(|r| r.stats().rejoined).sum()
    }
}

/// Runs `scenario` for each seed and reports every seed that fails. Returns the number of renewed identities.
fn over_seeds(n: usize, scenario: impl Fn(&mut CheckedFleet, u64) -> Result<(), String>) -> u64 {
    let mut failed = Vec::new();
    let (mut rejoined, mut longest) = (0, Duration::ZERO);
    for seed in 0..SEEDS {
        let mut w = CheckedFleet::new(n, seed);
        if let Err(e) = scenario(&mut w, seed) {
            failed.push(e);
        }
        rejoined += w.rejoined();
        longest = longest.max(w.suspicions.longest);
    }
    eprintln!("{rejoined} renewals over {SEEDS} seeds, the longest suspicion {longest:?}");
    assert!(failed.is_empty(), "{} of {SEEDS} seeds failed:\n{}", failed.len(), failed.join("\n"));
    rejoined
}

#[test]
fn no_member_stays_suspect_past_the_bound_after_renewals_a_one_way_link_and_loss() {
    let rejoined = over_seeds(5, |w, seed| {
        w.run(20 * S)?;
        if seed % 2 == 0 {
            w.fleet.partition(&[0, 1], &[2, 3, 4]);
            w.run(20 * S)?;
            w.fleet.heal();
            w.run(20 * S)?;
        }
        w.fleet.cut(0, 1);
        w.fleet.set_faults(Faults {
            loss: 0.3,
            duplicate: 0.1,
            delay: Duration::from_millis(20),
            jitter: Duration::from_millis(2),
            ..Faults::default()
        });
        w.run(10 * S)?;
        w.settle(120 * S)
    });
    assert!(rejoined > 0, "no node was renewed: the scenario no longer exercises renewal");
}

#[test]
fn no_member_stays_suspect_past_the_bound_under_random_faults() {
    const N: usize = 6;
    let rejoined = over_seeds(N, |w, seed| {
        let mut rng = Pcg64::seed_from_u64(seed);
        w.run(15 * S)?;
        for _ in 0..10 {
            let (a, b) = (rng.random_range(0..N), rng.random_range(0..N));
            match rng.random_range(0..6) {
                0 => w.fleet.cut(a, b),
                1 => {
                    let (near, far): (Vec<usize>, Vec<usize>) = (0..N).partition(|_| rng.random_bool(0.5));
                    w.fleet.partition(&near, &far);
                }
                2 => w.set_paused(a, true),
                3 => w.kill(a),
                4 => w.fleet.set_faults(Faults {
                    loss: rng.random_range(0.0..0.4),
                    duplicate: 0.1,
                    delay: Duration::from_millis(rng.random_range(1..50)),
                    jitter: Duration::from_millis(20),
                    ..Faults::default()
                }),
                _ => w.fleet.heal(),
            }
            w.run(Duration::from_millis(rng.random_range(500..9000)))?;
            // Paused and killed nodes usually return within a round or two, so that most of the fleet keeps
            // running.
            for i in 0..N {
                if w.killed[i] && rng.random_bool(0.6) {
                    w.start(i);
                }
                if w.paused[i] && rng.random_bool(0.6) {
                    w.set_paused(i, false);
                }
            }
        }
        w.settle(90 * S)
    });
    assert!(rejoined > 0, "no node was renewed: the scenario no longer exercises renewal");
}

/// Cuts node 0 off for less than a suspicion lasts, so that it suspects some nodes and some suspect it. Then
/// pauses `stopped` for 30 s, during which the links are healed, and resumes them. Returns how many deaths
/// the `stopped` nodes declared over 50 seeds.
fn deaths_declared_after_a_stop(stopped: &[usize]) -> u64 {
    let (mut suspected, mut declared) = (0, 0);
    for seed in 0..50 {
        let mut w = CheckedFleet::new(5, seed);
        w.run(20 * S).expect("no faults yet");
        w.fleet.partition(&[0], &[1, 2, 3, 4]);
        w.run(5 * S).expect("within the bound");
        suspected += w.fleet.view(0).map_or(0, |v| v.counts().suspect);
        stopped.iter().for_each(|&i| w.set_paused(i, true));
        w.fleet.heal();
        w.run(30 * S).expect("within the bound");
        w.settle(60 * S).expect("all agree");
        declared += stopped
            .iter()
            .filter_map(|&i| w.fleet.membership(i))
            .map(|r| r.stats().declared_dead)
            .sum::<u64>();
    }
    assert!(
        suspected > 50,
        "only {suspected} suspicions in 50 runs: the scenario no longer exercises suspicion"
    );
    declared
}

#[test]
fn a_stopped_node_declares_nobody_dead_because_of_its_own_stop() {
    assert_eq!(deaths_declared_after_a_stop(&[0]), 0, "one node stopped");
    assert_eq!(
        deaths_declared_after_a_stop(&[0, 1, 2, 3, 4]),
        0,
        "all stopped, as when their host is suspended"
    );
}

#[test]
fn a_suspect_no_longer_in_gossip_is_notified_and_refutes_in_one_round_trip() {
    let id = |port| NodeId {
        addr: std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, port),
        name: Name::new(&format!("n{port}")).expect("a plain name"),
        generation: 1,
    };
    let (holder_id, suspect, third) = (id(1), id(2), id(3));
    let mut holder = Membership::new(holder_id.clone(), &Settings::default(), 1);
    let mut suspected = Membership::new(suspect.clone(), &Settings::default(), 2);
    // The third node gossips that it suspects the second; the holder knows of the suspicion only from gossip.
    let mut gossip = vec![0x53];
    let header = Header { src: third, src_incarnation: 0, dst: holder_id, message: Message::Gossip };
    WireCodec.encode_header(&header, &mut gossip).expect("a Vec has space");
    gossip.put_u16(1);
    WireCodec
        .encode_member(&Member::new(suspect.clone(), 0, State::Suspect), &mut gossip)
        .expect("a Vec has space");
    holder.on_datagram(S, &gossip);
    // All datagrams of the holder are lost until it notifies the suspect directly.
    let mut now = S;
    while holder.stats().suspects_notified == 0 {
        assert_eq!(holder.view().liveness_of("n2"), Some(Liveness::Suspect));
        assert!(now < 5 * S, "not notified within 4 s");
        while holder.take_outgoing().is_some() {}
        now += S / 100;
        holder.tick(now);
    }
    while let Some((to, bytes)) = holder.take_outgoing() {
        if to == suspect.addr {
            suspected.on_datagram(now, &bytes);
        }
    }
    while let Some((_, bytes)) = suspected.take_outgoing() {
        holder.on_datagram(now, &bytes);
    }
    let entry = holder.view().entries().iter().find(|e| e.id == suspect).cloned().expect("in the view");
    assert_eq!((entry.liveness, entry.incarnation), (Liveness::Alive, 1));
}

#[test]
fn the_check_reports_a_suspicion_that_exceeds_the_limit() {
    let settings = Settings::default();
    let samples = (settings.suspicion_max().as_millis() / SAMPLE_INTERVAL.as_millis()) as usize;
    let f = Fleet::new(2, &settings, Faults::default(), 1);
    let (holder, suspect) = (f.id(0), f.id(1));
    // Two suspicions separated by a refutation are counted separately.
    let mut refuted = SuspicionTimes::new(&settings);
    for i in 0..2 * samples {
        assert_eq!(refuted.record(&holder, &[(suspect.clone(), (i / samples) as u16)]), Ok(()));
    }
    // A suspicion that does not end is reported by the first sample past the limit.
    let mut stays = SuspicionTimes::new(&settings);
    for _ in 0..samples {
        assert_eq!(stays.record(&holder, &[(suspect.clone(), 0)]), Ok(()));
    }
    let named = stays.record(&holder, &[(suspect.clone(), 0)]).expect_err("past the limit");
    assert!(named.contains(&format!("suspected {suspect} incarnation 0 for")), "{named}");
}
