//! One number for a whole run.

/// Folds what happened, in order, into 64 bits: equal for equal runs, and different for different ones but for chance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Trace(u64);

impl Trace {
    pub(crate) fn fold(&mut self, what: u64) {
        // The multiplier of PCG's own step: odd and well mixed. It is no cryptographic hash and need not be.
        self.0 = (self.0.rotate_left(23) ^ what).wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
    }

    pub(crate) fn bytes(&mut self, bytes: &[u8]) {
        self.fold(bytes.len() as u64);
        self.fold(u64::from(crc32fast::hash(bytes)));
    }

    pub(crate) fn value(&self) -> u64 {
        self.0
    }
}
