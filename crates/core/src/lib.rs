//! One request's life, whatever protocol it came by.
//!
//! A front hands a whole request to [`Core::submit`] and waits for its one final [`Answer`]. The core keeps the
//! table of requests and attempts, pumps events into the policy and carries out its actions, and holds the list of
//! servers, the deadlines and the counters. What moves bytes is a [`UpstreamTransport`]: the core hands it a payload that it
//! does not look into, so that HTTP, LDAP or a test's own protocol come in by the same door.
//!
//! What the node is doing, and what follows from it for `/ready`, answers and connections, is one pure state machine,
//! [`Lifecycle`]; what a process has done since its start is in its [`Metrics`], where each request's end is counted once.
//!
//! All of it lives on one thread; futures are spawned on tokio's local set. The core decides nothing: which server,
//! whether again and what to refuse is the policy's.

mod admission;
mod clock;
mod epochs;
mod intents;
mod lifecycle;
mod log_limiter;
mod metrics;
mod node;
mod open_ids;
mod process;
mod requests;
mod servers;
mod status;
mod upstream;

pub use admission::{AdmissionControl, AdmissionDecision, AdmissionRequest, ProposalError};
pub use intents::Rejection;
pub use lifecycle::{Lifecycle, Phase};
pub use log_limiter::LogLimiter;
pub use metrics::{InProgress, Metrics, RequestOutcome};
pub use node::{AcceptedRequest, Core, Setup};
pub use open_ids::OpenIds;
pub use process::Process;
pub use requests::{Answer, ClientRequest};
pub use servers::{stable_hash, Endpoint, ListedServer, ServerListing};
pub use upstream::{AttemptResult, ListStreamEnd, Payload, Target, UpstreamTransport};
