//! The files of a fleet (keys, settings and logs) in a temporary directory.

use std::collections::BTreeMap;
use std::fs;
use std::net;
use std::path;

use peridotspread::state::{clock, settings};
use peridotspread::transport::keys;
use snafu::ResultExt;

use super::{Error, FilesSnafu, KeysSnafu, SettingsSnafu};

/// The directory of a fleet; removed when dropped, unless `PERIDOTSPREAD_LAB_KEEP` is set.
#[derive(Debug)]
pub(crate) struct Files {
    dir: path::PathBuf,
    authority: keys::Authority,
}

/// The values that the settings of a daemon need besides its name.
#[derive(Clone, Debug)]
pub(crate) struct DaemonOptions {
    pub(crate) domain: String,
    pub(crate) listen: net::SocketAddr,
    pub(crate) peer: net::SocketAddr,
    pub(crate) advertise: Option<net::SocketAddr>,
    pub(crate) admin: net::SocketAddr,
    pub(crate) platform: net::SocketAddr,
    pub(crate) seeds: BTreeMap<String, net::SocketAddr>,
}

impl Files {
    /// Creates the directory and the certificate authority of the fleet.
    pub(crate) fn create(name: &str) -> Result<Files, Error> {
        let dir =
            std::env::temp_dir().join(format!("peridotspread-lab-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).context(FilesSnafu { path: &dir })?;
        let authority = keys::create_authority().context(KeysSnafu)?;
        let files = Files { dir, authority };
        files.write("authority.pem", files.authority.certificate())?;
        Ok(files)
    }

    pub(crate) fn path(&self, name: &str) -> path::PathBuf {
        self.dir.join(name)
    }

    pub(crate) fn write(&self, name: &str, text: &str) -> Result<path::PathBuf, Error> {
        let path = self.path(name);
        fs::write(&path, text).context(FilesSnafu { path: &path })?;
        Ok(path)
    }

    /// Writes the keys and settings of the daemon `name` and returns the path of the settings.
    pub(crate) fn settings(
        &self,
        name: &str,
        options: &DaemonOptions,
        operators: &[path::PathBuf],
        token: &str,
    ) -> Result<path::PathBuf, Error> {
        let issued = self.authority.issue(name).context(KeysSnafu)?;
        let certificate = self.write(&format!("{name}.pem"), &issued.certificate)?;
        let key = self.write(&format!("{name}.key.pem"), &issued.key)?;
        let settings = settings::Settings {
            name: name.to_owned(),
            domain: options.domain.clone(),
            listen: options.listen,
            peer: options.peer,
            advertise: options.advertise,
            admin: options.admin,
            ready: None,
            platform: settings::Platform {
                address: options.platform,
                timeout_ms: clock::Millis(1_000),
            },
            keys: settings::Keys {
                authority: self.path("authority.pem"),
                certificate,
                key,
                operators: operators.to_vec(),
                admin_token: super::digest(token),
                public_certificate: None,
                public_key: None,
            },
            limits: settings::Limits::default(),
            log: std::env::var("PERIDOTSPREAD_LAB_LOG").unwrap_or_else(|_| "info".to_owned()),
            seeds: options.seeds.clone(),
        };
        let text = toml::to_string(&settings).context(SettingsSnafu)?;
        self.write(&format!("{name}.toml"), &text)
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        if std::env::var_os("PERIDOTSPREAD_LAB_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}
