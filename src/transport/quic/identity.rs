//! The keys of this daemon, and the TLS that both ends of a connection demand.

use std::sync::Arc;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::CertificateDer;
use sha2::Digest;
use snafu::{OptionExt, ResultExt, ensure};

use crate::state::settings;
use crate::transport::keys;
use crate::transport::quic::error::{
    Error, KeysSnafu, NameSnafu, SuiteSnafu, TlsSnafu, VerifierSnafu,
};

/// The protocol that both ends must speak.
const ALPN: &[u8] = b"peridotspread/1";

/// The keys of this daemon, as TLS needs them.
#[derive(Debug)]
pub struct Identity {
    provider: Arc<rustls::crypto::CryptoProvider>,
    roots: Arc<rustls::RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: rustls_pki_types::PrivateKeyDer<'static>,
    /// What the endpoint's secrets are derived from; the same in all runs of the daemon.
    lasting: Vec<u8>,
}

impl Identity {
    /// Takes up what the fleet's authority, whose certificate is `authority`, has issued to this daemon; all PEM.
    ///
    /// `lasting` is a secret of this daemon that outlives its runs, though its key does not.
    ///
    /// # Errors
    ///
    /// Returns an error if a PEM can't be understood.
    pub fn from_issued(
        authority: &str,
        issued: &keys::CertifiedKey,
        lasting: &[u8],
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
            lasting: lasting.to_vec(),
        })
    }

    /// Reads the keys that the settings name.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be read, or does not hold this daemon's keys.
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
            lasting: key.secret_der().to_vec(),
            key,
        })
    }

    /// Returns the endpoint's settings. Their secrets follow from what lasts, so that a daemon that starts again
    /// tells its peers at once that their old connections are gone.
    pub(super) fn endpoint(&self) -> quinn::EndpointConfig {
        let secret = self.secret("stateless reset");
        let key = ring::hmac::Key::new(ring::hmac::HMAC_SHA256, &secret);
        let mut config = quinn::EndpointConfig::new(Arc::new(key));
        let [a, b, c, d, e, f, g, h, ..] = self.secret("connection identifiers");
        let seed = u64::from_le_bytes([a, b, c, d, e, f, g, h]);
        config.cid_generator(move || {
            Box::new(quinn_proto::HashedConnectionIdGenerator::from_key(seed))
        });
        config
    }

    /// Derives a secret for one purpose.
    fn secret(&self, purpose: &str) -> [u8; 32] {
        let digest = sha2::Sha256::new()
            .chain_update(purpose)
            .chain_update([0])
            .chain_update(&self.lasting);
        digest.finalize().into()
    }

    pub(super) fn server(
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
        tls.alpn_protocols = vec![ALPN.to_vec()];
        let crypto = QuicServerConfig::try_from(tls).context(SuiteSnafu)?;
        let mut config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
        config.transport_config(transport.clone());
        Ok(config)
    }

    pub(super) fn client(
        &self,
        transport: &Arc<quinn::TransportConfig>,
    ) -> Result<quinn::ClientConfig, Error> {
        let mut tls = rustls::ClientConfig::builder_with_provider(self.provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .context(TlsSnafu)?
            .with_root_certificates(self.roots.clone())
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .context(TlsSnafu)?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        let crypto = QuicClientConfig::try_from(tls).context(SuiteSnafu)?;
        let mut config = quinn::ClientConfig::new(Arc::new(crypto));
        config.transport_config(transport.clone());
        Ok(config)
    }
}
