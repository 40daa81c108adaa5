//! Measurement of the cost of idle connections between daemons, and of the membership protocol over QUIC, on the
//! loopback interface in one process.

use std::collections::BTreeMap;
use std::net;
use std::time;

use peridotspread::coordination::member::Seed;
use peridotspread::daemon::member;
use peridotspread::protocol::peer;
use peridotspread::state::{clock, ids, settings, timeline};
use peridotspread::transport::quic;
use serde::Serialize;
use snafu::ResultExt;
use tokio::sync as tasks;

use super::usage;
use crate::fleet::files;
use crate::peers::{self, BindSnafu, FilesSnafu, MemberSnafu, SettingsSnafu, SystemSnafu};

/// The time from the last connection to the first reading of memory and rates.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(3);
/// An idle timeout that is longer than any measurement.
const NO_IDLE_TIMEOUT: clock::Millis = clock::Millis(3_600_000);

/// Options of [`run`].
#[derive(Clone, Debug)]
pub struct Options {
    /// The number of endpoints of each full mesh.
    pub meshes: Vec<usize>,
    /// The number of daemons of each fleet, which runs the membership protocol and opens connections only as needed.
    pub fleets: Vec<usize>,
    /// The interval of keep-alive probes on a connection.
    pub probe: clock::Millis,
    /// The time for which each mesh or fleet is measured.
    pub watch: time::Duration,
}

/// The measurements of a full mesh or a fleet; rates are per endpoint and exclude UDP and IP headers.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The kind: `mesh` or `fleet`.
    pub kind: &'static str,
    /// The number of endpoints.
    pub endpoints: usize,
    /// The number of connections per endpoint.
    pub connections: f64,
    /// The memory of the process before the first connection, in bytes per endpoint.
    pub base_bytes: f64,
    /// The memory added by the connections, in bytes per end of a connection.
    pub end_bytes: f64,
    /// The number of packets sent per second.
    pub packets_s: f64,
    /// The number of bytes sent per second.
    pub sent_s: f64,
    /// The processor time per endpoint, in percent of one core.
    pub cpu_pct: f64,
}

/// Measures each mesh and each fleet in turn and passes each result to `report`. Use one size per process, because the
/// process does not return freed memory to the system.
///
/// # Errors
///
/// Returns an error if an endpoint cannot be bound.
pub async fn run(options: &Options, report: &dyn Fn(&Row)) -> Result<Vec<Row>, peers::Error> {
    let mut rows = Vec::new();
    for (kind, sizes) in [("mesh", &options.meshes), ("fleet", &options.fleets)] {
        for size in sizes {
            let row = measure(kind, *size, options).await?;
            report(&row);
            rows.push(row);
        }
    }
    Ok(rows)
}

/// A QUIC endpoint with its name.
struct Endpoint {
    name: String,
    peers: quic::Peers,
    incoming: Option<tasks::mpsc::Receiver<quic::Incoming>>,
}

async fn measure(kind: &'static str, size: usize, options: &Options) -> Result<Row, peers::Error> {
    let files = files::Files::create(&format!("measure-{kind}-{size}")).context(FilesSnafu)?;
    let idle = if kind == "mesh" {
        NO_IDLE_TIMEOUT
    } else {
        quic::Timeouts::default().idle
    };
    let timeouts = quic::Timeouts {
        probe: options.probe,
        idle,
        ..quic::Timeouts::default()
    };
    let mut endpoints = Vec::new();
    for n in 0..size {
        endpoints.push(bind(&files, &format!("lahore-1-{n:03}"), &timeouts)?);
    }
    let before = usage::resident_bytes();
    if kind == "mesh" {
        connect_all(&mut endpoints).await;
        tokio::time::sleep(SETTLE_TIME).await;
    } else {
        join_members(&mut endpoints).await?;
    }
    let added = usage::resident_bytes().saturating_sub(before);
    let (cpu, traffic, start) = (
        usage::processor_s(),
        total_traffic(&endpoints),
        time::Instant::now(),
    );
    tokio::time::sleep(options.watch).await;
    let span = start.elapsed().as_secs_f64();
    let cpu = usage::processor_s() - cpu;
    let after = self::total_traffic(&endpoints);
    let connections: usize = endpoints.iter().map(|e| e.peers.connections()).sum();
    let count = size as f64;
    let row = Row {
        kind,
        endpoints: size,
        connections: connections as f64 / count,
        base_bytes: before as f64 / count,
        end_bytes: added as f64 / connections.max(1) as f64,
        packets_s: after.packets.saturating_sub(traffic.packets) as f64 / span / count,
        sent_s: after.sent.saturating_sub(traffic.sent) as f64 / span / count,
        cpu_pct: cpu / span / count * 100.0,
    };
    for endpoint in &endpoints {
        endpoint.peers.close().await;
    }
    Ok(row)
}

fn bind(
    files: &files::Files,
    name: &str,
    timeouts: &quic::Timeouts,
) -> Result<Endpoint, peers::Error> {
    let free = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    let options = files::DaemonOptions {
        advertise: None,
        domain: "lahore-1".to_owned(),
        listen: free,
        peer: free,
        admin: free,
        platform: free,
        seeds: BTreeMap::new(),
    };
    let path = files
        .settings(name, &options, &[], "")
        .context(FilesSnafu)?;
    let text = std::fs::read_to_string(&path).context(SystemSnafu)?;
    let settings: settings::Settings = toml::from_str(&text).context(SettingsSnafu)?;
    let (peers, incoming) = quic::Peers::bind_with(&settings, timeouts).context(BindSnafu)?;
    Ok(Endpoint {
        name: name.to_owned(),
        peers,
        incoming: Some(incoming),
    })
}

/// Opens a connection between each pair of endpoints.
async fn connect_all(endpoints: &mut [Endpoint]) {
    for endpoint in endpoints.iter_mut() {
        if let Some(mut incoming) = endpoint.incoming.take() {
            tokio::spawn(async move { while incoming.recv().await.is_some() {} });
        }
    }
    for (n, from) in endpoints.iter().enumerate() {
        for to in &endpoints[n + 1..] {
            let opened = from
                .peers
                .open(&to.name, to.peers.local(), peer::Purpose::Control)
                .await;
            if let Err(e) = opened {
                log::warn!("failed to connect to {}: {e}", to.name);
            }
        }
    }
}

/// Starts the membership protocol, waits until all endpoints see each other, and waits until the connections that the
/// joining opened have timed out.
async fn join_members(endpoints: &mut [Endpoint]) -> Result<(), peers::Error> {
    let seed = Seed {
        name: endpoints[0].name.clone(),
        peer: endpoints[0].peers.local(),
    };
    let mut views = Vec::new();
    for endpoint in endpoints.iter_mut() {
        let incarnation = ids::Incarnation(clock::wall().0);
        let recorder = timeline::Recorder::new(&endpoint.name, incarnation);
        let handle = member::spawn(member::Options {
            name: endpoint.name.clone(),
            peer: endpoint.peers.local(),
            domain: "lahore-1".to_owned(),
            incarnation,
            seeds: vec![seed.clone()],
            peers: endpoint.peers.clone(),
            clock: clock::Clock::start(),
            recorder: recorder.into(),
        });
        let handle = handle.await.context(MemberSnafu)?;
        views.push(handle.view());
        if let Some(incoming) = endpoint.incoming.take() {
            tokio::spawn(peers::deliver(incoming, handle));
        }
    }
    for view in &mut views {
        let all = endpoints.len();
        let _ = view.wait_for(|v| v.members.len() == all).await;
    }
    let idle = quic::Timeouts::default().idle.span();
    tokio::time::sleep(idle * 2).await;
    Ok(())
}

fn total_traffic(endpoints: &[Endpoint]) -> quic::Traffic {
    let mut sum = quic::Traffic::default();
    for endpoint in endpoints {
        let one = endpoint.peers.traffic();
        sum.packets += one.packets;
        sum.sent += one.sent;
        sum.received += one.received;
    }
    sum
}
