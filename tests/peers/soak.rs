//! Plays the seeds of a soak test, several at once.

use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// The seeds to run: those that `MAGPIETALLY_SOAK_SEEDS=FIRST..END` names, or the default ones.
fn seeds(default: Range<u64>) -> Range<u64> {
    let Ok(named) = std::env::var("MAGPIETALLY_SOAK_SEEDS") else { return default };
    let (first, end) = named.split_once("..").expect("FIRST..END");
    first.parse().expect("a number")..end.parse().expect("a number")
}

/// Plays all seeds, so many at once, and fails with the errors of those that failed.
pub fn play_seeds(default: Range<u64>, concurrency: usize, play: impl Fn(u64) -> Result<(), String> + Sync) {
    let seeds = seeds(default);
    let next = AtomicU64::new(seeds.start);
    let failures = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..concurrency {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::SeqCst);
                if !seeds.contains(&seed) {
                    return;
                }
                if let Err(words) = play(seed) {
                    failures.lock().expect("no panic").push(format!("seed {seed}, {words}"));
                }
            });
        }
    });
    let failures = failures.into_inner().expect("no panic");
    assert!(failures.is_empty(), "{} of {} seeds:\n{}", failures.len(), seeds.count(), failures.join("\n"));
}
