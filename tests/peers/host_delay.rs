//! Delays caused by the test host: threads that are scheduled late, and processor time that the hypervisor
//! gives to other guests (steal). Tests that assert a time allow for these, and for next to nothing on a
//! quiet host.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Scheduling delay that is tolerated on a quiet host.
pub const QUIET: Duration = Duration::from_millis(50);
/// Interval at which the scheduling delay is measured.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// Allowance for processor time stolen by the hypervisor: delays of up to 1.1 s occur.
const STEAL_ALLOWANCE: Duration = Duration::from_millis(2000);
/// The allowance applies if more than this fraction of all processor time was stolen.
const STEAL_FRACTION_MIN: f64 = 0.001;

/// Measures the host's delays from its creation until it is dropped.
pub struct HostDelay {
    longest_us: Arc<AtomicU64>,
    started: CpuTimes,
}

/// Processor time since boot over all processors, in ticks.
struct CpuTimes {
    total: u64,
    stolen: u64,
}

impl CpuTimes {
    fn now() -> Self {
        let text = std::fs::read_to_string("/proc/stat").unwrap_or_default();
        let line = text.lines().next().unwrap_or_default();
        let ticks: Vec<u64> = line.split_whitespace().skip(1).filter_map(|t| t.parse().ok()).collect();
        // Columns: user, nice, system, idle, iowait, irq, softirq, steal.
        Self { total: ticks.iter().take(8).sum(), stolen: ticks.get(7).copied().unwrap_or_default() }
    }
}

impl HostDelay {
    /// Starts measuring.
    pub fn start() -> Self {
        let longest_us = Arc::new(AtomicU64::new(0));
        let held = Arc::downgrade(&longest_us);
        std::thread::spawn(move || {
            while let Some(longest) = held.upgrade() {
                let began = Instant::now();
                std::thread::sleep(SAMPLE_INTERVAL);
                let late = began.elapsed().saturating_sub(SAMPLE_INTERVAL);
                longest.fetch_max(late.as_micros() as u64, Ordering::Relaxed);
            }
        });
        Self { longest_us, started: CpuTimes::now() }
    }

    /// The longest time for which the host may have delayed any one thread since the start.
    pub fn max_delay(&self) -> Duration {
        let late = Duration::from_micros(self.longest_us.load(Ordering::Relaxed));
        let now = CpuTimes::now();
        let (total, stolen) = (now.total - self.started.total, now.stolen - self.started.stolen);
        let was_stolen = stolen as f64 > total as f64 * STEAL_FRACTION_MIN;
        QUIET + 2 * late + if was_stolen { STEAL_ALLOWANCE } else { Duration::ZERO }
    }
}
