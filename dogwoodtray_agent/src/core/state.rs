//! State of the agent.

use std::time::Duration;

use dogwoodtray_coord::EvidencePool;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::AdmissionAction;
use dogwoodtray_policy::AdmissionPolicy;

use super::EntryLinkId;
use super::attempt::Attempts;
use super::attempt::Stage;
use super::attempt::is_ended;
use super::credit::CreditOffers;
use super::fence::FencingTokens;

/// Configuration of [`AgentCore`].
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// Name of the node.
    pub node: Name,
    /// Incarnation of the process; part of the identifiers of endpoint crashes.
    pub incarnation: Incarnation,
    /// Models or services that the endpoint serves.
    pub models: Vec<Name>,
    /// Time without data from the endpoint after which an exchange is aborted. Health checks do
    /// not detect this case, because one connection can stall for good while new ones work.
    pub stall_timeout: Duration,
}

/// State machine of an agent.
#[derive(Debug)]
pub struct AgentCore {
    pub(super) cfg: AgentConfig,
    pub(super) admission: Box<dyn AdmissionPolicy>,
    pub(super) attempts: Attempts,
    pub(super) fencing_tokens: FencingTokens,
    pub(super) credit_offers: CreditOffers,
    pub(super) pool: EvidencePool,
    pub(super) peers: Vec<EntryLinkId>,
    pub(super) leaving: bool,
    pub(super) endpoint_up: bool,
    pub(super) failed_checks: u32,
    pub(super) last_heartbeat: Option<Timestamp>,
    pub(super) admission_actions: Vec<AdmissionAction>,
}

/// # Construction and state
impl AgentCore {
    /// Creates an agent that considers its endpoint up until health checks fail.
    #[must_use]
    pub fn new(cfg: AgentConfig, admission: Box<dyn AdmissionPolicy>) -> Self {
        Self {
            pool: EvidencePool::new(cfg.incarnation.0),
            cfg,
            admission,
            attempts: Attempts::default(),
            fencing_tokens: FencingTokens::default(),
            credit_offers: CreditOffers::default(),
            peers: Vec::new(),
            leaving: false,
            endpoint_up: true,
            failed_checks: 0,
            last_heartbeat: None,
            admission_actions: Vec::new(),
        }
    }

    /// Returns `true` if a graceful shutdown has begun.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns `true` if the endpoint is considered up.
    #[must_use]
    pub const fn is_endpoint_up(&self) -> bool {
        self.endpoint_up
    }

    /// Returns the number of free places for online work.
    #[must_use]
    pub fn free_online(&self) -> u32 {
        if self.accepts_work() { self.admission.free_online() } else { 0 }
    }

    /// Returns the number of free places for batch work.
    #[must_use]
    pub fn free_batch(&self) -> u32 {
        if self.accepts_work() { self.admission.free_batch() } else { 0 }
    }

    /// Returns the number of queued online requests.
    #[must_use]
    pub fn queued_online(&self) -> u32 {
        self.admission.queued_online()
    }

    /// Returns the number of queued and running attempts.
    #[must_use]
    pub fn running(&self) -> usize {
        self.attempts.iter().filter(|(_, a)| !matches!(a.stage, Stage::Ended(_))).count()
    }

    /// Returns `true` if no attempt is queued or running.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.attempts.iter().all(|(_, a)| is_ended(a.stage))
    }

    /// Returns the number of ended attempts that an attached entry has not acknowledged.
    #[must_use]
    pub fn unacknowledged(&self) -> usize {
        let ended = |stage| matches!(stage, Stage::Ended(_));
        self.attempts.iter().filter(|(_, a)| ended(a.stage) && a.peer.is_some()).count()
    }

    /// Sets the balance between the classes: 0.0 favors online tail latency, 1.0 favors batch
    /// throughput.
    pub fn set_batch_weight(&mut self, weight: f64) {
        self.admission.set_batch_weight(weight);
    }

    /// Returns the evidence about crashes, which is exchanged with entries.
    pub const fn evidence_mut(&mut self) -> &mut EvidencePool {
        &mut self.pool
    }

    pub(super) const fn accepts_work(&self) -> bool {
        self.endpoint_up && !self.leaving
    }
}
