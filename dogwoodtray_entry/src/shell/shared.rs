//! State shared by the services and the HTTP handlers.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crossbeam::sync::ShardedLock;
use dogwoodtray_config::Snapshot;
use dogwoodtray_config::View;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_runtime::EventLog;
use dogwoodtray_runtime::Mailbox;
use dogwoodtray_runtime::ServiceRegistry;

use super::EntrySettings;
use super::JOBS;
use super::JobsInput;
use super::ONCE;
use super::OnceInput;
use super::ROUTER;
use super::RouterInput;
use super::drain::EntryDrain;
use crate::http::RateLimiter;

/// Status of a peer as shown to operators.
#[derive(Clone, Debug, serde::Serialize)]
pub(crate) struct PeerStatus {
    pub(crate) node: String,
    pub(crate) state: &'static str,
    pub(crate) generation: u64,
}

/// State shared by the services and the HTTP handlers.
#[derive(Debug)]
pub(crate) struct EntryState {
    pub(crate) settings: EntrySettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) registry: ServiceRegistry,
    pub(crate) events: EventLog,
    view: ShardedLock<Arc<View>>,
    models: ShardedLock<Arc<[Name]>>,
    peers: ShardedLock<Vec<PeerStatus>>,
    pub(crate) generation: AtomicU64,
    pub(crate) config_ready: AtomicBool,
    pub(crate) leaving: AtomicBool,
    pub(crate) drain: EntryDrain,
    pub(crate) finished: AtomicBool,
    pub(crate) agents: AtomicU64,
    pub(crate) requests: AtomicU64,
    pub(crate) attempts: AtomicU64,
    pub(crate) jobs_open: AtomicU64,
    pub(crate) jobs_drained: AtomicBool,
    pub(crate) once_drained: AtomicBool,
    pub(crate) limits: Arc<RateLimiter>,
    pub(crate) next_request_no: AtomicU64,
    pub(crate) open_responses: AtomicU64,
}

impl EntryState {
    pub(crate) fn new(
        settings: EntrySettings,
        incarnation: Incarnation,
        registry: ServiceRegistry,
        events: EventLog,
    ) -> Self {
        let limits = RateLimiter::new(settings.organization_limits);
        Self {
            settings,
            incarnation,
            registry,
            events,
            view: ShardedLock::new(Arc::new(View::new(&Snapshot::empty()))),
            models: ShardedLock::new(Arc::from([])),
            peers: ShardedLock::new(Vec::new()),
            generation: AtomicU64::new(0),
            config_ready: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            drain: EntryDrain::new(),
            finished: AtomicBool::new(false),
            agents: AtomicU64::new(0),
            requests: AtomicU64::new(0),
            attempts: AtomicU64::new(0),
            jobs_open: AtomicU64::new(0),
            jobs_drained: AtomicBool::new(false),
            once_drained: AtomicBool::new(false),
            limits,
            next_request_no: AtomicU64::new(0),
            open_responses: AtomicU64::new(0),
        }
    }

    pub(crate) fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.read().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn set_view(&self, view: View) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
    }

    pub(crate) fn models(&self) -> Arc<[Name]> {
        Arc::clone(&self.models.read().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn set_models(&self, models: Arc<[Name]>) {
        *self.models.write().unwrap_or_else(PoisonError::into_inner) = models;
    }

    pub(crate) fn peers(&self) -> Vec<PeerStatus> {
        self.peers.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn set_peers(&self, peers: Vec<PeerStatus>) {
        *self.peers.write().unwrap_or_else(PoisonError::into_inner) = peers;
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.config_ready.load(Ordering::Relaxed) && !self.leaving.load(Ordering::Relaxed)
    }

    pub(crate) fn router(&self) -> Option<Mailbox<RouterInput>> {
        self.registry.find(ROUTER)
    }

    pub(crate) fn jobs(&self) -> Option<Mailbox<JobsInput>> {
        self.registry.find(JOBS)
    }

    pub(crate) fn send_to_router(&self, input: RouterInput) -> bool {
        self.router().is_some_and(|mailbox| mailbox.send(input))
    }

    pub(crate) fn send_to_once(&self, input: OnceInput) -> bool {
        let once: Option<Mailbox<OnceInput>> = self.registry.find(ONCE);
        once.is_some_and(|mailbox| mailbox.send(input))
    }

    pub(crate) fn send_to_jobs(&self, input: JobsInput) -> bool {
        self.jobs().is_some_and(|mailbox| mailbox.send(input))
    }
}
