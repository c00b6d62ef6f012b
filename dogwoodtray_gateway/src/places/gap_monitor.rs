//! Reports of streams whose events are later than usual.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_policy::EventGaps;
use tokio::pin;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::node::Node;

/// Wait for an event before the first one, when no gap is known to be slow.
const UNCHECKED_WAIT: Duration = Duration::from_secs(3_600);

/// Observes the gaps between the events of a request that holds a place.
#[derive(Debug)]
pub(crate) struct GapMonitor {
    node: Rc<Node>,
    /// Number of the place.
    number: u64,
    service: Name,
    gaps: EventGaps,
    /// Timer of `poll_check`.
    check: Option<Pin<Box<Sleep>>>,
}

impl GapMonitor {
    pub(super) fn new(node: &Rc<Node>, number: u64, service: &Name) -> Self {
        let (node, service) = (Rc::clone(node), Name::clone(service));
        Self { node, number, service, gaps: EventGaps::default(), check: None }
    }

    /// Records that an event arrived.
    pub(crate) fn on_event(&mut self) {
        let is_slow = {
            let mut usual_gaps = self.node.places.usual_gaps.borrow_mut();
            if !usual_gaps.contains_key(&self.service) {
                usual_gaps.insert(Name::clone(&self.service), Default::default());
            }
            let Some(usual) = usual_gaps.get_mut(&self.service) else { return };
            self.gaps.on_event(self.node.now(), usual)
        };
        if is_slow {
            self.node.report_slow_stream(self.number);
        }
    }

    /// Records that no events were read for some time because their reader was slow.
    pub(crate) const fn on_pause(&mut self) {
        self.gaps.on_pause();
    }

    /// Waits for the next event, and reports the stream while it is overdue.
    pub(crate) async fn watch<T>(&mut self, event: impl Future<Output = T>) -> T {
        pin!(event);
        loop {
            match timeout(self.time_to_check(), &mut event).await {
                Ok(event) => return event,
                Err(_) => self.on_timer(),
            }
        }
    }

    /// Reports the stream if its next event is overdue, and wakes the task when it will be.
    pub(crate) fn poll_check(&mut self, cx: &mut Context<'_>) {
        loop {
            let usual = self.node.places.usual_gap(&self.service);
            let Some(at) = self.gaps.next_check(&usual) else { return };
            if self.node.now() >= at {
                self.on_timer();
                continue;
            }
            let check_at = Instant::now() + self.time_to_check();
            let check = self.check.get_or_insert_with(|| Box::pin(sleep_until(check_at)));
            check.as_mut().reset(check_at);
            if check.as_mut().poll(cx).is_pending() {
                return;
            }
        }
    }

    fn time_to_check(&self) -> Duration {
        let usual = self.node.places.usual_gap(&self.service);
        let check = self.gaps.next_check(&usual);
        // A timer of the runtime has a resolution of 1 ms.
        let wait = |at| (at - self.node.now()) + Duration::from_millis(1);
        check.map_or(UNCHECKED_WAIT, wait)
    }

    fn on_timer(&mut self) {
        let usual = self.node.places.usual_gap(&self.service);
        if self.gaps.on_timer(self.node.now(), &usual) {
            self.node.report_slow_stream(self.number);
        }
    }
}
