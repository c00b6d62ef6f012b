//! Notifications to drivers about cancelled jobs.

use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

use super::api::JobAction;

/// Delay before the first repetition of a notification. It doubles with each repetition.
const FIRST_REPEAT: Duration = Duration::from_millis(250);
/// Number of repetitions. The last one is sent 7.75 s after the first notification.
const REPEATS: u32 = 5;

/// Cancellation notifications with repetitions still to be sent. Notifications are not
/// acknowledged. If one is lost, a cancelled job can start items until its driver next confirms the
/// header.
#[derive(Debug, Default)]
pub(crate) struct Notices {
    open: Vec<Notice>,
}

#[derive(Debug)]
struct Notice {
    addr: Name,
    job: Name,
    at: Timestamp,
    sent: u32,
}

impl Notices {
    /// Sends a notification and schedules its repetitions.
    pub(crate) fn send(&mut self, addr: Name, job: Name, now: Timestamp, out: &mut Vec<JobAction>) {
        out.push(JobAction::NotifyCancel { addr: Name::clone(&addr), job: Name::clone(&job) });
        self.open.push(Notice { addr, job, at: now + FIRST_REPEAT, sent: 0 });
    }

    /// Repeats the notifications that are due.
    pub(crate) fn on_tick(&mut self, now: Timestamp, out: &mut Vec<JobAction>) {
        for notice in self.open.iter_mut().filter(|notice| notice.at <= now) {
            let (addr, job) = (Name::clone(&notice.addr), Name::clone(&notice.job));
            out.push(JobAction::NotifyCancel { addr, job });
            notice.sent += 1;
            notice.at = now + FIRST_REPEAT * (1 << notice.sent);
        }
        self.open.retain(|notice| notice.sent < REPEATS);
    }
}
