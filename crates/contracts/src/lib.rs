//! Conformance suites for transports and stores, for tests only. An implementation runs a whole suite with
//! one call.
//!
//! The suites are themselves tested on deliberately broken implementations: a suite must report the clause
//! that each of them violates.

pub mod relay;
pub mod store;
pub mod transport;
