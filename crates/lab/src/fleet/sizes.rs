//! The services of the two users, with the sizes that the users run.

use peridotspread::state::bundle;
use peridotspread::state::clock;

/// The configuration of a service and its targets, for the builder of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name of the service; the prefix of its route is a slash and this name.
    pub name: String,
    /// The number of targets, distributed evenly over the failure domains.
    pub targets: usize,
    /// The number of slots of each target.
    pub slots: usize,
    /// The minimum number of targets that ejections must leave in use.
    pub floor: usize,
    /// The median service time, in milliseconds.
    pub median_ms: f64,
    /// The ejection rules of the service.
    pub ejection: bundle::Ejection,
}

impl Service {
    /// Creates a service with a floor of half its targets and default ejection rules.
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

    /// Returns the name of the target with the index `i`.
    pub fn target(&self, i: usize) -> String {
        format!("{}-{i}", self.name)
    }
}

/// The number of slots of each target at Bagh-e-Sabaq.
const BAGH_SLOTS: usize = 3;
/// The number of slots of each target at Kozi.
const KOZI_SLOTS: usize = 2;
/// The log-likelihood ratio at which Kozi ejects a target; high, because avoiding false ejections is Kozi's priority.
const KOZI_EJECT: f64 = 10.0;

/// Returns the services of Bagh-e-Sabaq.
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

/// Returns the services of Kozi.
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
