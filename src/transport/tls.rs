//! TLS towards callers.

use std::sync;

use snafu::ResultExt;

use crate::state::settings;
use crate::transport::keys;

/// Why the certificate for callers can't be used.
#[derive(Debug, snafu::Snafu)]
pub enum Error {
    /// A file can't be read as PEM.
    #[snafu(display("can't read the certificate or key for callers"))]
    Read {
        /// What is wrong.
        source: keys::Error,
    },
    /// Certificate and key don't fit each other or the library.
    #[snafu(display(
        "the certificate and key for callers are not fit for TLS; see that they belong together"
    ))]
    Unfit {
        /// What the library said.
        source: rustls::Error,
    },
}

/// Returns TLS with the certificate that settings name for callers; absent where they name none.
///
/// # Errors
///
/// Returns an error if the certificate or its key can't be read or used.
pub fn server(keys: &settings::Keys) -> Result<Option<sync::Arc<rustls::ServerConfig>>, Error> {
    let (Some(certificate), Some(key)) = (&keys.public_certificate, &keys.public_key) else {
        return Ok(None);
    };
    let certificates = keys::read_certificates(certificate).context(ReadSnafu)?;
    let key = keys::read_key(key).context(ReadSnafu)?;
    let provider = sync::Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .context(UnfitSnafu)?
        .with_no_client_auth()
        .with_single_cert(certificates, key)
        .context(UnfitSnafu)?;
    config.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
    Ok(Some(sync::Arc::new(config)))
}
