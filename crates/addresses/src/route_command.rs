//! Text commands for the process interface of route daemons.

use std::fmt;

/// One command, without the line terminator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteCommand {
    /// Announces a route to this site.
    Announce {
        /// The prefix, such as `192.0.2.10/32`.
        prefix: String,
        /// The metric (MED).
        med: u32,
    },
    /// Withdraws the route.
    Withdraw {
        /// The prefix, such as `192.0.2.10/32`.
        prefix: String,
    },
}

impl fmt::Display for RouteCommand {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Announce { prefix, med } => write!(f, "announce route {prefix} next-hop self med {med}"),
            Self::Withdraw { prefix } => write!(f, "withdraw route {prefix} next-hop self"),
        }
    }
}

impl RouteCommand {
    /// Parses a line; `None` if it is neither of the two commands.
    pub fn parse(line: &str) -> Option<Self> {
        let words: Vec<&str> = line.split(' ').take(9).collect();
        match words[..] {
            ["announce", "route", prefix, "next-hop", "self", "med", med] => {
                Some(Self::Announce { prefix: prefix.to_owned(), med: med.parse().ok()? })
            }
            ["withdraw", "route", prefix, "next-hop", "self"] => {
                Some(Self::Withdraw { prefix: prefix.to_owned() })
            }
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
