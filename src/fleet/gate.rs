//! What the node asks of the fleet, and what both share: the rooms behind one lock that no I/O is done under.

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

/// Versions whose settings are kept: a request is decided under its own for as long as it lasts, which is seconds.
const VERSIONS_KEPT: usize = 8;

/// One line of the records.
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Line {
    /// For the checker of policy changes; a request's number is that of its id.
    Policy(policy_check::Record),
    /// For the checker of quotas.
    Quota(quota_check::Record),
    /// For the checker of the log.
    Log(magpietally_consensus::check::Record),
}

/// The rooms of one node.
pub struct Rooms {
    /// The change of policy.
    pub policy: PolicyChange,
    /// The quotas.
    pub quota: Quota,
    /// The version whose quotas hold.
    quotas_of: Version,
    /// What each version sets the decision module with.
    settings: BTreeMap<u64, Option<Arc<Settings>>>,
}

/// What the fleet's thread and the node's workers share.
pub struct Shared {
    me: Peer,
    ground: BaseSettings,
    rooms: Mutex<Rooms>,
    records: Option<File>,
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the fleet as {} sees it", self.me)
    }
}

impl Shared {
    /// The rooms at a node's start.
    pub fn new(
        me: Peer,
        ground: BaseSettings,
        policy: PolicyChange,
        quota: Quota,
        records: Option<File>,
    ) -> Arc<Self> {
        let rooms =
            Rooms { policy, quota, quotas_of: Version::default(), settings: BTreeMap::from([(0, None)]) };
        Arc::new(Self { me, ground, rooms: Mutex::new(rooms), records })
    }

    /// The rooms; for as long as it takes to ask or tell them something.
    pub fn rooms(&self) -> MutexGuard<'_, Rooms> {
        // A panic ends the whole process, so nobody goes on with what it left.
        self.rooms.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a record, if records are kept: before what it tells of has any effect, so that a kill leaves no gap.
    pub fn record(&self, line: &Line) {
        let Some(mut file) = self.records.as_ref() else { return };
        if let Ok(mut text) = serde_json::to_vec(line) {
            text.push(b'\n');
            // Records are for tests; a full disk must not stop the node.
            let _ = file.write_all(&text);
        }
    }

    /// Whether records are kept.
    pub fn keeps_records(&self) -> bool {
        self.records.is_some()
    }

    /// A record of the policy's checker.
    pub fn record_policy(&self, at: Duration, what: policy_check::Event) {
        if self.keeps_records() {
            let at = u64::try_from(at.as_nanos()).unwrap_or(u64::MAX);
            let node = self.me.name.to_string();
            self.record(&Line::Policy(policy_check::Record { at, node, what }));
        }
    }

    /// A record of the quotas' checker.
    pub fn record_quota(&self, at: Duration, what: quota_check::Observation) {
        if self.keeps_records() {
            self.record(&Line::Quota(quota_check::Record {
                at,
                node: crc32fast::hash(self.me.name.as_str().as_bytes()),
                session: self.me.session.0,
                what,
            }));
        }
    }

    /// Brings the quotas and the decision module's settings to the version that is active by the log. To be called after
    /// every entry that may have changed it, under the same lock.
    pub fn follow(&self, rooms: &mut Rooms, now: Now) {
        let active = rooms.policy.state().active;
        if rooms.quotas_of == active {
            return;
        }
        rooms.quotas_of = active;
        let text = rooms.policy.state().document.clone();
        // It was checked here before it was accepted, or this node serves nothing under it (`document_error`).
        let Ok(Document { settings, mut quotas }) = fleet_policy::parse(&text, &self.ground) else { return };
        quotas.version = active.0;
        if let Err(error) = rooms.quota.set_policy(now, &quotas) {
            tracing::error!(target: "fleet", "version {}: quotas: {error}", active.0);
        }
        // The same settings keep the same Arc, by which the core knows that its module can stay.
        let last = rooms.settings.values().next_back().cloned().flatten();
        let new = match (settings, last) {
            (Some(new), Some(old)) if same(&new, &old) => Some(old),
            (Some(new), _) => Some(Arc::new(new)),
            (None, _) => None,
        };
        rooms.settings.insert(active.0, new);
        while rooms.settings.len() > VERSIONS_KEPT {
            rooms.settings.pop_first();
        }
        self.record_quota(now.boot, quota_check::Observation::Policy(quotas.clone()));
        tracing::info!(target: "fleet", "version {} is active: {} tenants with a quota", active.0, quotas.tenants.len());
    }
}

/// Settings are equal where they print the same: they hold plain values alone.
fn same(a: &Settings, b: &Settings) -> bool {
    format!("{a:?}") == format!("{b:?}")
}

fn ms(span: Duration) -> f64 {
    span.as_secs_f64() * 1000.0
}

impl AdmissionControl for Shared {
    fn decide(&self, ask: &AdmissionRequest<'_>) -> AdmissionDecision {
        let now = clock::now().boot;
        let rooms = &mut *self.rooms();
        // With no time of its own left, nothing is held here: the front waits before it asks.
        let version = match rooms.policy.admit(now, Duration::ZERO) {
            Admission::Admit(epoch) => epoch.version,
            Admission::Reject(rejection) => {
                return AdmissionDecision::NoLease { retry_after: ms(rejection.retry_after) }
            }
            Admission::Queue(slot) => {
                rooms.policy.abandon(slot);
                return AdmissionDecision::NoLease { retry_after: 100.0 };
            }
        };
        let request = stable_hash(ask.id);
        let class = self.ground.classes.get(ask.class).map_or("", String::as_str);
        let tenant = ask.tenant.and_then(|t| self.ground.tenants.get(t));
        if let Some(tenant) = tenant {
            let key = ask.key.map(|k| {
                let mut crc = crc32fast::Hasher::new();
                crc.update(k);
                (k.len() as u64) << 32 | u64::from(crc.finalize())
            });
            let spent = rooms.quota.spend(now, tenant, class, key);
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
        self.record_policy(now, policy_check::Event::Arrived { request });
        self.record_policy(now, policy_check::Event::Decided { request, version: version.0 });
        AdmissionDecision::Admit { epoch: version.0, at: now }
    }

    fn may_send(&self, epoch: u64, at: Duration) -> bool {
        let now = clock::now().boot;
        self.rooms().policy.check_epoch(now, &Epoch::from_parts(Version(epoch), at)).is_ok()
    }

    fn is_changing_policy(&self) -> bool {
        let now = clock::now().boot;
        let rooms = self.rooms();
        // `is_ready` goes on saying yes while a version closes, for as long as a request may be held.
        rooms.policy.admissible_version(now) == Err(RejectionReason::Closing) && rooms.policy.is_ready(now)
    }

    fn is_ready(&self) -> bool {
        self.rooms().policy.is_ready(clock::now().boot)
    }

    fn settings(&self, epoch: u64) -> Option<Arc<Settings>> {
        self.rooms().settings.get(&epoch).cloned().flatten()
    }

    fn propose(&self, document: &[u8]) -> Result<String, ProposalError> {
        let now = clock::now();
        let rooms = &mut *self.rooms();
        if !rooms.policy.is_ready(now.boot) {
            return Err(ProposalError::Unavailable(
                "this node holds no lease and may be behind the fleet".into(),
            ));
        }
        let base = rooms.policy.state().active;
        match rooms.policy.propose(now, base, document.to_vec()) {
            Ok(ticket) => Ok(format!("proposal {ticket} against version {}", base.0)),
            Err(error @ ProposeError::Pending(_)) => Err(ProposalError::Unavailable(error.to_string())),
            Err(error) => Err(ProposalError::Invalid(error.to_string())),
        }
    }

    fn describe(&self) -> String {
        let now = clock::now().boot;
        let rooms = self.rooms();
        let state = rooms.policy.state();
        let word = if rooms.policy.is_ready(now) { "ready" } else { "not ready" };
        let mut out = format!("{}: {word} under version {}\n", self.me, state.active.0);
        let _ = writeln!(out, "{} members hold a lease", state.members.len());
        if let Some(change) = &state.change {
            let (done, of) = (change.acknowledged.len(), state.members.len());
            let _ =
                writeln!(out, "version {} is under way: {:?}, {done} of {of}", change.version.0, change.step);
        }
        if let Some(why) = rooms.policy.document_error() {
            let _ = writeln!(out, "this node's check refuses the active version: {why}");
        }
        for past in &state.history {
            let _ = writeln!(out, "by {}, proposal {}: {:?}", past.proposer, past.ticket, past.outcome);
        }
        let metrics = rooms.policy.metrics();
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
