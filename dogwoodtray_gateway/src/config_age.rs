//! Proofs of the age of the configuration, obtained from the store and from other processes.
//!
//! The driver that lists the endpoints reads the configuration about once a second, and the other
//! processes ask it for its proof. The decisions are made by [`ConfigAge`].

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::ConfigAge;
use dogwoodtray_coord::Due;
use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::ProofResult;
use dogwoodtray_coord::Proofs;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::Version;
use dogwoodtray_platform::GetResult;
use dogwoodtray_platform::Object;
use dogwoodtray_runtime::BootClock;
use dogwoodtray_runtime::EventLog;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_runtime::catalogue;
use dogwoodtray_wire::messages;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::node::Node;
use crate::peers::DISPATCHER_KEY;

/// Maximum time between two looks at what is due. The peers and the role of the process may change
/// in between, and a timer of the runtime stops during a suspension.
const MAX_TICK: Duration = Duration::from_millis(200);

/// Minimum time between two looks at what is due.
const MIN_TICK: Duration = Duration::from_millis(5);

/// Timeout of a read, in addition to those of the client of the store.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u128 = 1_000;

/// Proven age of the configuration of a process. Without a bound, keys are accepted at any age.
#[derive(Debug)]
pub(crate) struct ProvenAge {
    state: Option<RefCell<ConfigAge>>,
    clock: BootClock,
    /// Notified when a configuration has come into force.
    config_changed: Notify,
    /// Object that was read last, and the generation in it unless it was unreadable.
    last_read: Cell<Option<(Version, Option<Generation>)>>,
    /// Whether keys were accepted when this was last logged.
    logged: Cell<Option<bool>>,
    /// Time at which the first configuration with keys was in force.
    needed_since: Cell<Option<Timestamp>>,
}

impl ProvenAge {
    pub(crate) fn new(bound: Option<Duration>, seed: u64) -> Self {
        Self {
            state: bound.map(|bound| RefCell::new(ConfigAge::new(bound, seed))),
            clock: BootClock,
            config_changed: Notify::new(),
            last_read: Cell::new(None),
            logged: Cell::new(None),
            needed_since: Cell::new(None),
        }
    }

    /// Records that a configuration has come into force.
    pub(crate) fn on_config(&self, generation: Generation) {
        let Some(state) = &self.state else { return };
        state.borrow_mut().on_config(self.clock.now(), generation);
        self.config_changed.notify_one();
    }

    /// Decides whether a request with a key may be accepted now. If not, returns the time after
    /// which it is to be repeated.
    pub(crate) fn verify(&self) -> Result<(), Duration> {
        self.check().inspect_err(|_| self.count_refusal())
    }

    /// Decides like `verify`, for a request that may be accepted all the same.
    pub(crate) fn check(&self) -> Result<(), Duration> {
        let Some(state) = &self.state else { return Ok(()) };
        state.borrow().verify(self.clock.now()).map_err(|unproven| unproven.retry_after)
    }

    /// Counts a request that was refused because of the age.
    pub(crate) fn count_refusal(&self) {
        metrics::counter!("dogwoodtray_unproven_requests_total").increment(1);
    }

    /// Returns what is to be done now, and the time until there may be more to do.
    fn due(&self, proofs: Proofs) -> (Due, Duration) {
        let Some(state) = &self.state else { return (Due::default(), MAX_TICK) };
        let mut state = state.borrow_mut();
        let now = self.clock.now();
        let due = state.due(now, proofs);
        let next = state.next_due_at(now, proofs).map_or(MAX_TICK, |at| at - now);
        (due, next.clamp(MIN_TICK, MAX_TICK))
    }

    /// Handles the end of a read of the store.
    fn on_read(&self, found: Option<Generation>) {
        let Some(state) = &self.state else { return };
        let result = state.borrow_mut().on_read(self.clock.now(), found);
        if let Some(generation) = found
            && result == Some(ProofResult::Contradicted)
        {
            log::warn!("the store answered with generation {}, which is outdated", generation.0);
        }
        let outcome = match result {
            Some(ProofResult::Counts) => "proof",
            Some(_) => "no_proof",
            None => "failed",
        };
        metrics::counter!("dogwoodtray_config_reads_total", "outcome" => outcome).increment(1);
    }

    /// Answers the check of another process, if this one has a proof. A check that is not answered
    /// is sent to others.
    pub(crate) fn on_check(&self, check: &messages::ConfigCheck, link: &LinkHandle) {
        let Some(state) = &self.state else { return };
        let Some((generation, age)) = state.borrow().proof_for_peer(self.clock.now()) else {
            return;
        };
        // Rounded up, so that the proof does not become younger.
        let age_ms = age.as_micros().div_ceil(MICROS_PER_MILLI);
        link.send(messages::ConfigProof {
            token: check.token,
            generation: generation.0,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
        });
    }

    /// Handles the proof of another process. Returns `true` if its configuration is newer than the
    /// one in force here.
    fn on_proof(&self, proof: &messages::ConfigProof) -> bool {
        let Some(state) = &self.state else { return false };
        let (generation, age) =
            (Generation(proof.generation), Duration::from_millis(proof.age_ms.into()));
        let now = self.clock.now();
        let result = state.borrow_mut().on_answer(now, proof.token, generation, age);
        result == ProofResult::NeedsConfig
    }

    /// Exports the age, and logs when keys stop being accepted and when they are accepted again.
    fn report(&self, events: &EventLog, generation: Generation) {
        let Some(state) = &self.state else { return };
        let state = state.borrow();
        let now = self.clock.now();
        let age = state.age(now);
        if let Some(age) = age {
            metrics::gauge!("dogwoodtray_config_age_seconds").set(age.as_secs_f64());
        }
        let is_proven = state.is_proven(now);
        // A process that has just started is without a proof for a moment.
        let since = self.needed_since.get().unwrap_or(now);
        self.needed_since.set(Some(since));
        let is_starting = age.is_none() && now - since <= state.timing().max_age;
        if self.logged.get() == Some(is_proven) || is_starting {
            return;
        }
        self.logged.set(Some(is_proven));
        let age_ms = age.map_or_else(|| "none".to_owned(), |age| age.as_millis().to_string());
        let fields: [(&str, &dyn Display); 2] =
            [("generation", &generation.0), ("age_ms", &age_ms)];
        let code = if is_proven { &catalogue::CONFIG_PROVEN } else { &catalogue::CONFIG_UNPROVEN };
        events.emit(code, None, &fields);
    }
}

impl Node {
    /// Starts to obtain proofs, if the age of the configuration is bounded.
    pub(crate) fn spawn_config_age(self: &Rc<Self>) {
        if self.config_age.state.is_none() {
            return;
        }
        let node = Rc::clone(self);
        spawn_local(async move {
            loop {
                let wait = node.obtain_proofs();
                // A notification and a timeout are handled alike.
                let _ = timeout(wait, node.config_age.config_changed.notified()).await;
            }
        });
    }

    /// Sends the checks and starts the reads that are due. Returns the time until the next ones.
    fn obtain_proofs(self: &Rc<Self>) -> Duration {
        let has_keys = {
            let directory = self.directory.borrow();
            directory.config().is_some_and(|config| !config.organizations().is_empty())
        };
        if !has_keys {
            return MAX_TICK;
        }
        let ranked = self.peers.ranked(self, DISPATCHER_KEY);
        let links: Vec<LinkHandle> =
            ranked.iter().filter_map(|name| self.peers.link_to(name)).collect();
        let proofs = Proofs { reads_for_all: self.is_listing_driver(), peers: links.len() };
        let (due, wait) = self.config_age.due(proofs);
        if due.read {
            let node = Rc::clone(self);
            spawn_local(async move { node.read_config().await });
        }
        if let Some(check) = due.check {
            for link in links.iter().take(check.peers) {
                metrics::counter!("dogwoodtray_config_checks_total").increment(1);
                link.send(messages::ConfigCheck { token: check.token });
            }
        }
        self.config_age.report(&self.events, self.directory.borrow().generation());
        wait
    }

    /// Reads the configuration from the store. The read must not be answered from a cache or a
    /// replica that may be stale.
    async fn read_config(&self) {
        let (kind, name) = self.dialect.names().config;
        let read = self.store.get(kind, &Name::from(name));
        let found = match timeout(READ_TIMEOUT, read).await {
            Ok(GetResult::Found(object)) => self.apply_read_config(&object),
            Ok(GetResult::Missing | GetResult::Unavailable) | Err(_) => None,
        };
        self.config_age.on_read(found);
    }

    /// Puts a configuration that was read in force if it is new. Returns its generation, or `None`
    /// if it is unreadable: then it may revoke any key.
    fn apply_read_config(&self, object: &Object) -> Option<Generation> {
        if let Some((revision, generation)) = self.config_age.last_read.get()
            && revision == object.revision
        {
            return generation;
        }
        let generation = self.on_config(object.spec.get(), "store");
        self.config_age.last_read.set(Some((object.revision, generation)));
        generation
    }

    /// Handles the proof of another process, and requests its configuration if that is newer.
    pub(crate) fn on_config_proof(&self, proof: &messages::ConfigProof, link: Option<&LinkHandle>) {
        if self.config_age.on_proof(proof)
            && let Some(link) = link
        {
            self.on_peer_generation(proof.generation, link);
        }
    }
}
