//! Service addresses advertised from healthy sites: health, ownership, damping.
//!
//! A state machine without I/O on the fleet's replicated log. Nodes report the request outcomes that they
//! observe ([`RequestWindow`]). The replicated state ([`State`]) determines which sites advertise which
//! address. One node per site, its speaker, sends route commands to the site's route daemon
//! ([`Addresses::take_commands`]). `docs/design/addresses.md` gives the reason for each rule.

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
