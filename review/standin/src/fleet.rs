//! The project's daemons as processes, by the command of the deploy file, with the settings of a small deployment.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::record::Record;
use crate::store::Store;
use crate::system;

/// The program of the deploy file; it is started in the repository root.
const PROGRAM: &str = "target/release/peridotspread-platform";
/// How long a daemon may take until it is ready.
const START: Duration = Duration::from_secs(20);

/// A loopback address that nothing else on the machine is likely to use.
pub fn free_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 100 + NEXT.fetch_add(1, Ordering::SeqCst), high, low)
}

/// The deployment whose bounds the settings state.
#[derive(Clone, Copy)]
pub enum Site {
    Sabaq,
    SabaqLarge,
    Scriobh,
}

/// One daemon, which is killed when this is dropped.
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

/// The folder of settings and logs, which is removed when this is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(case: &str) -> io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

impl Daemon {
    /// Writes the settings of a daemon in `zone`, and starts it.
    pub fn start(folder: &Folder, site: Site, name: &str, zone: &str, store: &Store) -> io::Result<Daemon> {
        let ip = free_address();
        let tcp = || TcpListener::bind((ip, 0));
        let held = [tcp()?, tcp()?, tcp()?];
        let ports: Vec<u16> = held.iter().flat_map(|l| l.local_addr()).map(|a| a.port()).collect();
        let peer = UdpSocket::bind((ip, 0))?.local_addr()?.port();
        let (front, readiness, control) = (ports[0], ports[1], ports[2]);
        drop(held);
        let settings = folder.0.join(format!("{name}.json"));
        fs::write(&settings, settings_text(site, name, zone, ip, (front, readiness, control, peer), store))?;
        let mut daemon = Daemon {
            name: name.to_owned(),
            front: (ip, front).into(),
            readiness: (ip, readiness).into(),
            settings,
            log: folder.0.join(format!("{name}.log")),
            process: None,
        };
        daemon.spawn()?;
        Ok(daemon)
    }

    pub fn spawn(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("PERIDOTSPREAD_NODE_FILE", &self.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        system::end_with_this(&mut command);
        let errors = log.try_clone()?;
        self.process = Some(command.stdin(Stdio::null()).stdout(log).stderr(errors).spawn()?);
        Ok(())
    }

    /// Returns whether the daemon reports itself ready, as the platform asks.
    pub fn is_ready(&self) -> bool {
        let fields = [("Host", "platform")];
        let asked = request(self.readiness, "GET /peridotspread/readiness HTTP/1.1", &fields, b"");
        asked.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_until_ready(&self) -> io::Result<()> {
        let end = Instant::now() + START;
        while Instant::now() < end {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other(format!("{} isn't ready", self.name)))
    }

    pub fn signal(&self, signal: i32) {
        if let Some(process) = &self.process {
            system::signal(process.id(), signal);
        }
    }

    /// Waits until the process has ended, and kills it after `grace`; returns how long it took.
    pub fn wait_for_end(&mut self, grace: Duration) -> Duration {
        let began = Instant::now();
        if let Some(mut process) = self.process.take() {
            while began.elapsed() < grace && matches!(process.try_wait(), Ok(None)) {
                thread::sleep(Duration::from_millis(10));
            }
            let _ = process.kill();
            let _ = process.wait();
        }
        began.elapsed()
    }

    /// Returns whether the process runs.
    pub fn runs(&mut self) -> bool {
        self.process.as_mut().is_some_and(|p| matches!(p.try_wait(), Ok(None)))
    }

    pub fn connect(&self) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&self.front, Duration::from_secs(1))?;
        Ok(Connection::new(stream))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.wait_for_end(Duration::ZERO);
    }
}

/// Starts daemons in these zones, and waits until all are ready.
pub fn start(folder: &Folder, site: Site, zones: &[&str], store: &Store, record: &Record) -> io::Result<Vec<Daemon>> {
    let mut daemons = Vec::new();
    for (i, zone) in zones.iter().enumerate() {
        let daemon = Daemon::start(folder, site, &format!("front-{zone}-{i}"), zone, store)?;
        record.add(&format!("daemon {} starts at {}", daemon.name, daemon.front));
        daemons.push(daemon);
    }
    for daemon in &daemons {
        daemon.wait_until_ready()?;
    }
    // The daemons find each other, and the upstreams are known.
    thread::sleep(Duration::from_millis(2_500));
    record.add("all daemons are ready");
    Ok(daemons)
}

/// Makes one request on a new connection, and waits for the answer for 10 s at most.
pub fn request(to: SocketAddr, start: &str, fields: &[(&str, &str)], body: &[u8]) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let mut connection = Connection::new(stream);
    connection.send(start, fields, body)?;
    connection.read()
}

/// The settings as the pages show them, with the bounds of the site.
fn settings_text(site: Site, name: &str, zone: &str, ip: Ipv4Addr, ports: (u16, u16, u16, u16), store: &Store) -> String {
    let bounds = match site {
        Site::Sabaq => {
            r#""contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000,
      "max_skew_ms": 5000, "retry_budget_slack": 62"#
        }
        Site::SabaqLarge => {
            r#""contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 6, "drain_ms": 3000, "grace_s": 10, "config_apply_ms": 3000,
      "max_skew_ms": 6000, "retry_budget_slack": 430"#
        }
        Site::Scriobh => {
            r#""contact_ms": 3000, "ack_ms": 5000, "catch_up_s": 6, "drain_ms": 2500, "grace_s": 6, "config_apply_ms": 2500,
      "max_skew_ms": 5000, "retry_budget_slack": 174"#
        }
    };
    let (front, readiness, control, peer) = ports;
    format!(
        r#"{{
  "self": {{"node_name": "{name}", "role": "daemon", "machine_class": "front", "serves": ["front"], "ip": "{ip}", "zone": "{zone}",
    "region": "region-1", "loss_counts": false, "bootstrap": true, "data_dir": null,
    "limits": {{"cpu_share": 0.2, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}}}},
  "network": {{"listen": {{"front": "{ip}:{front}", "readiness": "{ip}:{readiness}", "control": "{ip}:{control}"}},
    "port_range": [{peer}, {peer}], "seeds": [], "zones": {{"{zone}": "region-1"}}}},
  "platform": {{"discovery": "platform", "entry": "vip", "heartbeat_ms": 1500,
    "platform": {{"address": "{}", "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "tx_ms": 3.0, "part_writes_s": 300,
      "row_bytes": 65536, "across": true, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0}}}},
  "terms": {{"contracts": ["base", "drain", "config", "cost", "retry", "recover", "health", "platform"], "fault_tolerance": {{"machines": 1, "zones": 0, "regions": 0}},
    "bounds": {{"seed_lag_s": 3, "addr_reuse_s": 2, {bounds}, "loss_slack_ms": 200, "rollback_slack_ms": 250,
      "retry_budget_ratio": 0.2, "budget_window_s": 10, "recovery_s": 15, "probes_per_s": 3, "floor_share": 0.7}}}}
}}
"#,
        store.address
    )
}
