//! Graceful shutdown.

use std::fmt::Display;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dogwoodtray_coord::Timestamp;
use dogwoodtray_runtime::Flow;
use dogwoodtray_runtime::catalogue;

use super::super::JobsInput;
use super::super::OnceInput;
use super::service::RouterService;

/// Time after the deadline of a drain in which the requests that are still open are answered.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(200);

/// # Graceful shutdown
impl RouterService {
    pub(super) fn start_drain(&mut self, now: Timestamp) {
        if self.drain_deadline.is_some() {
            return;
        }
        self.shared.events.emit(&catalogue::DRAIN_STARTED, None, &[]);
        self.shared.leaving.store(true, Ordering::Relaxed);
        let timeout = self.shared.settings.drain_timeout;
        self.drain_deadline = Some(now + timeout);
        self.shared.drain.begin(timeout);
        self.shared.send_to_jobs(JobsInput::Drain);
        self.shared.send_to_once(OnceInput::Drain);
        self.send_heartbeats(now);
    }

    pub(super) fn check_drain(&mut self, now: Timestamp) -> Flow {
        if self.shared.finished.load(Ordering::Acquire) {
            return Flow::Stop;
        }
        let Some(deadline) = self.drain_deadline else {
            return Flow::Continue;
        };
        let answers = self.shared.open_responses.load(Ordering::Acquire);
        let jobs_drained = self.shared.jobs_drained.load(Ordering::Acquire);
        let once_drained = self.shared.once_drained.load(Ordering::Acquire);
        let idle = answers == 0 && self.core.requests() == 0 && jobs_drained && once_drained;
        if idle {
            self.shared.events.emit(&catalogue::DRAIN_FINISHED, None, &[]);
        } else if now >= deadline + FINAL_ANSWER_TIME {
            let requests = self.core.requests();
            let fields: [(&str, &dyn Display); 4] = [
                ("answers", &answers),
                ("requests", &requests),
                ("jobs_drained", &jobs_drained),
                ("once_drained", &once_drained),
            ];
            self.shared.events.emit(&catalogue::DRAIN_TIMEOUT, None, &fields);
        } else {
            if now >= deadline {
                // Callers that still wait learn that the process stops.
                self.callers.clear();
                self.shared.send_to_jobs(JobsInput::EndDrain);
                self.shared.send_to_once(OnceInput::EndDrain);
            }
            return Flow::Continue;
        }
        self.shared.finished.store(true, Ordering::Release);
        Flow::Stop
    }
}
