//! Interface between a routing policy and the entry that drives it.

use std::fmt::Debug;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use rand::rngs::StdRng;

use crate::Class;
use crate::Cost;

/// Tokens after which a probe has shown whether an endpoint has recovered. Eight gaps bring the
/// average of an endpoint that was slowed five times below twice the median.
pub const PROBE_TOKENS: u32 = 9;

slotmap::new_key_type! {
    /// Names an endpoint within one routing policy.
    pub struct EndpointKey;
}

/// A request that needs an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Model that the endpoint must serve.
    pub model: Name,
    /// Expected size.
    pub cost: Cost,
    /// Hash of the start of the prompt; zero if there is nothing to share.
    pub prefix: u64,
    /// Class of service.
    pub class: Class,
    /// Endpoints that must not be picked, such as those that already failed this request.
    pub exclude: Vec<EndpointKey>,
    /// Whether the request may have killed an endpoint. It then has to be the only suspect there.
    pub suspect: bool,
}

impl Ask {
    /// Creates an ask for an online request without a shared prefix.
    #[must_use]
    pub const fn new(model: Name, cost: Cost) -> Self {
        let class = Class::Online;
        Self { model, cost, prefix: 0, class, exclude: Vec::new(), suspect: false }
    }
}

/// Decides which endpoint a request is sent to.
///
/// The keys of removed endpoints are ignored everywhere, so late replies need no special care.
pub trait RoutePolicy: Debug + Send {
    /// Adds an endpoint and returns its key. It is available from the start.
    fn add(&mut self, models: &[Name], data_centre: &Name) -> EndpointKey;

    /// Removes an endpoint.
    fn remove(&mut self, key: EndpointKey);

    /// Makes an endpoint available or not; one that leaves, is silent or is down is not picked.
    fn set_available(&mut self, key: EndpointKey, available: bool);

    /// Picks an endpoint, or none if no endpoint qualifies. It changes no counts; see `sent`.
    fn pick(&mut self, now: Timestamp, ask: &Ask, rng: &mut StdRng) -> Option<EndpointKey>;

    /// Records that work was sent to an endpoint. `finished` follows exactly once.
    fn sent(&mut self, now: Timestamp, key: EndpointKey, class: Class, cost: Cost);

    /// Records the time from sending to the first token.
    fn first_token(&mut self, now: Timestamp, key: EndpointKey, took: Duration);

    /// Records the time between two tokens of one stream.
    fn token_gap(&mut self, now: Timestamp, key: EndpointKey, gap: Duration);

    /// Records the end of work that was sent. `ok` is false if the endpoint failed it.
    fn finished(&mut self, now: Timestamp, key: EndpointKey, class: Class, cost: Cost, ok: bool);

    /// Records the load that an endpoint reported.
    fn report(
        &mut self,
        now: Timestamp,
        key: EndpointKey,
        free_online: u32,
        free_batch: u32,
        queued_online: u32,
    );

    /// Returns an endpoint that a copy of an idempotent online request should probe, if one is due.
    ///
    /// The copy runs beside the request, is reported like any other work, and is cancelled after
    /// [`PROBE_TOKENS`](crate::PROBE_TOKENS). The caller of the request never waits for it.
    fn due_probe(&mut self, _now: Timestamp, _ask: &Ask) -> Option<EndpointKey> {
        None
    }

    /// Tells whether streams on an endpoint are so slow that they are worth resuming elsewhere.
    fn is_slow(&mut self, _key: EndpointKey) -> bool {
        false
    }

    /// Records that suspect work was sent to an endpoint, in addition to `sent`.
    fn suspect_sent(&mut self, key: EndpointKey);

    /// Records that suspect work ended on an endpoint, in addition to `finished`.
    fn suspect_finished(&mut self, key: EndpointKey);
}
