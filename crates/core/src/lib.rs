//! Protocol-independent handling of one request from arrival to its final answer.
//!
//! A protocol front end hands a complete request to [`Core::submit`] and waits for its single final
//! [`Answer`]. The core keeps the table of requests and attempts, feeds events to the policy and carries out
//! the policy's actions, and holds the server list, the deadlines and the metrics. Bytes are moved by an
//! [`UpstreamTransport`]: the core passes it an opaque payload, so HTTP, LDAP or a test's own protocol all
//! use the same interface.
//!
//! The node's lifecycle phase, and what follows from it for `/ready`, responses and connections, is the pure
//! state machine [`Lifecycle`]. What a process has done since its start is in its [`Metrics`], where the
//! outcome of each request is counted exactly once.
//!
//! Everything runs on one thread; futures are spawned on tokio's local set. The core makes no decisions: the
//! policy chooses the server, whether to retry, and what to refuse.

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
mod sent_ids;
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
pub use sent_ids::{IdDigest, SentIdExchange, SentIds};
pub use servers::{stable_hash, Endpoint, ListedServer, ServerListing};
pub use upstream::{AttemptResult, ListStreamEnd, Payload, Target, UpstreamTransport};
