//! The cases, and what they share.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use crate::client;
use crate::daemon::Daemon;
use crate::record::Record;
use crate::store::Store;

pub mod authority;
pub mod beats;
pub mod parts;

/// The figures of the pages for a small deployment.
pub const CONTACT: Duration = Duration::from_millis(3_000);
pub const DRAIN: Duration = Duration::from_millis(2_000);

/// What a case runs with.
pub struct Scene {
    pub record: Record,
    /// The folder of the settings and logs.
    pub folder: PathBuf,
    pub has_trouble: bool,
}

impl Scene {
    /// Starts `count` daemons one after the other and waits until each is ready.
    pub fn start_daemons(&self, count: u8, store: &Store) -> Option<Vec<Daemon>> {
        let mut daemons: Vec<_> = (1..=count)
            .map(|n| Daemon::new(n, store.address, &self.folder))
            .collect();
        daemons.iter_mut().for_each(Daemon::start);
        for daemon in &daemons {
            if !daemon.wait_until_ready() {
                self.record
                    .say(&format!("{} does not become ready", daemon.name));
                return None;
            }
            let (name, front) = (&daemon.name, daemon.front);
            self.record.line(&format!("{name} is ready at {front}"));
        }
        Some(daemons)
    }

    /// Waits until the given time since the start of the record.
    pub fn wait_until(&self, at: Duration) {
        thread::sleep(at.saturating_sub(self.record.now()));
    }
}

/// One route of a configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
}

/// Returns a configuration.
pub fn config(version: u32, routes: &[Route], services: &[&str]) -> String {
    let mut resources = Vec::new();
    for (n, route) in routes.iter().enumerate() {
        resources.push(format!(
            r#"{{"resource_kind":"routes","metadata":{{"name":"r-{n}"}},"spec":{{"host":"{}","prefix":"{}","kind":"{}","timeout_ms":5000,"target_latency_ms":1000,"priority":1,"service":"{}","max_attempts":2}}}}"#,
            client::HOST,
            route.prefix,
            route.kind,
            route.service
        ));
    }
    for service in services {
        resources.push(format!(
            r#"{{"resource_kind":"services","metadata":{{"name":"{service}"}},"spec":{{"health_path":"/health","max_connections":390,"protocol":"h1","tls":false}}}}"#
        ));
    }
    resources.push(
        r#"{"resource_kind":"limits","metadata":{"name":"limits"},"spec":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":10000}}"#
            .to_owned(),
    );
    format!(
        r#"{{"version":"r{version}","resources":[{}]}}"#,
        resources.join(",")
    )
}
