//! Counters of the faults that each rule has injected, kept in a mapped file if one is named.

use std::ffi::CString;
use std::sync::atomic::{AtomicU64, Ordering};

/// A counter for each rule.
pub struct Counts(&'static [AtomicU64]);

impl Counts {
    /// Counters for `rules` rules, in the file at `path` if it can be mapped, else in memory.
    pub fn new(rules: usize, path: Option<String>) -> Self {
        let mapped = path.and_then(|path| map(rules, &path));
        Self(mapped.unwrap_or_else(|| {
            let in_memory: Vec<AtomicU64> = (0..rules).map(|_| AtomicU64::new(0)).collect();
            Box::leak(in_memory.into_boxed_slice())
        }))
    }

    /// Counts a fault of a rule.
    pub fn add(&self, rule: usize) {
        if let Some(count) = self.0.get(rule) {
            count.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Maps the file. Uses raw system calls: calls through the replaced functions would count as the program's.
fn map(rules: usize, path: &str) -> Option<&'static [AtomicU64]> {
    let path = CString::new(path).ok()?;
    let bytes = rules.max(1) * size_of::<AtomicU64>();
    let flags = libc::O_RDWR | libc::O_CREAT | libc::O_CLOEXEC;
    // SAFETY: the path is a C string that is valid during the call; the descriptor is checked before it is
    // used.
    let file = unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), flags, 0o644) };
    let file = i32::try_from(file).ok().filter(|fd| *fd >= 0)?;
    // SAFETY: the descriptor is open; a shared mapping of its own is never unmapped, so the slice lives as
    // long as the process, and atomics may be changed by others at any time. All-zero bytes are valid
    // counters.
    unsafe {
        let resized = libc::syscall(libc::SYS_ftruncate, file, bytes);
        let at = libc::mmap(
            std::ptr::null_mut(),
            bytes,
            libc::PROT_READ | libc::PROT_WRITE,
            libc::MAP_SHARED,
            file,
            0,
        );
        libc::syscall(libc::SYS_close, file);
        if resized != 0 || at == libc::MAP_FAILED {
            return None;
        }
        Some(std::slice::from_raw_parts(at.cast::<AtomicU64>(), rules))
    }
}
