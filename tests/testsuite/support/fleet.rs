//! Keys and settings for the daemons of a test fleet, in a separate directory for each test.

use std::collections::BTreeMap;
use std::fs;
use std::path;

use peridotspread::state::clock;
use peridotspread::state::settings;
use peridotspread::transport::keys;

/// The files of a test fleet; dropping it removes them.
#[derive(Debug)]
pub(crate) struct Files {
    dir: path::PathBuf,
    authority: keys::Authority,
}

/// Creates the directory `test` with the certificate of a new certificate authority.
pub(crate) fn files(test: &str) -> Files {
    let dir = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).unwrap();
    let authority = keys::create_authority().unwrap();
    fs::write(dir.join("authority.pem"), authority.certificate()).unwrap();
    Files { dir, authority }
}

impl Files {
    /// Issues a certificate to the daemon `name` and returns its settings; all its ports are free ports of the
    /// loopback.
    pub(crate) fn settings(&self, name: &str) -> settings::Settings {
        let issued = self.authority.issue(name).unwrap();
        let certificate = self.dir.join(format!("{name}.pem"));
        let key = self.dir.join(format!("{name}.key.pem"));
        fs::write(&certificate, issued.certificate).unwrap();
        fs::write(&key, issued.key).unwrap();
        let free = "127.0.0.1:0".parse().unwrap();
        settings::Settings {
            name: name.to_owned(),
            domain: "lahore-1".to_owned(),
            listen: free,
            peer: free,
            advertise: None,
            admin: free,
            ready: None,
            platform: settings::Platform {
                address: free,
                timeout_ms: clock::Millis(1_000),
            },
            keys: settings::Keys {
                authority: self.dir.join("authority.pem"),
                certificate,
                key,
                operators: Vec::new(),
                admin_token: String::new(),
                public_certificate: None,
                public_key: None,
            },
            limits: settings::Limits::default(),
            log: "info".to_owned(),
            seeds: BTreeMap::new(),
        }
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}
