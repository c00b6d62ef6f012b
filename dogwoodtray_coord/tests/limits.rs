//! Limits in size and time: sealing, retention, silence of a holder, values that are too large.

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

/// A range with a store that always answers, and the largest value written.
struct Bench {
    range: OnceRange,
    net: Net,
    now: Timestamp,
    largest: usize,
}

impl Bench {
    fn new(node: usize, net: Net) -> Self {
        let range = OnceRange::new("3", holder(node), OnceConfig::default(), no_backoff());
        let mut bench = Self { range, net, now: Timestamp::ZERO, largest: 0 };
        bench.pass(Duration::ZERO);
        bench
    }

    /// Handles an event and runs the store calls that follow. Returns the other actions.
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
                events.push_back(OnceEvent::Reply { call, reply: self.net.apply(&op) });
            }
        }
        actions
    }

    /// Lets time pass and the group commit write.
    fn pass(&mut self, time: Duration) -> Vec<OnceAction> {
        self.now = self.now + time;
        self.drive(OnceEvent::Tick)
    }

    fn begin(&mut self, key: u128) -> Vec<OnceAction> {
        let (request, key) = (RequestId(key as u64), KeyHash(key << 64));
        self.drive(OnceEvent::Begin { request, key, content: CONTENT })
    }

    fn segments(&self) -> usize {
        self.net.objects.keys().filter(|key| &*key.kind == "once-log").count()
    }
}

fn answer(body_bytes: usize) -> Answer {
    let body = Some(Arc::from(vec![7; body_bytes]));
    Answer { status: 200, content_type: Name::from("application/json"), body }
}

fn run_keys(bench: &mut Bench, keys: std::ops::Range<u128>, body_bytes: usize) {
    for key in keys.clone() {
        bench.begin(key);
    }
    let started = bench.pass(Duration::from_millis(10));
    let runs = started.iter().filter(|action| matches!(action, OnceAction::Run { .. })).count();
    assert_eq!(runs as u128, keys.end - keys.start);
    for key in keys {
        let outcome = Outcome::Answered(answer(body_bytes));
        bench.drive(OnceEvent::Finish { key: KeyHash(key << 64), outcome });
    }
    bench.pass(Duration::from_millis(10));
    assert_eq!(bench.range.live(), 0);
}

/// Guards against an object that outgrows the store, and against a record that sealing or a
/// takeover loses.
#[test]
fn sealed_records_stay_within_limit_and_are_found() {
    let mut bench = Bench::new(0, Net::new(Faults::default()));
    for batch in 0..10 {
        run_keys(&mut bench, batch * 100..(batch + 1) * 100, 4_000);
    }
    println!("largest value {} bytes, {} segments", bench.largest, bench.segments());
    assert!(bench.largest < MAX_VALUE_BYTES, "{}", bench.largest);
    assert!(bench.segments() >= 5, "{}", bench.segments());
    let replays = |bench: &mut Bench, key| {
        let request = RequestId(key as u64);
        bench.begin(key) == [OnceAction::Replay { request, answer: answer(4_000) }]
    };
    assert!((0..1_000).all(|key| replays(&mut bench, key)));

    // The next owner finds them with nothing but the object.
    let mut next = Bench::new(1, bench.net);
    let acquired = next.drive(OnceEvent::ProbeReply { epoch: Epoch(1), holds: false });
    assert_eq!(acquired, [OnceAction::Acquired { epoch: Epoch(2) }]);
    assert!((0..1_000).all(|key| replays(&mut next, key)));
}

/// Guards against an index of sealed records that outgrows the store.
#[test]
fn full_range_refuses_and_stays_within_limit() {
    let mut bench = Bench::new(0, Net::new(Faults::default()));
    let mut keys = 0;
    while !matches!(bench.begin(keys)[..], [OnceAction::Refused { .. }]) {
        let batch = keys..keys + 900;
        batch.clone().skip(1).for_each(|key| drop(bench.begin(key)));
        bench.pass(Duration::from_millis(10));
        for key in batch {
            let outcome = Outcome::Answered(answer(0));
            bench.drive(OnceEvent::Finish { key: KeyHash(key << 64), outcome });
        }
        bench.pass(Duration::from_millis(10));
        keys += 900;
    }
    println!("full after {keys} keys, largest value {} bytes", bench.largest);
    let reason = OnceRefusal::Full;
    let request = RequestId(keys as u64);
    assert_eq!(bench.begin(keys), [OnceAction::Refused { request, reason }]);
    assert!(keys >= 50_000 && bench.largest < 900_000);
}

/// Guards against records that are never dropped, and against one that is dropped too early.
#[test]
fn records_expire_after_retention() {
    let mut bench = Bench::new(0, Net::new(Faults::default()));
    run_keys(&mut bench, 0..200, 4_000);
    bench.pass(Duration::from_secs(23 * 3_600));
    run_keys(&mut bench, 200..201, 0);
    assert!(bench.segments() > 0);
    assert!(matches!(bench.begin(0)[..], [OnceAction::Replay { .. }]));
    bench.pass(Duration::from_secs(2 * 3_600));
    for key in 201..210 {
        run_keys(&mut bench, key..key + 1, 0);
    }
    assert_eq!(bench.segments(), 0);
    assert!(matches!(bench.begin(200)[..], [OnceAction::Replay { .. }]));
    assert!(bench.begin(0).is_empty());
    let action = bench.pass(Duration::from_millis(10));
    assert!(matches!(action[..], [OnceAction::Run { .. }]));
}

/// Guards against an answer that is too large to keep and fails the whole object.
#[test]
fn large_answer_is_given_once_and_not_kept() {
    let mut bench = Bench::new(0, Net::new(Faults::default()));
    run_keys(&mut bench, 0..1, 2 * MAX_VALUE_BYTES);
    let kept = Answer { body: None, ..answer(0) };
    assert_eq!(bench.begin(0), [OnceAction::Replay { request: RequestId(0), answer: kept }]);
    assert!(bench.largest < 1_000);
}

/// Guards against a takeover before 3 s of silence, and after a pause of the observer.
#[test]
fn holder_is_judged_by_own_clock_and_probes() {
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
    assert!(!takes_over_at(10_000), "the observer was paused, and has sent one probe");
    assert!((10_500..12_500).step_by(500).all(|millis| !takes_over_at(millis)));
    assert!(takes_over_at(12_500));
}

/// Guards against a takeover from a holder that answers, and before 3 s of silence.
#[test]
fn holder_is_present_until_silent_for_three_seconds() {
    let mut watch = HolderWatch::new(Timestamp::ZERO, holder(0), Epoch(4));
    let at = |millis| Timestamp::ZERO + Duration::from_millis(millis);
    for millis in (0..20_000).step_by(500) {
        assert_eq!(watch.presence(at(millis)), Presence::Present);
        assert!(watch.try_probe(at(millis)));
        if millis % 2_500 == 0 {
            watch.on_reply(Epoch(4), true);
        }
    }
    watch.on_reply(Epoch(4), true);
    for millis in (20_000..23_000).step_by(500) {
        assert!(watch.try_probe(at(millis)));
    }
    assert_eq!(watch.presence(at(22_999)), Presence::Present);
    assert_eq!(watch.presence(at(23_000)), Presence::Silent);
    watch.on_reply(Epoch(3), true);
    assert_eq!(watch.presence(at(23_000)), Presence::Silent, "a reply about another claim");
}

/// Guards against entries that are lost because the store refuses their value as too large.
#[test]
fn entries_that_are_too_large_come_back() {
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
