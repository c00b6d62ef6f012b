//! State of the agent and the handling of events.

use std::time::Duration;

use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Quarantine;
use dogwoodtray_coord::Suspicion;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::AdmissionAction;
use dogwoodtray_policy::AdmissionPolicy;

use super::PeerId;
use super::attempt::Attempts;
use super::attempt::Stage;
use super::attempt::is_ended;
use super::credit::CreditBook;
use super::fence::FenceGate;

/// Suspects that are remembered.
const MAX_SUSPECTS: usize = 4096;

/// Settings of [`AgentCore`].
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// Incarnation of the process; part of the ids of endpoint deaths.
    pub incarnation: Incarnation,
    /// Models or services that the endpoint serves.
    pub models: Vec<Name>,
    /// Time without any byte from the endpoint after which an exchange is given up. Connections
    /// can go silent for good while new ones work, so health checks do not show this.
    pub stall_timeout: Duration,
}

/// Decides what an agent does.
#[derive(Debug)]
pub struct AgentCore {
    pub(super) cfg: AgentConfig,
    pub(super) admission: Box<dyn AdmissionPolicy>,
    pub(super) attempts: Attempts,
    pub(super) fences: FenceGate,
    pub(super) credits: CreditBook,
    pub(super) quarantine: Quarantine,
    pub(super) peers: Vec<PeerId>,
    pub(super) leaving: bool,
    pub(super) endpoint_up: bool,
    pub(super) missed_checks: u32,
    pub(super) deaths: u64,
    pub(super) last_heartbeat: Option<Timestamp>,
    pub(super) decided: Vec<AdmissionAction>,
}

/// # Construction and state
impl AgentCore {
    /// Creates an agent whose endpoint is taken to be up.
    #[must_use]
    pub fn new(cfg: AgentConfig, admission: Box<dyn AdmissionPolicy>) -> Self {
        Self {
            cfg,
            admission,
            attempts: Attempts::default(),
            fences: FenceGate::default(),
            credits: CreditBook::default(),
            quarantine: Quarantine::new(MAX_SUSPECTS),
            peers: Vec::new(),
            leaving: false,
            endpoint_up: true,
            missed_checks: 0,
            deaths: 0,
            last_heartbeat: None,
            decided: Vec::new(),
        }
    }

    /// Tells whether a graceful shutdown has begun.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Tells whether the endpoint answers.
    #[must_use]
    pub const fn is_endpoint_up(&self) -> bool {
        self.endpoint_up
    }

    /// Returns the free places for online work.
    #[must_use]
    pub fn free_online(&self) -> u32 {
        if self.takes_work() { self.admission.free_online() } else { 0 }
    }

    /// Returns the free places for batch work.
    #[must_use]
    pub fn free_batch(&self) -> u32 {
        if self.takes_work() { self.admission.free_batch() } else { 0 }
    }

    /// Returns the number of online requests that wait.
    #[must_use]
    pub fn queued_online(&self) -> u32 {
        self.admission.queued_online()
    }

    /// Returns the number of attempts that wait or run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.attempts.iter().filter(|(_, a)| !matches!(a.stage, Stage::Ended(_))).count()
    }

    /// Tells whether no attempt waits or runs.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.attempts.iter().all(|(_, a)| is_ended(a.stage))
    }

    /// Returns the number of ended attempts whose answer an attached entry has not confirmed.
    #[must_use]
    pub fn unconfirmed(&self) -> usize {
        let ended = |stage| matches!(stage, Stage::Ended(_));
        self.attempts.iter().filter(|(_, a)| ended(a.stage) && a.peer.is_some()).count()
    }

    /// Sets the balance between the classes: 0.0 puts the online tail first, 1.0 batch throughput.
    pub fn set_batch_weight(&mut self, weight: f64) {
        self.admission.set_batch_weight(weight);
    }

    /// Takes over suspicions heard from an entry.
    pub fn merge_suspicions(&mut self, suspicions: &[Suspicion]) {
        self.quarantine.merge(suspicions);
    }

    /// Returns suspicions to pass on.
    pub fn gossip(&mut self, limit: usize) -> Vec<Suspicion> {
        self.quarantine.gossip(limit)
    }

    pub(super) const fn takes_work(&self) -> bool {
        self.endpoint_up && !self.leaving
    }
}
