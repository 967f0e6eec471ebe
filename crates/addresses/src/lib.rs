//! Service addresses advertised from healthy sites: health, ownership, damping.
//!
//! A pure room on the log of fleet decisions. Nodes report what they see anyway ([`Window`]); the log's state ([`State`])
//! says which sites advertise which address; one node a site speaks ([`Addresses::speak`]) lines that route daemons
//! read. See `docs/design/addresses.md` for each rule and its reason.

pub mod check;
mod decide;
mod health;
mod line;
mod room;
pub mod router;
mod rules;
mod state;
mod stop;

pub use health::{Figures, Judgement, Sums, Window};
pub use line::Line;
pub use room::{Addresses, Planted, Settings};
pub use rules::{AddressRule, Kind, Rules, RulesError};
pub use state::{Body, Key, Report, State};
pub use stop::{Phase, Stop};
