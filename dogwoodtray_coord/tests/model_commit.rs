//! Exhaustive model of a group commit with lost replies, refused calls and an external writer.
//!
//! Bounds: four entries in groups of up to two, a buffer of three, one external write, two lost
//! replies, one refused call.

#[path = "support/doc.rs"]
mod doc;
mod support;

use dogwoodtray_coord::*;

use crate::doc::*;
use crate::support::*;

const NOW: Timestamp = Timestamp::ZERO;
const ENTRIES: u8 = 4;
const EXTERNAL_ENTRY: u8 = 99;
const MAX_BUFFERED: usize = 3;

#[derive(Clone, PartialEq, Eq, Hash)]
struct ModelState {
    store: SimStore,
    commit: GroupCommit<u8>,
    codec: DocCodec,
    pushed: u8,
    has_external_write: bool,
    /// Defect: the external writer keeps the stamp.
    external_keeps_stamp: bool,
    /// Entries by the result that their owner received.
    durable: Vec<u8>,
    in_doubt: Vec<u8>,
    unwritten: Vec<u8>,
    violation: Option<String>,
}

fn has_duplicates(entries: &[u8]) -> bool {
    entries.iter().enumerate().any(|(index, entry)| entries[..index].contains(entry))
}

fn object() -> ObjectKey {
    ObjectKey::new("jobs", "a")
}

impl ModelState {
    fn new(faults: Faults, codec: DocCodec, external_keeps_stamp: bool) -> Self {
        let mut store = SimStore::new(faults);
        store.objects.insert(object(), (Version(1), Doc::default().encode()));
        let claim = ClaimRecord { epoch: Epoch(1), holder: Some(holder(0)) };
        let config =
            CommitConfig { max_entries: 2, max_buffered: MAX_BUFFERED, ..CommitConfig::default() };
        let commit = GroupCommit::new(object(), claim, Version(1), config, no_backoff());
        Self {
            store,
            commit,
            codec,
            external_keeps_stamp,
            pushed: 0,
            has_external_write: false,
            durable: Vec::new(),
            in_doubt: Vec::new(),
            unwritten: Vec::new(),
            violation: None,
        }
    }

    fn drive(mut self, now: Timestamp, event: CommitEvent<u8>) -> Self {
        let mut out = Vec::new();
        let buffered = self.commit.buffered();
        self.commit.handle(now, event, &mut self.codec, &mut out);
        for action in out {
            match action {
                CommitAction::Call { call, op } => self.store.send(0, 0, call, op),
                CommitAction::Durable { entries, .. } => self.durable.extend(entries),
                CommitAction::Fenced { in_doubt, unwritten, .. } => {
                    self.in_doubt.extend(in_doubt);
                    self.unwritten.extend(unwritten);
                    if !self.has_external_write {
                        self.violation = Some("fenced without an external write".into());
                    }
                }
                CommitAction::Refused { entry, reason } => {
                    self.unwritten.push(entry);
                    if reason == CommitRefusal::Full && buffered < MAX_BUFFERED {
                        self.violation = Some("refused although the buffer has room".into());
                    }
                }
                CommitAction::TooLarge { .. } => unreachable!("the store has no limit"),
            }
        }
        self
    }

    fn write_external(mut self) -> Self {
        let (version, value) = self.store.objects[&object()].clone();
        let mut doc = Doc::decode(&value);
        doc.log.push(EXTERNAL_ENTRY);
        if !self.external_keeps_stamp {
            doc.stamp = WriteStamp { incarnation: incarnation(1), seq: 1 };
        }
        let expect = Precondition::Version(version);
        self.store.apply(&StoreOp::Put { key: object(), expect, value: doc.encode() });
        self.store.last_write = None;
        self.has_external_write = true;
        self
    }

    fn log(&self) -> Vec<u8> {
        self.store.value(&object()).map(|value| Doc::decode(value).log).unwrap_or_default()
    }
}

impl Model for ModelState {
    fn steps(&self) -> Vec<Self> {
        let mut steps = Vec::new();
        for mut store in self.store.steps() {
            store.last_write = None;
            steps.push(Self { store, ..self.clone() });
        }
        for (call_key, reply, store) in self.store.deliveries() {
            let next = Self { store, ..self.clone() };
            steps.push(next.drive(NOW, CommitEvent::Reply { call: call_key.call, reply }));
        }
        if self.pushed < ENTRIES {
            let mut next = self.clone();
            next.pushed += 1;
            let event = CommitEvent::Push { entry: self.pushed, bytes: 1 };
            steps.push(next.drive(NOW, event));
        }
        // A tick after `max_delay`, which starts the write of a group that is not full.
        let aged = NOW + CommitConfig::default().max_delay;
        steps.push(self.clone().drive(aged, CommitEvent::Tick));
        if !self.has_external_write {
            steps.push(self.clone().write_external());
        }
        steps.retain(|next| next != self);
        steps
    }

    fn check(&self, is_end: bool) -> Result<(), String> {
        if let Some(violation) = &self.violation {
            return Err(violation.clone());
        }
        let log = self.log();
        let reported = [&self.durable[..], &self.in_doubt, &self.unwritten].concat();
        if has_duplicates(&reported) {
            return Err("the result of an entry was reported twice".into());
        }
        if let Some(entry) = self.durable.iter().find(|entry| !log.contains(entry)) {
            return Err(format!("durable entry {entry} is not stored"));
        }
        if let Some(entry) = self.unwritten.iter().find(|entry| log.contains(entry)) {
            return Err(format!("entry {entry} is stored, but reported as not written"));
        }
        if has_duplicates(&log) {
            return Err("an entry is stored twice".into());
        }
        if self.has_external_write != log.contains(&EXTERNAL_ENTRY) {
            return Err("the external write is lost".into());
        }
        if is_end && reported.len() != usize::from(ENTRIES) {
            return Err("the result of an entry was never reported".into());
        }
        Ok(())
    }
}

const FAULTS: Faults = Faults { lost: 2, refused: 1, is_unconditional: false };

/// Lost replies must neither lose nor duplicate an entry, nor leave it without a result.
#[test]
fn entries_survive_lost_replies() {
    assert_eq!(explore("commit", ModelState::new(FAULTS, DocCodec::default(), false)).err(), None);
}

/// Checks that the model detects a lost update: the store ignores the expected version.
#[test]
fn model_detects_unconditional_store() {
    let faults = Faults { is_unconditional: true, ..FAULTS };
    let state = ModelState::new(faults, DocCodec::default(), false);
    assert!(explore("commit, unconditional store", state).is_err());
}

/// Checks that the model detects values without a stamp. The writer then cannot recognize its own
/// write after a lost reply.
#[test]
fn model_detects_missing_stamp() {
    let codec = DocCodec { has_no_stamp: true, ..DocCodec::default() };
    assert!(explore("commit, no stamp", ModelState::new(FAULTS, codec, false)).is_err());
}

/// Checks that the model detects an external writer that keeps the stamp. The group commit then
/// mistakes the version of the external writer for its own.
#[test]
fn model_detects_kept_stamp() {
    let state = ModelState::new(FAULTS, DocCodec::default(), true);
    assert!(explore("commit, stamp kept by external writer", state).is_err());
}
