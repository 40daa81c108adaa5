//! The schedule of a graceful shutdown: its steps take the time that they have, and no request outlives it.

use peridotspread::coordination::shutdown::Schedule;
use peridotspread::state::clock::Millis;

const BEGAN: Millis = Millis(70_000);

/// Guards against a shutdown whose steps take longer than its grace period, also where that is short.
#[test]
fn the_steps_of_a_shutdown_add_up_to_its_time() {
    for (linger, drain) in [(3_000, 2_600), (300, 200), (0, 60_000), (50, 10), (0, 0)] {
        let schedule = Schedule::new(BEGAN, Millis(linger), Millis(drain));
        assert_eq!(schedule.closes, BEGAN + Millis(linger));
        assert_eq!(schedule.cut, BEGAN + Millis(linger + drain));
        let steps = [BEGAN, schedule.closes, schedule.last_arrival, schedule.cut];
        assert!(steps.is_sorted(), "{schedule:?}");
    }
}

/// Guards against a request being passed on that its daemon cuts off when it ends.
#[test]
fn a_request_that_may_outlive_the_shutdown_is_not_admitted_late() {
    let schedule = Schedule::new(BEGAN, Millis(3_000), Millis(2_600));
    for at in (0..5_600).step_by(50) {
        for left in [10, 300, 1_000, 2_500, 4_000, 6_000, 60_000] {
            let now = BEGAN + Millis(at);
            let deadline = now + Millis(left);
            let ends_in_time = at + left < 5_600;
            let once = schedule.admits(now, deadline, false);
            assert!(!once || ends_in_time, "{left} ms at {at} ms");
            let repeatable = schedule.admits(now, deadline, true);
            assert!(
                !repeatable || ends_in_time || at < 3_000,
                "{left} ms at {at} ms"
            );
        }
    }
}

/// Guards against a daemon that refuses all work from the signal on, although the load balancer still sends it.
#[test]
fn requests_that_end_in_time_are_admitted_until_the_end() {
    let schedule = Schedule::new(BEGAN, Millis(3_000), Millis(2_600));
    let admits = |at: u64, left: u64, idempotent: bool| {
        let now = BEGAN + Millis(at);
        schedule.admits(now, now + Millis(left), idempotent)
    };
    assert!(admits(0, 5_500, false));
    assert!(admits(3_000, 2_500, false));
    assert!(admits(5_000, 500, false));
    assert!(admits(2_000, 60_000, true));
}
