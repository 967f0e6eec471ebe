//! What every transport and every store must hold, as suites that each implementation passes by one call; for tests only.
//!
//! Each suite is itself held to deliberately broken implementations: it names the clause that each of them breaks.

pub mod relay;
pub mod store;
pub mod transport;
