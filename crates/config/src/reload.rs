//! Whether and when a list that was read is applied, pure: time is an argument.

use std::time::Duration;

use crate::server_list::{Problem, ServerList, ServerState};

/// What the tracker goes by.
#[derive(Clone, Copy, Debug)]
pub struct ReloadRules {
    /// How long a list that takes away more than half of the boxes is held, in case it is a mistake.
    pub hold: Duration,
    /// How long a file that was written in place must have stood still.
    pub quiet_period: Duration,
    /// How often the same trouble is told again.
    pub report_interval: Duration,
}

/// What a look at the file brought.
#[derive(Clone, Debug, PartialEq)]
pub enum FileCheck {
    /// The file is as it was at the last look.
    Unchanged,
    /// It was replaced as a whole: another file has its name.
    Replaced(Vec<u8>),
    /// It is the same file with other content: somebody may still be writing.
    Modified(Vec<u8>),
    /// It can't be read.
    Unreadable(String),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum ReloadAction {
    /// Nothing.
    None,
    /// The list holds from now on.
    Apply(ServerList),
    /// The last good one stays; what to tell the operator, in lines.
    Report(Vec<String>),
}

#[derive(Debug)]
enum Waits {
    /// Nothing.
    None,
    /// For a file that was written in place to stand still.
    Still { bytes: Vec<u8>, since: Duration },
    /// For a mistake to be mended.
    Held { list: ServerList, bytes: Vec<u8>, since: Duration },
}

/// Keeps the last good list.
#[derive(Debug)]
pub struct ReloadTracker {
    rules: ReloadRules,
    good: Option<ServerList>,
    /// The file that it was read from.
    good_bytes: Vec<u8>,
    /// Since when the last good one holds, and since when something is wrong with the file.
    applied: Duration,
    wrong: Option<(Vec<String>, Duration)>,
    waits: Waits,
}

impl ReloadTracker {
    /// No list yet.
    pub fn new(rules: ReloadRules) -> Self {
        let (good_bytes, applied) = (Vec::new(), Duration::ZERO);
        Self { rules, good: None, good_bytes, applied, wrong: None, waits: Waits::None }
    }

    /// The list that holds.
    pub fn last_valid(&self) -> Option<&ServerList> {
        self.good.as_ref()
    }

    /// Is something wrong with the file, as far as the last look saw?
    pub fn has_problem(&self) -> bool {
        self.wrong.is_some()
    }

    /// Takes a look in. `now` is a time that never runs backwards.
    pub fn observe(&mut self, now: Duration, check: FileCheck) -> ReloadAction {
        match check {
            FileCheck::Replaced(bytes) => {
                self.waits = Waits::None;
                self.judge(now, bytes)
            }
            FileCheck::Modified(bytes) => {
                // The next look may bring more of it.
                self.waits = Waits::Still { bytes, since: now };
                self.again(now)
            }
            FileCheck::Unreadable(words) => {
                self.waits = Waits::None;
                self.refuse(now, vec![words])
            }
            FileCheck::Unchanged => match std::mem::replace(&mut self.waits, Waits::None) {
                Waits::Still { bytes, since } if now.saturating_sub(since) >= self.rules.quiet_period => {
                    self.judge(now, bytes)
                }
                Waits::Held { list, bytes, since } if now.saturating_sub(since) >= self.rules.hold => {
                    self.apply(now, list, bytes)
                }
                waits => {
                    self.waits = waits;
                    self.again(now)
                }
            },
        }
    }

    fn judge(&mut self, now: Duration, bytes: Vec<u8>) -> ReloadAction {
        let list = match crate::server_list::parse(&bytes) {
            Ok(list) => list,
            Err(problems) => return self.refuse(now, problems.iter().map(Problem::to_string).collect()),
        };
        if self.good.as_ref() == Some(&list) {
            self.wrong = None;
            return ReloadAction::None;
        }
        if let Some(words) = self.doubt(&list, &bytes) {
            self.waits = Waits::Held { list, bytes, since: now };
            return self.refuse(now, vec![words]);
        }
        self.apply(now, list, bytes)
    }

    /// Why a list that nothing is wrong with may be a mistake all the same.
    fn doubt(&self, list: &ServerList, bytes: &[u8]) -> Option<String> {
        let hold = self.rules.hold.as_secs_f64();
        // Its boxes add up, but what stood at its end is lost: a drain of the last box, perhaps.
        if bytes.len() < self.good_bytes.len() && self.good_bytes.starts_with(bytes) {
            return Some(format!(
                "it is the beginning of the one before: is the copy whole? held for {hold} s"
            ));
        }
        let (had, keeps) = self.kept(list);
        (2 * keeps < had && !list.shrink_is_meant && !list.empty_is_meant).then(|| {
            let gone = had - keeps;
            format!("it takes away {gone} of {had} boxes in service; held for {hold} s, unless it says shrink_is_meant = true")
        })
    }

    /// How many boxes take requests by the last good list, and how many of these by the new one.
    fn kept(&self, list: &ServerList) -> (usize, usize) {
        let active = |list: &ServerList| {
            let in_service = list.servers.iter().filter(|b| b.state == ServerState::Active);
            in_service.map(|b| b.name.clone()).collect::<std::collections::BTreeSet<_>>()
        };
        let had = self.good.as_ref().map(active).unwrap_or_default();
        let keeps = active(list).intersection(&had).count();
        (had.len(), keeps)
    }

    fn apply(&mut self, now: Duration, list: ServerList, bytes: Vec<u8>) -> ReloadAction {
        (self.wrong, self.applied, self.good_bytes) = (None, now, bytes);
        self.good = Some(list.clone());
        ReloadAction::Apply(list)
    }

    fn refuse(&mut self, now: Duration, lines: Vec<String>) -> ReloadAction {
        if self.wrong.as_ref().is_some_and(|(told, _)| *told == lines) {
            return self.again(now);
        }
        self.wrong = Some((lines, now));
        self.tell(now)
    }

    /// The same trouble is told again after a while, with the age of the list that holds.
    fn again(&mut self, now: Duration) -> ReloadAction {
        match &mut self.wrong {
            Some((_, told)) if now.saturating_sub(*told) >= self.rules.report_interval => {
                *told = now;
                self.tell(now)
            }
            _ => ReloadAction::None,
        }
    }

    fn tell(&self, now: Duration) -> ReloadAction {
        let mut lines: Vec<String> = self.wrong.iter().flat_map(|(lines, _)| lines.clone()).collect();
        lines.push(match &self.good {
            None => "there is no list to go on with".to_string(),
            Some(good) => format!(
                "the last good list stays: {} boxes, since {:.0} s",
                good.servers.len(),
                now.saturating_sub(self.applied).as_secs_f64()
            ),
        });
        ReloadAction::Report(lines)
    }
}
