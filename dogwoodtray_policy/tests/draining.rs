//! Tests of the requests that a stopping process takes.

use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::DrainWindow;
use dogwoodtray_policy::SlowestRequests;
use quickcheck::quickcheck;

quickcheck! {
    /// Guards against a request that is taken out of rotation and cut, or refused although it ends in
    /// time.
    fn out_of_rotation_only_what_ends_in_time_is_taken(
        rotation: u16,
        rest: u16,
        after: u16,
        deadline: u16,
        slowest: Option<u16>
    ) -> bool {
        let ms = |ms: u16| Duration::from_millis(ms.into());
        let start = Timestamp::ZERO + ms(1_000);
        let ends_at = start + ms(rotation) + ms(rest);
        let window = DrainWindow::new(start, ms(rotation), ms(rotation) + ms(rest));
        let now = start + ms(rotation) + ms(after);
        let deadline = now + ms(deadline);
        window.takes(now, deadline, slowest.map(ms)) == (deadline <= ends_at)
    }
}

/// Guards against callers that are refused again and again by a VM that is still in rotation, also
/// where it has served no other request of their route, and against slow requests that are taken.
#[test]
fn in_rotation_the_slowest_recent_request_decides() {
    let seconds = Duration::from_secs;
    let start = Timestamp::ZERO;
    let window = DrainWindow::new(start, seconds(2), seconds(4));
    let now = start + seconds(1);
    let deadline = start + seconds(60);
    assert!(window.takes(now, deadline, Some(seconds(3))));
    assert!(!window.takes(now, deadline, Some(seconds(4))));
    assert!(window.takes(now, deadline, None));
}

/// Guards against a slow request that is forgotten at once or never.
#[test]
fn the_slowest_request_is_kept_for_a_while() {
    let route = Name::from("r");
    let seconds = Duration::from_secs;
    let mut requests = SlowestRequests::default();
    assert_eq!(requests.slowest("r"), None);
    let at = |time| Timestamp::ZERO + seconds(time);
    requests.record(at(40), &route, seconds(9));
    requests.record(at(41), &route, seconds(1));
    assert_eq!(requests.slowest("r"), Some(seconds(9)));
    requests.record(at(75), &route, seconds(2));
    assert_eq!(requests.slowest("r"), Some(seconds(9)));
    requests.record(at(110), &route, seconds(1));
    assert_eq!(requests.slowest("r"), Some(seconds(2)));
    assert_eq!(requests.slowest("other"), None);
}
