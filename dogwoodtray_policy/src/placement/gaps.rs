//! Detection of streams whose events are later than usual.

use std::time::Duration;

use dogwoodtray_coord::Timestamp;

/// Weight of a new gap in the moving average of a service.
const GAP_WEIGHT: f64 = 0.02;

/// Assumed gap until the first observation.
const INITIAL_GAP: Duration = Duration::from_millis(40);

/// A gap of this multiple of the usual one is slow, and so are two gaps in a row that have this other
/// multiple on average. An endpoint that has become 2.5 times slower never reaches the first.
const SINGLE_GAP_FACTOR: f64 = 4.0;
const PAIR_FACTOR: f64 = 1.9;

/// Shortest gap, and shortest mean of two gaps, that count as slow.
const MIN_SINGLE_GAP: Duration = Duration::from_millis(150);
const MIN_PAIR_GAP: Duration = Duration::from_millis(70);

/// Longest gap that enters the average, as a multiple of it. One endpoint that stands still does not
/// change what is usual.
const MAX_GAP_FACTOR: f64 = 4.0;

/// Shortest time between two reports of a stream.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Delay of a timer from which the process itself is taken to have been without processor time. Its
/// streams then seem slow although their events had arrived.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(20);

/// Moving average of the gaps between two events of the streams of a service.
#[derive(Clone, Copy, Debug)]
pub struct UsualGap {
    seconds: f64,
}

impl Default for UsualGap {
    fn default() -> Self {
        Self { seconds: INITIAL_GAP.as_secs_f64() }
    }
}

impl UsualGap {
    /// Returns the gap from which one alone is slow.
    #[must_use]
    pub fn single_limit(&self) -> Duration {
        Duration::from_secs_f64(self.seconds * SINGLE_GAP_FACTOR).max(MIN_SINGLE_GAP)
    }

    fn pair_limit(&self) -> Duration {
        Duration::from_secs_f64(self.seconds * PAIR_FACTOR).max(MIN_PAIR_GAP)
    }

    fn observe(&mut self, gap: Duration) {
        let gap = gap.as_secs_f64().min(self.seconds * MAX_GAP_FACTOR);
        self.seconds += GAP_WEIGHT * (gap - self.seconds);
    }
}

/// Gaps between the events of one stream.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use dogwoodtray_coord::Timestamp;
/// use dogwoodtray_policy::EventGaps;
/// use dogwoodtray_policy::UsualGap;
///
/// let mut usual = UsualGap::default();
/// let mut gaps = EventGaps::default();
/// let at = |ms| Timestamp::ZERO + Duration::from_millis(ms);
/// assert!(!gaps.on_event(at(40), &mut usual));
/// let check = gaps.next_check(&usual).expect("an event came");
/// assert!(gaps.on_timer(check, &usual));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct EventGaps {
    last_event_at: Option<Timestamp>,
    last_gap: Duration,
    reported_at: Option<Timestamp>,
}

impl EventGaps {
    /// Records an event. Returns `true` if the stream is to be reported as slow.
    pub fn on_event(&mut self, now: Timestamp, usual: &mut UsualGap) -> bool {
        // The time before the first event includes the prompt.
        let Some(last_event_at) = self.last_event_at.replace(now) else { return false };
        let gap = now - last_event_at;
        let last_gap = std::mem::replace(&mut self.last_gap, gap);
        usual.observe(gap);
        // After a single long gap, as of a process without processor time, the next one is short.
        let pair = (gap + last_gap) / 2;
        let is_slow = pair >= usual.pair_limit() && gap.min(last_gap) * 4 >= pair * 3;
        is_slow && self.report(now)
    }

    /// Records that the process did not read events for some time, as its caller did not.
    pub const fn on_pause(&mut self) {
        self.last_event_at = None;
        self.last_gap = Duration::ZERO;
    }

    /// Returns the time at which [`on_timer`](Self::on_timer) has to be called unless an event comes.
    #[must_use]
    pub fn next_check(&self, usual: &UsualGap) -> Option<Timestamp> {
        let due = self.last_event_at? + usual.single_limit();
        Some(self.reported_at.map_or(due, |at| due.max(at + REPORT_INTERVAL)))
    }

    /// Records that no event came until the time of the check. Returns `true` if the stream is to be
    /// reported as slow.
    pub fn on_timer(&mut self, now: Timestamp, usual: &UsualGap) -> bool {
        let Some(due) = self.next_check(usual).filter(|due| now >= *due) else { return false };
        self.report(now) && now - due <= MAX_TIMER_DELAY
    }

    fn report(&mut self, now: Timestamp) -> bool {
        let is_due = self.reported_at.is_none_or(|at| now - at >= REPORT_INTERVAL);
        if is_due {
            self.reported_at = Some(now);
        }
        is_due
    }
}
