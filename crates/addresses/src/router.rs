//! An emulated router: receives the speakers' commands, drops the routes of silent or closed sessions, and
//! selects a site for each client.
//!
//! It does no I/O: the caller reads the pipes and passes each line with the time of its own clock.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use magpietally_transport::Name;

use crate::check::{Observation, Record};
use crate::route_command::RouteCommand;
use crate::rules::ADDRESSES_MAX;

/// Maximum number of records kept until they are taken. Later records are dropped: memory stays bounded, and
/// the start of a run is kept.
const RECORDS_MAX: usize = 1 << 20;
/// Maximum length of a line that is parsed; a route command is shorter than 100 bytes.
const LINE_MAX_BYTES: usize = 256;

#[derive(Clone, Debug)]
struct Session {
    site: Name,
    last_received: Duration,
    routes: BTreeMap<String, u32>,
}

/// The emulated router.
#[derive(Clone, Debug)]
pub struct Router {
    hold_time: Duration,
    sessions: BTreeMap<u32, Session>,
    records: Vec<Record>,
}

impl Router {
    /// Creates a router that drops the routes of a session that has been silent for `hold_time`.
    pub fn new(hold_time: Duration) -> Self {
        Self { hold_time, sessions: BTreeMap::new(), records: Vec::new() }
    }

    /// Processes a line received at `now` on `session`, whose routes lead to `site`. Returns whether it was
    /// accepted.
    pub fn receive_line(&mut self, now: Duration, session: u32, site: &Name, text: &str) -> bool {
        self.tick(now);
        let Some(command) = (text.len() <= LINE_MAX_BYTES).then(|| RouteCommand::parse(text)).flatten()
        else {
            return false;
        };
        let s = self.sessions.entry(session).or_insert_with(|| Session {
            site: site.clone(),
            last_received: now,
            routes: BTreeMap::new(),
        });
        s.last_received = now;
        let (prefix, announced) = match command {
            RouteCommand::Announce { prefix, med } => {
                if s.routes.len() >= ADDRESSES_MAX && !s.routes.contains_key(&prefix) {
                    return false;
                }
                if s.routes.insert(prefix.clone(), med).is_some() {
                    return true;
                }
                (prefix, true)
            }
            RouteCommand::Withdraw { prefix } => {
                if s.routes.remove(&prefix).is_none() {
                    return true;
                }
                (prefix, false)
            }
        };
        let site = s.site.clone();
        self.record(now, Observation::Route { prefix, site, session, up: announced });
        true
    }

    /// Closes `session` and drops its routes.
    pub fn close_session(&mut self, now: Duration, session: u32) {
        if let Some(s) = self.sessions.remove(&session) {
            for prefix in s.routes.into_keys() {
                self.record(now, Observation::Route { prefix, site: s.site.clone(), session, up: false });
            }
        }
    }

    /// Drops the sessions that have been silent for the hold time.
    pub fn tick(&mut self, now: Duration) {
        let expired: Vec<u32> = self
            .sessions
            .iter()
            .filter(|(_, s)| now >= s.last_received + self.hold_time)
            .map(|(n, _)| *n)
            .collect();
        for session in expired {
            self.close_session(now, session);
        }
    }

    /// The sites to which an address is routed: those with the lowest metric.
    pub fn best_sites(&self, prefix: &str) -> BTreeSet<&Name> {
        let routes = || self.sessions.values().filter_map(|s| Some((*s.routes.get(prefix)?, &s.site)));
        let best = routes().map(|(med, _)| med).min();
        routes().filter(|(med, _)| Some(*med) == best).map(|(_, site)| site).collect()
    }

    /// The site for a client with this hash; it stays the same as long as the best sites do.
    pub fn select_site(&self, prefix: &str, client: u64) -> Option<&Name> {
        let sites: Vec<&Name> = self.best_sites(prefix).into_iter().collect();
        let n = sites.len() as u64;
        (n > 0).then(|| sites[(client % n) as usize])
    }

    /// Returns the route changes since the last call.
    pub fn take_records(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.records)
    }

    fn record(&mut self, at: Duration, what: Observation) {
        if self.records.len() < RECORDS_MAX {
            self.records.push(Record { at, what });
        }
    }
}

#[cfg(test)]
mod tests;
