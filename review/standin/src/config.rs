//! The operator's configuration, as the pages and `wire.json` show it.

use crate::json::quote;

/// A route.
pub struct Route {
    pub prefix: &'static str,
    pub service: &'static str,
    /// `safe` or `unsafe`.
    pub kind: &'static str,
    pub timeout_ms: u64,
    pub target_latency_ms: u64,
    pub priority: u8,
    pub max_attempts: u32,
}

/// The host of all routes.
pub const HOST: &str = "clubs.example";

/// Returns the configuration of a version.
pub fn config(version: u64, routes: &[Route], max_body_bytes: u64) -> String {
    let mut resources = Vec::new();
    for (i, route) in routes.iter().enumerate() {
        resources.push(format!(
            "{{\"resource_kind\":\"routes\",\"metadata\":{{\"name\":\"route-{i}\"}},\"spec\":{{\"host\":{},\"prefix\":{},\"service\":{},\
             \"kind\":\"{}\",\"timeout_ms\":{},\"target_latency_ms\":{},\"priority\":{},\"max_attempts\":{}}}}}",
            quote(HOST), quote(route.prefix), quote(route.service), route.kind, route.timeout_ms, route.target_latency_ms,
            route.priority, route.max_attempts
        ));
    }
    let mut services: Vec<_> = routes.iter().map(|r| r.service).collect();
    services.sort_unstable();
    services.dedup();
    for service in services {
        resources.push(format!(
            "{{\"resource_kind\":\"services\",\"metadata\":{{\"name\":{}}},\"spec\":{{\"health_path\":\"/health\",\"max_connections\":390,\
             \"protocol\":\"h1\",\"tls\":false}}}}",
            quote(service)
        ));
    }
    resources.push(format!(
        "{{\"resource_kind\":\"limits\",\"metadata\":{{\"name\":\"limits\"}},\"spec\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":{max_body_bytes},\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    ));
    format!("{{\"version\":\"r{version}\",\"resources\":[{}]}}", resources.join(","))
}
