//! Keys and certificates of daemons: the fleet's certificate authority and the certificates that it issues.
//!
//! A daemon's certificate holds exactly one DNS name, which is the daemon's name. [`crate::transport::quic`] accepts
//! only peers whose certificate was issued by the authority in the daemon's own settings.

use std::fs;
use std::path;

use rustls_pki_types::pem::{self, PemObject};
use rustls_pki_types::{CertificateDer, DnsName, PrivateKeyDer};
use snafu::{OptionExt, ResultExt, ensure};

/// The common name in the authority's certificate.
const AUTHORITY_NAME: &str = "peridotspread fleet authority";

/// Why a key or a certificate cannot be created or used.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file cannot be read.
    #[snafu(display("failed to read the file {}; check its path and permissions", path.display()))]
    Read {
        /// The file.
        path: path::PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// A text holds no PEM section of the required kind.
    #[snafu(display("{place} holds no {what} in PEM format"))]
    Pem {
        /// The file or the parameter.
        place: String,
        /// The required kind: a certificate or a private key.
        what: &'static str,
        /// The error of the PEM parser.
        source: pem::Error,
    },
    /// A daemon's name is not a DNS name in lower case.
    #[snafu(display(
        "the name {name:?} is not valid in a certificate; use lower case letters, digits and hyphens"
    ))]
    Name {
        /// The name.
        name: String,
    },
    /// A key or a certificate could not be created or signed.
    #[snafu(display("failed to create the certificate"))]
    Create {
        /// The error of the certificate library.
        source: rcgen::Error,
    },
    /// A certificate cannot be parsed.
    #[snafu(display("failed to parse the certificate"))]
    Certificate {
        /// The error of the certificate library.
        source: webpki::Error,
    },
    /// The certificate does not hold exactly one DNS name.
    #[snafu(display("the certificate must hold exactly one DNS name, the daemon's name"))]
    OneName,
    /// The private key belongs to another certificate.
    #[snafu(display("the private key does not belong to the authority's certificate"))]
    Mismatch,
}

/// The certificate authority of a fleet; daemons with a certificate that it issued may join the fleet.
#[derive(Debug)]
pub struct Authority {
    certificate: String,
    key: rcgen::KeyPair,
}

/// The certificate and key that the authority issues to one daemon, as PEM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CertifiedKey {
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

/// Creates a new authority with a new key.
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
    /// Loads an existing authority from its certificate and key, both PEM.
    ///
    /// # Errors
    ///
    /// Returns an error if a PEM cannot be parsed, or the key does not belong to the certificate.
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

    /// Returns the authority's certificate as PEM, which every daemon needs to verify its peers.
    pub fn certificate(&self) -> &str {
        &self.certificate
    }

    /// Returns the authority's private key as PEM, which is needed only to issue certificates.
    pub fn key(&self) -> String {
        self.key.serialize_pem()
    }

    /// Issues a key and a certificate to the daemon called `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is not a DNS name in lower case.
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

/// Returns the daemon's name in a certificate.
///
/// # Errors
///
/// Returns an error if the certificate cannot be parsed or does not hold exactly one DNS name.
pub fn daemon_name(certificate: &CertificateDer<'_>) -> Result<String, Error> {
    let parsed = webpki::EndEntityCert::try_from(certificate).context(CertificateSnafu)?;
    let mut names = parsed.valid_dns_names();
    let name = names.next().context(OneNameSnafu)?;
    ensure!(names.next().is_none(), OneNameSnafu);
    Ok(name.to_owned())
}

/// Parses a certificate in PEM; errors name `place` as the origin of the text.
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

/// Parses a private key in PEM; errors name `place` as the origin of the text.
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

/// Reads all certificates of a PEM file, which must hold at least one.
///
/// # Errors
///
/// Returns an error if the file cannot be read or holds no certificate.
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
/// Returns an error if the file cannot be read or holds no private key.
pub fn read_key(path: &path::Path) -> Result<PrivateKeyDer<'static>, Error> {
    let text = fs::read(path).context(ReadSnafu { path })?;
    PrivateKeyDer::from_pem_slice(&text).with_context(|_| PemSnafu {
        place: path.display().to_string(),
        what: "private key",
    })
}
