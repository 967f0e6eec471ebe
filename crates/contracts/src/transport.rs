//! What every transport must hold.
