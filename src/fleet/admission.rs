//! The node's interface to the fleet, and the state both share: the protocols behind one lock, under which no
//! network or store I/O is done.

use std::collections::BTreeMap;
use std::fmt::{self, Write as _};
use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use magpietally_config::fleet_policy::{self, BaseSettings, Document};
use magpietally_core::{stable_hash, AdmissionControl, AdmissionDecision, AdmissionRequest, ProposalError};
use magpietally_policy::Settings;
use magpietally_policy_change::{
    check as policy_check, Admission, Epoch, PolicyChange, ProposeError, RejectionReason, Version,
};
use magpietally_quota::{check as quota_check, Quota, RefusalReason, SpendDecision};
use magpietally_transport::{Now, Peer};
use serde::Serialize;

use super::clock;

/// Number of versions whose settings are kept. A request is decided under its own version for as long as it
/// lasts, which is seconds.
const VERSIONS_KEPT: usize = 8;

/// One line of the record file.
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordLine {
    /// For the checker of policy changes; requests are numbered by the hash of their id.
    Policy(policy_check::Record),
    /// For the checker of quotas.
    Quota(quota_check::Record),
    /// For the checker of the log.
    Log(magpietally_consensus::check::Record),
}

/// The protocols of one node.
pub struct Protocols {
    /// The policy change protocol.
    pub policy: PolicyChange,
    /// The quota protocol.
    pub quota: Quota,
    /// The version whose quotas are in force.
    quota_version: Version,
    /// The decision module's settings under each version.
    settings: BTreeMap<u64, Option<Arc<Settings>>>,
}

/// The state that the fleet thread and the node's workers share.
pub struct FleetState {
    me: Peer,
    base_settings: BaseSettings,
    protocols: Mutex<Protocols>,
    records: Option<File>,
}

impl fmt::Debug for FleetState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the fleet as {} sees it", self.me)
    }
}

impl FleetState {
    /// The state at a node's start.
    pub fn new(
        me: Peer,
        base_settings: BaseSettings,
        policy: PolicyChange,
        quota: Quota,
        records: Option<File>,
    ) -> Arc<Self> {
        let protocols = Protocols {
            policy,
            quota,
            quota_version: Version::default(),
            settings: BTreeMap::from([(0, None)]),
        };
        Arc::new(Self { me, base_settings, protocols: Mutex::new(protocols), records })
    }

    /// Locks the protocols; the guard is held for a short exchange only.
    pub fn protocols(&self) -> MutexGuard<'_, Protocols> {
        // A panic ends the whole process, so no thread continues with an inconsistent state.
        self.protocols.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a record, if records are kept. It is written before the recorded event has any effect, so that
    /// a kill leaves no gap.
    pub fn record(&self, line: &RecordLine) {
        let Some(mut file) = self.records.as_ref() else { return };
        if let Ok(mut text) = serde_json::to_vec(line) {
            text.push(b'\n');
            // Records serve tests only; a full disk must not stop the node.
            let _ = file.write_all(&text);
        }
    }

    /// Returns whether records are kept.
    pub fn keeps_records(&self) -> bool {
        self.records.is_some()
    }

    /// Writes a record for the checker of policy changes.
    pub fn record_policy(&self, at: Duration, what: policy_check::Event) {
        if self.keeps_records() {
            let at = u64::try_from(at.as_nanos()).unwrap_or(u64::MAX);
            let node = self.me.name.to_string();
            self.record(&RecordLine::Policy(policy_check::Record { at, node, what }));
        }
    }

    /// Writes a record for the checker of quotas.
    pub fn record_quota(&self, at: Duration, what: quota_check::Observation) {
        if self.keeps_records() {
            self.record(&RecordLine::Quota(quota_check::Record {
                at,
                node: crc32fast::hash(self.me.name.as_str().as_bytes()),
                session: self.me.session.0,
                what,
            }));
        }
    }

    /// Updates the quotas and the decision module's settings to the version that is active by the log. To be
    /// called after every entry that may have changed it, under the same lock.
    pub fn update_version(&self, protocols: &mut Protocols, now: Now) {
        let active = protocols.policy.state().active;
        if protocols.quota_version == active {
            return;
        }
        protocols.quota_version = active;
        let text = protocols.policy.state().document.clone();
        // This node checked the document before it accepted it; if the check failed, the node serves no
        // requests under this version (`document_error`).
        let Ok(Document { settings, mut quotas }) = fleet_policy::parse(&text, &self.base_settings) else {
            return;
        };
        quotas.version = active.0;
        if let Err(error) = protocols.quota.set_policy(now, &quotas) {
            tracing::error!(target: "fleet", "version {}: quotas: {error}", active.0);
        }
        // Equal settings keep the same Arc: by it the core recognizes that its decision module can stay.
        let last = protocols.settings.values().next_back().cloned().flatten();
        let new = match (settings, last) {
            (Some(new), Some(old)) if are_equal(&new, &old) => Some(old),
            (Some(new), _) => Some(Arc::new(new)),
            (None, _) => None,
        };
        protocols.settings.insert(active.0, new);
        while protocols.settings.len() > VERSIONS_KEPT {
            protocols.settings.pop_first();
        }
        self.record_quota(now.boot, quota_check::Observation::Policy(quotas.clone()));
        tracing::info!(target: "fleet", "version {} is active: {} tenants with a quota", active.0, quotas.tenants.len());
    }
}

/// Compares settings by their debug output, which is complete because they hold plain values only.
fn are_equal(a: &Settings, b: &Settings) -> bool {
    format!("{a:?}") == format!("{b:?}")
}

fn ms(span: Duration) -> f64 {
    span.as_secs_f64() * 1000.0
}

impl AdmissionControl for FleetState {
    fn decide(&self, request: &AdmissionRequest<'_>) -> AdmissionDecision {
        let now = clock::now().boot;
        let protocols = &mut *self.protocols();
        // The queueing time is zero, so nothing is queued here: the HTTP front end waits before it calls
        // this.
        let version = match protocols.policy.admit(now, Duration::ZERO) {
            Admission::Admit(epoch) => epoch.version,
            Admission::Reject(rejection) => {
                return AdmissionDecision::NoLease { retry_after: ms(rejection.retry_after) }
            }
            Admission::Queue(slot) => {
                protocols.policy.abandon(slot);
                return AdmissionDecision::NoLease { retry_after: 100.0 };
            }
        };
        let request_hash = stable_hash(request.id);
        let class = self.base_settings.classes.get(request.class).map_or("", String::as_str);
        let tenant = request.tenant.and_then(|t| self.base_settings.tenants.get(t));
        if let Some(tenant) = tenant {
            let key = request.key.map(|k| {
                let mut crc = crc32fast::Hasher::new();
                crc.update(k);
                (k.len() as u64) << 32 | u64::from(crc.finalize())
            });
            let spent = protocols.quota.spend(now, tenant, class, key);
            match spent.decision {
                SpendDecision::Refused { retry_after, reason } => {
                    let sure = reason == RefusalReason::RateExceeded;
                    self.record_quota(
                        now,
                        quota_check::Observation::Refused {
                            tenant: tenant.clone(),
                            class: class.to_string(),
                            retry_after,
                            sure,
                            rate: spent.rate_milli,
                            lowered: spent.reductions,
                        },
                    );
                    return AdmissionDecision::OverQuota { retry_after: ms(retry_after) };
                }
                SpendDecision::Admitted => self.record_quota(
                    now,
                    quota_check::Observation::Admitted {
                        tenant: tenant.clone(),
                        class: class.to_string(),
                        cost: spent.cost,
                        kept: spent.from_class_quota,
                        day: spent.day,
                        rate: spent.rate_milli,
                    },
                ),
                SpendDecision::Unlimited | SpendDecision::Repeat => {}
            }
        }
        self.record_policy(now, policy_check::Event::Arrived { request: request_hash });
        self.record_policy(now, policy_check::Event::Decided { request: request_hash, version: version.0 });
        AdmissionDecision::Admit { epoch: version.0, at: now }
    }

    fn may_send(&self, epoch: u64, at: Duration) -> bool {
        let now = clock::now().boot;
        self.protocols().policy.check_epoch(now, &Epoch::from_parts(Version(epoch), at)).is_ok()
    }

    fn is_changing_policy(&self) -> bool {
        let now = clock::now().boot;
        let protocols = self.protocols();
        // `is_ready` stays true while a version closes, for as long as a request may be queued.
        protocols.policy.admissible_version(now) == Err(RejectionReason::Closing)
            && protocols.policy.is_ready(now)
    }

    fn is_ready(&self) -> bool {
        self.protocols().policy.is_ready(clock::now().boot)
    }

    fn settings(&self, epoch: u64) -> Option<Arc<Settings>> {
        self.protocols().settings.get(&epoch).cloned().flatten()
    }

    fn propose(&self, document: &[u8]) -> Result<String, ProposalError> {
        let now = clock::now();
        let protocols = &mut *self.protocols();
        if !protocols.policy.is_ready(now.boot) {
            return Err(ProposalError::Unavailable(
                "this node holds no lease and may be behind the fleet".into(),
            ));
        }
        let base = protocols.policy.state().active;
        match protocols.policy.propose(now, base, document.to_vec()) {
            Ok(ticket) => Ok(format!("proposal {ticket} against version {}", base.0)),
            Err(error @ ProposeError::Pending(_)) => Err(ProposalError::Unavailable(error.to_string())),
            Err(error) => Err(ProposalError::Invalid(error.to_string())),
        }
    }

    fn describe(&self) -> String {
        let now = clock::now().boot;
        let protocols = self.protocols();
        let state = protocols.policy.state();
        let readiness = if protocols.policy.is_ready(now) { "ready" } else { "not ready" };
        let mut out = format!("{}: {readiness} under version {}\n", self.me, state.active.0);
        let _ = writeln!(out, "{} members hold a lease", state.members.len());
        if let Some(change) = &state.change {
            let (acknowledged, members) = (change.acknowledged.len(), state.members.len());
            let _ = writeln!(
                out,
                "version {} is under way: {:?}, {acknowledged} of {members}",
                change.version.0, change.step
            );
        }
        if let Some(error) = protocols.policy.document_error() {
            let _ = writeln!(out, "this node's check refuses the active version: {error}");
        }
        for change in &state.history {
            let _ = writeln!(out, "by {}, proposal {}: {:?}", change.proposer, change.ticket, change.outcome);
        }
        let metrics = protocols.policy.metrics();
        let _ = writeln!(
            out,
            "refused {}; closings {}, the longest {:.0} ms",
            metrics.rejected,
            metrics.closings,
            ms(metrics.longest_closing)
        );
        out
    }

    fn record_answer(&self, epoch: u64, id: &str) {
        if self.keeps_records() {
            let what = policy_check::Event::Left { request: stable_hash(id), version: epoch };
            self.record_policy(clock::now().boot, what);
        }
    }
}
