//! Exchange of learned costs and speeds between drivers.

use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_policy::LearnedRoute;
use dogwoodtray_policy::LearnedService;
use dogwoodtray_policy::LearnedSpeed;
use dogwoodtray_wire::messages;

use crate::node::Node;

/// Interval at which the driver that assigns places passes on what it has learned.
pub(crate) const LEARNED_INTERVAL: Duration = Duration::from_secs(1);

/// # Learned costs
impl Node {
    /// Returns what the dispatcher of this process knows.
    pub(crate) fn learned_costs(&self) -> Vec<LearnedService> {
        self.places.dispatcher.borrow().learned()
    }

    /// Passes on what this process has learned if it assigns places, to each driver that has not
    /// received the same on its link.
    pub(crate) fn share_learned_costs(&self) {
        let (learned, placement) = {
            let dispatcher = self.places.dispatcher.borrow();
            (dispatcher.learned(), dispatcher.metrics(self.now()))
        };
        metrics::gauge!("dogwoodtray_prediction_error").set(placement.prediction_error);
        metrics::gauge!("dogwoodtray_slow_endpoints").set(placement.slow_endpoints as f64);
        let mut sent = self.places.learned_sent.borrow_mut();
        if !self.is_listing_driver() {
            sent.clear();
            return;
        }
        let message = learned_to_wire(&learned);
        let links = self.peers.driver_links();
        sent.retain(|id, _| links.iter().any(|link| link.id() == *id));
        for link in links {
            let last = sent.get(&link.id());
            let is_known = last.map_or(message.services.is_empty(), |last| *last == message);
            if !is_known && link.send(message.clone()) {
                sent.insert(link.id(), message.clone());
            }
        }
    }

    /// Takes over what the driver that assigns places has learned.
    pub(crate) fn on_learned_costs(&self, message: &messages::LearnedCosts) {
        // Two drivers that both assign places keep what each has learned itself.
        if !self.is_listing_driver() {
            let learned = learned_from_wire(message);
            self.places.dispatcher.borrow_mut().apply_learned(self.now(), &learned);
        }
    }
}

fn learned_to_wire(learned: &[LearnedService]) -> messages::LearnedCosts {
    let speed = |speed: &LearnedSpeed| messages::LearnedSpeed {
        endpoint: speed.endpoint.to_string(),
        speed_permille: permille(speed.speed),
    };
    let route = |route: &LearnedRoute| messages::LearnedRoute {
        route: route.route,
        work_us: rounded_us(route.seconds),
        samples: route.samples.min(SAMPLES_ON_WIRE) as u32,
    };
    let service = |service: &LearnedService| messages::LearnedService {
        service: service.service.to_string(),
        speeds: service.speeds.iter().map(speed).collect(),
        routes: service.routes.iter().map(route).collect(),
    };
    messages::LearnedCosts { services: learned.iter().map(service).collect() }
}

fn learned_from_wire(message: &messages::LearnedCosts) -> Vec<LearnedService> {
    let speed = |speed: &messages::LearnedSpeed| LearnedSpeed {
        endpoint: Name::from(speed.endpoint.as_str()),
        speed: f64::from(speed.speed_permille) / 1_000.0,
    };
    let route = |route: &messages::LearnedRoute| LearnedRoute {
        route: route.route,
        seconds: route.work_us as f64 / 1e6,
        samples: f64::from(route.samples).min(SAMPLES_ON_WIRE),
    };
    let service = |service: &messages::LearnedService| LearnedService {
        service: Name::from(service.service.as_str()),
        speeds: service.speeds.iter().map(speed).collect(),
        routes: service.routes.iter().map(route).collect(),
    };
    message.services.iter().map(service).collect()
}

/// Samples that a mean counts as at most at its receiver, which then follows its own observations.
const SAMPLES_ON_WIRE: f64 = 20.0;

/// Rounds a speed to 5%, so that small changes are not sent.
fn permille(speed: f64) -> u32 {
    ((speed * 20.0).round() * 50.0) as u32
}

/// Rounds a time to two significant binary digits after the first, so that small changes are not sent.
fn rounded_us(seconds: f64) -> u64 {
    let us = (seconds * 1e6) as u64;
    let shift = (u64::BITS - us.leading_zeros()).saturating_sub(4);
    us >> shift << shift
}
