//! What can go wrong between daemons.

use std::net;

use crate::protocol::frame;
use crate::transport::keys;

/// Why a peer can't be reached, or the endpoint can't be bound.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The daemon's keys can't be used.
    #[snafu(display("the keys of this daemon can't be used"))]
    Keys {
        /// What is wrong with them.
        source: keys::Error,
    },
    /// TLS does not take the keys.
    #[snafu(display("the keys of this daemon are not fit for TLS"))]
    Tls {
        /// What the library said.
        source: rustls::Error,
    },
    /// The authority's certificates are not fit to verify others.
    #[snafu(display("the authority's certificate is not fit to verify others"))]
    Verifier {
        /// What the library said.
        source: rustls::server::VerifierBuilderError,
    },
    /// The provider of cryptography lacks what QUIC needs.
    #[snafu(display("QUIC can't use the TLS settings"))]
    Suite {
        /// What the library said.
        source: quinn::crypto::rustls::NoInitialCipherSuite,
    },
    /// The settings give the daemon another name than its certificate.
    #[snafu(display(
        "the settings name this daemon {name}, its certificate {certified}; issue a certificate for {name}"
    ))]
    Name {
        /// The name in the settings.
        name: String,
        /// The name in the certificate.
        certified: String,
    },
    /// The address is not to be had.
    #[snafu(display("the address {addr} for peers can't be bound"))]
    Bind {
        /// The address.
        addr: net::SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The dial could not begin.
    #[snafu(display("the daemon {name} at {addr} can't be dialled"))]
    Dial {
        /// The peer's name.
        name: String,
        /// The peer's address.
        addr: net::SocketAddr,
        /// What the library said.
        source: quinn::ConnectError,
    },
    /// The handshake failed: the peer refused this daemon, or is not the one that was asked for.
    #[snafu(display("the daemon {name} at {addr} can't be reached"))]
    Handshake {
        /// The peer's name.
        name: String,
        /// The peer's address.
        addr: net::SocketAddr,
        /// What the connection said.
        source: quinn::ConnectionError,
    },
    /// The peer did not answer the dial in time, just now or a moment ago.
    #[snafu(display("the daemon {name} at {addr} does not answer"))]
    Silent {
        /// The peer's name.
        name: String,
        /// The peer's address.
        addr: net::SocketAddr,
    },
    /// The connection broke.
    #[snafu(display("the connection to {name} broke"))]
    Broken {
        /// The peer's name.
        name: String,
        /// What the connection said.
        source: quinn::ConnectionError,
    },
    /// The stream broke before its purpose was written.
    #[snafu(display("the stream to {name} broke"))]
    Stream {
        /// The peer's name.
        name: String,
        /// What was seen.
        source: frame::Error,
    },
    /// The datagram can't be sent.
    #[snafu(display("the datagram to {name} can't be sent"))]
    Datagram {
        /// The peer's name.
        name: String,
        /// What the connection said.
        source: quinn::SendDatagramError,
    },
}
