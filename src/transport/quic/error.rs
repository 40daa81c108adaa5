//! Errors of the connections between daemons.

use std::net;

use crate::protocol::frame;
use crate::transport::keys;

/// Why a peer cannot be reached, or the endpoint cannot be bound.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The daemon's keys or certificates cannot be loaded.
    #[snafu(display("failed to load the keys of this daemon"))]
    Keys {
        /// The cause.
        source: keys::Error,
    },
    /// TLS rejects the daemon's keys or certificates.
    #[snafu(display("TLS rejects the keys of this daemon"))]
    Tls {
        /// The error of the TLS library.
        source: rustls::Error,
    },
    /// The authority's certificates cannot verify the certificates of peers.
    #[snafu(display("the authority's certificate cannot verify the certificates of peers"))]
    Verifier {
        /// The error of the TLS library.
        source: rustls::server::VerifierBuilderError,
    },
    /// The crypto provider lacks the cipher suite that QUIC needs.
    #[snafu(display("the TLS configuration lacks the cipher suite that QUIC needs"))]
    Suite {
        /// The error of the QUIC library.
        source: quinn::crypto::rustls::NoInitialCipherSuite,
    },
    /// The daemon's name in the settings differs from the one in its certificate.
    #[snafu(display(
        "the settings name this daemon {name}, but its certificate {certified}; issue a certificate for {name}"
    ))]
    Name {
        /// The name in the settings.
        name: String,
        /// The name in the certificate.
        certified: String,
    },
    /// The address for peers cannot be bound.
    #[snafu(display("failed to bind the address {addr} for peers"))]
    Bind {
        /// The address.
        addr: net::SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The dial could not be started.
    #[snafu(display("failed to dial the daemon {name} at {addr}"))]
    Dial {
        /// The peer's name.
        name: String,
        /// The peer's address.
        addr: net::SocketAddr,
        /// The error of the QUIC library.
        source: quinn::ConnectError,
    },
    /// The handshake failed: the peer refused this daemon, or it is not the daemon `name`.
    #[snafu(display("the handshake with the daemon {name} at {addr} failed"))]
    Handshake {
        /// The peer's name.
        name: String,
        /// The peer's address.
        addr: net::SocketAddr,
        /// The error of the connection.
        source: quinn::ConnectionError,
    },
    /// The dial timed out, or a dial of this peer failed so recently that no other is tried.
    #[snafu(display("the daemon {name} at {addr} does not respond"))]
    Unresponsive {
        /// The peer's name.
        name: String,
        /// The peer's address.
        addr: net::SocketAddr,
    },
    /// The connection was lost.
    #[snafu(display("the connection to the daemon {name} was lost"))]
    Broken {
        /// The peer's name.
        name: String,
        /// The error of the connection.
        source: quinn::ConnectionError,
    },
    /// The purpose of a new stream could not be sent.
    #[snafu(display("failed to send the purpose of a stream to the daemon {name}"))]
    Stream {
        /// The peer's name.
        name: String,
        /// The cause.
        source: frame::Error,
    },
    /// The datagram could not be sent.
    #[snafu(display("failed to send a datagram to the daemon {name}"))]
    Datagram {
        /// The peer's name.
        name: String,
        /// The error of the connection.
        source: quinn::SendDatagramError,
    },
}
