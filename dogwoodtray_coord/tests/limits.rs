//! Limits of size and time: sealing, retention, holder timeouts and values that are too large.

#[path = "support/doc.rs"]
mod doc;
mod support;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use dogwoodtray_coord::*;

use crate::doc::*;
use crate::support::*;

const CONTENT: ContentHash = ContentHash(5);
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Range with a store that always replies, and the size of the largest value written.
struct RangeHarness {
    range: OnceRange,
    store: SimStore,
    now: Timestamp,
    largest: usize,
}

impl RangeHarness {
    fn new(node: usize, store: SimStore) -> Self {
        let range = OnceRange::new("3", holder(node), OnceConfig::default(), no_backoff());
        let mut harness = Self { range, store, now: Timestamp::ZERO, largest: 0 };
        harness.advance(Duration::ZERO);
        harness
    }

    /// Handles an event and runs the resulting store calls. Returns the other actions.
    fn drive(&mut self, event: OnceEvent) -> Vec<OnceAction> {
        let (mut events, mut actions) = (VecDeque::from([event]), Vec::new());
        while let Some(event) = events.pop_front() {
            let mut out = Vec::new();
            self.range.handle(self.now, event, &mut out);
            for action in out {
                let OnceAction::Call { call, op } = action else {
                    actions.push(action);
                    continue;
                };
                if let StoreOp::Put { value, .. } = &op {
                    self.largest = self.largest.max(value.len());
                }
                events.push_back(OnceEvent::Reply { call, reply: self.store.apply(&op) });
            }
        }
        actions
    }

    /// Advances the time and handles a tick, on which the group commit may start a write.
    fn advance(&mut self, time: Duration) -> Vec<OnceAction> {
        self.now = self.now + time;
        self.drive(OnceEvent::Tick)
    }

    fn begin(&mut self, key: u128) -> Vec<OnceAction> {
        let (request, key) = (RequestId(key as u64), KeyHash(key << 64));
        self.drive(OnceEvent::Begin { request, key, content: CONTENT })
    }

    fn segments(&self) -> usize {
        self.store.objects.keys().filter(|key| &*key.kind == "once-log").count()
    }
}

fn answer(body_bytes: usize) -> Answer {
    let body = Some(Arc::from(vec![7; body_bytes]));
    Answer { status: 200, content_type: Name::from("application/json"), body }
}

fn run_keys(harness: &mut RangeHarness, keys: std::ops::Range<u128>, body_bytes: usize) {
    for key in keys.clone() {
        harness.begin(key);
    }
    let started = harness.advance(Duration::from_millis(10));
    let runs = started.iter().filter(|action| matches!(action, OnceAction::Run { .. })).count();
    assert_eq!(runs as u128, keys.end - keys.start);
    for key in keys {
        let outcome = Outcome::Answered(answer(body_bytes));
        harness.drive(OnceEvent::Finish { key: KeyHash(key << 64), outcome });
    }
    harness.advance(Duration::from_millis(10));
    assert_eq!(harness.range.active_keys(), 0);
}

/// Without sealing, the object would outgrow the limit of the store. Neither sealing nor a takeover
/// may lose a record.
#[test]
fn sealed_records_stay_within_limit_and_are_found() {
    let mut harness = RangeHarness::new(0, SimStore::new(Faults::default()));
    for batch in 0..10 {
        run_keys(&mut harness, batch * 100..(batch + 1) * 100, 4_000);
    }
    println!("largest value {} bytes, {} segments", harness.largest, harness.segments());
    assert!(harness.largest < MAX_VALUE_BYTES, "{}", harness.largest);
    assert!(harness.segments() >= 5, "{}", harness.segments());
    let replays = |harness: &mut RangeHarness, key| {
        let request = RequestId(key as u64);
        harness.begin(key) == [OnceAction::Replay { request, answer: answer(4_000) }]
    };
    assert!((0..1_000).all(|key| replays(&mut harness, key)));

    // The next owner finds the records from the object alone.
    let mut next = RangeHarness::new(1, harness.store);
    let acquired = next.drive(OnceEvent::ProbeReply { epoch: Epoch(1), holds: false });
    assert_eq!(acquired, [OnceAction::Acquired { epoch: Epoch(2) }]);
    assert!((0..1_000).all(|key| replays(&mut next, key)));
}

/// The index of sealed records must not outgrow the limit of the store: a full range refuses
/// requests.
#[test]
fn full_range_refuses_requests_and_stays_within_limit() {
    let mut harness = RangeHarness::new(0, SimStore::new(Faults::default()));
    let mut keys = 0;
    while !matches!(harness.begin(keys)[..], [OnceAction::Refused { .. }]) {
        let batch = keys..keys + 900;
        batch.clone().skip(1).for_each(|key| drop(harness.begin(key)));
        harness.advance(Duration::from_millis(10));
        for key in batch {
            let outcome = Outcome::Answered(answer(0));
            harness.drive(OnceEvent::Finish { key: KeyHash(key << 64), outcome });
        }
        harness.advance(Duration::from_millis(10));
        keys += 900;
    }
    println!("full after {keys} keys, largest value {} bytes", harness.largest);
    let reason = OnceRefusal::Full;
    let request = RequestId(keys as u64);
    assert_eq!(harness.begin(keys), [OnceAction::Refused { request, reason }]);
    assert!(keys >= 50_000 && harness.largest < 900_000);
}

/// Records must be removed after the retention time, and not earlier.
#[test]
fn records_expire_after_retention() {
    let mut harness = RangeHarness::new(0, SimStore::new(Faults::default()));
    run_keys(&mut harness, 0..200, 4_000);
    harness.advance(Duration::from_secs(23 * 3_600));
    run_keys(&mut harness, 200..201, 0);
    assert!(harness.segments() > 0);
    assert!(matches!(harness.begin(0)[..], [OnceAction::Replay { .. }]));
    harness.advance(Duration::from_secs(2 * 3_600));
    for key in 201..210 {
        run_keys(&mut harness, key..key + 1, 0);
    }
    assert_eq!(harness.segments(), 0);
    assert!(matches!(harness.begin(200)[..], [OnceAction::Replay { .. }]));
    assert!(harness.begin(0).is_empty());
    let action = harness.advance(Duration::from_millis(10));
    assert!(matches!(action[..], [OnceAction::Run { .. }]));
}

/// An answer that is too large to store must not make the write of the whole object fail.
#[test]
fn large_answer_is_returned_once_and_not_stored() {
    let mut harness = RangeHarness::new(0, SimStore::new(Faults::default()));
    run_keys(&mut harness, 0..1, 2 * MAX_VALUE_BYTES);
    let kept = Answer { body: None, ..answer(0) };
    assert_eq!(harness.begin(0), [OnceAction::Replay { request: RequestId(0), answer: kept }]);
    assert!(harness.largest < 1_000);
}

/// A takeover requires 3 s without replies and six unanswered probes. A pause of the observer must
/// not cause one, because a paused observer receives no replies either.
#[test]
fn observer_pause_does_not_cause_takeover() {
    let codec = DocCodec::default();
    let mut doc = Doc { epoch: Epoch(4), ..Doc::default() };
    doc.holder = Some(holder(0).incarnation);
    let mut claim = Claim::new(ObjectKey::new("jobs", "a"), holder(1), no_backoff());
    let mut out = Vec::new();
    claim.handle(Timestamp::ZERO, ClaimEvent::Tick, &codec, &mut out);
    let Some(ClaimAction::Call { call, .. }) = out.pop() else { panic!("no call") };
    let reply = StoreReply::Found { version: Version(9), value: doc.encode() };
    claim.handle(Timestamp::ZERO, ClaimEvent::Reply { call, reply }, &codec, &mut out);
    let mut takes_over_at = |millis: u64| {
        let mut out = Vec::new();
        let now = Timestamp::ZERO + Duration::from_millis(millis);
        claim.handle(now, ClaimEvent::Tick, &codec, &mut out);
        out.iter().any(|action| matches!(action, ClaimAction::Call { .. }))
    };
    assert!(!takes_over_at(0));
    assert!(!takes_over_at(10_000), "the observer was paused and has sent one probe");
    assert!((10_500..12_500).step_by(500).all(|millis| !takes_over_at(millis)));
    assert!(takes_over_at(12_500));
}

/// A holder that replies to probes must not be considered failed, nor one that has not replied for
/// less than 3 s.
#[test]
fn holder_is_alive_until_three_seconds_without_reply() {
    let mut watch = HolderWatch::new(Timestamp::ZERO, holder(0), Epoch(4));
    let at = |millis| Timestamp::ZERO + Duration::from_millis(millis);
    for millis in (0..20_000).step_by(500) {
        assert_eq!(watch.status(at(millis)), HolderStatus::Alive);
        assert!(watch.try_probe(at(millis)));
        if millis % 2_500 == 0 {
            watch.on_reply(Epoch(4), true);
        }
    }
    watch.on_reply(Epoch(4), true);
    for millis in (20_000..23_000).step_by(500) {
        assert!(watch.try_probe(at(millis)));
    }
    assert_eq!(watch.status(at(22_999)), HolderStatus::Alive);
    assert_eq!(watch.status(at(23_000)), HolderStatus::Unresponsive);
    watch.on_reply(Epoch(3), true);
    assert_eq!(
        watch.status(at(23_000)),
        HolderStatus::Unresponsive,
        "a reply about another epoch is ignored"
    );
}

/// Entries must be returned to the owner if the store rejects the value as too large.
#[test]
fn too_large_entries_are_returned() {
    let claim = ClaimRecord { epoch: Epoch(1), holder: Some(holder(0)) };
    let config = CommitConfig { max_entries: 1, ..CommitConfig::default() };
    let object = ObjectKey::new("jobs", "a");
    let mut commit = GroupCommit::new(object, claim, Version(1), config, no_backoff());
    let (mut codec, mut out) = (DocCodec::default(), Vec::new());
    let now = Timestamp::ZERO;
    commit.handle(now, CommitEvent::Push { entry: 3, bytes: 1 }, &mut codec, &mut out);
    let Some(CommitAction::Call { call, .. }) = out.pop() else { panic!("no call") };
    let reply = StoreReply::TooLarge;
    commit.handle(now, CommitEvent::Reply { call, reply }, &mut codec, &mut out);
    assert_eq!(out, [CommitAction::TooLarge { entries: vec![3] }]);
    assert_eq!(commit.buffered(), 0);
}
