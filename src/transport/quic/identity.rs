//! The daemon's certificate and key, and the TLS configuration of both ends of a connection.

use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::CertificateDer;
use sha2::Digest;
use snafu::{OptionExt, ResultExt, ensure};

use crate::protocol::version;
use crate::state::settings;
use crate::transport::keys;
use crate::transport::quic::error::{
    Error, KeysSnafu, NameSnafu, SuiteSnafu, TlsSnafu, VerifierSnafu,
};

/// The daemon's certificate chain and private key, and the certificates of the fleet's authority.
#[derive(Debug)]
pub struct Identity {
    provider: Arc<rustls::crypto::CryptoProvider>,
    roots: Arc<rustls::RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: rustls_pki_types::PrivateKeyDer<'static>,
    /// The input of the endpoint's secrets, which stays the same across restarts of the daemon.
    stable_secret: Vec<u8>,
    /// The versions of the protocol that connections offer, the preferred one first.
    versions: Vec<version::Version>,
}

impl Identity {
    /// Creates an identity from the certificate of the fleet's authority and what it issued to this daemon, all PEM.
    ///
    /// `stable_secret` is a secret of this daemon that stays the same across restarts, although its key does not.
    ///
    /// # Errors
    ///
    /// Returns an error if a PEM cannot be parsed.
    pub fn from_issued(
        authority: &str,
        issued: &keys::CertifiedKey,
        stable_secret: &[u8],
    ) -> Result<Identity, Error> {
        let mut roots = rustls::RootCertStore::empty();
        let root = keys::parse_certificate("the authority's certificate", authority);
        roots.add(root.context(KeysSnafu)?).context(TlsSnafu)?;
        let own = keys::parse_certificate("the daemon's certificate", &issued.certificate);
        Ok(Identity {
            provider: Arc::new(rustls::crypto::ring::default_provider()),
            roots: Arc::new(roots),
            chain: vec![own.context(KeysSnafu)?],
            key: keys::parse_key("the daemon's key", &issued.key).context(KeysSnafu)?,
            stable_secret: stable_secret.to_vec(),
            versions: version::Version::SPOKEN.to_vec(),
        })
    }

    /// Returns the identity with other versions of the protocol, as daemons of an older build offer them.
    #[must_use]
    pub fn with_versions(self, versions: &[version::Version]) -> Identity {
        Identity {
            versions: versions.to_vec(),
            ..self
        }
    }

    fn alpn_protocols(&self) -> Vec<Vec<u8>> {
        let versions = self.versions.iter();
        versions.map(|version| version.alpn()).collect()
    }

    /// Reads the key and the certificates whose files the settings name.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read or parsed, or the certificate is for another daemon.
    pub fn read(settings: &settings::Settings) -> Result<Identity, Error> {
        let mut roots = rustls::RootCertStore::empty();
        for certificate in keys::read_certificates(&settings.keys.authority).context(KeysSnafu)? {
            roots.add(certificate).context(TlsSnafu)?;
        }
        let chain = keys::read_certificates(&settings.keys.certificate).context(KeysSnafu)?;
        let first = chain
            .first()
            .context(keys::OneNameSnafu)
            .context(KeysSnafu)?;
        let certified = keys::daemon_name(first).context(KeysSnafu)?;
        let name = &settings.name;
        ensure!(certified == *name, NameSnafu { name, certified });
        let key = keys::read_key(&settings.keys.key).context(KeysSnafu)?;
        Ok(Identity {
            provider: Arc::new(rustls::crypto::ring::default_provider()),
            roots: Arc::new(roots),
            chain,
            stable_secret: key.secret_der().to_vec(),
            versions: version::Version::SPOKEN.to_vec(),
            key,
        })
    }

    /// Returns the configuration of the endpoint.
    ///
    /// The key of stateless resets and the connection IDs are derived from the stable secret, so that a restarted
    /// daemon resets the connections of its previous run at once instead of letting its peers time out.
    pub(super) fn endpoint_config(&self) -> quinn::EndpointConfig {
        let secret = self.derive_secret("stateless reset");
        let key = ring::hmac::Key::new(ring::hmac::HMAC_SHA256, &secret);
        let mut config = quinn::EndpointConfig::new(Arc::new(key));
        let [a, b, c, d, e, f, g, h, ..] = self.derive_secret("connection identifiers");
        let seed = u64::from_le_bytes([a, b, c, d, e, f, g, h]);
        config.cid_generator(move || {
            Box::new(quinn_proto::HashedConnectionIdGenerator::from_key(seed))
        });
        config
    }

    /// Derives the secret for one purpose from the stable secret.
    fn derive_secret(&self, purpose: &str) -> [u8; 32] {
        let digest = sha2::Sha256::new()
            .chain_update(purpose)
            .chain_update([0])
            .chain_update(&self.stable_secret);
        digest.finalize().into()
    }

    /// Returns the configuration of accepted connections, which must present a certificate of the authority.
    pub(super) fn server_config(
        &self,
        transport: &Arc<quinn::TransportConfig>,
    ) -> Result<quinn::ServerConfig, Error> {
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.roots.clone(), self.provider.clone())
                .build()
                .context(VerifierSnafu)?;
        let mut tls = rustls::ServerConfig::builder_with_provider(self.provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .context(TlsSnafu)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .context(TlsSnafu)?;
        tls.alpn_protocols = self.alpn_protocols();
        let crypto = QuicServerConfig::try_from(tls).context(SuiteSnafu)?;
        let mut config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
        config.transport_config(transport.clone());
        Ok(config)
    }

    /// Returns the configuration of dialled connections, which verifies the name of the daemon.
    pub(super) fn client_config(
        &self,
        transport: &Arc<quinn::TransportConfig>,
    ) -> Result<quinn::ClientConfig, Error> {
        let mut tls = rustls::ClientConfig::builder_with_provider(self.provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .context(TlsSnafu)?
            .with_root_certificates(self.roots.clone())
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .context(TlsSnafu)?;
        tls.alpn_protocols = self.alpn_protocols();
        let crypto = QuicClientConfig::try_from(tls).context(SuiteSnafu)?;
        let mut config = quinn::ClientConfig::new(Arc::new(crypto));
        config.transport_config(transport.clone());
        Ok(config)
    }
}
