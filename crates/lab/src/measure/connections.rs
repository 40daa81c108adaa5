//! The cost of idle connections between daemons, and of the membership over QUIC, on the loopback in one process.

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

/// How long after the last connection memory and rates are read.
const SETTLING: time::Duration = time::Duration::from_secs(3);
/// An idle time that is longer than any measurement.
const NEVER: clock::Millis = clock::Millis(3_600_000);

/// What to measure.
#[derive(Clone, Debug)]
pub struct Options {
    /// The numbers of endpoints of full meshes.
    pub meshes: Vec<usize>,
    /// The numbers of daemons with membership and without a mesh.
    pub fleets: Vec<usize>,
    /// The time between two signs of life on a connection.
    pub probe: clock::Millis,
    /// How long each is watched.
    pub watch: time::Duration,
}

/// A full mesh, or a fleet; rates are of one endpoint, without the headers of UDP and IP.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// `mesh` or `fleet`.
    pub kind: &'static str,
    /// The endpoints.
    pub endpoints: usize,
    /// The connections of one endpoint.
    pub connections: f64,
    /// The memory of the process before the first connection, in bytes an endpoint.
    pub base_bytes: f64,
    /// The memory that came with the connections, in bytes an end of a connection.
    pub end_bytes: f64,
    /// The packets sent in a second.
    pub packets_s: f64,
    /// The bytes sent in a second.
    pub sent_s: f64,
    /// The processor time of an endpoint, in percent of one core.
    pub cpu_pct: f64,
}

/// Measures each mesh and each fleet in turn; best done by one size a process, because memory is not given back.
///
/// # Errors
///
/// Returns an error if an endpoint can't be bound.
pub async fn run(options: &Options, tell: &dyn Fn(&Row)) -> Result<Vec<Row>, peers::Error> {
    let mut rows = Vec::new();
    for (kind, sizes) in [("mesh", &options.meshes), ("fleet", &options.fleets)] {
        for size in sizes {
            let row = measure(kind, *size, options).await?;
            tell(&row);
            rows.push(row);
        }
    }
    Ok(rows)
}

/// One endpoint.
struct End {
    name: String,
    peers: quic::Peers,
    incoming: Option<tasks::mpsc::Receiver<quic::Incoming>>,
}

async fn measure(kind: &'static str, size: usize, options: &Options) -> Result<Row, peers::Error> {
    let files = files::Files::create(&format!("measure-{kind}-{size}")).context(FilesSnafu)?;
    let idle = if kind == "mesh" {
        NEVER
    } else {
        quic::Timeouts::default().idle
    };
    let timing = quic::Timeouts {
        probe: options.probe,
        idle,
        ..quic::Timeouts::default()
    };
    let mut ends = Vec::new();
    for n in 0..size {
        ends.push(bind(&files, &format!("lahore-1-{n:03}"), &timing)?);
    }
    let before = usage::resident_bytes();
    if kind == "mesh" {
        connect_all(&mut ends).await;
        tokio::time::sleep(SETTLING).await;
    } else {
        join(&mut ends).await?;
    }
    let memory = usage::resident_bytes().saturating_sub(before);
    let (cpu, traffic, began) = (usage::processor_s(), traffic(&ends), time::Instant::now());
    tokio::time::sleep(options.watch).await;
    let span = began.elapsed().as_secs_f64();
    let cpu = usage::processor_s() - cpu;
    let after = self::traffic(&ends);
    let connections: usize = ends.iter().map(|e| e.peers.connections()).sum();
    let share = size as f64;
    let row = Row {
        kind,
        endpoints: size,
        connections: connections as f64 / share,
        base_bytes: before as f64 / share,
        end_bytes: memory as f64 / connections.max(1) as f64,
        packets_s: after.packets.saturating_sub(traffic.packets) as f64 / span / share,
        sent_s: after.sent.saturating_sub(traffic.sent) as f64 / span / share,
        cpu_pct: cpu / span / share * 100.0,
    };
    for end in &ends {
        end.peers.close().await;
    }
    Ok(row)
}

fn bind(files: &files::Files, name: &str, timing: &quic::Timeouts) -> Result<End, peers::Error> {
    let free = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    let place = files::DaemonOptions {
        advertise: None,
        domain: "lahore-1".to_owned(),
        listen: free,
        peer: free,
        admin: free,
        platform: free,
        seeds: BTreeMap::new(),
    };
    let path = files.settings(name, &place, &[], "").context(FilesSnafu)?;
    let text = std::fs::read_to_string(&path).context(SystemSnafu)?;
    let settings: settings::Settings = toml::from_str(&text).context(SettingsSnafu)?;
    let (peers, incoming) = quic::Peers::bind_with(&settings, timing).context(BindSnafu)?;
    Ok(End {
        name: name.to_owned(),
        peers,
        incoming: Some(incoming),
    })
}

/// Opens a connection between any two endpoints.
async fn connect_all(ends: &mut [End]) {
    for end in ends.iter_mut() {
        if let Some(mut incoming) = end.incoming.take() {
            tokio::spawn(async move { while incoming.recv().await.is_some() {} });
        }
    }
    for (n, from) in ends.iter().enumerate() {
        for to in &ends[n + 1..] {
            let opened = from
                .peers
                .open(&to.name, to.peers.local(), peer::Purpose::Control)
                .await;
            if let Err(e) = opened {
                log::warn!("no connection to {}: {e}", to.name);
            }
        }
    }
}

/// Lets the endpoints find each other, and waits until connections that came with that are closed.
async fn join(ends: &mut [End]) -> Result<(), peers::Error> {
    let seed = Seed {
        name: ends[0].name.clone(),
        peer: ends[0].peers.local(),
    };
    let mut views = Vec::new();
    for end in ends.iter_mut() {
        let incarnation = ids::Incarnation(clock::wall().0);
        let recorder = timeline::Recorder::new(&end.name, incarnation);
        let handle = member::spawn(member::Options {
            name: end.name.clone(),
            peer: end.peers.local(),
            domain: "lahore-1".to_owned(),
            incarnation,
            seeds: vec![seed.clone()],
            peers: end.peers.clone(),
            clock: clock::Clock::start(),
            recorder: recorder.into(),
        });
        let handle = handle.await.context(MemberSnafu)?;
        views.push(handle.view());
        if let Some(incoming) = end.incoming.take() {
            tokio::spawn(peers::deliver(incoming, handle));
        }
    }
    for view in &mut views {
        let all = ends.len();
        let _ = view.wait_for(|v| v.members.len() == all).await;
    }
    let idle = quic::Timeouts::default().idle.span();
    tokio::time::sleep(idle * 2).await;
    Ok(())
}

fn traffic(ends: &[End]) -> quic::Traffic {
    let mut sum = quic::Traffic::default();
    for end in ends {
        let one = end.peers.traffic();
        sum.packets += one.packets;
        sum.sent += one.sent;
        sum.received += one.received;
    }
    sum
}
