//! Whole scenes: detection at one user's rule, false ejections at the other's, and a fault behind all targets.

use super::scene::{Fault, Report, Scene, play};

const SEEDS: u64 = 5;

fn detecting() -> Scene {
    Scene {
        domains: 4,
        targets: 12,
        slots: 3,
        floor: 9,
        avoid: 2.0,
        eject: 6.0,
        load: 0.6,
        idempotent: 0.7,
        work: 50.0,
        spread: 0.4,
        gray: vec![0],
        fault: Fault::Stall,
        onset: 5_000,
        end: 12_000,
    }
}

fn careful() -> Scene {
    Scene {
        domains: 3,
        targets: 14,
        slots: 2,
        floor: 11,
        avoid: 4.0,
        eject: 14.0,
        ..detecting()
    }
}

fn all(scene: &Scene) -> Vec<Report> {
    (0..SEEDS).map(|seed| play(scene, seed)).collect()
}

#[test]
fn a_stalled_target_gets_its_last_request_within_a_second() {
    for report in all(&detecting()) {
        assert!(report.arrived > 4_000 && report.last <= 1_000, "{report:?}");
        assert_eq!((report.late, report.right, report.wrong), (0, 1, 0));
    }
}

#[test]
fn the_high_rule_ejects_the_gray_target_alone() {
    let faults = [Fault::Slow(10.0), Fault::Fail(0.5), Fault::Flap(2_000)];
    for fault in faults {
        for report in all(&Scene { fault, ..careful() }) {
            assert_eq!(report.wrong, 0, "{fault:?} {report:?}");
        }
    }
}

#[test]
fn a_fault_behind_all_targets_ejects_none() {
    for fault in [Fault::Slow(3.0), Fault::Stall, Fault::Fail(0.5)] {
        let gray = (0..14).collect();
        for report in all(&Scene {
            fault,
            gray,
            ..careful()
        }) {
            assert_eq!((report.wrong, report.right), (0, 0), "{fault:?} {report:?}");
        }
    }
}
