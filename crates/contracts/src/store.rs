//! What every store must hold.
