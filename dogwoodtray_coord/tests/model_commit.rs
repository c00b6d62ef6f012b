//! Exhaustive model of a group commit with lost replies, refusals and a foreign writer.
//!
//! Bounds: four entries in groups of up to two, a buffer of three, one foreign write, two lost
//! replies, one refusal.

#[path = "support/doc.rs"]
mod doc;
mod support;

use dogwoodtray_coord::*;

use crate::doc::*;
use crate::support::*;

const NOW: Timestamp = Timestamp::ZERO;
const ENTRIES: u8 = 4;
const FOREIGN_ENTRY: u8 = 99;
const MAX_BUFFERED: usize = 3;

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    net: Net,
    commit: GroupCommit<u8>,
    codec: DocCodec,
    pushed: u8,
    has_foreign_write: bool,
    /// Set in a broken variant: the foreign writer leaves the stamp as it is.
    foreign_keeps_stamp: bool,
    /// Entries by what their owner was told.
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

impl World {
    fn new(faults: Faults, codec: DocCodec, foreign_keeps_stamp: bool) -> Self {
        let mut net = Net::new(faults);
        net.objects.insert(object(), (Version(1), Doc::default().encode()));
        let claim = ClaimRecord { epoch: Epoch(1), holder: Some(holder(0)) };
        let config =
            CommitConfig { max_entries: 2, max_buffered: MAX_BUFFERED, ..CommitConfig::default() };
        let commit = GroupCommit::new(object(), claim, Version(1), config, no_backoff());
        Self {
            net,
            commit,
            codec,
            foreign_keeps_stamp,
            pushed: 0,
            has_foreign_write: false,
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
                CommitAction::Call { call, op } => self.net.send(0, 0, call, op),
                CommitAction::Durable { entries, .. } => self.durable.extend(entries),
                CommitAction::Fenced { in_doubt, unwritten, .. } => {
                    self.in_doubt.extend(in_doubt);
                    self.unwritten.extend(unwritten);
                    if !self.has_foreign_write {
                        self.violation = Some("fenced without a foreign write".into());
                    }
                }
                CommitAction::Refused { entry, reason } => {
                    self.unwritten.push(entry);
                    if reason == CommitRefusal::Full && buffered < MAX_BUFFERED {
                        self.violation = Some("refused with room in the buffer".into());
                    }
                }
                CommitAction::TooLarge { .. } => unreachable!("the store has no limit"),
            }
        }
        self
    }

    fn write_foreign(mut self) -> Self {
        let (version, value) = self.net.objects[&object()].clone();
        let mut doc = Doc::decode(&value);
        doc.log.push(FOREIGN_ENTRY);
        if !self.foreign_keeps_stamp {
            doc.stamp = WriteStamp { incarnation: incarnation(1), seq: 1 };
        }
        let expect = Expect::Version(version);
        self.net.apply(&StoreOp::Put { key: object(), expect, value: doc.encode() });
        self.net.last_write = None;
        self.has_foreign_write = true;
        self
    }

    fn log(&self) -> Vec<u8> {
        self.net.value(&object()).map(|value| Doc::decode(value).log).unwrap_or_default()
    }
}

impl Model for World {
    fn steps(&self) -> Vec<Self> {
        let mut steps = Vec::new();
        for mut net in self.net.steps() {
            net.last_write = None;
            steps.push(Self { net, ..self.clone() });
        }
        for (name, reply, net) in self.net.deliveries() {
            let next = Self { net, ..self.clone() };
            steps.push(next.drive(NOW, CommitEvent::Reply { call: name.call, reply }));
        }
        if self.pushed < ENTRIES {
            let mut next = self.clone();
            next.pushed += 1;
            let event = CommitEvent::Push { entry: self.pushed, bytes: 1 };
            steps.push(next.drive(NOW, event));
        }
        // A tick with the delay over, which starts a group that is not full.
        let aged = NOW + CommitConfig::default().max_delay;
        steps.push(self.clone().drive(aged, CommitEvent::Tick));
        if !self.has_foreign_write {
            steps.push(self.clone().write_foreign());
        }
        steps.retain(|next| next != self);
        steps
    }

    fn check(&self, is_end: bool) -> Result<(), String> {
        if let Some(violation) = &self.violation {
            return Err(violation.clone());
        }
        let log = self.log();
        let told = [&self.durable[..], &self.in_doubt, &self.unwritten].concat();
        if has_duplicates(&told) {
            return Err("the owner was told twice about an entry".into());
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
        if self.has_foreign_write != log.contains(&FOREIGN_ENTRY) {
            return Err("the foreign write is lost".into());
        }
        if is_end && told.len() != usize::from(ENTRIES) {
            return Err("the owner was never told about an entry".into());
        }
        Ok(())
    }
}

const FAULTS: Faults = Faults { lost: 2, refused: 1, is_unconditional: false };

/// Guards against a lost, doubled or forgotten entry when replies are lost.
#[test]
fn entries_survive_lost_replies() {
    assert_eq!(explore("commit", World::new(FAULTS, DocCodec::default(), false)).err(), None);
}

/// Guards against a model that cannot see a lost update.
#[test]
fn unconditional_store_is_caught() {
    let faults = Faults { is_unconditional: true, ..FAULTS };
    let world = World::new(faults, DocCodec::default(), false);
    assert!(explore("commit, unconditional store", world).is_err());
}

/// Guards against a writer that cannot recognize its own write.
#[test]
fn missing_stamp_is_caught() {
    let codec = DocCodec { has_no_stamp: true, ..DocCodec::default() };
    assert!(explore("commit, no stamp", World::new(FAULTS, codec, false)).is_err());
}

/// Guards against another writer that leaves the stamp in place.
#[test]
fn kept_stamp_is_caught() {
    let world = World::new(FAULTS, DocCodec::default(), true);
    assert!(explore("commit, stamp kept by foreign writer", world).is_err());
}
