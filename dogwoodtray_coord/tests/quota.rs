//! Tests of a shared quota under the load that it answers: bursts of work far above the rate at
//! which work ends.

mod support;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use dogwoodtray_coord::*;
use quickcheck::quickcheck;

use crate::support::*;

const LIMIT: u64 = 500;
const UNITS: u64 = 10;

/// Work that a process knows of, with the units that it still holds; 0 once it has ended.
#[derive(Default)]
struct Works(RefCell<BTreeMap<Name, u64>>);

impl WorkView for Works {
    fn status(&self, work: &Name) -> WorkStatus {
        match self.0.borrow().get(work) {
            None => WorkStatus::Unknown,
            Some(0) => WorkStatus::Ended,
            Some(units) => WorkStatus::Open { units: *units },
        }
    }

    fn for_each_open(&self, f: &mut dyn FnMut(&Name, u64)) {
        let works = self.0.borrow();
        works.iter().filter(|(_, units)| **units > 0).for_each(|(work, units)| f(work, *units));
    }
}

/// One process with a store that replies at once.
struct Fixture {
    quota: SharedQuota,
    works: Works,
    store: SimStore,
    now: Timestamp,
    decisions: Vec<(u64, QuotaDecision)>,
    verified: Vec<Name>,
    writes: usize,
}

impl Fixture {
    fn new() -> Self {
        Self {
            quota: SharedQuota::new(ObjectKey::new("quotas", "q")),
            works: Works::default(),
            store: SimStore::default(),
            now: Timestamp::ZERO,
            decisions: Vec::new(),
            verified: Vec::new(),
            writes: 0,
        }
    }

    fn handle(&mut self, event: QuotaEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut out = Vec::new();
            self.quota.handle(self.now, event, &self.works, &mut out);
            for action in out {
                match action {
                    QuotaAction::Call { call, op } => {
                        self.writes += usize::from(matches!(op, StoreOp::Put { .. }));
                        let reply = self.store.apply(&op);
                        events.push(QuotaEvent::Reply { call, reply });
                    }
                    QuotaAction::Decide { id, decision } => self.decisions.push((id, decision)),
                    QuotaAction::Verify { work } => self.verified.push(work),
                }
            }
        }
    }

    /// Requests work of `units` and returns the decision. Creates the work if it is admitted.
    fn request(&mut self, id: u64, units: u64, limit: u64) -> QuotaDecision {
        let work = name(id);
        self.handle(QuotaEvent::Request(QuotaRequest { id, work: name(id), units, limit }));
        let decision = self.decisions.last().expect("a decision").1;
        if decision == QuotaDecision::Admitted {
            self.works.0.borrow_mut().entry(work).or_insert(units);
        }
        decision
    }

    fn end(&self, id: u64) {
        self.works.0.borrow_mut().insert(name(id), 0);
    }

    fn held(&self) -> u64 {
        self.quota.held(&self.works)
    }
}

fn name(id: u64) -> Name {
    Name::from(format!("w{id}"))
}

/// Returns the retry time of a refusal.
fn retry_after(decision: QuotaDecision) -> Duration {
    match decision {
        QuotaDecision::Refused(refusal) => refusal.retry_after,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// Guards against work above the limit, refusals of work that fits, and units that are never
/// released, in a burst of 80 times the rate at which work ends.
#[test]
fn a_burst_fills_the_limit_and_leaves_nothing_behind() {
    let mut fixture = Fixture::new();
    let (mut id, mut open, mut admitted) = (0, Vec::new(), 0);
    for tick in 0..400_u64 {
        fixture.now = fixture.now + Duration::from_millis(50);
        fixture.handle(QuotaEvent::Tick);
        let requests = if tick < 100 { 4 } else { 0 };
        for _ in 0..requests {
            id += 1;
            let fits = fixture.held() + UNITS <= LIMIT;
            let is_admitted = fixture.request(id, UNITS, LIMIT) == QuotaDecision::Admitted;
            assert_eq!(is_admitted, fits);
            assert!(fixture.held() <= LIMIT);
            if is_admitted {
                admitted += 1;
                open.push(id);
            }
        }
        if tick % 4 == 0 && !open.is_empty() {
            fixture.end(open.remove(0));
        }
    }
    assert!(open.is_empty());
    assert_eq!(fixture.held(), 0);
    assert!((LIMIT / UNITS..=LIMIT / UNITS + 26).contains(&admitted), "{admitted} admitted");
}

/// Guards against refused callers that all return into the same moment: the time told to each
/// follows from the rate at which work ends and from those that were refused before it.
#[test]
fn refused_work_returns_one_after_the_other() {
    let mut fixture = Fixture::new();
    for id in 1..=50 {
        assert_eq!(fixture.request(id, UNITS, LIMIT), QuotaDecision::Admitted);
    }
    // Ten pieces of work end each second.
    for id in 1..=40 {
        fixture.now = fixture.now + Duration::from_millis(100);
        fixture.end(id);
        fixture.handle(QuotaEvent::Tick);
        assert_eq!(fixture.request(100 + id, UNITS, LIMIT), QuotaDecision::Admitted);
    }
    let delays: Vec<Duration> =
        (200..210).map(|id| retry_after(fixture.request(id, UNITS, LIMIT))).collect();
    assert!(delays.is_sorted(), "{delays:?}");
    let spread = *delays.last().expect("delays") - delays[0];
    assert!(spread >= Duration::from_millis(500), "{delays:?}");
    assert!(delays[9] <= Duration::from_secs(3), "{delays:?}");
}

/// Guards against a limit that is ignored after a change of the configuration, and against a limit
/// of 0 that admits nothing.
#[test]
fn a_changed_limit_applies_to_the_next_request() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.request(1, 10, 10), QuotaDecision::Admitted);
    assert!(matches!(fixture.request(2, 1, 10), QuotaDecision::Refused(_)));
    assert_eq!(fixture.request(3, 10, 20), QuotaDecision::Admitted);
    assert!(matches!(fixture.request(4, 1, 10), QuotaDecision::Refused(_)));
    assert_eq!(fixture.request(5, 1_000, 0), QuotaDecision::Admitted);
}

/// Guards against a request for work that exists, or that is admitted and not yet known, that is
/// refused or counted twice.
#[test]
fn repeated_requests_count_once() {
    let mut fixture = Fixture::new();
    fixture.request(1, 10, 10);
    assert_eq!(fixture.request(1, 10, 10), QuotaDecision::Admitted);
    fixture.works.0.borrow_mut().clear();
    assert_eq!(fixture.request(1, 10, 10), QuotaDecision::Admitted);
    assert_eq!(fixture.held(), 10);
    fixture.end(1);
    assert_eq!(fixture.request(1, 10, 10), QuotaDecision::Admitted);
    assert_eq!(fixture.held(), 0);
}

/// Guards against reservations of failed creators that are kept forever, and against those of slow
/// creators that are released.
#[test]
fn a_reservation_without_work_is_released_after_its_timeout() {
    let mut fixture = Fixture::new();
    fixture.request(1, 10, 10);
    fixture.works.0.borrow_mut().clear();
    fixture.now = fixture.now + (RESERVATION_TIMEOUT - Duration::from_millis(1));
    fixture.handle(QuotaEvent::Tick);
    assert_eq!((fixture.held(), fixture.verified.len()), (10, 0));
    fixture.now = fixture.now + Duration::from_millis(1);
    fixture.handle(QuotaEvent::Tick);
    assert_eq!((fixture.held(), fixture.verified.len()), (10, 1));
    fixture.handle(QuotaEvent::Missing { work: name(1) });
    assert_eq!(fixture.held(), 0);
    assert_eq!(fixture.request(2, 10, 10), QuotaDecision::Admitted);
}

/// Guards against one write for each request while the store is slow: requests that arrive during a
/// write share the next one.
#[test]
fn requests_during_a_write_share_the_next_one() {
    let mut quota = SharedQuota::new(ObjectKey::new("quotas", "q"));
    let (works, now, mut out) = (Works::default(), Timestamp::ZERO, Vec::new());
    let request = |id| QuotaRequest { id, work: name(id), units: 1, limit: 100 };
    quota.handle(now, QuotaEvent::Request(request(1)), &works, &mut out);
    let reply = StoreReply::Missing;
    quota.handle(now, QuotaEvent::Reply { call: CallId(0), reply }, &works, &mut out);
    (2..=50).for_each(|id| {
        quota.handle(now, QuotaEvent::Request(request(id)), &works, &mut out);
    });
    assert_eq!(out.len(), 2, "a read and a write");
    for (call, version) in [(1, 1), (2, 2)] {
        let reply = StoreReply::Written { version: Version(version) };
        quota.handle(now, QuotaEvent::Reply { call: CallId(call), reply }, &works, &mut out);
    }
    let decided = out.iter().filter(|action| matches!(action, QuotaAction::Decide { .. }));
    assert_eq!(decided.count(), 50);
    assert_eq!(quota.held(&works), 50);
}

/// Guards against a request that waits while the store is unavailable: another process may decide.
#[test]
fn requests_are_returned_while_the_store_is_unavailable() {
    let mut quota = SharedQuota::new(ObjectKey::new("quotas", "q"));
    let (works, now, mut out) = (Works::default(), Timestamp::ZERO, Vec::new());
    let request = QuotaRequest { id: 1, work: name(1), units: 1, limit: 1 };
    quota.handle(now, QuotaEvent::Request(request), &works, &mut out);
    let reply = StoreReply::Unavailable { retry_after: Duration::ZERO };
    quota.handle(now, QuotaEvent::Reply { call: CallId(0), reply }, &works, &mut out);
    let decision = QuotaDecision::Unavailable;
    assert_eq!(out.last(), Some(&QuotaAction::Decide { id: 1, decision }));
    assert_eq!(quota.held(&works), 0);
}

quickcheck! {
    /// Guards against a stored record or a peer whose numbers overflow a sum.
    fn odd_numbers_are_refused_or_counted(units: Vec<u64>, limit: u64) -> bool {
        let mut fixture = Fixture::new();
        for (id, units) in units.iter().enumerate() {
            // Half of the numbers are extreme.
            let units = if units % 2 == 0 { u64::MAX - units } else { *units };
            for (id, limit) in [(2 * id, limit), (2 * id + 1, 0)] {
                fixture.request(id as u64, units, limit);
                fixture.now = fixture.now + Duration::from_millis(300);
                fixture.handle(QuotaEvent::Tick);
            }
        }
        fixture.held() > 0 || units.is_empty() || units.iter().all(|units| *units == 0)
    }

    /// Guards against sequences of requests, partial progress and ends after which the held units
    /// differ from those of the open work.
    fn held_units_are_those_of_open_work(steps: Vec<(u8, u8)>) -> bool {
        let mut fixture = Fixture::new();
        for (work, step) in steps {
            let (id, units) = (u64::from(work % 16), u64::from(step / 4) + 1);
            match step % 4 {
                0 | 1 => {
                    fixture.request(id, units, 100);
                }
                2 => {
                    if let Some(left) = fixture.works.0.borrow_mut().get_mut(&name(id)) {
                        *left = (*left).min(units);
                    }
                }
                _ => fixture.end(id),
            }
            let open: u64 = fixture.works.0.borrow().values().sum();
            if fixture.held() != open || open > 100 {
                return false;
            }
        }
        true
    }
}
