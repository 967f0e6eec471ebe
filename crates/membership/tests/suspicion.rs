//! No suspicion outlives its bound, in any view, whatever happened to the holder: renewals, loss, one-way links, pauses.
//!
//! Played over seeds in virtual time. Each 100 ms every view of a node that runs is looked at: how long has it held this
//! identity under this incarnation for suspect, counted only while the holder ran. In the end all agree again.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::BufMut;
use foca::{Codec, Header, Member, Message, State};
use magpietally_membership::sim::{Faults, Fleet};
use magpietally_membership::{Liveness, Membership, Name, NodeId, Settings, WireCodec};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const S: Duration = Duration::from_secs(1);
/// How often the views are looked at.
const LOOK: Duration = Duration::from_millis(100);
const SEEDS: u64 = 200;

/// How long each view has held whom for suspect.
struct Suspicions {
    most: Duration,
    held: BTreeMap<(NodeId, NodeId, u16), Duration>,
    longest: Duration,
}

impl Suspicions {
    fn new(settings: &Settings) -> Self {
        Self { most: settings.suspicion_max(), held: BTreeMap::new(), longest: Duration::ZERO }
    }

    /// `holder` ran for [`LOOK`] and holds `suspects` now; an error names the suspicion that outlived the bound.
    fn look(&mut self, holder: &NodeId, suspects: &[(NodeId, u16)]) -> Result<(), String> {
        self.held.retain(|(h, id, incarnation), _| {
            h.addr != holder.addr || h == holder && suspects.iter().any(|s| s.0 == *id && s.1 == *incarnation)
        });
        for (id, incarnation) in suspects {
            let age = self.held.entry((holder.clone(), id.clone(), *incarnation)).or_default();
            *age += LOOK;
            self.longest = self.longest.max(*age);
            if *age > self.most {
                return Err(format!("{holder} held {id} incarnation {incarnation} for suspect for {age:?}"));
            }
        }
        Ok(())
    }
}

/// A fleet that is watched while it runs.
struct Watched {
    fleet: Fleet,
    paused: Vec<bool>,
    killed: Vec<bool>,
    suspicions: Suspicions,
    seed: u64,
}

impl Watched {
    fn new(n: usize, seed: u64) -> Self {
        let settings = Settings { fleet_size: n as u32, ..Settings::default() };
        Self {
            fleet: Fleet::new(n, &settings, Faults::default(), seed),
            paused: vec![false; n],
            killed: vec![false; n],
            suspicions: Suspicions::new(&settings),
            seed,
        }
    }

    fn run(&mut self, d: Duration) -> Result<(), String> {
        let end = self.fleet.now() + d;
        while self.fleet.now() < end {
            self.fleet.run(LOOK);
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
                    .look(&holder, &suspects)
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

    /// All healed, awake and started, `d` later everyone takes everyone for alive.
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
            return Err(format!("seed {}: {d:?} after the heal not all are alive to all", self.seed));
        }
        Ok(())
    }

    fn rejoined(&self) -> u64 {
        (0..self.paused.len()).filter_map(|i| self.fleet.membership(i)).map(|r| r.stats().rejoined).sum()
    }
}

/// Plays `scenario` over the seeds; every seed that misses is told.
fn over_seeds(n: usize, scenario: impl Fn(&mut Watched, u64) -> Result<(), String>) -> u64 {
    let mut missed = Vec::new();
    let (mut rejoined, mut longest) = (0, Duration::ZERO);
    for seed in 0..SEEDS {
        let mut w = Watched::new(n, seed);
        if let Err(e) = scenario(&mut w, seed) {
            missed.push(e);
        }
        rejoined += w.rejoined();
        longest = longest.max(w.suspicions.longest);
    }
    eprintln!("{rejoined} renewals over {SEEDS} seeds, the longest suspicion {longest:?}");
    assert!(missed.is_empty(), "{} of {SEEDS} seeds missed:\n{}", missed.len(), missed.join("\n"));
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
    assert!(rejoined > 0, "no node was renewed: the scenario lost what it is for");
}

#[test]
fn no_member_stays_suspect_past_the_bound_whatever_breaks_meanwhile() {
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
            // What was stopped or killed mostly comes back within a round or two, so that it is one fleet's story.
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
    assert!(rejoined > 0, "no node was renewed: the scenario lost what it is for");
}

/// Node 0 is cut off for less than a suspicion lasts, so that it suspects some and some suspect it; then `stopped` are
/// stopped for 30 s, in which the cut heals, and wake. How many `stopped` declared dead, over 50 seeds.
fn declared_after_a_stop(stopped: &[usize]) -> u64 {
    let (mut suspected, mut declared) = (0, 0);
    for seed in 0..50 {
        let mut w = Watched::new(5, seed);
        w.run(20 * S).expect("calm");
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
    assert!(suspected > 50, "only {suspected} suspicions in 50 runs: the scenario lost what it is for");
    declared
}

#[test]
fn a_holder_that_was_stopped_declares_nobody_dead_out_of_its_own_stop() {
    assert_eq!(declared_after_a_stop(&[0]), 0, "one node stopped");
    assert_eq!(declared_after_a_stop(&[0, 1, 2, 3, 4]), 0, "all stopped, as when their machine sleeps");
}

#[test]
fn a_suspect_that_nobody_gossips_of_any_more_is_told_and_refutes_in_one_round_trip() {
    let id = |port| NodeId {
        addr: std::net::SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, port),
        name: Name::new(&format!("n{port}")).expect("a plain name"),
        generation: 1,
    };
    let (teller, suspect, third) = (id(1), id(2), id(3));
    let mut holder = Membership::new(teller.clone(), &Settings::default(), 1);
    let mut suspected = Membership::new(suspect.clone(), &Settings::default(), 2);
    // The third says that it suspects the second; the holder has only heard of it.
    let mut gossip = vec![0x53];
    let header = Header { src: third, src_incarnation: 0, dst: teller, message: Message::Gossip };
    WireCodec.encode_header(&header, &mut gossip).expect("a Vec has room");
    gossip.put_u16(1);
    WireCodec
        .encode_member(&Member::new(suspect.clone(), 0, State::Suspect), &mut gossip)
        .expect("a Vec has room");
    holder.on_datagram(S, &gossip);
    // All that the holder says is lost, until it tells the suspected directly.
    let mut now = S;
    while holder.stats().suspects_notified == 0 {
        assert_eq!(holder.view().liveness_of("n2"), Some(Liveness::Suspect));
        assert!(now < 5 * S, "not told within 4 s");
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
    let entry = holder.view().entries().iter().find(|e| e.id == suspect).cloned().expect("known");
    assert_eq!((entry.liveness, entry.incarnation), (Liveness::Alive, 1));
}

#[test]
fn the_check_names_a_suspicion_that_outlives_the_bound() {
    let settings = Settings::default();
    let looks = (settings.suspicion_max().as_millis() / LOOK.as_millis()) as usize;
    let f = Fleet::new(2, &settings, Faults::default(), 1);
    let (holder, suspect) = (f.id(0), f.id(1));
    // Two suspicions with a refutation between them are two.
    let mut refuted = Suspicions::new(&settings);
    for i in 0..2 * looks {
        assert_eq!(refuted.look(&holder, &[(suspect.clone(), (i / looks) as u16)]), Ok(()));
    }
    // One that stays is named at the first look past the bound.
    let mut stays = Suspicions::new(&settings);
    for _ in 0..looks {
        assert_eq!(stays.look(&holder, &[(suspect.clone(), 0)]), Ok(()));
    }
    let named = stays.look(&holder, &[(suspect.clone(), 0)]).expect_err("past the bound");
    assert!(named.contains(&format!("held {suspect} incarnation 0 for suspect")), "{named}");
}
