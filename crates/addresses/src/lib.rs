//! Service addresses advertised from healthy sites: health, ownership, damping.
//!
//! A pure room on the log of fleet decisions. Nodes report what they see anyway ([`RequestWindow`]); the log's state ([`State`])
//! says which sites advertise which address; one node a site speaks ([`Addresses::take_commands`]) lines that route daemons
//! read. See `docs/design/addresses.md` for each rule and its reason.

pub mod check;
mod health;
mod planned_stop;
mod protocol;
mod route_command;
pub mod router;
mod rules;
mod state;
mod timers;

pub use health::{NodeMetrics, RequestWindow, SiteHealth, SiteMetrics};
pub use planned_stop::{Phase, PlannedStop};
pub use protocol::{Addresses, InjectedFault, LeaseSettings};
pub use route_command::RouteCommand;
pub use rules::{AddressKind, AddressRule, Rules, RulesError};
pub use state::{LeaseKey, NodeReport, ProposalBody, State};
