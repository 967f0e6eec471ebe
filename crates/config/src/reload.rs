//! Decides whether and when a list that was read is applied. Does no I/O; time is an argument.

use std::time::Duration;

use crate::server_list::{Problem, ServerList, ServerState};

/// The rules of a [`ReloadTracker`].
#[derive(Clone, Copy, Debug)]
pub struct ReloadRules {
    /// How long a list that drops more than half of the servers is held back, in case it is a mistake.
    pub hold: Duration,
    /// How long a file that was modified in place must stay unchanged before it is read.
    pub quiet_period: Duration,
    /// How often the same problem is reported again.
    pub report_interval: Duration,
}

/// The result of a check of the file.
#[derive(Clone, Debug, PartialEq)]
pub enum FileCheck {
    /// The file is as it was at the last check.
    Unchanged,
    /// Another file has replaced it under the same name.
    Replaced(Vec<u8>),
    /// It is the same file with other content, and may still be being written.
    Modified(Vec<u8>),
    /// It can't be read; holds the reason.
    Unreadable(String),
}

/// The action to take.
#[derive(Clone, Debug, PartialEq)]
pub enum ReloadAction {
    /// None.
    None,
    /// Use this list from now on.
    Apply(ServerList),
    /// Keep the last valid list; report these lines to the operator.
    Report(Vec<String>),
}

/// A content that is not applied yet.
#[derive(Debug)]
enum Pending {
    /// None.
    None,
    /// A file that was modified in place, until it stays unchanged.
    Settling { bytes: Vec<u8>, since: Duration },
    /// A list that may be a mistake, until it has been held back long enough.
    Held { list: ServerList, bytes: Vec<u8>, since: Duration },
}

/// Keeps the last valid list.
#[derive(Debug)]
pub struct ReloadTracker {
    rules: ReloadRules,
    last_valid: Option<ServerList>,
    /// The content that it was parsed from.
    last_valid_bytes: Vec<u8>,
    /// When the last valid list was applied.
    applied: Duration,
    /// The current problem of the file, and when it was last reported.
    problem: Option<(Vec<String>, Duration)>,
    pending: Pending,
}

impl ReloadTracker {
    /// Creates a tracker without a list.
    pub fn new(rules: ReloadRules) -> Self {
        let (last_valid_bytes, applied) = (Vec::new(), Duration::ZERO);
        Self { rules, last_valid: None, last_valid_bytes, applied, problem: None, pending: Pending::None }
    }

    /// The list in use.
    pub fn last_valid(&self) -> Option<&ServerList> {
        self.last_valid.as_ref()
    }

    /// Returns whether the file had a problem at the last check.
    pub fn has_problem(&self) -> bool {
        self.problem.is_some()
    }

    /// Processes a check of the file. `now` is a monotonic time.
    pub fn observe(&mut self, now: Duration, check: FileCheck) -> ReloadAction {
        match check {
            FileCheck::Replaced(bytes) => {
                self.pending = Pending::None;
                self.evaluate(now, bytes)
            }
            FileCheck::Modified(bytes) => {
                // More of the file may have been written by the next check.
                self.pending = Pending::Settling { bytes, since: now };
                self.repeat_report(now)
            }
            FileCheck::Unreadable(reason) => {
                self.pending = Pending::None;
                self.reject(now, vec![reason])
            }
            FileCheck::Unchanged => match std::mem::replace(&mut self.pending, Pending::None) {
                Pending::Settling { bytes, since }
                    if now.saturating_sub(since) >= self.rules.quiet_period =>
                {
                    self.evaluate(now, bytes)
                }
                Pending::Held { list, bytes, since } if now.saturating_sub(since) >= self.rules.hold => {
                    self.apply(now, list, bytes)
                }
                pending => {
                    self.pending = pending;
                    self.repeat_report(now)
                }
            },
        }
    }

    fn evaluate(&mut self, now: Duration, bytes: Vec<u8>) -> ReloadAction {
        let list = match crate::server_list::parse(&bytes) {
            Ok(list) => list,
            Err(problems) => return self.reject(now, problems.iter().map(Problem::to_string).collect()),
        };
        if self.last_valid.as_ref() == Some(&list) {
            self.problem = None;
            return ReloadAction::None;
        }
        if let Some(reason) = self.suspect_mistake(&list, &bytes) {
            self.pending = Pending::Held { list, bytes, since: now };
            return self.reject(now, vec![reason]);
        }
        self.apply(now, list, bytes)
    }

    /// Returns the reason for which a valid list may still be a mistake.
    fn suspect_mistake(&self, list: &ServerList, bytes: &[u8]) -> Option<String> {
        let hold = self.rules.hold.as_secs_f64();
        // The count of its servers is right, but the end of the file is missing, and with it perhaps the
        // draining state of the last server.
        if bytes.len() < self.last_valid_bytes.len() && self.last_valid_bytes.starts_with(bytes) {
            return Some(format!(
                "it is the beginning of the one before: is the copy whole? held for {hold} s"
            ));
        }
        let (before, kept) = self.count_kept(list);
        (2 * kept < before && !list.shrink_is_meant && !list.empty_is_meant).then(|| {
            let removed = before - kept;
            format!("it takes away {removed} of {before} boxes in service; held for {hold} s, unless it says shrink_is_meant = true")
        })
    }

    /// Returns the number of active servers in the last valid list, and how many of them are active in the
    /// new one.
    fn count_kept(&self, list: &ServerList) -> (usize, usize) {
        let active = |list: &ServerList| {
            let in_service = list.servers.iter().filter(|b| b.state == ServerState::Active);
            in_service.map(|b| b.name.clone()).collect::<std::collections::BTreeSet<_>>()
        };
        let before = self.last_valid.as_ref().map(active).unwrap_or_default();
        let kept = active(list).intersection(&before).count();
        (before.len(), kept)
    }

    fn apply(&mut self, now: Duration, list: ServerList, bytes: Vec<u8>) -> ReloadAction {
        (self.problem, self.applied, self.last_valid_bytes) = (None, now, bytes);
        self.last_valid = Some(list.clone());
        ReloadAction::Apply(list)
    }

    fn reject(&mut self, now: Duration, lines: Vec<String>) -> ReloadAction {
        if self.problem.as_ref().is_some_and(|(reported, _)| *reported == lines) {
            return self.repeat_report(now);
        }
        self.problem = Some((lines, now));
        self.report(now)
    }

    /// Reports the same problem again after [`ReloadRules::report_interval`], with the age of the list in
    /// use.
    fn repeat_report(&mut self, now: Duration) -> ReloadAction {
        match &mut self.problem {
            Some((_, reported_at)) if now.saturating_sub(*reported_at) >= self.rules.report_interval => {
                *reported_at = now;
                self.report(now)
            }
            _ => ReloadAction::None,
        }
    }

    fn report(&self, now: Duration) -> ReloadAction {
        let mut lines: Vec<String> = self.problem.iter().flat_map(|(lines, _)| lines.clone()).collect();
        lines.push(match &self.last_valid {
            None => "there is no list to go on with".to_string(),
            Some(list) => format!(
                "the last good list stays: {} boxes, since {:.0} s",
                list.servers.len(),
                now.saturating_sub(self.applied).as_secs_f64()
            ),
        });
        ReloadAction::Report(lines)
    }
}
