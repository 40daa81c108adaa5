//! The TLS configuration of the server for callers.

use std::sync;

use snafu::ResultExt;

use crate::state::settings;
use crate::transport::keys;

/// Why the certificate for callers cannot be used.
#[derive(Debug, snafu::Snafu)]
pub enum Error {
    /// A file cannot be read or parsed as PEM.
    #[snafu(display("failed to read the certificate or key for callers"))]
    Read {
        /// The cause.
        source: keys::Error,
    },
    /// The certificate and key do not belong together, or the TLS library does not support them.
    #[snafu(display(
        "TLS rejects the certificate and key for callers; check that they belong together"
    ))]
    Config {
        /// The error of the TLS library.
        source: rustls::Error,
    },
}

/// Returns the TLS configuration with the certificate for callers, or nothing if the settings name none.
///
/// # Errors
///
/// Returns an error if the certificate or its key cannot be read or used.
pub fn server_config(
    keys: &settings::Keys,
) -> Result<Option<sync::Arc<rustls::ServerConfig>>, Error> {
    let (Some(certificate), Some(key)) = (&keys.public_certificate, &keys.public_key) else {
        return Ok(None);
    };
    let certificates = keys::read_certificates(certificate).context(ReadSnafu)?;
    let key = keys::read_key(key).context(ReadSnafu)?;
    let provider = sync::Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .context(ConfigSnafu)?
        .with_no_client_auth()
        .with_single_cert(certificates, key)
        .context(ConfigSnafu)?;
    config.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
    Ok(Some(sync::Arc::new(config)))
}
