//! The fixture of the tests: a small fleet with three services, its load, and the counts that must be zero.

use peridotspread::state::clock;
use peridotspread_lab::fleet::{self, sizes};
use peridotspread_lab::{demo, load, relay, trial};
use tokio::sync;

/// The service whose requests are idempotent.
pub(crate) const SEATS: &str = "seats";
/// The service whose requests carry an idempotency key and run at most once.
pub(crate) const FEES: &str = "fees";
/// The service whose requests are not idempotent and carry no key.
pub(crate) const BOOKING: &str = "booking";

/// Permits for fleets; only three run at a time, so that they do not starve each other.
static FLEET_PERMITS: sync::Semaphore = sync::Semaphore::const_new(3);

/// A fleet under load, and the permit that it holds while it runs.
pub(crate) struct Fixture {
    pub(crate) trial: trial::Trial,
    _permit: sync::SemaphorePermit<'static>,
}

/// Starts the daemons of the test called `name`, in two failure domains and under load.
pub(crate) async fn fixture(name: &str, daemons: usize, seed: u64) -> Fixture {
    start(fleet::builder(name).daemons(daemons), name, seed).await
}

/// Starts the daemons as [`fixture`] does, with a relay between them that can cut links.
pub(crate) async fn fixture_with_relay(name: &str, daemons: usize, seed: u64) -> Fixture {
    start(fleet::builder(name).daemons(daemons).relayed(), name, seed).await
}

/// Starts the fleet of `builder`, in two failure domains and under load.
pub(crate) async fn start(builder: fleet::Builder, name: &str, seed: u64) -> Fixture {
    const TARGETS: usize = 6;
    const SLOTS: usize = 3;
    let permit = FLEET_PERMITS.acquire().await.unwrap();
    let services = [SEATS, FEES, BOOKING].map(|name| sizes::Service {
        floor: 4,
        ..sizes::Service::new(name, TARGETS, SLOTS)
    });
    let fleet = builder
        .domains(2)
        .services(&services)
        .seed(seed)
        .build()
        .await
        .unwrap();
    let plan = load::Plan {
        seed,
        rate: 180.0,
        kinds: vec![
            load::Kind::get(SEATS, "/seats/list", 1.0),
            load::Kind::post(FEES, "/fees/payments", 1.0),
            load::Kind::post_unkeyed(BOOKING, "/booking/slots", 1.0),
        ],
        callers: demo::callers(),
        deadline: clock::Millis(1_500),
        resends: 4,
        proto: load::Proto::Http1,
        name: name.to_owned(),
    };
    Fixture {
        trial: trial::Trial::start(fleet, &plan),
        _permit: permit,
    }
}

impl Fixture {
    /// Waits until each service has served 30 more requests.
    pub(crate) async fn wait_until_served(&self) {
        const REQUESTS: u64 = 30;
        for service in [SEATS, FEES, BOOKING] {
            self.trial.wait_served(service, REQUESTS).await.unwrap();
        }
    }

    /// Returns the relay between the daemons.
    pub(crate) fn relay(&self) -> &relay::Relay {
        self.trial.fleet.relay.as_ref().unwrap()
    }

    /// Stops the load and asserts that all counts that must be zero are zero; if not, prints the logs of the daemons.
    pub(crate) async fn assert_no_violations(self) -> trial::Counts {
        let (counts, fleet) = self.trial.finish().await;
        if !counts.violations().is_empty() {
            for name in fleet.daemons.keys() {
                eprintln!("--- {name}\n{}", fleet.log(name));
            }
        }
        assert_eq!(counts.violations(), [], "{:?}", counts.report.services);
        assert!(
            counts.report.services[FEES].served > 0,
            "no keyed request was served"
        );
        counts
    }
}
