//! System-call fault injection: preloads the fault shim (`tests/fault_shim`) into nodes and reads its counts.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::OnceLock;

/// The path of the shim's library, built on first use. No test target links it, as it would replace that
/// test's own calls.
pub fn shim() -> &'static Path {
    static SHIM: OnceLock<PathBuf> = OnceLock::new();
    SHIM.get_or_init(|| {
        let target = Path::new(env!("CARGO_TARGET_TMPDIR")).join("fault-shim");
        let built = Command::new(env!("CARGO"))
            .args(["build", "--locked", "--quiet", "--package", "magpietally-fault-shim", "--target-dir"])
            .arg(&target)
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .status();
        assert!(built.expect("cargo runs").success(), "the fault shim is built");
        target.join("debug/libmagpietally_fault_shim.so")
    })
}

/// The faults injected into one or more nodes: a plan (its syntax: `tests/fault_shim/src/plan.rs`), a seed,
/// and a switch.
pub struct Faults {
    plan: String,
    seed: u64,
    counts: PathBuf,
    switch: PathBuf,
}

impl Faults {
    /// A plan that is active from the start.
    pub fn new(plan: &str, seed: u64) -> Self {
        let faults = Self::switched_off(plan, seed);
        faults.switch(true);
        faults
    }

    /// A plan that is active only once it is switched on.
    pub fn switched_off(plan: &str, seed: u64) -> Self {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let name = format!("faults-{}-{number}", std::process::id());
        let (counts, switch) =
            (directory.join(format!("{name}.counts")), directory.join(format!("{name}.on")));
        // An earlier run may have left them.
        let _ = std::fs::remove_file(&counts);
        let _ = std::fs::remove_file(&switch);
        Self { plan: plan.into(), seed, counts, switch }
    }

    /// Switches the faults on or off, also for running processes.
    pub fn switch(&self, on: bool) {
        if on {
            std::fs::write(&self.switch, "").expect("a file");
        } else {
            std::fs::remove_file(&self.switch).expect("it was on");
        }
    }

    /// The environment variables that a process needs.
    pub fn environment(&self) -> Vec<(&'static str, String)> {
        vec![
            ("LD_PRELOAD", shim().display().to_string()),
            ("MAGPIETALLY_FAULTS", self.plan.clone()),
            ("MAGPIETALLY_FAULTS_SEED", self.seed.to_string()),
            ("MAGPIETALLY_FAULTS_COUNTS", self.counts.display().to_string()),
            ("MAGPIETALLY_FAULTS_SWITCH", self.switch.display().to_string()),
        ]
    }

    /// The number of faults that each rule has injected so far.
    pub fn counts(&self) -> Vec<u64> {
        let bytes = std::fs::read(&self.counts).unwrap_or_default();
        bytes.chunks_exact(8).map(|b| u64::from_le_bytes(b.try_into().expect("eight bytes"))).collect()
    }

    /// Returns whether every rule has injected a fault.
    pub fn all_injected(&self) -> bool {
        let counts = self.counts();
        !counts.is_empty() && counts.iter().all(|count| *count > 0)
    }

    /// Asserts that every rule has injected a fault: otherwise the test proves nothing.
    pub fn assert_injected(&self) {
        assert!(self.all_injected(), "{}: {:?}", self.plan, self.counts());
    }
}
