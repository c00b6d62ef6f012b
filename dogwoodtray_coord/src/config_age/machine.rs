//! State machine of the proven age.

use std::collections::BTreeMap;
use std::time::Duration;

use super::pacing::AgeTiming;
use super::pacing::Proofs;
use super::pacing::ReadPacing;
use crate::Generation;
use crate::Timestamp;

/// Time within which a peer or the store usually answers.
const USUAL_ANSWER_TIME: Duration = Duration::from_millis(150);

/// Shortest time after which a refused request is told to return.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Number of peers that are asked at the same time if the proof of the first one is late.
const MAX_PEERS_ASKED: usize = 3;

/// Maximum number of checks that are outstanding; with a bound of an hour, unanswered ones would
/// otherwise be kept for that time.
const MAX_CHECKS: usize = 64;

/// Statement that the store had acknowledged no configuration newer than `generation` at `read_at`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Proof {
    /// Newest generation at that time.
    pub generation: Generation,
    /// Start of the read, or a time before it. By a clock of this process that counts suspensions.
    pub read_at: Timestamp,
}

/// What became of a proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProofResult {
    /// It is in force, or it is no better than the one that is.
    Counts,
    /// It counts once a configuration of its generation or a newer one is in force here.
    NeedsConfig,
    /// It is older than the bound, or answers no outstanding check.
    Outdated,
    /// It names an older generation than the one that was in force here before the read began. The
    /// store was read from a stale replica, or has lost its newest state.
    Contradicted,
}

/// No key may be accepted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unproven {
    /// Time until a proof may have arrived.
    pub retry_after: Duration,
}

/// Check to send to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerCheck {
    /// Token of the check.
    pub token: u64,
    /// Number of peers to ask, in their order of preference.
    pub peers: usize,
}

/// What a process is to do now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Due {
    /// Whether to read the configuration from the store. The read has started for this machine.
    pub read: bool,
    /// Check to send now.
    pub check: Option<PeerCheck>,
}

/// Check that was sent to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Check {
    sent_at: Timestamp,
    answered: bool,
}

/// Proven age of the configuration of one process.
///
/// All times are of one clock that counts suspensions and is not affected by the wall clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfigAge {
    timing: AgeTiming,
    /// Configuration in force, and the time at which it came into force.
    held: Option<(Generation, Timestamp)>,
    /// Newest proof whose generation is at most the one held.
    proof: Option<Proof>,
    /// Newest proof whose generation is above the one held.
    awaiting_config: Option<Proof>,
    checks: BTreeMap<u64, Check>,
    last_token: u64,
    next_check_at: Timestamp,
    read_started_at: Option<Timestamp>,
    pacing: ReadPacing,
}

impl ConfigAge {
    /// Creates the state of a process without a configuration. `seed` differs between processes.
    #[must_use]
    pub fn new(bound: Duration, seed: u64) -> Self {
        Self {
            timing: AgeTiming::new(bound, seed),
            held: None,
            proof: None,
            awaiting_config: None,
            checks: BTreeMap::new(),
            last_token: 0,
            next_check_at: Timestamp::ZERO,
            read_started_at: None,
            pacing: ReadPacing::new(seed),
        }
    }

    /// Returns the intervals and ages.
    #[must_use]
    pub const fn timing(&self) -> &AgeTiming {
        &self.timing
    }

    /// Records that a configuration has come into force here. This proves nothing by itself.
    pub fn on_config(&mut self, now: Timestamp, generation: Generation) {
        if self.held.is_some_and(|(held, _)| held >= generation) {
            return;
        }
        self.held = Some((generation, now));
        if let Some(proof) = self.awaiting_config.take() {
            self.add(now, proof);
        }
    }

    /// Returns the age of the proof in force.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.proof.map(|proof| now - proof.read_at)
    }

    /// Returns `true` if keys may be accepted now.
    #[must_use]
    pub fn is_proven(&self, now: Timestamp) -> bool {
        self.age(now).is_some_and(|age| age <= self.timing.max_age)
    }

    /// Decides whether a key may be accepted now.
    ///
    /// # Errors
    ///
    /// Returns the time after which the request is to be repeated if the age is not within the bound.
    pub fn verify(&self, now: Timestamp) -> Result<(), Unproven> {
        if self.is_proven(now) {
            return Ok(());
        }
        let is_recent = |at: Timestamp| now - at < USUAL_ANSWER_TIME;
        let is_asked =
            self.checks.values().any(|check| !check.answered && is_recent(check.sent_at));
        if is_asked || self.read_started_at.is_some_and(is_recent) {
            return Err(Unproven { retry_after: USUAL_ANSWER_TIME });
        }
        let next_read_at = self.pacing.next_at(&self.timing, false, false).unwrap_or(now);
        let next_at = if self.next_check_at > now {
            self.next_check_at.min(next_read_at)
        } else {
            next_read_at
        };
        Err(Unproven { retry_after: (next_at - now).max(MIN_RETRY_AFTER) })
    }

    /// Returns the proof that may be sent to a peer: its generation and its age. A proof whose
    /// configuration is not in force here is not sent, because the peer may have to fetch it.
    #[must_use]
    pub fn proof_for_peer(&self, now: Timestamp) -> Option<(Generation, Duration)> {
        let proof = self.proof.filter(|_| self.is_proven(now))?;
        Some((proof.generation, now - proof.read_at))
    }

    /// Starts a check, which belongs to the current time however late its answers arrive.
    pub fn start_check(&mut self, now: Timestamp) -> u64 {
        let max_age = self.timing.max_age;
        self.checks.retain(|_, check| now - check.sent_at <= max_age);
        if self.checks.len() >= MAX_CHECKS {
            self.checks.pop_first();
        }
        self.last_token += 1;
        self.checks.insert(self.last_token, Check { sent_at: now, answered: false });
        self.next_check_at = now + self.timing.check_interval;
        self.last_token
    }

    /// Handles the answer of a peer, whose proof had this age when the check arrived there.
    ///
    /// The check arrived after it was sent, so the read began at the latest at the time of sending
    /// minus that age, or later. Delays on the way thus make the proof older here, never younger.
    pub fn on_answer(
        &mut self,
        now: Timestamp,
        token: u64,
        generation: Generation,
        age: Duration,
    ) -> ProofResult {
        let Some(check) = self.checks.get_mut(&token) else { return ProofResult::Outdated };
        check.answered = true;
        // A read before the start of the clock has no time here.
        let age_us = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let Some(read_at) = check.sent_at.as_micros().checked_sub(age_us) else {
            return ProofResult::Outdated;
        };
        self.add(now, Proof { generation, read_at: Timestamp(read_at) })
    }

    /// Starts a linearizable read of the configuration.
    pub fn start_read(&mut self, now: Timestamp) {
        debug_assert!(self.read_started_at.is_none(), "one read at a time");
        self.read_started_at = Some(now);
        self.pacing.on_start(now);
    }

    /// Handles the end of the read: the generation that it found, or `None` if it failed. The
    /// configuration that it found must have been put in force before, if it was newer.
    pub fn on_read(&mut self, now: Timestamp, found: Option<Generation>) -> Option<ProofResult> {
        let read_at = self.read_started_at.take();
        let proof = read_at.zip(found).map(|(read_at, generation)| Proof { generation, read_at });
        let result = proof.map(|proof| self.add(now, proof));
        self.pacing.on_end(result == Some(ProofResult::Counts));
        result
    }

    fn add(&mut self, now: Timestamp, proof: Proof) -> ProofResult {
        if now - proof.read_at > self.timing.max_age {
            return ProofResult::Outdated;
        }
        let is_newer = |than: Option<Proof>| than.is_none_or(|than| proof.read_at > than.read_at);
        match self.held {
            Some((held, since)) if proof.generation < held && proof.read_at > since => {
                ProofResult::Contradicted
            }
            Some((held, _)) if proof.generation <= held => {
                if is_newer(self.proof) {
                    self.proof = Some(proof);
                }
                ProofResult::Counts
            }
            _ => {
                if is_newer(self.awaiting_config) {
                    self.awaiting_config = Some(proof);
                }
                ProofResult::NeedsConfig
            }
        }
    }

    /// Returns what is to be done now, and starts it.
    pub fn due(&mut self, now: Timestamp, proofs: Proofs) -> Due {
        let mut due = Due::default();
        if self.read_at(now, proofs).is_some_and(|at| at <= now) {
            self.start_read(now);
            due.read = true;
        }
        if self.check_at(now, proofs).is_some_and(|at| at <= now) {
            let is_late = self.age(now).is_none_or(|age| age >= self.timing.late_age);
            let peers = if is_late { proofs.peers.min(MAX_PEERS_ASKED) } else { 1 };
            due.check = Some(PeerCheck { token: self.start_check(now), peers });
        }
        due
    }

    /// Returns the time at which [`ConfigAge::due`] next has something to do.
    #[must_use]
    pub fn next_due_at(&self, now: Timestamp, proofs: Proofs) -> Option<Timestamp> {
        let times = [self.read_at(now, proofs), self.check_at(now, proofs)];
        times.into_iter().flatten().min()
    }

    fn read_at(&self, now: Timestamp, proofs: Proofs) -> Option<Timestamp> {
        if self.read_started_at.is_some() {
            return None;
        }
        let wanted_at = match self.proof {
            Some(proof) if !proofs.reads_for_all => proof.read_at + self.timing.own_read_age,
            _ => now,
        };
        let next = self.pacing.next_at(&self.timing, self.is_proven(now), proofs.reads_for_all);
        Some(next.map_or(wanted_at, |next| next.max(wanted_at)))
    }

    fn check_at(&self, now: Timestamp, proofs: Proofs) -> Option<Timestamp> {
        if proofs.peers == 0 {
            return None;
        }
        let late_at = self.proof.map(|proof| proof.read_at + self.timing.late_age);
        // The process that reads for all asks only if its own reads fail.
        let wanted_at = late_at.filter(|_| proofs.reads_for_all).unwrap_or(now);
        Some(wanted_at.max(self.next_check_at))
    }
}
