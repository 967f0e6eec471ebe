//! A hash of a whole run.

/// A 64-bit hash of the events of a run, in order. Equal runs have equal hashes, and different runs have
/// different ones, except for collisions.
#[derive(Clone, Debug, Default)]
pub(crate) struct Trace(u64);

impl Trace {
    pub(crate) fn fold(&mut self, value: u64) {
        // The multiplier of PCG, which is odd and mixes well. The hash does not need to be cryptographic.
        self.0 = (self.0.rotate_left(23) ^ value).wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
    }

    pub(crate) fn fold_bytes(&mut self, bytes: &[u8]) {
        self.fold(bytes.len() as u64);
        self.fold(u64::from(crc32fast::hash(bytes)));
    }

    pub(crate) fn value(&self) -> u64 {
        self.0
    }
}
