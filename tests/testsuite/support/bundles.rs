//! Bundles, signatures and the configuration of property tests, shared by the test modules.

use peridotspread::protocol::peer;
use peridotspread::state::bundle;
use peridotspread::state::clock;
use peridotspread::state::operator;
use proptest::test_runner;

/// Returns a builder of bundles with one service, `fees`, which has `targets` targets in two failure domains.
pub(crate) fn fees(targets: usize) -> BundleBuilder {
    BundleBuilder {
        version: 1,
        floor: 1,
        targets,
        routes: 1,
    }
}

/// A builder of valid bundles.
#[derive(Clone, Debug)]
pub(crate) struct BundleBuilder {
    version: u64,
    floor: usize,
    targets: usize,
    routes: usize,
}

impl BundleBuilder {
    pub(crate) fn version(mut self, version: u64) -> BundleBuilder {
        self.version = version;
        self
    }

    pub(crate) fn floor(mut self, floor: usize) -> BundleBuilder {
        self.floor = floor;
        self
    }

    pub(crate) fn routes(mut self, routes: usize) -> BundleBuilder {
        self.routes = routes;
        self
    }

    pub(crate) fn build(&self) -> bundle::Bundle {
        let targets = (0..self.targets).map(target).collect();
        let route = |n| bundle::Route {
            host: None,
            prefix: format!("/fees-{n}"),
            service: "fees".to_owned(),
            idempotent: vec!["PUT".to_owned()],
            ..bundle::Route::default()
        };
        bundle::Bundle {
            precedence: bundle::Precedence::default(),
            version: self.version,
            callers: None,
            tiers: ["paying", "free"].map(tier).into(),
            unknown: bundle::Unknown::default(),
            organisations: Vec::new(),
            services: vec![bundle::Service {
                order: bundle::Order::default(),
                name: "fees".to_owned(),
                floor: self.floor,
                deadline_ms: clock::Millis(10_000),
                queue: 100,
                cells: None,
                parts: 1,
                soundness: false,
                breadth_pct: 0.0,
                ejection: bundle::Ejection::default(),
                retry: bundle::Retry::default(),
                targets,
            }],
            routes: (0..self.routes).map(route).collect(),
        }
    }

    /// Returns the bundle as TOML.
    pub(crate) fn text(&self) -> String {
        toml::to_string(&self.build()).expect("failed to encode the bundle as TOML")
    }
}

fn tier(name: &str) -> bundle::Tier {
    bundle::Tier {
        name: name.to_owned(),
    }
}

fn target(n: usize) -> bundle::Target {
    bundle::Target {
        name: format!("fees-{n}"),
        address: format!("127.0.0.1:{}", 9_000 + n)
            .parse()
            .expect("the address is valid"),
        domain: format!("lahore-{}", n % 2),
        slots: 3,
        connections: 400,
        leaving: false,
    }
}

/// Returns the configuration of property tests; the seed is fixed, so that each run checks the same cases.
pub(crate) fn proptest_config(cases: u32) -> test_runner::Config {
    test_runner::Config {
        cases,
        rng_seed: test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..test_runner::Config::default()
    }
}

/// The key pair of an operator, for signing bundles in tests.
#[derive(Debug)]
pub(crate) struct Signer {
    key: operator::Key,
    pair: operator::Pair,
}

/// Generates a key pair for the operator `name`.
pub(crate) fn signer(name: &str) -> Signer {
    let pair = operator::generate().expect("failed to generate a key pair");
    let key = operator::Key::from_pem(name, &pair.private).expect("the private key is valid");
    Signer { key, pair }
}

impl Signer {
    /// Returns the public keys of operators, with this one as the only operator.
    pub(crate) fn operators(&self) -> operator::Operators {
        let mut operators = operator::Operators::default();
        let added = operators.add_pem(&self.key.name, &self.pair.public);
        added.expect("the public key is valid");
        operators
    }

    pub(crate) fn sign(&self, bundle: &BundleBuilder) -> peer::SignedBundle {
        let text = bundle.text();
        let digest = operator::digest(&text);
        peer::SignedBundle {
            version: bundle.version,
            signature: self.key.sign(bundle.version, &digest),
            signer: self.key.name.clone(),
            digest,
            text,
        }
    }
}
