//! A stand-in router: reads speakers' lines, drops routes of those that are silent or gone, steers clients.
//!
//! Pure: the carrier that reads pipes hands it lines with its own clock.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use magpietally_transport::Name;

use crate::check::{Observation, Record};
use crate::route_command::RouteCommand;
use crate::rules::ADDRESSES_MAX;

/// Records kept until they are taken, at most: the oldest rest of a run is worth more than memory without bound.
const RECORDS_MAX: usize = 1 << 20;
/// The longest line that is read, in bytes: a route's line has under 100.
const LINE_MAX_BYTES: usize = 256;

#[derive(Clone, Debug)]
struct Session {
    site: Name,
    last_received: Duration,
    routes: BTreeMap<String, u32>,
}

/// The router.
#[derive(Clone, Debug)]
pub struct Router {
    hold_time: Duration,
    sessions: BTreeMap<u32, Session>,
    records: Vec<Record>,
}

impl Router {
    /// A router that drops the routes of a speaker that was silent for `hold`.
    pub fn new(hold_time: Duration) -> Self {
        Self { hold_time, sessions: BTreeMap::new(), records: Vec::new() }
    }

    /// A line came at `now` from the end numbered `session`, which leads to `site`. Whether it could be read.
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

    /// The end numbered `session` closed: all that came by it goes.
    pub fn close_session(&mut self, now: Duration, session: u32) {
        if let Some(s) = self.sessions.remove(&session) {
            for prefix in s.routes.into_keys() {
                self.record(now, Observation::Route { prefix, site: s.site.clone(), session, up: false });
            }
        }
    }

    /// Drops what has not been heard of for the hold time.
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

    /// The sites an address leads to: those of the lowest metric.
    pub fn best_sites(&self, prefix: &str) -> BTreeSet<&Name> {
        let routes = || self.sessions.values().filter_map(|s| Some((*s.routes.get(prefix)?, &s.site)));
        let best = routes().map(|(med, _)| med).min();
        routes().filter(|(med, _)| Some(*med) == best).map(|(_, site)| site).collect()
    }

    /// Where a client with this hash is led, as long as the sites stay the same.
    pub fn select_site(&self, prefix: &str, client: u64) -> Option<&Name> {
        let sites: Vec<&Name> = self.best_sites(prefix).into_iter().collect();
        let n = sites.len() as u64;
        (n > 0).then(|| sites[(client % n) as usize])
    }

    /// What changed since the last call.
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
