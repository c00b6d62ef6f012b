//! Compares orders of online requests under the load of the clinic deployment, which alternates
//! between too little and too much while one organization surges.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
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
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const ENDPOINTS: usize = 49;
const SLOTS: u32 = 8;
const ORGANIZATIONS: usize = 81;
const ZIPF_EXPONENT: f64 = 1.2;

/// Load of the low and the high phase as multiples of the mean, and their lengths.
const PHASES: [(f64, f64); 2] = [(0.38, 3.4), (1.87, 2.4)];

/// Mean rate of requests as a share of the rate that the places can serve.
const MEAN_LOAD: f64 = 0.9;

/// Factor, start and end of the surge of one organization, which is the second largest.
const SURGE: (f64, f64, f64) = (7.5, 9.0, 15.5);
const SURGING: usize = 1;

/// Hold times are distributed evenly between these values, in seconds.
const HOLD: (f64, f64) = (0.2, 1.0);
const SECONDS: f64 = 30.0;

/// Time within which a request has to start, and time after which its caller gives up.
const OBJECTIVE: Duration = Duration::from_millis(240);
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);

/// Worth of a late answer; a timely one is worth 1.
const LATE_WORTH: f64 = 0.5;

/// A request of the played load.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Timestamp,
    organization: usize,
    hold: Duration,
}

/// Returns the arrivals in their order.
fn load(seed: u64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let weights: Vec<f64> =
        (1..=ORGANIZATIONS).map(|rank| (rank as f64).powf(-ZIPF_EXPONENT)).collect();
    let total: f64 = weights.iter().sum();
    let places = ENDPOINTS as f64 * f64::from(SLOTS);
    let mean_rate = MEAN_LOAD * places / HOLD.0.midpoint(HOLD.1);
    let mut arrivals = Vec::new();
    let (mut now, cycle) = (0.0, PHASES[0].1 + PHASES[1].1);
    while now < SECONDS {
        let phase = usize::from(now % cycle >= PHASES[0].1);
        let is_surge = (SURGE.1..SURGE.2).contains(&now);
        let extra = if is_surge { weights[SURGING] * (SURGE.0 - 1.0) } else { 0.0 };
        let rate = mean_rate * PHASES[phase].0 * (total + extra) / total;
        now -= (1.0 - rng.random::<f64>()).ln() / rate;
        let mut drawn = rng.random::<f64>() * (total + extra);
        let mut organization = SURGING;
        for (index, weight) in weights.iter().enumerate() {
            let weight = if index == SURGING { weight + extra } else { *weight };
            if drawn < weight {
                organization = index;
                break;
            }
            drawn -= weight;
        }
        arrivals.push(Arrival {
            at: Timestamp((now * 1e6) as u64),
            organization,
            hold: Duration::from_secs_f64(rng.random_range(HOLD.0..HOLD.1)),
        });
    }
    arrivals
}

/// Order in which requests get places.
enum Order {
    /// First come, first served, without refusals: the free places and the queue.
    Arrival(u32, VecDeque<PlaceId>),
    /// The dispatcher. Without organizations, it is the previous one.
    Dispatcher(Box<Dispatcher>, bool),
}

impl Order {
    fn dispatcher(with_organizations: bool) -> Self {
        let mut dispatcher = Dispatcher::new(DispatcherConfig::default());
        let endpoint = |index| EndpointPlaces {
            name: Name::from(format!("e{index}")),
            service: Name::from("s"),
            slots: SLOTS,
        };
        dispatcher.set_endpoints(&(0..ENDPOINTS).map(endpoint).collect::<Vec<_>>());
        Self::Dispatcher(Box::new(dispatcher), with_organizations)
    }

    fn arrival() -> Self {
        Self::Arrival(ENDPOINTS as u32 * SLOTS, VecDeque::new())
    }

    fn request(&mut self, now: Timestamp, id: PlaceId, organization: usize) -> Vec<PlaceAction> {
        let mut out = Vec::new();
        match self {
            Self::Arrival(_, queue) => {
                queue.push_back(id);
                self.serve(&mut out);
            }
            Self::Dispatcher(dispatcher, with_organizations) => {
                let request = PlaceRequest {
                    id,
                    service: Name::from("s"),
                    class: Class::Online,
                    start_by: now + OBJECTIVE,
                    due: now + CALLER_TIMEOUT,
                    repeatable: false,
                    excluded: Vec::new(),
                    organization: with_organizations
                        .then(|| Name::from(format!("o{organization}"))),
                    priority: 0,
                    cost: PlaceCost::default(),
                };
                dispatcher.request_place(now, request, &mut out);
            }
        }
        out
    }

    fn release(&mut self, now: Timestamp, id: PlaceId, outcome: PlaceOutcome) -> Vec<PlaceAction> {
        let mut out = Vec::new();
        match self {
            Self::Arrival(free, queue) => {
                if outcome == PlaceOutcome::Answered {
                    *free += 1;
                } else {
                    queue.retain(|other| *other != id);
                }
                self.serve(&mut out);
            }
            Self::Dispatcher(dispatcher, _) => {
                dispatcher.release_place(now, id, outcome, &mut out);
            }
        }
        out
    }

    fn serve(&mut self, out: &mut Vec<PlaceAction>) {
        let Self::Arrival(free, queue) = self else { return };
        while *free > 0
            && let Some(id) = queue.pop_front()
        {
            *free -= 1;
            out.push(PlaceAction::Grant { id, endpoint: Name::from("e") });
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ended(u64),
    Arrived(u64),
    GaveUp(u64),
}

/// Attempt of a request: the number of the request, and the time of the attempt.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    request: usize,
    at: Timestamp,
    is_second: bool,
    started: bool,
    ended: bool,
}

/// Worth of the requests of each organization.
#[derive(Debug)]
struct Played {
    /// Sum of the worth, started in time, and number, for each organization.
    by_organization: Vec<(f64, u32, u32)>,
    refusals: u32,
    late_refusals: u32,
    returned_in_time: u32,
    returned: u32,
    started_late: u32,
}

impl Played {
    fn share(&self, include: impl Fn(usize) -> bool) -> (f64, f64) {
        let of = self.by_organization.iter().enumerate().filter(|(index, _)| include(*index));
        let sum = of.fold((0.0, 0, 0), |sum, (_, v)| (sum.0 + v.0, sum.1 + v.1, sum.2 + v.2));
        (f64::from(sum.1) / f64::from(sum.2), sum.0 / f64::from(sum.2))
    }

    fn others(&self) -> (f64, f64) {
        self.share(|index| index != SURGING)
    }

    /// Returns the worth for the organization at the tenth percentile.
    fn worst_tenth(&self) -> f64 {
        let of = self.by_organization.iter().filter(|(_, _, count)| *count > 0);
        let mut worth: Vec<f64> = of.map(|(worth, _, count)| worth / f64::from(*count)).collect();
        worth.sort_by(f64::total_cmp);
        worth[worth.len() / 10]
    }
}

/// Plays the load. A caller whose request is refused returns once after `Retry-After`, if that is at
/// most a third of the time it has left.
fn play(arrivals: &[Arrival], mut order: Order) -> Played {
    let mut events: BinaryHeap<Reverse<(Timestamp, Event)>> = BinaryHeap::new();
    let mut attempts: HashMap<u64, Attempt> = HashMap::new();
    let mut played = Played {
        by_organization: vec![(0.0, 0, 0); ORGANIZATIONS],
        refusals: 0,
        late_refusals: 0,
        returned_in_time: 0,
        returned: 0,
        started_late: 0,
    };
    for (number, arrival) in arrivals.iter().enumerate() {
        played.by_organization[arrival.organization].2 += 1;
        events.push(Reverse((arrival.at, Event::Arrived(number as u64))));
        let attempt = Attempt {
            request: number,
            at: arrival.at,
            is_second: false,
            started: false,
            ended: false,
        };
        attempts.insert(number as u64, attempt);
    }
    let mut next = arrivals.len() as u64;
    while let Some(Reverse((now, event))) = events.pop() {
        let place = |number| PlaceId { holder: 1, number };
        let out = match event {
            Event::Arrived(number) => {
                let arrival = &arrivals[attempts[&number].request];
                events.push(Reverse((arrival.at + CALLER_TIMEOUT, Event::GaveUp(number))));
                order.request(now, place(number), arrival.organization)
            }
            Event::Ended(number) => order.release(now, place(number), PlaceOutcome::Answered),
            Event::GaveUp(number) => {
                let attempt = attempts[&number];
                if attempt.started || attempt.ended {
                    continue;
                }
                order.release(now, place(number), PlaceOutcome::Withdrawn)
            }
        };
        for action in out {
            match action {
                PlaceAction::Grant { id, .. } => {
                    let attempt = attempts.get_mut(&id.number).expect("a known attempt");
                    attempt.started = true;
                    let in_time = now - attempt.at <= OBJECTIVE;
                    let of = arrivals[attempt.request];
                    let organization = &mut played.by_organization[of.organization];
                    let (worth, first) = match (in_time, attempt.is_second) {
                        (true, false) => (1.0, 1),
                        (true, true) => (f64::midpoint(1.0, LATE_WORTH), 0),
                        (false, _) => (LATE_WORTH, 0),
                    };
                    organization.0 += worth;
                    organization.1 += first;
                    played.returned_in_time += u32::from(in_time && attempt.is_second);
                    played.started_late += u32::from(!in_time);
                    events.push(Reverse((now + of.hold, Event::Ended(id.number))));
                }
                PlaceAction::Refuse { id, retry_after } => {
                    let attempt = attempts.get_mut(&id.number).expect("a known attempt");
                    attempt.ended = true;
                    let attempt = *attempt;
                    played.refusals += 1;
                    played.late_refusals += u32::from((now - attempt.at) * 4 > OBJECTIVE);
                    let left = arrivals[attempt.request].at + CALLER_TIMEOUT - now;
                    if !attempt.is_second && retry_after <= left / 3 {
                        let at = now + retry_after;
                        let second = Attempt { at, is_second: true, ended: false, ..attempt };
                        attempts.insert(next, second);
                        events.push(Reverse((at, Event::Arrived(next))));
                        next += 1;
                        played.returned += 1;
                    }
                }
                PlaceAction::Queued { .. } | PlaceAction::Preempt { .. } => {}
            }
        }
    }
    played
}

/// Guards against a surge that the callers of other organizations notice, against organizations that
/// are starved, and against an order that pays for this with the total.
#[test]
fn a_surge_is_paid_by_the_organization_that_surges() {
    for seed in 1..=3 {
        let arrivals = load(seed);
        let arrival = play(&arrivals, Order::arrival());
        let previous = play(&arrivals, Order::dispatcher(false));
        let fair = play(&arrivals, Order::dispatcher(true));
        for (name, played) in [("arrival", &arrival), ("previous", &previous), ("fair", &fair)] {
            println!(
                "{seed} {name}: others {:.3?} surging {:.3?} total {:.3?} worst tenth {:.3} \
                 refusals {} (late {}), returned {}, in time {}, started late {}",
                played.others(),
                played.share(|index| index == SURGING),
                played.share(|_| true),
                played.worst_tenth(),
                played.refusals,
                played.late_refusals,
                played.returned,
                played.returned_in_time,
                played.started_late,
            );
        }
        // Starts in time on the first attempt, and worth, of the other organizations.
        assert!(fair.others().0 >= previous.others().0 + 0.08, "seed {seed}");
        assert!(fair.others().1 >= previous.others().1 + 0.1, "seed {seed}");
        assert!(fair.worst_tenth() >= 0.95, "seed {seed}");
        assert!(fair.share(|_| true).1 >= previous.share(|_| true).1, "seed {seed}");
        assert!(fair.share(|_| true).1 >= arrival.share(|_| true).1, "seed {seed}");
        assert!(fair.returned_in_time > previous.returned_in_time, "seed {seed}");
        assert_eq!(fair.late_refusals, 0, "seed {seed}");
    }
}
