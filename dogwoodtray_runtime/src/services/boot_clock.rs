//! Clock that counts the time for which the machine was suspended.

use std::time::Duration;

use dogwoodtray_coord::Timestamp;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Monotonic clock that includes the time spent suspended and ignores changes of the wall clock.
///
/// `std::time::Instant` and the timers of the runtime stop while the machine is suspended. Times of
/// this clock must not be compared with theirs.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the time since the machine was booted.
    #[must_use]
    pub fn now(self) -> Timestamp {
        let time = clock_gettime(ClockId::Boottime);
        // The kernel returns no negative values for this clock.
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
        Timestamp::ZERO + Duration::from_secs(seconds) + Duration::from_nanos(nanos)
    }
}

#[cfg(test)]
mod tests {
    use std::thread::sleep;
    use std::time::Duration;

    use dogwoodtray_coord::Timestamp;

    use super::BootClock;

    /// Guards against a clock of the wrong unit or one that does not advance.
    #[test]
    fn it_advances_with_time() {
        let first = BootClock.now();
        sleep(Duration::from_millis(20));
        let passed = BootClock.now() - first;
        assert!(passed >= Duration::from_millis(20), "{passed:?}");
        assert!(passed < Duration::from_secs(60), "{passed:?}");
        assert!(first > Timestamp::ZERO);
    }

    /// Guards against the use of the wall clock, which jumps, or of a clock that stops during a
    /// suspension: the time is the kernel's time since boot, which counts suspensions.
    #[test]
    fn it_is_the_uptime_of_the_machine() {
        let Ok(text) = std::fs::read_to_string("/proc/uptime") else { return };
        let uptime = text.split_whitespace().next().and_then(|text| text.parse::<f64>().ok());
        let Some(uptime) = uptime else { return };
        let now = (BootClock.now() - Timestamp::ZERO).as_secs_f64();
        assert!((now - uptime).abs() < 30.0, "clock {now}, uptime {uptime}");
    }
}
