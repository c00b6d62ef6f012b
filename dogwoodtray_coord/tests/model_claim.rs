//! Exhaustive model of claims with a holder that is paused, wrongly suspected and then resumes.
//!
//! Bounds: two processes, two entries of the first and one of the second, one false suspicion, one
//! lost reply. A pause needs no step of its own, because a process may take its next step at any
//! time.

#[path = "support/doc.rs"]
mod doc;
mod support;

use std::collections::BTreeMap;

use dogwoodtray_coord::*;

use crate::doc::*;
use crate::support::*;

const NOW: Timestamp = Timestamp::ZERO;
const CLAIM: u8 = 0;
const COMMIT: u8 = 1;

/// Process that claims the object and adds entries under the claim.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Node {
    claim: Claim,
    commit: Option<GroupCommit<u8>>,
    codec: DocCodec,
    entries: Vec<u8>,
    probed: Option<Epoch>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct ModelState {
    store: SimStore,
    nodes: Vec<Node>,
    false_suspicions: u8,
    /// Entries that were reported durable.
    durable: Vec<u8>,
    /// Process that claimed each epoch, as reported by the process itself.
    holders: BTreeMap<Epoch, usize>,
    violation: Option<String>,
}

fn object() -> ObjectKey {
    ObjectKey::new("jobs", "a")
}

impl ModelState {
    fn new(faults: Faults, keeps_stamp: bool) -> Self {
        let node = |index| Node {
            claim: Claim::new(object(), holder(index), no_backoff()),
            commit: None,
            codec: DocCodec { keeps_stamp, ..DocCodec::default() },
            entries: [vec![1, 2], vec![3]][index].clone(),
            probed: None,
        };
        let (durable, holders) = (Vec::new(), BTreeMap::new());
        let nodes = vec![node(0), node(1)];
        Self {
            store: SimStore::new(faults),
            nodes,
            false_suspicions: 1,
            durable,
            holders,
            violation: None,
        }
    }

    fn drive_claim(&mut self, index: usize, event: ClaimEvent) {
        let node = &mut self.nodes[index];
        let mut out = Vec::new();
        node.claim.handle(NOW, event, &node.codec, &mut out);
        for action in out {
            let node = &mut self.nodes[index];
            match action {
                ClaimAction::Call { call, op } => self.store.send(index, CLAIM, call, op),
                ClaimAction::Probe { epoch, .. } => node.probed = Some(epoch),
                ClaimAction::Claimed { epoch, version, value } => {
                    let record = ClaimRecord { epoch, holder: Some(holder(index)) };
                    let config = CommitConfig { max_entries: 1, ..CommitConfig::default() };
                    let commit = GroupCommit::new(object(), record, version, config, no_backoff());
                    node.commit = Some(commit);
                    node.codec.stored = Doc::decode(&value);
                    if self.holders.insert(epoch, index).is_some() {
                        self.violation = Some(format!("{epoch:?} was claimed twice"));
                    }
                }
                ClaimAction::Lost { .. } => node.commit = None,
            }
        }
    }

    fn drive_commit(&mut self, index: usize, event: CommitEvent<u8>) {
        let node = &mut self.nodes[index];
        let Some(commit) = &mut node.commit else {
            return;
        };
        let mut out = Vec::new();
        commit.handle(NOW, event, &mut node.codec, &mut out);
        for action in out {
            match action {
                CommitAction::Call { call, op } => self.store.send(index, COMMIT, call, op),
                CommitAction::Durable { entries, version } => {
                    self.durable.extend(entries);
                    self.drive_claim(index, ClaimEvent::Written { version });
                }
                CommitAction::Fenced { .. } => self.drive_claim(index, ClaimEvent::Fenced),
                CommitAction::Refused { .. } | CommitAction::TooLarge { .. } => unreachable!(),
            }
        }
    }

    /// Checks that a write under one claim does not overwrite a value under another.
    fn check_write(&mut self) {
        let Some(write) = self.store.last_write.take() else {
            return;
        };
        let before = write.before.map(|value| Doc::decode(&value)).unwrap_or_default();
        let after = write.after.map(|value| Doc::decode(&value)).unwrap_or_default();
        let is_claim = after.epoch == before.epoch.next();
        let is_write_of_holder = after.epoch == before.epoch && after.holder == before.holder;
        if !is_claim && !is_write_of_holder {
            self.violation = Some(format!("{after:?} replaced {before:?}"));
        }
        if !after.log.starts_with(&before.log) {
            self.violation = Some(format!("entries of {before:?} are lost in {after:?}"));
        }
    }
}

impl Model for ModelState {
    fn steps(&self) -> Vec<Self> {
        let mut steps = Vec::new();
        for store in self.store.steps() {
            let mut next = Self { store, ..self.clone() };
            next.check_write();
            steps.push(next);
        }
        for (call_key, reply, store) in self.store.deliveries() {
            let mut next = Self { store, ..self.clone() };
            match call_key.origin {
                CLAIM => {
                    next.drive_claim(
                        call_key.node,
                        ClaimEvent::Reply { call: call_key.call, reply },
                    );
                }
                _ => next
                    .drive_commit(call_key.node, CommitEvent::Reply { call: call_key.call, reply }),
            }
            steps.push(next);
        }
        for (index, node) in self.nodes.iter().enumerate() {
            let mut ticked = self.clone();
            ticked.drive_claim(index, ClaimEvent::Tick);
            ticked.drive_commit(index, CommitEvent::Tick);
            if ticked != *self {
                steps.push(ticked);
            }
            if node.commit.is_some() && !node.entries.is_empty() {
                let mut pushed = self.clone();
                let entry = pushed.nodes[index].entries.remove(0);
                pushed.drive_commit(index, CommitEvent::Push { entry, bytes: 1 });
                steps.push(pushed);
            }
            if let (Some(epoch), Some(_)) = (node.probed, node.claim.other_holder()) {
                let actual = self.nodes[1 - index].claim.holds(epoch);
                let replies = [actual, false];
                for holds in &replies[..1 + usize::from(actual && self.false_suspicions > 0)] {
                    let mut probed = self.clone();
                    probed.false_suspicions -= u8::from(actual != *holds);
                    let holds = *holds;
                    probed.drive_claim(index, ClaimEvent::ProbeReply { epoch, holds });
                    if probed != *self {
                        steps.push(probed);
                    }
                }
            }
        }
        steps
    }

    fn check(&self, is_end: bool) -> Result<(), String> {
        if let Some(violation) = &self.violation {
            return Err(violation.clone());
        }
        let doc = self.store.value(&object()).map(|value| Doc::decode(value)).unwrap_or_default();
        if let Some(entry) = self.durable.iter().find(|entry| !doc.log.contains(entry)) {
            return Err(format!("durable entry {entry} is not in {doc:?}"));
        }
        let is_held = |node: &Node| matches!(node.claim.state(), ClaimState::Held { epoch, .. } if epoch == doc.epoch);
        if is_end && !self.nodes.iter().any(is_held) {
            return Err("no process holds the claim in a terminal state".into());
        }
        Ok(())
    }
}

/// A holder that resumes after a pause must not overwrite the writes of its successor.
#[test]
fn resumed_holder_cannot_overwrite_successor() {
    let faults = Faults { lost: 1, ..Faults::default() };
    assert_eq!(explore("claim", ModelState::new(faults, false)).err(), None);
}

/// Checks that the model detects a missing fence: the store ignores the expected version.
#[test]
fn model_detects_unconditional_store() {
    let faults = Faults { lost: 1, is_unconditional: true, ..Faults::default() };
    assert!(explore("claim, unconditional store", ModelState::new(faults, false)).is_err());
}

/// Checks that the model detects a codec that keeps the stamp in a takeover. The previous holder
/// then recognizes its own stamp and mistakes a fenced write for a stored one.
#[test]
fn model_detects_kept_stamp() {
    let faults = Faults { lost: 1, ..Faults::default() };
    assert!(explore("claim, stamp kept by takeover", ModelState::new(faults, true)).is_err());
}
