//! Service addresses advertised from healthy sites: health, ownership, damping.
