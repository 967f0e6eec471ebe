//! What a status line says of the servers: of each while they are few, else of all together and of those that stand out.
//! The line is as long with thousands as with a few dozen.

use std::fmt::Write;

use magpietally_policy::{ServerId, ServerStatus};

/// Up to so many servers are told one by one.
const EACH_MOST: usize = 24;
/// Of more, so many that stand out are named.
const NAMED: usize = 8;
/// By which factor a learned share stands out from the middle one.
const SHARE_APART: f64 = 1.25;
/// Below which part of the middle limit one stands out.
const LIMIT_APART: f64 = 0.5;

/// The servers' part of a status line; it begins with a semicolon where there are any.
pub(crate) fn servers<'a>(all: &[ServerStatus], name: impl Fn(ServerId) -> Option<&'a str>) -> String {
    let mut line = String::new();
    let mut tell = |s: &ServerStatus| {
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
    if all.len() <= EACH_MOST {
        all.iter().for_each(tell);
        return line;
    }
    let (limits, shares) = (spread(all, |s| s.limit), spread(all, |s| s.learned_weight));
    let mut apart: Vec<(f64, &ServerStatus)> =
        all.iter().map(|s| (stands_out(s, limits.1, shares.1), s)).filter(|(by, _)| *by > 0.0).collect();
    let count = apart.len();
    // Those that stand out most, and of equals the first by number, so that a line is like the one before.
    apart.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.server.cmp(&b.1.server)));
    apart.iter().take(NAMED).for_each(|(_, s)| tell(s));
    let of = |what: fn(&ServerStatus) -> bool| all.iter().filter(|s| what(s)).count();
    let (ejected, cold) = (of(|s| s.ejected), of(|s| s.warmth < 1.0));
    let full = of(|s| !s.ejected && s.in_flight > 0 && s.in_flight as f64 >= s.limit.floor());
    let out: usize = all.iter().map(|s| s.in_flight).sum();
    let three = |(least, middle, most): (f64, f64, f64)| format!("{least:.2}/{middle:.2}/{most:.2}");
    let more = if count > NAMED { format!("; {} more stand out", count - NAMED) } else { String::new() };
    format!(
        "; {} servers: ejected {ejected} cold {cold} full {full} out {out}, limits {} shares {}{line}{more}",
        all.len(),
        three(limits),
        three(shares)
    )
}

/// By how much a server stands out from the middle ones; 0 where it does not.
fn stands_out(s: &ServerStatus, limit: f64, share: f64) -> f64 {
    if s.ejected {
        return f64::INFINITY;
    }
    let apart = (s.learned_weight / share).max(share / s.learned_weight);
    let low = limit / s.limit;
    let by_share = if apart > SHARE_APART { apart } else { 0.0 };
    let by_limit = if low * LIMIT_APART > 1.0 { low } else { 0.0 };
    by_share.max(by_limit)
}

/// The least, the middle and the greatest.
fn spread(all: &[ServerStatus], of: fn(&ServerStatus) -> f64) -> (f64, f64, f64) {
    let mut values: Vec<f64> = all.iter().map(of).collect();
    let middle = values.len() / 2;
    if values.is_empty() {
        return (0.0, 0.0, 0.0);
    }
    let (below, middle, above) = values.select_nth_unstable_by(middle, f64::total_cmp);
    let least = below.iter().copied().fold(*middle, f64::min);
    (least, *middle, above.iter().copied().fold(*middle, f64::max))
}

#[cfg(test)]
mod tests;
