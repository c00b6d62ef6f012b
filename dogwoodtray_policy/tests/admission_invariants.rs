//! Invariants of admission under random events, checked with a reference model.
#![allow(clippy::unwrap_used, reason = "a broken expectation fails the test")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::Admission;
use dogwoodtray_policy::AdmissionAction;
use dogwoodtray_policy::AdmissionConfig;
use dogwoodtray_policy::AdmissionEvent;
use dogwoodtray_policy::AdmissionPolicy;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Cost;
use dogwoodtray_policy::RefuseReason;
use dogwoodtray_policy::WorkId;
use quickcheck::quickcheck;

const LONG_WORK_TOKENS: u32 = 100;

/// State of a piece of work in the reference model.
#[derive(Clone, Copy, Debug)]
struct Item {
    class: Class,
    cost: Cost,
    arrived: u64,
    entry_seq: u64,
    tokens: Option<u32>,
    cancelled: bool,
}

impl Item {
    fn work_done(&self) -> u32 {
        self.tokens.map_or(0, |tokens| tokens + self.cost.prompt_tokens / 16)
    }

    fn is_long(&self) -> bool {
        let online = self.class == Class::Online;
        online && (self.cost.work() >= LONG_WORK_TOKENS || self.work_done() >= LONG_WORK_TOKENS)
    }
}

/// Reference model that keeps all work in maps and checks each action.
#[derive(Debug, Default)]
struct ReferenceModel {
    queued: BTreeMap<u64, Item>,
    inside: BTreeMap<u64, Item>,
    ended: BTreeSet<u64>,
    leaving: bool,
    next_entry_seq: u64,
}

impl ReferenceModel {
    fn count(&self, matches: impl Fn(&Item) -> bool) -> u32 {
        self.inside.values().filter(|item| !item.cancelled && matches(item)).count() as u32
    }

    fn apply(&mut self, cfg: &AdmissionConfig, places: u32, action: AdmissionAction) {
        match action {
            AdmissionAction::Forward { id: WorkId(id) } => {
                let mut item = self.queued.remove(&id).expect("only queued work is forwarded");
                if item.class == Class::Online {
                    self.check_order(cfg, places, &item);
                }
                item.entry_seq = self.next_entry_seq;
                self.next_entry_seq += 1;
                self.inside.insert(id, item);
                assert!(self.count(|_| true) <= places, "more streams than places");
            }
            AdmissionAction::Preempt { id: WorkId(id) } => {
                let victim = self.inside[&id];
                assert!(victim.class == Class::Batch && !victim.cancelled);
                let rank = |item: &Item| (item.work_done(), u64::MAX - item.entry_seq);
                let others =
                    self.inside.values().filter(|i| i.class == Class::Batch && !i.cancelled);
                assert!(
                    others.map(rank).min() == Some(rank(&victim)),
                    "another batch stream had less work to lose"
                );
                self.inside.get_mut(&id).unwrap().cancelled = true;
            }
            AdmissionAction::Refuse { id: WorkId(id), reason } => {
                let item = self.queued.remove(&id).expect("only queued work is refused");
                assert!(reason != RefuseReason::Leaving || self.leaving);
                assert!(self.ended.insert(id), "{item:?} ended twice");
            }
        }
    }

    /// Checks that the next online request has the least work after aging of those that may enter.
    fn check_order(&self, cfg: &AdmissionConfig, places: u32, next: &Item) {
        let allow_long = self.count(Item::is_long) < self.long_places(cfg, places);
        let score = |item: &Item| {
            let arrived = item.arrived as f64 / 1e6;
            (f64::from(item.cost.work()) + arrived * cfg.aging_rate) * 1_000.0
        };
        assert!(allow_long || !next.is_long(), "long work exceeds its share");
        for other in self.queued.values() {
            let may_enter = other.class == Class::Online && (allow_long || !other.is_long());
            assert!(
                !may_enter || score(next) as i64 <= score(other) as i64,
                "{other:?} ranks lower"
            );
        }
    }

    fn long_places(&self, cfg: &AdmissionConfig, places: u32) -> u32 {
        ((f64::from(places) * cfg.long_share) as u32).max(1)
    }

    /// Checks that no online request is queued while batch could be preempted or a place is free.
    /// Only long requests may be queued for their share of the places.
    fn check_queued(&self, cfg: &AdmissionConfig, places: u32) {
        let queued: Vec<&Item> =
            self.queued.values().filter(|i| i.class == Class::Online).collect();
        let batch = self.count(|item| item.class == Class::Batch);
        if queued.iter().any(|item| !item.is_long()) {
            assert_eq!(batch, 0, "a short request is queued while batch could be preempted");
            assert!(
                self.count(|_| true) >= places,
                "a short request is queued while a place is free"
            );
        } else if !queued.is_empty() && batch > 0 {
            let long = self.count(Item::is_long);
            assert!(
                long >= self.long_places(cfg, places),
                "a long request is queued while batch could be preempted"
            );
        }
    }
}

/// Converts random numbers to events that an agent could send, and checks every step.
fn check(choices: Vec<(u8, u16)>) {
    let cfg = AdmissionConfig {
        max_places: 12,
        min_places: 2,
        long_work_tokens: LONG_WORK_TOKENS,
        max_queued_online: 20,
        max_queued_batch: 5,
        ..AdmissionConfig::default()
    };
    let mut admission = Admission::new(cfg);
    let mut reference = ReferenceModel::default();
    let mut out = Vec::new();
    let (mut now, mut next) = (0, 0);
    for (kind, value) in choices {
        now += u64::from(value % 64) * 1_000;
        let pick = |map: &BTreeMap<u64, Item>| {
            let index = usize::from(value) % map.len().max(1);
            map.iter().nth(index).map(|(id, item)| (*id, *item))
        };
        let event = match kind % 16 {
            0..=6 => {
                let class = if kind % 2 == 0 { Class::Online } else { Class::Batch };
                let output_tokens = u32::from(value % 150);
                let cost = Cost { prompt_tokens: u32::from(value / 8), output_tokens };
                next += 1;
                let item = Item {
                    class,
                    cost,
                    arrived: now,
                    entry_seq: 0,
                    tokens: None,
                    cancelled: false,
                };
                reference.queued.insert(next, item);
                let deadline = (value % 5 == 0).then_some(Timestamp(now + u64::from(value) * 20));
                AdmissionEvent::Arrive { id: WorkId(next), class, cost, deadline }
            }
            7..=9 => {
                let Some((id, item)) = pick(&reference.inside) else { continue };
                let tokens = item.tokens.unwrap_or(0) + 1 + u32::from(value % 40);
                reference.inside.get_mut(&id).unwrap().tokens = Some(tokens);
                AdmissionEvent::Progress { id: WorkId(id), tokens }
            }
            10..=12 => {
                let Some((id, _)) = pick(&reference.inside) else { continue };
                reference.inside.remove(&id);
                assert!(reference.ended.insert(id));
                AdmissionEvent::Finished { id: WorkId(id) }
            }
            13 => {
                let Some((id, _)) = pick(&reference.queued) else { continue };
                reference.queued.remove(&id);
                assert!(reference.ended.insert(id));
                AdmissionEvent::Withdrawn { id: WorkId(id) }
            }
            14 => {
                let Some((id, _)) = pick(&reference.inside) else { continue };
                reference.inside.get_mut(&id).unwrap().cancelled = true;
                AdmissionEvent::Withdrawn { id: WorkId(id) }
            }
            _ if value % 4 == 0 => {
                reference.leaving = true;
                AdmissionEvent::Leaving
            }
            _ => AdmissionEvent::Tick,
        };
        let was_inside = reference.count(|item| item.class == Class::Online);
        admission.handle(Timestamp(now), event, &mut out);
        if reference.leaving && matches!(event, AdmissionEvent::Arrive { .. }) {
            let (id, reason) = (WorkId(next), RefuseReason::Leaving);
            assert_eq!(out.first(), Some(&AdmissionAction::Refuse { id, reason }));
        }
        for action in out.drain(..) {
            reference.apply(&cfg, admission.places().max(was_inside), action);
        }
        reference.check_queued(&cfg, admission.places());
        let online = reference.queued.values().filter(|i| i.class == Class::Online).count();
        assert_eq!(admission.queued_online() as usize, online);
        assert!(!reference.leaving || admission.free_online() + admission.free_batch() == 0);
    }
    drain(&mut admission, &mut reference, now);
    assert_eq!(reference.ended.len() as u64, next, "some work never ended");
}

/// Finishes all streams until no work is left, as in a planned shutdown.
fn drain(admission: &mut Admission, reference: &mut ReferenceModel, mut now: u64) {
    let mut out = Vec::new();
    while let Some((id, _)) = reference.inside.pop_first() {
        now += 1_000;
        reference.ended.insert(id);
        admission.handle(Timestamp(now), AdmissionEvent::Finished { id: WorkId(id) }, &mut out);
        for action in out.drain(..) {
            match action {
                AdmissionAction::Forward { id: WorkId(id) } => {
                    let item = reference.queued.remove(&id).unwrap();
                    reference.inside.insert(id, item);
                }
                AdmissionAction::Refuse { id: WorkId(id), reason } => {
                    assert_eq!(reason, RefuseReason::Deadline, "queued work was dropped");
                    reference.queued.remove(&id);
                    assert!(reference.ended.insert(id));
                }
                AdmissionAction::Preempt { id: WorkId(id) } => {
                    reference.inside.get_mut(&id).unwrap().cancelled = true;
                }
            }
        }
    }
}

quickcheck! {
    fn every_step_agrees_with_the_reference_model(choices: Vec<(u8, u16)>) -> bool {
        check(choices);
        true
    }
}

/// Guards against a burst that preempts fewer batch streams than it needs. Random events rarely
/// queue enough requests to show this.
#[test]
fn a_burst_preempts_all_needed_batch_in_one_pass() {
    let starting = 64;
    let cfg = AdmissionConfig {
        max_batch_prefills: starting,
        max_batch_prefills_idle: starting,
        ..AdmissionConfig::default()
    };
    let mut admission = Admission::new(cfg);
    let mut out = Vec::new();
    let cost = Cost { prompt_tokens: 16, output_tokens: 50 };
    let arrive = |id, class| AdmissionEvent::Arrive { id: WorkId(id), class, cost, deadline: None };
    (0..40).for_each(|id| admission.handle(Timestamp(1), arrive(id, Class::Batch), &mut out));
    let inside = admission.places();
    assert_eq!(out.len() as u32, inside);
    out.clear();
    (100..140).for_each(|id| admission.handle(Timestamp(2), arrive(id, Class::Online), &mut out));
    let preempted = out.iter().filter(|a| matches!(a, AdmissionAction::Preempt { .. })).count();
    let forwarded = out.iter().filter(|a| matches!(a, AdmissionAction::Forward { .. })).count();
    assert_eq!((preempted as u32, forwarded as u32), (inside, inside));
}
