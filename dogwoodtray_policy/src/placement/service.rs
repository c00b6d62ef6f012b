//! The places and the queue of one service.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use slotmap::SlotMap;
use slotmap::new_key_type;

use super::DispatcherConfig;
use super::EndpointPlaces;
use super::PlaceAction;
use super::PlaceAsk;
use super::PlaceEnd;
use super::PlaceId;
use super::endpoint::Endpoint;
use crate::Class;

/// Weight of a new observation in the mean time that a place is held.
const HOLD_WEIGHT: f64 = 0.05;

new_key_type! {
    /// Names an endpoint within one service.
    struct EndpointKey;
}

#[derive(Debug)]
struct Held {
    endpoint: Option<EndpointKey>,
    class: Class,
    since: Timestamp,
    due: Timestamp,
    preempting: bool,
}

#[derive(Debug)]
pub(super) struct ServicePlaces {
    endpoints: SlotMap<EndpointKey, Endpoint>,
    by_name: HashMap<Name, EndpointKey>,
    held: HashMap<PlaceId, Held>,
    online: VecDeque<PlaceAsk>,
    batch: BTreeMap<(Timestamp, PlaceId), PlaceAsk>,
    mean_hold: Duration,
    next_start: usize,
}

impl ServicePlaces {
    pub(super) fn new(cfg: &DispatcherConfig) -> Self {
        Self {
            endpoints: SlotMap::with_key(),
            by_name: HashMap::new(),
            held: HashMap::new(),
            online: VecDeque::new(),
            batch: BTreeMap::new(),
            mean_hold: cfg.initial_hold,
            next_start: 0,
        }
    }

    pub(super) fn is_unused(&self) -> bool {
        self.endpoints.is_empty() && self.held.is_empty() && !self.is_waiting()
    }

    pub(super) fn is_waiting(&self) -> bool {
        !self.online.is_empty() || !self.batch.is_empty()
    }

    pub(super) fn held(&self) -> usize {
        self.held.len()
    }

    pub(super) fn queued(&self) -> usize {
        self.online.len()
    }

    pub(super) fn slots(&self) -> u32 {
        self.endpoints.values().map(|e| e.slots).sum()
    }
}

/// # Endpoints
impl ServicePlaces {
    /// Replaces the list of endpoints. Places at endpoints that are gone stay held by their
    /// requests but free nothing when they end.
    pub(super) fn set_endpoints(&mut self, list: &[&EndpointPlaces]) {
        let gone: Vec<Name> = self
            .by_name
            .keys()
            .filter(|name| !list.iter().any(|places| places.name == **name))
            .cloned()
            .collect();
        for name in gone {
            let Some(key) = self.by_name.remove(&name) else { continue };
            self.endpoints.remove(key);
            for held in self.held.values_mut().filter(|held| held.endpoint == Some(key)) {
                held.endpoint = None;
            }
        }
        for places in list {
            if let Some(key) = self.by_name.get(&places.name) {
                self.endpoints[*key].slots = places.slots;
                continue;
            }
            let endpoint = Endpoint::new(Name::clone(&places.name), places.slots);
            let key = self.endpoints.insert(endpoint);
            self.by_name.insert(Name::clone(&places.name), key);
        }
    }

    pub(super) fn on_slow(&mut self, now: Timestamp, id: PlaceId, cfg: &DispatcherConfig) {
        let key = self.held.get(&id).and_then(|held| held.endpoint);
        if let Some(endpoint) = key.and_then(|key| self.endpoints.get_mut(key)) {
            endpoint.avoid(now + cfg.slow_time);
        }
    }

    pub(super) fn on_failure(&mut self, now: Timestamp, endpoint: &str, cfg: &DispatcherConfig) {
        if let Some(key) = self.by_name.get(endpoint) {
            self.endpoints[*key].ended(now, PlaceEnd::Failed, cfg);
        }
    }
}

/// # Asks
impl ServicePlaces {
    pub(super) fn ask(
        &mut self,
        now: Timestamp,
        ask: PlaceAsk,
        cfg: &DispatcherConfig,
        out: &mut Vec<PlaceAction>,
    ) {
        let id = ask.id;
        if ask.class == Class::Batch {
            self.batch.insert((ask.start_by, id), ask);
            self.fill(now, cfg, out);
            if !self.held.contains_key(&id) {
                out.push(PlaceAction::Queued { id });
            }
            return;
        }
        if self.endpoints.is_empty() {
            out.push(PlaceAction::Refuse { id, retry_after: cfg.max_retry_after });
            return;
        }
        if self.online.is_empty()
            && let Some(endpoint) = self.pick(now, &ask.excluded)
        {
            self.grant(now, &ask, endpoint, out);
            return;
        }
        let wait = self.expected_wait(now);
        if now + wait > ask.start_by {
            let retry_after = wait.clamp(cfg.min_retry_after, cfg.max_retry_after);
            out.push(PlaceAction::Refuse { id, retry_after });
            return;
        }
        self.online.push_back(ask);
        out.push(PlaceAction::Queued { id });
        self.preempt(now, out);
    }

    pub(super) fn hold(&mut self, now: Timestamp, id: PlaceId, endpoint: &str, class: Class) {
        if self.held.contains_key(&id) {
            return;
        }
        let key = self.by_name.get(endpoint).copied();
        if let Some(key) = key {
            self.endpoints[key].in_use += 1;
        }
        let held = Held { endpoint: key, class, since: now, due: now, preempting: false };
        self.held.insert(id, held);
    }

    /// Ends an ask, whether it waits or holds a place.
    pub(super) fn end(
        &mut self,
        now: Timestamp,
        id: PlaceId,
        end: PlaceEnd,
        cfg: &DispatcherConfig,
        out: &mut Vec<PlaceAction>,
    ) -> bool {
        if let Some(held) = self.held.remove(&id) {
            if let Some(endpoint) = held.endpoint.and_then(|key| self.endpoints.get_mut(key)) {
                endpoint.in_use = endpoint.in_use.saturating_sub(1);
                endpoint.ended(now, end, cfg);
            }
            if end == PlaceEnd::Answered && held.class == Class::Online {
                let seen = (now - held.since).as_secs_f64();
                let mean = self.mean_hold.as_secs_f64();
                self.mean_hold = Duration::from_secs_f64(mean + HOLD_WEIGHT * (seen - mean));
            }
            self.fill(now, cfg, out);
            return true;
        }
        let waiting = self.online.len() + self.batch.len();
        self.online.retain(|ask| ask.id != id);
        self.batch.retain(|(_, other), _| *other != id);
        waiting != self.online.len() + self.batch.len()
    }

    pub(super) fn drop_holder(
        &mut self,
        now: Timestamp,
        holder: u64,
        cfg: &DispatcherConfig,
        out: &mut Vec<PlaceAction>,
    ) {
        self.online.retain(|ask| ask.id.holder != holder);
        self.batch.retain(|(_, id), _| id.holder != holder);
        let ids: Vec<PlaceId> =
            self.held.keys().filter(|id| id.holder == holder).copied().collect();
        for id in ids {
            self.end(now, id, PlaceEnd::Withdrawn, cfg, out);
        }
    }

    /// Gives free places away: to online requests that can still meet their objective, then to
    /// those that are late already, then to batch work.
    pub(super) fn fill(
        &mut self,
        now: Timestamp,
        cfg: &DispatcherConfig,
        out: &mut Vec<PlaceAction>,
    ) {
        self.fill_online(now, out, |ask| ask.start_by >= now);
        self.fill_online(now, out, |_| true);
        if self.online.is_empty() {
            self.fill_batch(now, cfg, out);
        }
        self.preempt(now, out);
    }

    fn fill_online(
        &mut self,
        now: Timestamp,
        out: &mut Vec<PlaceAction>,
        wanted: impl Fn(&PlaceAsk) -> bool,
    ) {
        let mut index = 0;
        while index < self.online.len() {
            if !wanted(&self.online[index]) {
                index += 1;
                continue;
            }
            let Some(endpoint) = self.pick(now, &self.online[index].excluded) else {
                index += 1;
                if self.free(now) == 0 {
                    return;
                }
                continue;
            };
            if let Some(ask) = self.online.remove(index) {
                self.grant(now, &ask, endpoint, out);
            }
        }
    }

    fn fill_batch(&mut self, now: Timestamp, cfg: &DispatcherConfig, out: &mut Vec<PlaceAction>) {
        let reserve = f64::from(self.slots()) * cfg.online_reserve;
        let mut spare = self.free(now).saturating_sub(reserve as u32);
        // Items that are late already earn little and must not make others late as well.
        let in_time = self.batch.range((now, PlaceId::MIN)..);
        let late = self.batch.range(..(now, PlaceId::MIN));
        let keys: Vec<_> = in_time.chain(late).map(|(key, _)| *key).take(spare as usize).collect();
        for key in keys {
            if spare == 0 {
                return;
            }
            let Some(ask) = self.batch.remove(&key) else { continue };
            match self.pick(now, &ask.excluded) {
                Some(endpoint) => {
                    self.grant(now, &ask, endpoint, out);
                    spare -= 1;
                }
                None => {
                    self.batch.insert(key, ask);
                }
            }
        }
    }

    /// Takes one place back from batch work for each online request that waits. An item that is
    /// late already loses its place first, then the one that is due last, because it has the most
    /// time to be resumed.
    fn preempt(&mut self, now: Timestamp, out: &mut Vec<PlaceAction>) {
        let waiting = self.online.len();
        let coming = self.held.values().filter(|held| held.preempting).count();
        for _ in coming..waiting {
            let victim = self
                .held
                .iter_mut()
                .filter(|(_, held)| held.class == Class::Batch && !held.preempting)
                .filter(|(_, held)| {
                    held.endpoint
                        .is_some_and(|key| self.endpoints.get(key).is_some_and(Endpoint::is_sound))
                })
                .max_by_key(|(id, held)| (held.due < now, held.due, now - held.since, **id));
            let Some((id, held)) = victim else { return };
            held.preempting = true;
            out.push(PlaceAction::Preempt { id: *id });
        }
    }

    /// Expected wait of the next online request: those before it that can still be met, less the
    /// places that batch work is about to return, at the rate at which places become free.
    fn expected_wait(&self, now: Timestamp) -> Duration {
        let ahead = self.online.iter().filter(|ask| ask.start_by >= now).count();
        let batch = self
            .held
            .values()
            .filter(|held| held.class == Class::Batch && held.endpoint.is_some())
            .count();
        let slots = self.endpoints.values().filter(|e| e.is_sound()).map(|e| e.slots).sum::<u32>();
        let before = (ahead + 1).saturating_sub(batch);
        self.mean_hold.mul_f64(before as f64 / f64::from(slots.max(1)))
    }

    fn free(&self, now: Timestamp) -> u32 {
        self.endpoints.values().map(|endpoint| endpoint.free(now)).sum()
    }

    /// Picks the endpoint with the largest share of free places. Ties are broken in turn. An
    /// endpoint that failed the request is avoided as long as there is another one.
    fn pick(&self, now: Timestamp, excluded: &[Name]) -> Option<EndpointKey> {
        let count = self.endpoints.len();
        let start = self.next_start % count.max(1);
        let others = self.endpoints.values().any(|e| !excluded.contains(&e.name));
        let turn = |index: usize| (index + count - start) % count.max(1);
        self.endpoints
            .iter()
            .enumerate()
            .filter(|(_, (_, e))| e.free(now) > 0 && !(others && excluded.contains(&e.name)))
            .max_by_key(|(index, (_, e))| {
                let share = u64::from(e.free(now)) * 1_000 / u64::from(e.slots.max(1));
                (e.is_sound(), share, turn(*index))
            })
            .map(|(_, (key, _))| key)
    }

    fn grant(
        &mut self,
        now: Timestamp,
        ask: &PlaceAsk,
        key: EndpointKey,
        out: &mut Vec<PlaceAction>,
    ) {
        self.next_start = self.next_start.wrapping_add(1);
        let endpoint = &mut self.endpoints[key];
        endpoint.in_use += 1;
        let name = Name::clone(&endpoint.name);
        let held = Held {
            endpoint: Some(key),
            class: ask.class,
            since: now,
            due: ask.due,
            preempting: false,
        };
        self.held.insert(ask.id, held);
        out.push(PlaceAction::Grant { id: ask.id, endpoint: name });
    }
}
