//! Keys and certificates of daemons: the fleet's authority, what it issues, and what it vouches for.
//!
//! A daemon's certificate holds exactly one DNS name, which is the daemon's name. [`crate::transport::quic`] lets in
//! only daemons whose certificate comes from the authority of its own settings.

use std::fs;
use std::path;

use rustls_pki_types::pem::{self, PemObject};
use rustls_pki_types::{CertificateDer, DnsName, PrivateKeyDer};
use snafu::{OptionExt, ResultExt, ensure};

/// The name in the authority's own certificate.
const AUTHORITY_NAME: &str = "peridotspread fleet authority";

/// Why keys can't be created or used.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file can't be read.
    #[snafu(display("the file {} can't be read; check its path and permissions", path.display()))]
    Read {
        /// The file.
        path: path::PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A text holds no PEM of the kind that is needed.
    #[snafu(display("{place} holds no {what} in PEM"))]
    Pem {
        /// The file or the parameter.
        place: String,
        /// What is needed.
        what: &'static str,
        /// What the parser said.
        source: pem::Error,
    },
    /// A daemon's name can't stand in a certificate.
    #[snafu(display(
        "the name {name:?} can't stand in a certificate; use lower case letters, digits and hyphens"
    ))]
    Name {
        /// The name.
        name: String,
    },
    /// Creating or signing failed.
    #[snafu(display("the certificate can't be created"))]
    Create {
        /// What the library said.
        source: rcgen::Error,
    },
    /// A certificate can't be understood.
    #[snafu(display("the certificate can't be understood"))]
    Certificate {
        /// What the library said.
        source: webpki::Error,
    },
    /// The certificate does not hold exactly one DNS name.
    #[snafu(display("the certificate must hold exactly one DNS name, the daemon's"))]
    OneName,
    /// The private key belongs to another certificate.
    #[snafu(display("the private key does not belong to the authority's certificate"))]
    Mismatch,
}

/// The authority of a fleet: whoever holds its key decides which daemons get in.
#[derive(Debug)]
pub struct Authority {
    certificate: String,
    key: rcgen::KeyPair,
}

/// What the authority issues to one daemon, as PEM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CertifiedKey {
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

/// Creates a new authority.
///
/// # Errors
///
/// Returns an error if the system has no source of randomness.
pub fn create_authority() -> Result<Authority, Error> {
    let key = rcgen::KeyPair::generate().context(CreateSnafu)?;
    let certificate = authority_params().self_signed(&key).context(CreateSnafu)?;
    Ok(Authority {
        certificate: certificate.pem(),
        key,
    })
}

impl Authority {
    /// Takes up an authority that was created before.
    ///
    /// # Errors
    ///
    /// Returns an error if a PEM can't be understood, or the key does not belong to the certificate.
    pub fn load(certificate: &str, key: &str) -> Result<Authority, Error> {
        let der = CertificateDer::from_pem_slice(certificate.as_bytes()).context(PemSnafu {
            place: "the authority's certificate",
            what: "certificate",
        })?;
        let key = rcgen::KeyPair::from_pem(key).context(CreateSnafu)?;
        let parsed = webpki::EndEntityCert::try_from(&der).context(CertificateSnafu)?;
        let public = parsed.subject_public_key_info();
        ensure!(
            public.as_ref() == rcgen::PublicKeyData::subject_public_key_info(&key),
            MismatchSnafu
        );
        Ok(Authority {
            certificate: certificate.to_owned(),
            key,
        })
    }

    /// Returns the authority's certificate as PEM; every daemon needs it.
    pub fn certificate(&self) -> &str {
        &self.certificate
    }

    /// Returns the authority's private key as PEM; no daemon needs it.
    pub fn key(&self) -> String {
        self.key.serialize_pem()
    }

    /// Issues a key and a certificate to the daemon called `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if the name can't stand in a certificate.
    pub fn issue(&self, name: &str) -> Result<CertifiedKey, Error> {
        ensure!(is_valid(name), NameSnafu { name });
        let key = rcgen::KeyPair::generate().context(CreateSnafu)?;
        let params = daemon_params(name)?;
        let issuer = rcgen::Issuer::new(authority_params(), &self.key);
        let certificate = params.signed_by(&key, &issuer).context(CreateSnafu)?;
        Ok(CertifiedKey {
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }
}

fn is_valid(name: &str) -> bool {
    let lower = !name.bytes().any(|b| b.is_ascii_uppercase());
    lower && name.parse::<std::net::IpAddr>().is_err() && DnsName::try_from(name).is_ok()
}

fn authority_params() -> rcgen::CertificateParams {
    let mut params = rcgen::CertificateParams::default();
    params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Constrained(0));
    params.key_usages = vec![
        rcgen::KeyUsagePurpose::KeyCertSign,
        rcgen::KeyUsagePurpose::CrlSign,
    ];
    params.distinguished_name = common_name(AUTHORITY_NAME);
    params
}

fn daemon_params(name: &str) -> Result<rcgen::CertificateParams, Error> {
    let mut params = rcgen::CertificateParams::default();
    let dns = name.try_into().context(CreateSnafu)?;
    params.subject_alt_names = vec![rcgen::SanType::DnsName(dns)];
    params.key_usages = vec![rcgen::KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages = vec![
        rcgen::ExtendedKeyUsagePurpose::ClientAuth,
        rcgen::ExtendedKeyUsagePurpose::ServerAuth,
    ];
    params.use_authority_key_identifier_extension = true;
    params.distinguished_name = common_name(name);
    Ok(params)
}

fn common_name(name: &str) -> rcgen::DistinguishedName {
    let mut distinguished = rcgen::DistinguishedName::new();
    distinguished.push(rcgen::DnType::CommonName, name);
    distinguished
}

/// Returns the daemon's name that a certificate holds.
///
/// # Errors
///
/// Returns an error if the certificate can't be understood or does not hold exactly one DNS name.
pub fn daemon_name(certificate: &CertificateDer<'_>) -> Result<String, Error> {
    let parsed = webpki::EndEntityCert::try_from(certificate).context(CertificateSnafu)?;
    let mut names = parsed.valid_dns_names();
    let name = names.next().context(OneNameSnafu)?;
    ensure!(names.next().is_none(), OneNameSnafu);
    Ok(name.to_owned())
}

/// Parses a certificate in PEM; `place` is the name that errors give.
///
/// # Errors
///
/// Returns an error if the text holds no certificate.
pub fn parse_certificate(place: &str, text: &str) -> Result<CertificateDer<'static>, Error> {
    CertificateDer::from_pem_slice(text.as_bytes()).with_context(|_| PemSnafu {
        place,
        what: "certificate",
    })
}

/// Parses a private key in PEM; `place` is the name that errors give.
///
/// # Errors
///
/// Returns an error if the text holds no private key.
pub fn parse_key(place: &str, text: &str) -> Result<PrivateKeyDer<'static>, Error> {
    PrivateKeyDer::from_pem_slice(text.as_bytes()).with_context(|_| PemSnafu {
        place,
        what: "private key",
    })
}

/// Reads the certificates of a PEM file, of which there is at least one.
///
/// # Errors
///
/// Returns an error if the file can't be read or holds no certificate.
pub fn read_certificates(path: &path::Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    let text = fs::read(path).context(ReadSnafu { path })?;
    let context = || PemSnafu {
        place: path.display().to_string(),
        what: "certificate",
    };
    let found: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&text).collect();
    let found = found.with_context(|_| context())?;
    if found.is_empty() {
        return Err(pem::Error::NoItemsFound).with_context(|_| context());
    }
    Ok(found)
}

/// Reads the private key of a PEM file.
///
/// # Errors
///
/// Returns an error if the file can't be read or holds no private key.
pub fn read_key(path: &path::Path) -> Result<PrivateKeyDer<'static>, Error> {
    let text = fs::read(path).context(ReadSnafu { path })?;
    PrivateKeyDer::from_pem_slice(&text).with_context(|_| PemSnafu {
        place: path.display().to_string(),
        what: "private key",
    })
}
