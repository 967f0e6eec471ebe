//! Tests of the app box model.

use magpietally_site::examples;
use magpietally_site::model::app_box::{AppBox, FinishedJob, Job, JobId, ServerResponse};
use magpietally_site::model::faults::BoxFaults;
use magpietally_site::model::random::{Purpose, Stream};
use magpietally_site::model::spec::{BoxKind, CancelStops};

const MS: u64 = 1000;

fn kind() -> BoxKind {
    let mut kind = examples::site("club").expect("it is embedded").boxes[0].clone();
    (kind.speed_spread, kind.errors, kind.keys_kept, kind.crowded_loss) = (0.0, 0.0, 0, 0.0);
    (kind.cores, kind.slots, kind.waiting) = (1, None, 2);
    kind
}

fn new(kind: &BoxKind) -> AppBox {
    AppBox::new(kind, Stream::new(1, Purpose::Boxes))
}

fn job(id: u64, ms: u64) -> Job {
    Job { id: JobId(id), key: id as u32, class: 0, work: (ms * MS) as f64, deadline: u64::MAX }
}

/// Advances a box up to a time; returns what ended, and when.
fn play(app_box: &mut AppBox, from: u64, to: u64) -> Vec<(u64, u64, ServerResponse)> {
    let (mut now, mut all, mut done) = (from, Vec::new(), Vec::new());
    while let Some(next) = app_box.next(now).filter(|next| *next <= to) {
        now = next;
        app_box.advance(now, &mut done);
        all.extend(done.drain(..).map(|f: FinishedJob| (f.id.0, now, f.response)));
    }
    all
}

fn offer(app_box: &mut AppBox, now: u64, job: Job) -> Vec<ServerResponse> {
    let mut done = Vec::new();
    app_box.offer(now, job, &mut done);
    done.into_iter().filter(|f| f.id == job.id).map(|f| f.response).collect()
}

#[test]
fn requests_beyond_the_queue_are_rejected_and_the_rest_is_served_in_order() {
    let mut one = new(&kind());
    for id in 0..3 {
        assert!(offer(&mut one, 0, job(id, 10)).is_empty());
    }
    assert_eq!(offer(&mut one, 0, job(3, 10)), [ServerResponse::Rejected]);
    let served = [
        (0, 10 * MS, ServerResponse::Served),
        (1, 20 * MS, ServerResponse::Served),
        (2, 30 * MS, ServerResponse::Served),
    ];
    assert_eq!(play(&mut one, 0, 1000 * MS), served);
}

#[test]
fn running_requests_share_the_cores() {
    let mut shared = new(&BoxKind { slots: Some(2), ..kind() });
    offer(&mut shared, 0, job(0, 10));
    offer(&mut shared, 5 * MS, job(1, 10));
    // The first runs alone for 5 ms, then both run at half speed: its remaining 5 ms of work take 10 ms.
    // After that the second runs alone.
    let ended = [(0, 15 * MS, ServerResponse::Served), (1, 20 * MS, ServerResponse::Served)];
    assert_eq!(play(&mut shared, 5 * MS, 1000 * MS), ended);
}

/// Whether a cancellation stops the work of a queued or running attempt depends on the box's settings.
#[test]
fn a_cancellation_stops_what_the_box_settings_allow() {
    for (stops, running, waiting) in [
        (CancelStops::Nothing, false, false),
        (CancelStops::Waiting, false, true),
        (CancelStops::All, true, true),
    ] {
        let mut one = new(&BoxKind { cancel_stops: stops, ..kind() });
        offer(&mut one, 0, job(0, 10));
        offer(&mut one, 0, job(1, 10));
        let mut done = Vec::new();
        assert_eq!(one.cancel(2 * MS, JobId(1), &mut done), waiting, "{stops:?}");
        assert_eq!(one.cancel(4 * MS, JobId(0), &mut done), running, "{stops:?}");
        let ran = play(&mut one, 4 * MS, 1000 * MS).len();
        assert_eq!(ran, 2 - usize::from(running) - usize::from(waiting), "{stops:?}");
        assert_eq!(one.wasted(), if running { 4000.0 } else { 0.0 }, "{stops:?}");
    }
}

/// Two events at the same instant: a request ends as the next one arrives, and its slot is free.
#[test]
fn a_request_that_arrives_as_another_ends_gets_its_slot() {
    let mut one = new(&BoxKind { waiting: 0, ..kind() });
    offer(&mut one, 0, job(0, 10));
    let mut done = Vec::new();
    one.offer(10 * MS, job(1, 10), &mut done);
    assert_eq!(done.iter().map(|f| (f.id.0, f.response)).collect::<Vec<_>>(), [(0, ServerResponse::Served)]);
    assert_eq!(play(&mut one, 10 * MS, 1000 * MS), [(1, 20 * MS, ServerResponse::Served)]);
}

#[test]
fn a_restarted_box_is_cold_has_a_new_incarnation_and_has_lost_its_requests() {
    let mut one = new(&BoxKind { cold_share: 0.2, warm_s: 10.0, ..kind() });
    offer(&mut one, 0, job(0, 10));
    one.stop(4 * MS);
    assert!(offer(&mut one, 5 * MS, job(1, 10)).is_empty(), "a stopped box does not answer");
    let life = one.incarnation();
    one.start(6 * MS);
    assert_ne!(one.incarnation(), life);
    assert_eq!(one.request_count(), 0);
    offer(&mut one, 6 * MS, job(2, 10));
    let ended = play(&mut one, 6 * MS, 1000 * MS);
    assert_eq!(
        ended.iter().map(|e| e.0).collect::<Vec<_>>(),
        [2],
        "requests from before the restart are lost"
    );
    assert!((49 * MS..=51 * MS).contains(&(ended[0].1 - 6 * MS)), "expected a fifth of the speed: {ended:?}");
    assert!((one.warmth(5_006 * MS) - 0.6).abs() < 0.02 && one.warmth(10_006 * MS) == 1.0);
}

#[test]
fn a_hung_box_accepts_requests_and_answers_none_until_it_recovers() {
    let mut one = new(&BoxKind { drops_expired: true, ..kind() });
    let mut done = Vec::new();
    one.set_faults(0, BoxFaults { hung: true, slow: 1.0, ..BoxFaults::default() }, &mut done);
    offer(&mut one, 0, Job { deadline: 50 * MS, ..job(0, 10) });
    offer(&mut one, 0, job(1, 10));
    assert_eq!(one.next(0), None);
    one.set_faults(100 * MS, BoxFaults { slow: 1.0, ..BoxFaults::default() }, &mut done);
    // The first request's deadline has passed; it is dropped without any work.
    assert_eq!(
        done.iter().map(|f| (f.id.0, f.response)).collect::<Vec<_>>(),
        [(0, ServerResponse::Rejected)]
    );
    assert_eq!(play(&mut one, 100 * MS, 1000 * MS), [(1, 110 * MS, ServerResponse::Served)]);
}

#[test]
fn a_box_under_contention_is_slower_and_a_known_key_costs_less() {
    let contended = BoxKind { waiting: 100, crowded_from: 2.0, crowded_loss: 0.1, ..kind() };
    let mut one = new(&contended);
    (0..6).for_each(|id| assert!(offer(&mut one, 0, job(id, 10)).is_empty()));
    // Six requests, four more than the two per core: 60% of the speed until the first has ended.
    let first = play(&mut one, 0, 17 * MS);
    assert_eq!(first.len(), 1);
    assert!((16 * MS..=17 * MS).contains(&first[0].1), "{first:?}");

    let mut one = new(&BoxKind { keys_kept: 1, known_key_work: 0.5, ..kind() });
    for (id, key, took) in [(0, 7, 10), (1, 7, 5), (2, 8, 10), (3, 7, 10)] {
        let now = 100 * MS * id;
        offer(&mut one, now, Job { key, ..job(id, 10) });
        assert_eq!(
            play(&mut one, now, now + 99 * MS),
            [(id, now + took * MS, ServerResponse::Served)],
            "{id}"
        );
    }
}
