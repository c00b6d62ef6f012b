//! The shared quota state machine.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::CallId;
use crate::Name;
use crate::ObjectKey;
use crate::Precondition;
use crate::StoreOp;
use crate::StoreReply;
use crate::Timestamp;
use crate::Version;

use super::QuotaAction;
use super::QuotaDecision;
use super::QuotaEvent;
use super::QuotaRefusal;
use super::QuotaRequest;
use super::WorkStatus;
use super::WorkView;
use super::rate::ReleaseRate;
use super::record::QuotaRecord;

/// Time after which a reservation without work may be released. Work must be created and
/// acknowledged well within this time after its admission, including writes that the store applies
/// seconds late.
pub const RESERVATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of requests that wait for a store call.
const MAX_PENDING: usize = 1_024;

/// Record as it was last read or written.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Stored {
    version: Precondition,
    record: QuotaRecord,
    confirmed_at: Timestamp,
}

/// What this process found out about a reservation whose work it does not know of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Existence {
    Unverified,
    Verifying,
    Missing,
}

/// Reservation of the record, since it was last read or renewed by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Reservation {
    since: Timestamp,
    existence: Existence,
}

/// Store call in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum OpenCall {
    Read,
    Write { record: QuotaRecord, admitted: Vec<QuotaRequest> },
}

/// Quota whose units are held by work that any of several processes may admit.
///
/// The load that it answers: many processes create work at the same time, in bursts far above the
/// rate at which work ends. One process at a time usually decides for all, and others take over at
/// any moment.
///
/// All reservations are in one stored record. Admitting work is a conditional update of this
/// record, so a process that does not know the latest reservations, because it was paused, cut off
/// or has just taken over, cannot admit anything: its write conflicts, and it reads the record
/// first. Requests that arrive during a store call are decided together and stored in one write.
/// Work stays in the record until its process knows that it has ended, so a successor that does not
/// know of the work yet still counts it.
///
/// A reservation whose work never appears, because its creator failed, is released after
/// [`RESERVATION_TIMEOUT`], once the store confirms that the work does not exist.
///
/// # Examples
///
/// ```
/// use dogwoodtray_coord::{Name, ObjectKey, QuotaAction, QuotaDecision, QuotaEvent, QuotaRequest};
/// use dogwoodtray_coord::{SharedQuota, StoreReply, Timestamp, Version, WorkStatus, WorkView};
///
/// /// A process that knows of no work.
/// struct NoWork;
///
/// impl WorkView for NoWork {
///     fn status(&self, _: &Name) -> WorkStatus {
///         WorkStatus::Unknown
///     }
///     fn for_each_open(&self, _: &mut dyn FnMut(&Name, u64)) {}
/// }
///
/// let mut quota = SharedQuota::new(ObjectKey::new("quotas", "route"));
/// let (mut out, now) = (Vec::new(), Timestamp::ZERO);
/// let request = QuotaRequest { id: 1, work: Name::from("job"), units: 5, limit: 10 };
/// quota.handle(now, QuotaEvent::Request(request), &NoWork, &mut out);
/// let Some(QuotaAction::Call { call, .. }) = out.pop() else { panic!("no read") };
/// quota.handle(now, QuotaEvent::Reply { call, reply: StoreReply::Missing }, &NoWork, &mut out);
/// let Some(QuotaAction::Call { call, .. }) = out.pop() else { panic!("no write") };
/// let reply = StoreReply::Written { version: Version(1) };
/// quota.handle(now, QuotaEvent::Reply { call, reply }, &NoWork, &mut out);
/// assert_eq!(out, [QuotaAction::Decide { id: 1, decision: QuotaDecision::Admitted }]);
/// assert_eq!(quota.held(&NoWork), 5);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SharedQuota {
    key: ObjectKey,
    /// `None` until it is read, and after a write with an unknown result.
    stored: Option<Stored>,
    reservations: BTreeMap<Name, Reservation>,
    pending: Vec<QuotaRequest>,
    next_call: CallId,
    open_call: Option<(CallId, OpenCall)>,
    rate: ReleaseRate,
}

impl SharedQuota {
    /// Creates a quota whose record is stored under `key`.
    #[must_use]
    pub fn new(key: ObjectKey) -> Self {
        Self {
            key,
            stored: None,
            reservations: BTreeMap::new(),
            pending: Vec::new(),
            next_call: CallId(0),
            open_call: None,
            rate: ReleaseRate::default(),
        }
    }

    /// Returns the units that are held by known open work and by reservations of work that this
    /// process does not know of.
    #[must_use]
    pub fn held(&self, view: &impl WorkView) -> u64 {
        let reserved = self.stored.as_ref().map(|stored| &stored.record.units);
        let mut held: u64 = 0;
        view.for_each_open(&mut |work, units| {
            let reserved = reserved.and_then(|units| units.get(work)).copied();
            held = held.saturating_add(reserved.map_or(units, |reserved| reserved.min(units)));
        });
        let unknown = reserved
            .into_iter()
            .flatten()
            .filter(|(work, _)| !self.is_missing(work) && view.status(work) == WorkStatus::Unknown);
        unknown.map(|(_, units)| *units).fold(held, u64::saturating_add)
    }

    /// Processes an event and appends the resulting actions to `out`.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: QuotaEvent,
        view: &impl WorkView,
        out: &mut Vec<QuotaAction>,
    ) {
        match event {
            QuotaEvent::Request(request) if self.pending.len() >= MAX_PENDING => {
                decide(&request, QuotaDecision::Unavailable, out);
            }
            QuotaEvent::Request(request) => self.pending.push(request),
            QuotaEvent::Reply { call, reply } => self.on_reply(now, call, reply, out),
            QuotaEvent::Missing { work } => {
                // A reservation that was renewed in the meantime must be verified again.
                if let Some(reservation) = self.reservations.get_mut(&work)
                    && reservation.existence == Existence::Verifying
                {
                    reservation.existence = Existence::Missing;
                }
            }
            QuotaEvent::Tick => self.tick(now, view, out),
        }
        self.advance(now, view, out);
    }

    /// Updates the release rate, and asks about old reservations without known work.
    fn tick(&mut self, now: Timestamp, view: &impl WorkView, out: &mut Vec<QuotaAction>) {
        self.rate.observe(now, self.held(view));
        for (work, reservation) in &mut self.reservations {
            let is_old = now - reservation.since >= RESERVATION_TIMEOUT;
            let is_missing = reservation.existence == Existence::Missing;
            if is_old && !is_missing && view.status(work) == WorkStatus::Unknown {
                *reservation = Reservation { since: now, existence: Existence::Verifying };
                out.push(QuotaAction::Verify { work: Name::clone(work) });
            }
        }
    }

    fn is_missing(&self, work: &Name) -> bool {
        let reservation = self.reservations.get(work);
        reservation.is_some_and(|reservation| reservation.existence == Existence::Missing)
    }
}

/// # Decisions
impl SharedQuota {
    /// Decides about all pending requests, unless a store call is in flight.
    fn advance(&mut self, now: Timestamp, view: &impl WorkView, out: &mut Vec<QuotaAction>) {
        if self.open_call.is_some() || self.pending.is_empty() {
            return;
        }
        let Some(stored) = &self.stored else {
            let op = StoreOp::Get { key: self.key.clone() };
            return self.call(OpenCall::Read, op, out);
        };
        let (expect, age) = (stored.version, now - stored.confirmed_at);
        let mut record = self.live_reservations(view);
        let mut held = self.held(view);
        self.rate.observe(now, held);
        let mut admitted = Vec::new();
        for request in std::mem::take(&mut self.pending) {
            if view.status(&request.work) != WorkStatus::Unknown {
                decide(&request, QuotaDecision::Admitted, out);
                continue;
            }
            // A known reservation is written again: another process may have released it.
            if !record.units.contains_key(&request.work) {
                let total = held.saturating_add(request.units);
                if request.limit > 0 && total > request.limit {
                    let excess = total - request.limit;
                    let retry_after = self.rate.retry_after(now, excess, request.units);
                    let refusal = QuotaRefusal { retry_after, held, age };
                    decide(&request, QuotaDecision::Refused(refusal), out);
                    continue;
                }
                held = total;
                record.units.insert(Name::clone(&request.work), request.units);
            }
            admitted.push(request);
        }
        if !admitted.is_empty() {
            let value = record.encode();
            let op = StoreOp::Put { key: self.key.clone(), expect, value };
            self.call(OpenCall::Write { record, admitted }, op, out);
        }
    }

    /// Returns the record without work that has ended or does not exist, and with the units that
    /// the rest still holds.
    fn live_reservations(&self, view: &impl WorkView) -> QuotaRecord {
        let mut record = QuotaRecord::default();
        let reserved = self.stored.iter().flat_map(|stored| &stored.record.units);
        for (work, units) in reserved.filter(|(work, _)| !self.is_missing(work)) {
            let units = match view.status(work) {
                WorkStatus::Unknown => *units,
                WorkStatus::Open { units: known } => known.min(*units),
                WorkStatus::Ended => continue,
            };
            record.units.insert(Name::clone(work), units);
        }
        record
    }
}

/// # Store calls
impl SharedQuota {
    fn call(&mut self, open: OpenCall, op: StoreOp, out: &mut Vec<QuotaAction>) {
        let call = self.next_call;
        self.next_call = CallId(call.0 + 1);
        self.open_call = Some((call, open));
        out.push(QuotaAction::Call { call, op });
    }

    fn on_reply(
        &mut self,
        now: Timestamp,
        call: CallId,
        reply: StoreReply,
        out: &mut Vec<QuotaAction>,
    ) {
        let Some((_, open)) = self.open_call.take_if(|(id, _)| *id == call) else { return };
        match open {
            OpenCall::Read => self.on_read(now, reply, out),
            OpenCall::Write { record, admitted } => {
                self.on_written(now, reply, record, admitted, out);
            }
        }
    }

    fn on_read(&mut self, now: Timestamp, reply: StoreReply, out: &mut Vec<QuotaAction>) {
        match reply {
            StoreReply::Found { version, value } => match QuotaRecord::decode(&value) {
                Some(record) => {
                    // Another process may have renewed any reservation.
                    self.reservations.clear();
                    self.set_stored(now, Precondition::Version(version), record);
                }
                None => self.fail_pending(out),
            },
            StoreReply::Missing => {
                self.set_stored(now, Precondition::Absent, QuotaRecord::default());
            }
            _ => self.fail_pending(out),
        }
    }

    fn on_written(
        &mut self,
        now: Timestamp,
        reply: StoreReply,
        record: QuotaRecord,
        admitted: Vec<QuotaRequest>,
        out: &mut Vec<QuotaAction>,
    ) {
        match reply {
            StoreReply::Written { version } => self.on_stored(now, version, record, &admitted, out),
            // The result of the write shows in the record, or the write is decided anew.
            StoreReply::Conflict | StoreReply::Ambiguous | StoreReply::Missing => {
                self.stored = None;
                self.pending.splice(0..0, admitted);
            }
            _ => {
                self.pending.splice(0..0, admitted);
                self.fail_pending(out);
            }
        }
    }

    fn on_stored(
        &mut self,
        now: Timestamp,
        version: Version,
        record: QuotaRecord,
        admitted: &[QuotaRequest],
        out: &mut Vec<QuotaAction>,
    ) {
        for request in admitted {
            self.rate.record_admitted(request.units);
            decide(request, QuotaDecision::Admitted, out);
        }
        // Renewed reservations have the full time again.
        self.reservations.retain(|work, _| !admitted.iter().any(|request| request.work == *work));
        self.set_stored(now, Precondition::Version(version), record);
    }

    fn set_stored(&mut self, now: Timestamp, version: Precondition, record: QuotaRecord) {
        self.reservations.retain(|work, reservation| {
            // The new record contains only reservations that were not released.
            reservation.existence != Existence::Missing && record.units.contains_key(work)
        });
        for work in record.units.keys() {
            let reservation = Reservation { since: now, existence: Existence::Unverified };
            self.reservations.entry(Name::clone(work)).or_insert(reservation);
        }
        self.stored = Some(Stored { version, record, confirmed_at: now });
    }

    fn fail_pending(&mut self, out: &mut Vec<QuotaAction>) {
        for request in std::mem::take(&mut self.pending) {
            decide(&request, QuotaDecision::Unavailable, out);
        }
    }
}

fn decide(request: &QuotaRequest, decision: QuotaDecision, out: &mut Vec<QuotaAction>) {
    out.push(QuotaAction::Decide { id: request.id, decision });
}
