//! Compares the model with results of queueing theory.

use magpietally_site::experiment::mean;
use magpietally_site::model::app_box::{AppBox, FinishedJob, Job, JobId};
use magpietally_site::model::random::{Purpose, Stream};
use magpietally_site::model::spec::Site;
use magpietally_site::virt::{run, Pick, Variant};

const SERVICE: f64 = 10_000.0;

/// Simulates one queue with exponential gaps between arrivals, work with a mean of 10 ms and this coefficient
/// of variation, and this number of servers at this load. Returns the mean waiting time as a multiple of the
/// mean work.
fn waiting(seed: u64, servers: u32, load: f64, cv: f64, count: u64) -> f64 {
    let site = one_box(servers, cv);
    let mut queue = AppBox::new(&site.boxes[0], Stream::new(seed, Purpose::Boxes));
    let mut random = Stream::new(seed, Purpose::Arrivals);
    let gap = SERVICE / (load * f64::from(servers));
    let (mut now, mut exact) = (0, 0.0);
    let (mut came, mut done): (Vec<(u64, f64)>, Vec<FinishedJob>) = (Vec::new(), Vec::new());
    let (mut waited, mut ended) = (0.0, 0);
    let mut count_in = |now: u64, done: &mut Vec<FinishedJob>, came: &[(u64, f64)]| {
        for f in done.drain(..) {
            let (at, work) = came[f.id.0 as usize];
            waited += (now - at) as f64 - work;
            ended += 1;
        }
    };
    for n in 0..count {
        exact += random.exponential() * gap;
        let arrives = exact as u64;
        while let Some(next) = queue.next(now).filter(|next| *next <= arrives) {
            now = next;
            queue.advance(now, &mut done);
            count_in(now, &mut done, &came);
        }
        now = arrives;
        let work = SERVICE * random.varied(cv);
        came.push((now, work));
        let job = Job { id: JobId(n), key: 0, class: 0, work, deadline: u64::MAX };
        queue.offer(now, job, &mut done);
        count_in(now, &mut done, &came);
    }
    while let Some(next) = queue.next(now) {
        now = next;
        queue.advance(now, &mut done);
        count_in(now, &mut done, &came);
    }
    assert_eq!(ended, count, "each request ends exactly once");
    waited / count as f64 / SERVICE
}

fn one_box(cores: u32, cv: f64) -> Site {
    let text = format!(
        r#"
        name = "one"
        for_s = 60.0
        [nodes]
        count = 1
        [[boxes]]
        name = "b"
        count = 1
        cores = {cores}
        waiting = 10000000
        drops_expired = false
        [clients]
        load = 0.5
        [[clients.classes]]
        name = "any"
        share = 1.0
        worth = 1.0
        aim_ms = 100.0
        deadline_ms = 60000.0
        effect = "safe"
        work_ms = 10.0
        work_cv = {cv:?}
        "#
    );
    Site::parse(&text).expect("valid")
}

/// The mean over several seeds differs from theory by at most one and a half times the half width of its 95%
/// interval.
fn agrees(theory: f64, servers: u32, load: f64, cv: f64) {
    let runs: Vec<f64> = (1..=12).map(|seed| waiting(seed, servers, load, cv, 60_000)).collect();
    let (mean, half) = mean(&runs);
    println!("{servers} servers, load {load}, cv {cv}: theory {theory:.4}, measured {mean:.4} ± {half:.4}");
    assert!((mean - theory).abs() <= 1.5 * half, "theory {theory:.4}, measured {mean:.4} ± {half:.4}");
    assert!(half < 0.1 * theory, "the interval is too wide: {mean:.4} ± {half:.4}");
}

#[test]
fn one_server_with_exponential_work_waits_as_theory_predicts() {
    agrees(0.7 / 0.3, 1, 0.7, 1.0);
}

#[test]
fn one_server_with_constant_work_waits_half_as_long() {
    agrees(0.7 / (2.0 * 0.3), 1, 0.7, 0.0);
}

#[test]
fn several_servers_wait_as_erlang_c_predicts() {
    let (servers, load) = (4, 0.8_f64);
    let offered = f64::from(servers) * load;
    // Erlang C, by the recursion of Erlang B.
    let b = (1..=servers).fold(1.0, |b, n| offered * b / (f64::from(n) + offered * b));
    let c = b / (1.0 - load * (1.0 - b));
    agrees(c / (f64::from(servers) * (1.0 - load)), servers, load, 1.0);
}

/// The setting of the paper: one dispatcher, equal boxes that serve requests in order of arrival one at a
/// time, and work with an increasing failure rate. Round robin is no worse than random, for any time that
/// counts as in time.
#[test]
fn round_robin_is_no_worse_than_random_on_equal_boxes() {
    for (aim, cv) in [(15.0, 0.0), (30.0, 0.0), (20.0, 1.0), (60.0, 1.0)] {
        let mut site = one_box(1, cv);
        site.boxes[0].count = 8;
        site.for_s = 6.0;
        site.clients.load = Some(0.8);
        site.clients.classes[0].aim_ms = aim;
        site.network.same_zone_ms = 0.0;
        site.network.client_ms = 0.0;
        site.network.jitter = 0.0;
        let worth = |pick, seed| run(&site, seed, &Variant::baseline(pick)).verdict.worth;
        let pairs = (1..=24).map(|seed| worth(Pick::RoundRobin, seed) - worth(Pick::Random, seed));
        let (by, half) = mean(&pairs.collect::<Vec<_>>());
        println!("aim {aim} ms, cv {cv}: round robin is better by {by:.4} ± {half:.4}");
        assert!(by - half > 0.0, "aim {aim}, cv {cv}: round robin is better by {by:.4} ± {half:.4}");
    }
}
