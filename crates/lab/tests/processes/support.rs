//! What the proofs share: a small fleet with a browsed and a keyed service, its load, and the counts that must be zero.

use peridotspread::state::clock;
use peridotspread_lab::fleet::{self, sizes};
use peridotspread_lab::{demo, load, relay, trial};
use tokio::sync;

/// The service whose requests are idempotent.
pub(crate) const SEATS: &str = "seats";
/// The service whose requests are keyed and run at most once.
pub(crate) const FEES: &str = "fees";

/// The service whose requests are not idempotent and carry no key.
pub(crate) const BOOKING: &str = "booking";

/// The fleets that run at a time, so that they don't starve each other.
static TURNS: sync::Semaphore = sync::Semaphore::const_new(3);

/// A trial and its turn.
pub(crate) struct Proof {
    pub(crate) trial: trial::Trial,
    _turn: sync::SemaphorePermit<'static>,
}

/// Starts the daemons of the test called `name`, in two failure domains and under load.
pub(crate) async fn proof(name: &str, daemons: usize, seed: u64) -> Proof {
    start(fleet::builder(name).daemons(daemons), name, seed).await
}

/// The same with a relay between the daemons.
pub(crate) async fn relayed(name: &str, daemons: usize, seed: u64) -> Proof {
    start(fleet::builder(name).daemons(daemons).relayed(), name, seed).await
}

async fn start(builder: fleet::Builder, name: &str, seed: u64) -> Proof {
    const TARGETS: usize = 6;
    const SLOTS: usize = 3;
    let turn = TURNS.acquire().await.unwrap();
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
    Proof {
        trial: trial::Trial::start(fleet, &plan),
        _turn: turn,
    }
}

impl Proof {
    /// Waits until all services serve again.
    pub(crate) async fn serves(&self) {
        const MORE: u64 = 30;
        for service in [SEATS, FEES, BOOKING] {
            self.trial.wait_served(service, MORE).await.unwrap();
        }
    }

    /// Returns the relay between the daemons.
    pub(crate) fn relay(&self) -> &relay::Relay {
        self.trial.fleet.relay.as_ref().unwrap()
    }

    /// Ends the load; all that must be zero is zero.
    pub(crate) async fn holds(self) -> trial::Counts {
        let (counts, fleet) = self.trial.finish().await;
        if !counts.violations().is_empty() {
            for name in fleet.daemons.keys() {
                eprintln!("--- {name}\n{}", fleet.log(name));
            }
        }
        assert_eq!(counts.violations(), [], "{:?}", counts.report.services);
        assert!(counts.report.services[FEES].served > 0, "no keyed work ran");
        counts
    }
}
