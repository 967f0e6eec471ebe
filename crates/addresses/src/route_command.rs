//! The text that route daemons' process interfaces read.

use std::fmt;

/// One line, without its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteCommand {
    /// The route leads here.
    Announce {
        /// As `192.0.2.10/32`.
        prefix: String,
        /// The metric.
        med: u32,
    },
    /// It does no more.
    Withdraw {
        /// As `192.0.2.10/32`.
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
    /// Reads a line back; none if it is not one of the two forms.
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
