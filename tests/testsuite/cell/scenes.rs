//! Simulations of whole services: detection with low thresholds, false ejections with high ones, and a fault common to
//! all targets.

use super::scene::{Fault, Report, Scene, simulate};

const SEEDS: u64 = 5;

fn low_thresholds() -> Scene {
    Scene {
        domains: 4,
        targets: 12,
        slots: 3,
        floor: 9,
        avoid: 2.0,
        eject: 6.0,
        load: 0.6,
        idempotent: 0.7,
        median: 50.0,
        spread: 0.4,
        gray: vec![0],
        fault: Fault::Stall,
        onset: 5_000,
        end: 12_000,
    }
}

fn high_thresholds() -> Scene {
    Scene {
        domains: 3,
        targets: 14,
        slots: 2,
        floor: 11,
        avoid: 4.0,
        eject: 14.0,
        ..low_thresholds()
    }
}

fn run_seeds(scene: &Scene) -> Vec<Report> {
    (0..SEEDS).map(|seed| simulate(scene, seed)).collect()
}

#[test]
fn a_stalled_target_gets_its_last_request_within_a_second() {
    for report in run_seeds(&low_thresholds()) {
        assert!(
            report.arrived > 4_000 && report.last_grant <= 1_000,
            "{report:?}"
        );
        assert_eq!(
            (
                report.late_grants,
                report.true_ejections,
                report.false_ejections
            ),
            (0, 1, 0)
        );
    }
}

#[test]
fn high_thresholds_eject_only_the_gray_target() {
    let faults = [Fault::Slow(10.0), Fault::Fail(0.5), Fault::Flap(2_000)];
    for fault in faults {
        for report in run_seeds(&Scene {
            fault,
            ..high_thresholds()
        }) {
            assert_eq!(report.false_ejections, 0, "{fault:?} {report:?}");
        }
    }
}

#[test]
fn a_fault_common_to_all_targets_ejects_none() {
    for fault in [Fault::Slow(3.0), Fault::Stall, Fault::Fail(0.5)] {
        let gray = (0..14).collect();
        for report in run_seeds(&Scene {
            fault,
            gray,
            ..high_thresholds()
        }) {
            assert_eq!(
                (report.false_ejections, report.true_ejections),
                (0, 0),
                "{fault:?} {report:?}"
            );
        }
    }
}
