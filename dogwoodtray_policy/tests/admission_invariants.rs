//! Invariants of admission under random events, against naive bookkeeping.
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

const LONG_WORK: u32 = 100;

/// Work as the naive version sees it.
#[derive(Clone, Copy, Debug)]
struct Item {
    class: Class,
    cost: Cost,
    arrived: u64,
    order: u64,
    tokens: Option<u32>,
    exiting: bool,
}

impl Item {
    fn progress(&self) -> u32 {
        self.tokens.map_or(0, |tokens| tokens + self.cost.prompt_tokens / 16)
    }

    fn is_long(&self) -> bool {
        let online = self.class == Class::Online;
        online && (self.cost.work() >= LONG_WORK || self.progress() >= LONG_WORK)
    }
}

/// Keeps everything in plain maps and checks each action when it is taken.
#[derive(Debug, Default)]
struct Naive {
    queued: BTreeMap<u64, Item>,
    inside: BTreeMap<u64, Item>,
    ended: BTreeSet<u64>,
    leaving: bool,
    entries: u64,
}

impl Naive {
    fn count(&self, wanted: impl Fn(&Item) -> bool) -> u32 {
        self.inside.values().filter(|item| !item.exiting && wanted(item)).count() as u32
    }

    fn apply(&mut self, cfg: &AdmissionConfig, places: u32, action: AdmissionAction) {
        match action {
            AdmissionAction::Forward { id: WorkId(id) } => {
                let mut item = self.queued.remove(&id).expect("only queued work is forwarded");
                if item.class == Class::Online {
                    self.check_order(cfg, places, &item);
                }
                item.order = self.entries;
                self.entries += 1;
                self.inside.insert(id, item);
                assert!(self.count(|_| true) <= places, "more streams than places");
            }
            AdmissionAction::Preempt { id: WorkId(id) } => {
                let victim = self.inside[&id];
                assert!(victim.class == Class::Batch && !victim.exiting);
                let rank = |item: &Item| (item.progress(), u64::MAX - item.order);
                let others = self.inside.values().filter(|i| i.class == Class::Batch && !i.exiting);
                assert!(others.map(rank).min() == Some(rank(&victim)), "more progress was lost");
                self.inside.get_mut(&id).unwrap().exiting = true;
            }
            AdmissionAction::Refuse { id: WorkId(id), reason } => {
                let item = self.queued.remove(&id).expect("only queued work is refused");
                assert!(reason != RefuseReason::Leaving || self.leaving);
                assert!(self.ended.insert(id), "{item:?} ended twice");
            }
        }
    }

    /// The next online request has the least work after ageing, of those that may enter.
    fn check_order(&self, cfg: &AdmissionConfig, places: u32, next: &Item) {
        let allow_long = self.count(Item::is_long) < self.long_places(cfg, places);
        let score = |item: &Item| {
            let arrived = item.arrived as f64 / 1e6;
            (f64::from(item.cost.work()) + arrived * cfg.ageing) * 1_000.0
        };
        assert!(allow_long || !next.is_long(), "long work beyond its share");
        for other in self.queued.values() {
            let may_enter = other.class == Class::Online && (allow_long || !other.is_long());
            assert!(!may_enter || score(next) as i64 <= score(other) as i64, "{other:?} is first");
        }
    }

    fn long_places(&self, cfg: &AdmissionConfig, places: u32) -> u32 {
        ((f64::from(places) * cfg.long_share) as u32).max(1)
    }

    /// Online requests wait only for other online work, and long ones also for long ones.
    fn check_waiting(&self, cfg: &AdmissionConfig, places: u32) {
        let waiting: Vec<&Item> =
            self.queued.values().filter(|i| i.class == Class::Online).collect();
        let batch = self.count(|item| item.class == Class::Batch);
        if waiting.iter().any(|item| !item.is_long()) {
            assert_eq!(batch, 0, "a short request waits beside batch that could be preempted");
            assert!(self.count(|_| true) >= places, "a short request waits beside a free place");
        } else if !waiting.is_empty() && batch > 0 {
            let long = self.count(Item::is_long);
            assert!(long >= self.long_places(cfg, places), "a long request waits beside batch");
        }
    }
}

/// Turns random numbers into events that an agent could send, and checks every step.
fn check(choices: Vec<(u8, u16)>) {
    let cfg = AdmissionConfig {
        max_places: 12,
        min_places: 2,
        long_work: LONG_WORK,
        max_queued_online: 20,
        max_queued_batch: 5,
        ..AdmissionConfig::default()
    };
    let mut admission = Admission::new(cfg);
    let mut naive = Naive::default();
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
                let item =
                    Item { class, cost, arrived: now, order: 0, tokens: None, exiting: false };
                naive.queued.insert(next, item);
                let deadline = (value % 5 == 0).then_some(Timestamp(now + u64::from(value) * 20));
                AdmissionEvent::Arrive { id: WorkId(next), class, cost, deadline }
            }
            7..=9 => {
                let Some((id, item)) = pick(&naive.inside) else { continue };
                let tokens = item.tokens.unwrap_or(0) + 1 + u32::from(value % 40);
                naive.inside.get_mut(&id).unwrap().tokens = Some(tokens);
                AdmissionEvent::Progress { id: WorkId(id), tokens }
            }
            10..=12 => {
                let Some((id, _)) = pick(&naive.inside) else { continue };
                naive.inside.remove(&id);
                assert!(naive.ended.insert(id));
                AdmissionEvent::Finished { id: WorkId(id) }
            }
            13 => {
                let Some((id, _)) = pick(&naive.queued) else { continue };
                naive.queued.remove(&id);
                assert!(naive.ended.insert(id));
                AdmissionEvent::Withdrawn { id: WorkId(id) }
            }
            14 => {
                let Some((id, _)) = pick(&naive.inside) else { continue };
                naive.inside.get_mut(&id).unwrap().exiting = true;
                AdmissionEvent::Withdrawn { id: WorkId(id) }
            }
            _ if value % 4 == 0 => {
                naive.leaving = true;
                AdmissionEvent::Leaving
            }
            _ => AdmissionEvent::Tick,
        };
        let was_inside = naive.count(|item| item.class == Class::Online);
        admission.handle(Timestamp(now), event, &mut out);
        if naive.leaving && matches!(event, AdmissionEvent::Arrive { .. }) {
            let (id, reason) = (WorkId(next), RefuseReason::Leaving);
            assert_eq!(out.first(), Some(&AdmissionAction::Refuse { id, reason }));
        }
        for action in out.drain(..) {
            naive.apply(&cfg, admission.places().max(was_inside), action);
        }
        naive.check_waiting(&cfg, admission.places());
        let online = naive.queued.values().filter(|i| i.class == Class::Online).count();
        assert_eq!(admission.queued_online() as usize, online);
        assert!(!naive.leaving || admission.free_online() + admission.free_batch() == 0);
    }
    drain(&mut admission, &mut naive, now);
    assert_eq!(naive.ended.len() as u64, next, "some work never ended");
}

/// Ends everything inside until nothing is left, as at a planned stop.
fn drain(admission: &mut Admission, naive: &mut Naive, mut now: u64) {
    let mut out = Vec::new();
    while let Some((id, _)) = naive.inside.pop_first() {
        now += 1_000;
        naive.ended.insert(id);
        admission.handle(Timestamp(now), AdmissionEvent::Finished { id: WorkId(id) }, &mut out);
        for action in out.drain(..) {
            match action {
                AdmissionAction::Forward { id: WorkId(id) } => {
                    let item = naive.queued.remove(&id).unwrap();
                    naive.inside.insert(id, item);
                }
                AdmissionAction::Refuse { id: WorkId(id), reason } => {
                    assert_eq!(reason, RefuseReason::Deadline, "queued work was dropped");
                    naive.queued.remove(&id);
                    assert!(naive.ended.insert(id));
                }
                AdmissionAction::Preempt { id: WorkId(id) } => {
                    naive.inside.get_mut(&id).unwrap().exiting = true;
                }
            }
        }
    }
}

quickcheck! {
    fn every_step_agrees_with_the_naive_version(choices: Vec<(u8, u16)>) -> bool {
        check(choices);
        true
    }
}

/// Guards against a deep queue, which random events seldom build.
#[test]
fn a_burst_preempts_all_needed_batch_in_one_pass() {
    let starting = 64;
    let cfg = AdmissionConfig {
        max_starting_batch: starting,
        max_starting_batch_idle: starting,
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
