//! Tests of what callers get from the dispatcher while there is far more work than places.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Dispatcher;
use dogwoodtray_policy::DispatcherConfig;
use dogwoodtray_policy::EndpointPlaces;
use dogwoodtray_policy::PlaceAction;
use dogwoodtray_policy::PlaceCost;
use dogwoodtray_policy::PlaceId;
use dogwoodtray_policy::PlaceOutcome;
use dogwoodtray_policy::PlaceRequest;

const STEP: Duration = Duration::from_millis(10);
const ENDPOINTS: u32 = 4;
const SLOTS: u32 = 8;

/// Run time of a batch item, and the time after its submission at which it is due.
const ITEM_TIME: Duration = Duration::from_secs(5);
const ITEM_DUE: Duration = Duration::from_secs(18);

/// Run time of an online request, and its latency objective.
const ONLINE_TIME: Duration = Duration::from_millis(600);
const OBJECTIVE: Duration = Duration::from_millis(240);

/// A batch item or an online request.
#[derive(Clone, Copy, Debug)]
struct Work {
    class: Class,
    left: Duration,
    due: Timestamp,
    /// Time at which the current run started.
    running_since: Option<Timestamp>,
}

/// Dispatcher in virtual time, with endpoints that run what is granted and items that resume after
/// a preemption.
struct Simulation {
    dispatcher: Dispatcher,
    now: Timestamp,
    works: HashMap<u64, Work>,
    /// Works by the time at which they end.
    ends: BTreeMap<(Timestamp, u64), ()>,
    last_number: u64,
    items_in_time: usize,
    items_late: usize,
    online_answered: usize,
    online_refused: usize,
    /// Place-time in which batch work ran or could have run until the last item was due.
    batch_place_time: Duration,
}

impl Simulation {
    fn new() -> Self {
        let mut dispatcher = Dispatcher::new(DispatcherConfig::default());
        let endpoints: Vec<EndpointPlaces> = (0..ENDPOINTS)
            .map(|index| EndpointPlaces {
                name: Name::from(format!("e{index}")),
                service: Name::from("s"),
                slots: SLOTS,
            })
            .collect();
        dispatcher.set_endpoints(&endpoints);
        Self {
            dispatcher,
            now: Timestamp::ZERO,
            works: HashMap::new(),
            ends: BTreeMap::new(),
            last_number: 0,
            items_in_time: 0,
            items_late: 0,
            online_answered: 0,
            online_refused: 0,
            batch_place_time: Duration::ZERO,
        }
    }

    fn submit(&mut self, class: Class) {
        self.last_number += 1;
        let (left, due) = match class {
            Class::Batch => (ITEM_TIME, self.now + ITEM_DUE),
            Class::Online => (ONLINE_TIME, self.now + Duration::from_secs(5)),
        };
        let work = Work { class, left, due, running_since: None };
        self.works.insert(self.last_number, work);
        self.request(self.last_number);
    }

    fn request(&mut self, number: u64) {
        let work = self.works[&number];
        let start_by = match work.class {
            Class::Batch => work.due.saturating_sub(work.left),
            Class::Online => self.now + OBJECTIVE,
        };
        let request = PlaceRequest {
            id: PlaceId { holder: 1, number },
            service: Name::from("s"),
            class: work.class,
            start_by,
            due: work.due,
            repeatable: false,
            excluded: Vec::new(),
            organization: None,
            priority: 0,
            cost: PlaceCost::default(),
        };
        let mut out = Vec::new();
        self.dispatcher.request_place(self.now, request, &mut out);
        self.perform(out);
    }

    fn perform(&mut self, actions: Vec<PlaceAction>) {
        for action in actions {
            match action {
                PlaceAction::Grant { id, .. } => {
                    let work = self.works.get_mut(&id.number).expect("a known request");
                    work.running_since = Some(self.now);
                    self.ends.insert((self.now + work.left, id.number), ());
                }
                PlaceAction::Refuse { id, .. } => {
                    self.works.remove(&id.number);
                    self.online_refused += 1;
                }
                PlaceAction::Preempt { id } => self.preempt(id.number),
                PlaceAction::Queued { .. } => {}
            }
        }
    }

    fn preempt(&mut self, number: u64) {
        let work = self.works.get_mut(&number).expect("a known item");
        let since = work.running_since.take().expect("a running item");
        self.ends.remove(&(since + work.left, number));
        work.left = work.left.saturating_sub(self.now - since);
        self.release(number, PlaceOutcome::Withdrawn);
        self.request(number);
    }

    fn release(&mut self, number: u64, outcome: PlaceOutcome) {
        let mut out = Vec::new();
        let id = PlaceId { holder: 1, number };
        self.dispatcher.release_place(self.now, id, outcome, &mut out);
        self.perform(out);
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        while let Some(((at, number), ())) = self.ends.first_key_value().map(|(k, ())| (*k, ())) {
            if at > self.now {
                break;
            }
            self.ends.remove(&(at, number));
            let work = self.works.remove(&number).expect("a running work");
            match work.class {
                Class::Online => self.online_answered += 1,
                Class::Batch if at <= work.due => self.items_in_time += 1,
                Class::Batch => self.items_late += 1,
            }
            self.release(number, PlaceOutcome::Answered);
        }
        let online =
            self.works.values().filter(|w| w.class == Class::Online && w.running_since.is_some());
        let for_batch = (ENDPOINTS * SLOTS).saturating_sub(online.count() as u32);
        self.batch_place_time += STEP * for_batch;
        let mut out = Vec::new();
        self.dispatcher.tick(self.now, &mut out);
        self.perform(out);
    }
}

/// Plays `seconds` seconds with online traffic that alternates between a quarter and all of the
/// places, and submits `items_per_step(step)` batch items in each step.
fn play(seconds: u64, items_per_step: impl Fn(u64) -> usize) -> Simulation {
    let mut simulation = Simulation::new();
    for step in 0..seconds * 100 {
        let is_peak = (step / 330) % 2 == 1;
        if step % if is_peak { 2 } else { 8 } == 0 {
            simulation.submit(Class::Online);
        }
        (0..items_per_step(step)).for_each(|_| simulation.submit(Class::Batch));
        simulation.step();
    }
    simulation
}

/// Guards against a burst of jobs in which nearly all items end just after they are due, because
/// each place goes to the item that is the next to become late. Of the items that the places could
/// complete in time, four in five must be in time.
#[test]
fn a_burst_of_jobs_completes_what_can_be_in_time() {
    // 600 items within 6 s; the last of them are due 24 s after the start.
    let simulation = play(24, |step| usize::from(step < 600));
    let possible = (simulation.batch_place_time.as_secs_f64() / ITEM_TIME.as_secs_f64()) as usize;
    let in_time = simulation.items_in_time;
    assert!(
        in_time * 5 >= possible * 4,
        "{in_time} of {possible} possible items in time, {} late",
        simulation.items_late
    );
}

/// Guards against items that wait although they can be in time: without overload, all are.
#[test]
fn all_items_are_in_time_without_overload() {
    let simulation = play(60, |step| usize::from(step % 100 < 2));
    assert_eq!(simulation.items_late, 0);
    assert!(simulation.items_in_time >= 80, "{} items in time", simulation.items_in_time);
}

/// Guards against online requests that pay for the order of batch items.
#[test]
fn a_burst_of_jobs_leaves_online_requests_alone() {
    let calm = play(24, |_| 0);
    let burst = play(24, |step| usize::from(step < 600));
    let (answered, expected) = (burst.online_answered, calm.online_answered);
    assert!(answered * 100 >= expected * 98, "{answered} answered, {expected} without a burst");
    assert!(burst.online_refused <= calm.online_refused + expected / 50);
}
