//! Keys of operators; a daemon adopts a bundle only if an operator has signed it.
//!
//! The name of an operator is the file name of the key up to the first dot: `operator-1.pem` contains the private key
//! of `operator-1`, and `operator-1.pub.pem` its public key.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path;

use ed25519_dalek::pkcs8::{DecodePrivateKey, DecodePublicKey, EncodePrivateKey, EncodePublicKey};
use ed25519_dalek::{Signer, pkcs8};
use sha2::Digest;
use snafu::{OptionExt, ResultExt};

/// Domain separation: a signature that the same key makes in another context is not valid for a bundle.
const CONTEXT: &str = "peridotspread bundle 1";

/// The error when a key cannot be used, or a signature cannot be verified.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The key file cannot be read.
    #[snafu(display("failed to read the key {}", path.display()))]
    Read {
        /// The path of the key file.
        path: path::PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// The file contains no key of the required kind.
    #[snafu(display(
        "{} contains no {kind} ed25519 key in PEM format; create a key pair with `peridotspread keys operator`",
        path.display()
    ))]
    Malformed {
        /// The path of the key file.
        path: path::PathBuf,
        /// The required kind: `private` or `public`.
        kind: &'static str,
    },
    /// Two key files give the same operator name.
    #[snafu(display("two keys belong to the operator name {name}; rename one of the files"))]
    DuplicateName {
        /// The operator's name.
        name: String,
    },
    /// No public key of this operator is known.
    #[snafu(display("unknown operator {name}; add the operator's public key to `keys.operators`"))]
    UnknownOperator {
        /// The operator's name.
        name: String,
    },
    /// The signature does not match the operator's key, the version and the digest.
    #[snafu(display(
        "invalid signature of operator {name} for version {version}; sign the bundle again"
    ))]
    Signature {
        /// The operator's name.
        name: String,
        /// The version of the bundle.
        version: u64,
    },
    /// The system has no source of randomness.
    #[snafu(display("the system has no source of randomness"))]
    Randomness,
    /// A new key cannot be encoded.
    #[snafu(display("failed to encode the key"))]
    Encode,
}

/// The private key of an operator.
#[derive(Debug)]
pub struct Key {
    /// The operator's name.
    pub name: String,
    signing: ed25519_dalek::SigningKey,
}

/// A new key pair, encoded as PEM.
#[derive(Clone, Debug)]
pub struct Pair {
    /// The private key.
    pub private: String,
    /// The public key.
    pub public: String,
}

/// The public keys of all operators, by operator name.
#[derive(Clone, Debug, Default)]
pub struct Operators {
    keys: BTreeMap<String, ed25519_dalek::VerifyingKey>,
}

/// Returns the SHA-256 digest of a bundle's text, in hexadecimal.
pub fn digest(text: &str) -> String {
    digest_bytes(text.as_bytes())
}

/// Returns the SHA-256 digest of an object's content, in hexadecimal.
pub fn digest_bytes(content: &[u8]) -> String {
    hex::encode(sha2::Sha256::digest(content))
}

/// Generates a new key pair.
///
/// # Errors
///
/// Returns an error if the system has no source of randomness.
pub fn generate() -> Result<Pair, Error> {
    let mut secret = [0; ed25519_dalek::SECRET_KEY_LENGTH];
    getrandom::fill(&mut secret).ok().context(RandomnessSnafu)?;
    let signing = ed25519_dalek::SigningKey::from_bytes(&secret);
    let ending = pkcs8::spki::der::pem::LineEnding::LF;
    let private = signing.to_pkcs8_pem(ending).ok().context(EncodeSnafu)?;
    let verifying = signing.verifying_key();
    let public = verifying
        .to_public_key_pem(ending)
        .ok()
        .context(EncodeSnafu)?;
    Ok(Pair {
        private: private.as_str().to_owned(),
        public,
    })
}

impl Key {
    /// Reads a private key.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or contains no private key.
    pub fn load(path: &path::Path) -> Result<Key, Error> {
        let pem = fs::read_to_string(path).context(ReadSnafu { path })?;
        Key::from_pem(&operator_name(path), &pem).context(MalformedSnafu {
            path,
            kind: "private",
        })
    }

    /// Decodes a private key; returns `None` if the text contains none.
    pub fn from_pem(name: &str, pem: &str) -> Option<Key> {
        let signing = ed25519_dalek::SigningKey::from_pkcs8_pem(pem).ok()?;
        Some(Key {
            name: name.to_owned(),
            signing,
        })
    }

    /// Signs a bundle's version and digest, and returns the signature in hexadecimal.
    pub fn sign(&self, version: u64, digest: &str) -> String {
        let signature = self.signing.sign(signed_text(version, digest).as_bytes());
        hex::encode(signature.to_bytes())
    }
}

impl Operators {
    /// Reads public keys.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read or contains no public key, or if two files give the same name.
    pub fn load(paths: &[path::PathBuf]) -> Result<Operators, Error> {
        let mut operators = Operators::default();
        for path in paths {
            let pem = fs::read_to_string(path).context(ReadSnafu { path })?;
            let name = operator_name(path);
            if operators.keys.contains_key(&name) {
                return DuplicateNameSnafu { name }.fail();
            }
            let added = operators.add_pem(&name, &pem);
            added.context(MalformedSnafu {
                path,
                kind: "public",
            })?;
        }
        Ok(operators)
    }

    /// Adds a public key; returns `None` if the text contains none.
    pub fn add_pem(&mut self, name: &str, pem: &str) -> Option<()> {
        let key = ed25519_dalek::VerifyingKey::from_public_key_pem(pem).ok()?;
        self.keys.insert(name.to_owned(), key);
        Some(())
    }

    /// Verifies the signature of the operator `name` over a bundle's version and digest.
    ///
    /// # Errors
    ///
    /// Returns an error if the operator is unknown or the signature is invalid.
    pub fn verify(
        &self,
        name: &str,
        version: u64,
        digest: &str,
        signature: &str,
    ) -> Result<(), Error> {
        let key = self.keys.get(name).context(UnknownOperatorSnafu { name })?;
        let invalid = SignatureSnafu { name, version };
        let bytes = hex::decode(signature).ok().context(invalid)?;
        let signature = ed25519_dalek::Signature::from_slice(&bytes)
            .ok()
            .context(invalid)?;
        key.verify_strict(signed_text(version, digest).as_bytes(), &signature)
            .ok()
            .context(invalid)
    }
}

/// Returns the text that is signed.
fn signed_text(version: u64, digest: &str) -> String {
    format!("{CONTEXT}\n{version}\n{digest}\n")
}

/// Returns the operator's name, derived from the file name of the key.
fn operator_name(path: &path::Path) -> String {
    let file = path.file_name().unwrap_or_default().to_string_lossy();
    file.split('.').next().unwrap_or_default().to_owned()
}
