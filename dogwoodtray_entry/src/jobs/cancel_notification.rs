//! Notifications to drivers about cancelled jobs.

use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

use super::api::JobAction;

/// Delay before the first repetition of a notification. It doubles with each repetition.
const FIRST_REPEAT_DELAY: Duration = Duration::from_millis(250);
/// Number of repetitions. The last one is sent 7.75 s after the first notification.
const MAX_REPEATS: u32 = 5;

/// Cancellation notifications with repetitions still to be sent. Notifications are not
/// acknowledged. If one is lost, a cancelled job can start items until its driver next confirms the
/// header.
#[derive(Debug, Default)]
pub(crate) struct CancelNotifications {
    active: Vec<CancelNotification>,
}

#[derive(Debug)]
struct CancelNotification {
    addr: Name,
    job: Name,
    next_at: Timestamp,
    repetitions: u32,
}

impl CancelNotifications {
    /// Sends a notification and schedules its repetitions.
    pub(crate) fn send(&mut self, addr: Name, job: Name, now: Timestamp, out: &mut Vec<JobAction>) {
        out.push(JobAction::NotifyCancel { addr: Name::clone(&addr), job: Name::clone(&job) });
        self.active.push(CancelNotification {
            addr,
            job,
            next_at: now + FIRST_REPEAT_DELAY,
            repetitions: 0,
        });
    }

    /// Repeats the notifications that are due.
    pub(crate) fn on_tick(&mut self, now: Timestamp, out: &mut Vec<JobAction>) {
        for notification in
            self.active.iter_mut().filter(|notification| notification.next_at <= now)
        {
            let (addr, job) = (Name::clone(&notification.addr), Name::clone(&notification.job));
            out.push(JobAction::NotifyCancel { addr, job });
            notification.repetitions += 1;
            notification.next_at = now + FIRST_REPEAT_DELAY * (1 << notification.repetitions);
        }
        self.active.retain(|notification| notification.repetitions < MAX_REPEATS);
    }
}
