//! The project's daemon as a process, started by the command of the deploy file with a settings file of the platform.

use std::fs;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
#[allow(clippy::disallowed_types)] // The scripts start the daemons by this program.
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::quote;

/// The `run` of `deploy/system.toml`.
const PROGRAM: &str = "target/release/peridotspread-platform";
const START_TIMEOUT: Duration = Duration::from_secs(20);

pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Returns the loopback address of the `n`-th machine. Each daemon serves its metrics at a fixed port, so each has an
/// address of its own, and so has each run of a script.
fn machine(n: u8) -> Ipv4Addr {
    let run = std::process::id();
    Ipv4Addr::new(127, 1 + (run >> 8) as u8 % 250, run as u8, n + 1)
}

/// Returns a port that is free over TCP and UDP.
fn free_port(ip: Ipv4Addr) -> u16 {
    loop {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let port = listener.local_addr().expect("an address").port();
        if UdpSocket::bind((ip, port)).is_ok() {
            return port;
        }
    }
}

impl Daemon {
    /// Writes the settings of the `n`-th machine, in one of two zones.
    pub fn new(n: u8, store: SocketAddr, folder: &Path) -> Daemon {
        let ip = machine(n);
        let name = format!("front-{}-{n}", if n.is_multiple_of(2) { "b" } else { "a" });
        let daemon = Daemon {
            front: (ip, free_port(ip)).into(),
            readiness: (ip, free_port(ip)).into(),
            settings: folder.join(format!("{name}.json")),
            log: folder.join(format!("{name}.log")),
            child: None,
            name,
        };
        daemon.write_settings(store, free_port(ip), true);
        daemon
    }

    fn write_settings(&self, store: SocketAddr, peer: u16, bootstrap: bool) {
        let ip = self.front.ip();
        let zone = &self.name[6..7];
        let text = format!(
            r#"{{"self": {{"node_name": {name}, "role": "daemon", "machine_class": "front", "serves": ["front"], "ip": "{ip}", "zone": "{zone}", "region": "r", "loss_counts": false, "bootstrap": {bootstrap}, "data_dir": null, "limits": {{"cpu_share": 0.2, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}}}},
 "network": {{"listen": {{"front": "{front}", "readiness": "{ready}"}}, "port_range": [{peer}, {peer}], "seeds": [], "zones": {{"a": "r", "b": "r"}}}},
 "platform": {{"discovery": "platform", "entry": "vip", "heartbeat_ms": 1500, "platform": {{"address": "{store}", "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "tx_ms": 3.0, "part_writes_s": 300, "row_bytes": 65536, "across": true, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0}}}},
 "terms": {{"contracts": ["base", "drain", "config", "cost", "retry", "recover", "health", "platform"], "fault_tolerance": {{"machines": 1, "zones": 0, "regions": 0}}, "bounds": {{"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 62, "recovery_s": 15, "probes_per_s": 3, "floor_share": 0.7}}}}}}
"#,
            name = quote(&self.name),
            front = self.front,
            ready = self.readiness,
        );
        fs::write(&self.settings, text).expect("the settings can be written");
    }

    /// Changes the settings as the platform does once the whole system has started for the first time.
    pub fn end_bootstrap(&self) {
        let text = fs::read_to_string(&self.settings).expect("the settings can be read");
        let text = text.replace("\"bootstrap\": true", "\"bootstrap\": false");
        fs::write(&self.settings, text).expect("the settings can be written");
    }

    pub fn start(&mut self) {
        let log = fs::OpenOptions::new();
        let log = { log }
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        #[allow(clippy::disallowed_types)]
        let started = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("PERIDOTSPREAD_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        let child = started.expect("the daemon's program; build it as deploy/system.toml says");
        // The script ends the daemons by this list if this program is killed.
        let list = self.settings.with_file_name("pids");
        let list = fs::OpenOptions::new().create(true).append(true).open(list);
        let _ = list.and_then(|mut list| writeln!(list, "{}", child.id()));
        self.child = Some(child);
    }

    /// Waits until the daemon reports that it is ready.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end {
            let asked = "GET /peridotspread/readiness HTTP/1.1\r\nHost: vip\r\n\r\n";
            let answer = http::exchange(self.readiness, asked, Duration::from_secs(1));
            if answer.is_ok_and(|a| a.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Returns the lines of the daemon's log that hold `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read(&self.log).unwrap_or_default();
        let log = String::from_utf8_lossy(&log);
        log.lines()
            .filter(|l| l.contains(text))
            .map(str::to_owned)
            .collect()
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
