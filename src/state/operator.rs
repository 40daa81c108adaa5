//! Operators' keys: a bundle comes into force only with the signature of one of them.
//!
//! An operator is called by the name of the key's file up to its first dot: `operator-1.pem` holds the private key of `operator-1`,
//! `operator-1.pub.pem` the public one.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path;

use ed25519_dalek::pkcs8::{DecodePrivateKey, DecodePublicKey, EncodePrivateKey, EncodePublicKey};
use ed25519_dalek::{Signer, pkcs8};
use sha2::Digest;
use snafu::{OptionExt, ResultExt};

/// Keeps signatures over bundles apart from all others that the same key may make.
const CONTEXT: &str = "peridotspread bundle 1";

/// Why a key can't be used, or a signature does not count.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The file can't be read.
    #[snafu(display("can't read the key {}", path.display()))]
    Read {
        /// The file.
        path: path::PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The file holds no key of the kind that is needed here.
    #[snafu(display(
        "{} holds no ed25519 key of the {kind} kind in PEM; make a pair with `peridotspread keys operator`",
        path.display()
    ))]
    Malformed {
        /// The file.
        path: path::PathBuf,
        /// `private` or `public`.
        kind: &'static str,
    },
    /// Two keys go by the same name.
    #[snafu(display("two keys are called {name}; rename one file"))]
    SameName {
        /// The name.
        name: String,
    },
    /// No key of this name is known.
    #[snafu(display("no key of the operator {name} is known here; add it to `keys.operators`"))]
    Stranger {
        /// The name.
        name: String,
    },
    /// The signature is not this operator's over this version and digest.
    #[snafu(display(
        "the signature is not {name}'s over version {version}; sign the bundle again"
    ))]
    Signature {
        /// The operator's name.
        name: String,
        /// The version that was to be verified.
        version: u64,
    },
    /// The system has no source of randomness.
    #[snafu(display("the system has no source of randomness"))]
    Randomness,
    /// A new key can't be encoded.
    #[snafu(display("the key can't be encoded"))]
    Encode,
}

/// An operator's private key.
#[derive(Debug)]
pub struct Key {
    /// The operator's name.
    pub name: String,
    signing: ed25519_dalek::SigningKey,
}

/// The PEM texts of a new pair of keys.
#[derive(Clone, Debug)]
pub struct Pair {
    /// The private key.
    pub private: String,
    /// The public key.
    pub public: String,
}

/// The public keys of all operators, by name.
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

/// Draws a new pair of keys.
///
/// # Errors
///
/// Returns an error if the system has no randomness.
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
    /// Returns an error if the file can't be read or holds no private key.
    pub fn load(path: &path::Path) -> Result<Key, Error> {
        let pem = fs::read_to_string(path).context(ReadSnafu { path })?;
        Key::from_pem(&name(path), &pem).context(MalformedSnafu {
            path,
            kind: "private",
        })
    }

    /// Decodes a private key; none where the text holds no such key.
    pub fn from_pem(name: &str, pem: &str) -> Option<Key> {
        let signing = ed25519_dalek::SigningKey::from_pkcs8_pem(pem).ok()?;
        Some(Key {
            name: name.to_owned(),
            signing,
        })
    }

    /// Signs a bundle's version and digest, and returns the signature in hexadecimal.
    pub fn sign(&self, version: u64, digest: &str) -> String {
        let signature = self.signing.sign(message(version, digest).as_bytes());
        hex::encode(signature.to_bytes())
    }
}

impl Operators {
    /// Reads public keys.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be read or holds no public key, or two go by the same name.
    pub fn load(paths: &[path::PathBuf]) -> Result<Operators, Error> {
        let mut operators = Operators::default();
        for path in paths {
            let pem = fs::read_to_string(path).context(ReadSnafu { path })?;
            let name = name(path);
            if operators.keys.contains_key(&name) {
                return SameNameSnafu { name }.fail();
            }
            let added = operators.add_pem(&name, &pem);
            added.context(MalformedSnafu {
                path,
                kind: "public",
            })?;
        }
        Ok(operators)
    }

    /// Adds a public key; none where the text holds no such key.
    pub fn add_pem(&mut self, name: &str, pem: &str) -> Option<()> {
        let key = ed25519_dalek::VerifyingKey::from_public_key_pem(pem).ok()?;
        self.keys.insert(name.to_owned(), key);
        Some(())
    }

    /// Verifies the signature of the operator called `name` over a bundle's version and digest.
    ///
    /// # Errors
    ///
    /// Returns an error if the operator is not known, or the signature is not theirs.
    pub fn verify(
        &self,
        name: &str,
        version: u64,
        digest: &str,
        signature: &str,
    ) -> Result<(), Error> {
        let key = self.keys.get(name).context(StrangerSnafu { name })?;
        let wrong = SignatureSnafu { name, version };
        let bytes = hex::decode(signature).ok().context(wrong)?;
        let signature = ed25519_dalek::Signature::from_slice(&bytes)
            .ok()
            .context(wrong)?;
        key.verify_strict(message(version, digest).as_bytes(), &signature)
            .ok()
            .context(wrong)
    }
}

/// Returns what is signed.
fn message(version: u64, digest: &str) -> String {
    format!("{CONTEXT}\n{version}\n{digest}\n")
}

/// Returns the operator's name that a key's file gives.
fn name(path: &path::Path) -> String {
    let file = path.file_name().unwrap_or_default().to_string_lossy();
    file.split('.').next().unwrap_or_default().to_owned()
}
