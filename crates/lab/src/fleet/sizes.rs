//! The services of the two users, at their sizes.

use peridotspread::state::bundle;
use peridotspread::state::clock;

/// One service and its targets, as a fleet's builder takes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name; its route's prefix is the name after a slash.
    pub name: String,
    /// The number of its targets, spread evenly over the failure domains.
    pub targets: usize,
    /// The slots of each target.
    pub slots: usize,
    /// The targets that ejection leaves at least.
    pub floor: usize,
    /// The median service time in milliseconds.
    pub median_ms: f64,
    /// How its targets are judged.
    pub ejection: bundle::Ejection,
}

impl Service {
    /// Describes a service with a floor of half its targets.
    pub fn new(name: &str, targets: usize, slots: usize) -> Service {
        Service {
            name: name.to_owned(),
            targets,
            slots,
            floor: targets / 2,
            median_ms: 12.0,
            ejection: bundle::Ejection::default(),
        }
    }

    /// Returns the name of its target number `i`.
    pub fn target(&self, i: usize) -> String {
        format!("{}-{i}", self.name)
    }
}

/// The slots of each target at Bagh-e-Sabaq.
const BAGH_SLOTS: usize = 3;
/// The slots of each target at Kozi.
const KOZI_SLOTS: usize = 2;
/// The log-likelihood ratio at which Kozi, which weighs false ejections most, ejects.
const KOZI_EJECT: f64 = 10.0;

/// The services of Bagh-e-Sabaq.
pub fn bagh() -> Vec<Service> {
    [
        ("timetable", 8),
        ("fees", 12),
        ("seats", 12),
        ("enrolment", 8),
    ]
    .map(|(name, targets)| Service::new(name, targets, BAGH_SLOTS))
    .into()
}

/// The services of Kozi.
pub fn kozi() -> Vec<Service> {
    [
        ("wheels", 9),
        ("payout", 14),
        ("prices", 12),
        ("booking", 6),
    ]
    .map(|(name, targets)| Service {
        ejection: bundle::Ejection {
            eject: KOZI_EJECT,
            lease_ms: clock::Millis(15_000),
            ..bundle::Ejection::default()
        },
        ..Service::new(name, targets, KOZI_SLOTS)
    })
    .into()
}
