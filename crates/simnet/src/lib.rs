//! One network in virtual time for all rooms: faults, kills, pauses, clocks; seeded.
