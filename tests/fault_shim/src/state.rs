//! The process's plan with its draws: decides whether a call fails.

use std::cell::Cell;
use std::ffi::CString;
use std::mem::MaybeUninit;
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::OnceLock;

use libc::c_int;

use crate::calls::real_clock_gettime;
use crate::counts::Counts;
use crate::plan::{self, Call, Fault, Kind, Rule};

struct State {
    rules: Vec<Rule>,
    /// How many calls each rule has seen.
    seen: Vec<AtomicU64>,
    counts: Counts,
    seed: u64,
    draws: AtomicU64,
    switch: Option<CString>,
    /// The earliest time that was seen.
    began_ms: AtomicU64,
}

static STATE: OnceLock<State> = OnceLock::new();

thread_local! {
    /// This thread is deciding about a call: what it calls meanwhile is not the program's.
    static DECIDES: Cell<bool> = const { Cell::new(false) };
}

/// What befalls a call on this descriptor (-1 where there is none), if anything does.
pub fn fault(call: Call, descriptor: c_int) -> Option<Fault> {
    // A thread that ends has no such value any more, and makes no call of the program's.
    if DECIDES.try_with(|decides| decides.replace(true)).unwrap_or(true) {
        return None;
    }
    let state = STATE.get_or_init(State::from_environment);
    let fault = state.fault(call, descriptor);
    let _ = DECIDES.try_with(|decides| decides.set(false));
    fault
}

/// Milliseconds of the monotonic clock.
fn now_ms() -> u64 {
    let mut now = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    real_clock_gettime(libc::CLOCK_MONOTONIC, &mut now);
    now.tv_sec as u64 * 1000 + now.tv_nsec as u64 / 1_000_000
}

impl State {
    fn from_environment() -> Self {
        let plan = std::env::var("MAGPIETALLY_FAULTS").unwrap_or_default();
        let plan = if commanded() { plan } else { String::new() };
        let rules = match plan::parse(&plan) {
            Ok(rules) => rules,
            Err(rule) => {
                // A test with a plan that can't be read must not pass for one whose faults did no harm.
                eprintln!("fault shim: can't read the rule {rule:?}");
                std::process::abort();
            }
        };
        let seed = std::env::var("MAGPIETALLY_FAULTS_SEED").ok().and_then(|seed| seed.parse().ok());
        let switch = std::env::var("MAGPIETALLY_FAULTS_SWITCH").ok();
        Self {
            seen: rules.iter().map(|_| AtomicU64::new(0)).collect(),
            counts: Counts::new(rules.len(), std::env::var("MAGPIETALLY_FAULTS_COUNTS").ok()),
            rules,
            seed: seed.unwrap_or(1),
            draws: AtomicU64::new(0),
            switch: switch.and_then(|path| CString::new(path).ok()),
            began_ms: AtomicU64::new(now_ms()),
        }
    }

    fn fault(&self, call: Call, descriptor: c_int) -> Option<Fault> {
        (0..self.rules.len()).find_map(|number| self.by_rule(number, call, descriptor))
    }

    fn by_rule(&self, number: usize, call: Call, descriptor: c_int) -> Option<Fault> {
        let rule = &self.rules[number];
        if rule.call != call || rule.on.is_some_and(|kind| !is_of_kind(descriptor, kind)) {
            return None;
        }
        let age = self.age_ms();
        if age < rule.from_ms || age - rule.from_ms >= rule.for_ms || !self.switched_on() {
            return None;
        }
        let seen = self.seen[number].fetch_add(1, Ordering::Relaxed);
        if seen >= rule.first {
            return None;
        }
        if seen > 0 && self.draw() >= rule.probability {
            return None;
        }
        self.counts.add(number);
        Some(rule.fault)
    }

    /// How old the process is by the clock that it sees. Another preloaded library may put a clock of its own in the place of the
    /// kernel's once the process runs, which then begins anew.
    fn age_ms(&self) -> u64 {
        let now = now_ms();
        let began = self.began_ms.fetch_min(now, Ordering::Relaxed).min(now);
        now - began
    }

    fn switched_on(&self) -> bool {
        let Some(path) = &self.switch else { return true };
        // SAFETY: the path is a C string that lives through the call.
        unsafe { libc::syscall(libc::SYS_access, path.as_ptr(), libc::F_OK) == 0 }
    }

    /// The next number from 0 to 1, by SplitMix64.
    fn draw(&self) -> f64 {
        const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;
        let step = self.draws.fetch_add(1, Ordering::Relaxed).wrapping_add(1);
        let mut mixed = self.seed.wrapping_add(step.wrapping_mul(GOLDEN));
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        (mixed >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Is this process one that the plan is for?
fn commanded() -> bool {
    let only = std::env::var("MAGPIETALLY_FAULTS_COMMAND").ok();
    only.is_none_or(|command| std::env::args().nth(1) == Some(command))
}

/// Descriptors up to this number are known by how they came to be.
const KNOWN: usize = 4096;
const UNKNOWN: u8 = 0;
const DIALLED: u8 = 1;
const ACCEPTED: u8 = 2;

static ORIGINS: [AtomicU8; KNOWN] = [const { AtomicU8::new(UNKNOWN) }; KNOWN];

fn set_origin(descriptor: c_int, origin: u8) {
    if let Some(known) = usize::try_from(descriptor).ok().and_then(|number| ORIGINS.get(number)) {
        known.store(origin, Ordering::Relaxed);
    }
}

/// A socket was connected.
pub fn dialled(descriptor: c_int) {
    set_origin(descriptor, DIALLED);
}

/// A socket was accepted.
pub fn accepted(descriptor: c_int) {
    set_origin(descriptor, ACCEPTED);
}

/// A descriptor is closed.
pub fn closed(descriptor: c_int) {
    set_origin(descriptor, UNKNOWN);
}

fn is_of_kind(descriptor: c_int, kind: Kind) -> bool {
    let origin = usize::try_from(descriptor).ok().and_then(|number| ORIGINS.get(number));
    let origin = origin.map_or(UNKNOWN, |origin| origin.load(Ordering::Relaxed));
    match kind {
        Kind::Dialled => origin == DIALLED,
        Kind::Accepted => origin == ACCEPTED,
        Kind::Local => domain(descriptor) == Some(libc::AF_UNIX),
        Kind::Socket => file_type(descriptor) == Some(libc::S_IFSOCK),
        Kind::File => file_type(descriptor) == Some(libc::S_IFREG),
        Kind::Event => file_type(descriptor) == Some(0),
    }
}

/// A socket's family of addresses.
fn domain(descriptor: c_int) -> Option<c_int> {
    let mut domain: c_int = 0;
    let mut size = size_of::<c_int>() as libc::socklen_t;
    // SAFETY: both places live through the call, and the size is that of the first.
    let read = unsafe {
        let (level, option) = (libc::SOL_SOCKET, libc::SO_DOMAIN);
        libc::syscall(libc::SYS_getsockopt, descriptor, level, option, &raw mut domain, &raw mut size)
    };
    (read == 0).then_some(domain)
}

/// The type in a descriptor's mode.
fn file_type(descriptor: c_int) -> Option<libc::mode_t> {
    let mut about = MaybeUninit::<libc::stat>::zeroed();
    // SAFETY: the buffer is large enough for what is written to it, and all-zero bytes are a valid `stat`.
    let mode = unsafe {
        if libc::syscall(libc::SYS_fstat, descriptor, about.as_mut_ptr()) != 0 {
            return None;
        }
        about.assume_init().st_mode
    };
    Some(mode & libc::S_IFMT)
}
