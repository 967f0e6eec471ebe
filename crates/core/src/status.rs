//! The servers' part of a status line. Few servers are listed one by one; for many there is a summary, and
//! only outliers are listed, so that the line's length does not grow with the number of servers.

use std::fmt::Write;

use magpietally_policy::{ServerId, ServerStatus};

/// Up to this many servers are listed one by one.
const LISTED_MAX: usize = 24;
/// Of more servers, at most this many outliers are listed.
const OUTLIERS_MAX: usize = 8;
/// A server is an outlier if its learned share differs from the median by more than this factor.
const SHARE_FACTOR: f64 = 1.25;
/// A server is an outlier if its limit is below this fraction of the median.
const LIMIT_FRACTION: f64 = 0.5;

/// The servers' part of a status line; if there are any servers, it begins with a semicolon.
pub(crate) fn servers<'a>(all: &[ServerStatus], name: impl Fn(ServerId) -> Option<&'a str>) -> String {
    let mut line = String::new();
    let mut write_server = |s: &ServerStatus| {
        // Writing to a string can't fail.
        let _ = write!(line, "; {} out {} limit {:.2}", name(s.server).unwrap_or("?"), s.in_flight, s.limit);
        let _ = write!(line, " share {:.2}", s.learned_weight);
        if s.warmth < 1.0 {
            let _ = write!(line, " warmth {:.2}", s.warmth);
        }
        if s.ejected {
            line += " ejected";
        }
    };
    if all.len() <= LISTED_MAX {
        all.iter().for_each(write_server);
        return line;
    }
    let (limits, shares) = (spread(all, |s| s.limit), spread(all, |s| s.learned_weight));
    let mut outliers: Vec<(f64, &ServerStatus)> =
        all.iter().map(|s| (deviation(s, limits.1, shares.1), s)).filter(|(by, _)| *by > 0.0).collect();
    let count = outliers.len();
    // The largest deviations first, equal ones by server id, so that consecutive lines look alike.
    outliers.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.server.cmp(&b.1.server)));
    outliers.iter().take(OUTLIERS_MAX).for_each(|(_, s)| write_server(s));
    let count_of = |matches: fn(&ServerStatus) -> bool| all.iter().filter(|s| matches(s)).count();
    let (ejected, cold) = (count_of(|s| s.ejected), count_of(|s| s.warmth < 1.0));
    let full = count_of(|s| !s.ejected && s.in_flight > 0 && s.in_flight as f64 >= s.limit.floor());
    let out: usize = all.iter().map(|s| s.in_flight).sum();
    let spread_text = |(min, median, max): (f64, f64, f64)| format!("{min:.2}/{median:.2}/{max:.2}");
    let more = if count > OUTLIERS_MAX {
        format!("; {} more stand out", count - OUTLIERS_MAX)
    } else {
        String::new()
    };
    format!(
        "; {} servers: ejected {ejected} cold {cold} full {full} out {out}, limits {} shares {}{line}{more}",
        all.len(),
        spread_text(limits),
        spread_text(shares)
    )
}

/// How far a server deviates from the median ones; 0 if it is no outlier.
fn deviation(s: &ServerStatus, limit: f64, share: f64) -> f64 {
    if s.ejected {
        return f64::INFINITY;
    }
    let factor = (s.learned_weight / share).max(share / s.learned_weight);
    let low = limit / s.limit;
    let by_share = if factor > SHARE_FACTOR { factor } else { 0.0 };
    let by_limit = if low * LIMIT_FRACTION > 1.0 { low } else { 0.0 };
    by_share.max(by_limit)
}

/// The minimum, the median and the maximum.
fn spread(all: &[ServerStatus], of: fn(&ServerStatus) -> f64) -> (f64, f64, f64) {
    let mut values: Vec<f64> = all.iter().map(of).collect();
    let middle = values.len() / 2;
    if values.is_empty() {
        return (0.0, 0.0, 0.0);
    }
    let (below, median, above) = values.select_nth_unstable_by(middle, f64::total_cmp);
    let min = below.iter().copied().fold(*median, f64::min);
    (min, *median, above.iter().copied().fold(*median, f64::max))
}

#[cfg(test)]
mod tests;
