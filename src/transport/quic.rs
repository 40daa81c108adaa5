//! QUIC between daemons: one pooled connection a peer, streams and datagrams over it.
//!
//! Both ends show a certificate of the fleet's authority. The dialling end asks for the daemon by its name, so a wrong
//! daemon behind an address is refused; the accepting end learns the caller's name from its certificate.

use std::collections::BTreeMap;
use std::net;
use std::sync::{Arc, Mutex};
use std::time;

use bytes::Bytes;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::CertificateDer;
use snafu::{OptionExt, ResultExt, ensure};
use tokio::sync::mpsc;

use crate::protocol::frame;
use crate::protocol::peer;
use crate::state::settings;
use crate::transport::keys;

/// The protocol that both ends must speak.
const ALPN: &[u8] = b"peridotspread/1";
/// How long a dial may take, handshake included.
const DIAL_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// How long after a failed dial further ones to the same peer fail without a try.
const DIAL_PAUSE: time::Duration = time::Duration::from_millis(250);
/// How long an accepted connection may take for its handshake.
const ACCEPT_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// How long a new stream may take to say what it is for.
const PURPOSE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// How long a connection stands without hearing from the peer.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// How long after the last packet from the peer it is asked for another.
const KEEP_ALIVE: time::Duration = time::Duration::from_secs(2);
/// How long [`Peers::close`] waits for peers to learn of it.
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// The streams that a peer may hold open at a time.
const STREAMS: u32 = 1_024;
/// The bytes of one stream that wait to be read.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// The bytes of one connection that wait to be read or acknowledged.
const CONNECTION_WINDOW_BYTES: u32 = 8 * 1024 * 1024;
/// The bytes of datagrams that wait to be read or sent.
const DATAGRAM_BUFFER_BYTES: usize = 64 * 1024;
/// The incoming streams and datagrams that wait to be taken up.
const INCOMING: usize = 1_024;

/// Why a peer can't be reached, or the endpoint can't be bound.
#[derive(Debug, snafu::Snafu)]
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

/// What peers send to this daemon.
#[derive(Debug)]
pub enum Incoming {
    /// A stream that a peer opened.
    Stream {
        /// The peer's name, as its certificate gives it.
        from: String,
        /// What the stream is for.
        purpose: peer::Purpose,
        /// The way to the peer.
        send: quinn::SendStream,
        /// The way from the peer.
        recv: quinn::RecvStream,
    },
    /// A datagram.
    Datagram {
        /// The peer's name, as its certificate gives it.
        from: String,
        /// The payload.
        bytes: Bytes,
    },
}

/// The connections of this daemon to its peers.
#[derive(Clone, Debug)]
pub struct Peers {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    endpoint: quinn::Endpoint,
    local: net::SocketAddr,
    slots: Mutex<BTreeMap<String, Arc<Slot>>>,
    incoming: mpsc::Sender<Incoming>,
}

/// The place of one peer in the pool.
#[derive(Debug, Default)]
struct Slot {
    link: Mutex<Option<Link>>,
    dial: tokio::sync::Mutex<Option<time::Instant>>,
}

/// One connection to a peer.
#[derive(Clone, Debug)]
struct Link {
    connection: quinn::Connection,
    /// The address that was dialled; none where the peer dialled.
    dialled: Option<net::SocketAddr>,
}

impl Slot {
    /// Returns the connection if it lives and leads to `addr`.
    fn live(&self, addr: net::SocketAddr) -> Option<quinn::Connection> {
        let link = self.link.lock().expect("no holder panics");
        let link = link.as_ref()?;
        let leads = link.dialled.is_none_or(|d| d == addr);
        (leads && link.connection.close_reason().is_none()).then(|| link.connection.clone())
    }

    /// Puts a connection into the pool; an older one lives on until its streams have ended.
    fn put(&self, link: Link) {
        *self.link.lock().expect("no holder panics") = Some(link);
    }

    /// Returns whether the pool holds a connection that lives.
    fn is_live(&self) -> bool {
        let link = self.link.lock().expect("no holder panics");
        link.as_ref()
            .is_some_and(|l| l.connection.close_reason().is_none())
    }
}

impl Peers {
    /// Binds the address for peers of `settings`, with the keys that they name; what peers send comes on the receiver.
    ///
    /// # Errors
    ///
    /// Returns an error if the keys can't be read or used, or the address is not to be had.
    ///
    /// # Panics
    ///
    /// Panics outside a Tokio runtime.
    pub fn bind(settings: &settings::Settings) -> Result<(Peers, mpsc::Receiver<Incoming>), Error> {
        let identity = Identity::read(settings)?;
        let addr = settings.peer;
        let socket = net::UdpSocket::bind(addr).context(BindSnafu { addr })?;
        let local = socket.local_addr().context(BindSnafu { addr })?;
        let transport = Arc::new(transport());
        let mut endpoint = quinn::Endpoint::new(
            quinn::EndpointConfig::default(),
            Some(identity.server(&transport)?),
            socket,
            Arc::new(quinn::TokioRuntime),
        )
        .context(BindSnafu { addr })?;
        endpoint.set_default_client_config(identity.client(&transport)?);
        let (sender, receiver) = mpsc::channel(INCOMING);
        let inner = Arc::new(Inner {
            endpoint,
            local,
            slots: Mutex::default(),
            incoming: sender,
        });
        tokio::spawn(accept_connections(inner.clone()));
        Ok((Peers { inner }, receiver))
    }

    /// Opens a stream to the daemon called `name` at `addr`, and tells it what the stream is for.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer can't be reached within the dial's timeout, or the connection breaks.
    pub async fn open(
        &self,
        name: &str,
        addr: net::SocketAddr,
        purpose: peer::Purpose,
    ) -> Result<(quinn::SendStream, quinn::RecvStream), Error> {
        let connection = self.connection(name, addr).await?;
        let (mut send, recv) = connection.open_bi().await.context(BrokenSnafu { name })?;
        frame::send(&mut send, &purpose)
            .await
            .context(StreamSnafu { name })?;
        Ok((send, recv))
    }

    /// Sends a datagram to the daemon called `name` at `addr`; it may be lost on its way.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer can't be reached within the dial's timeout, or the datagram is too long.
    pub async fn datagram(
        &self,
        name: &str,
        addr: net::SocketAddr,
        bytes: Bytes,
    ) -> Result<(), Error> {
        let connection = self.connection(name, addr).await?;
        connection
            .send_datagram(bytes)
            .context(DatagramSnafu { name })
    }

    /// Returns the address that the daemon has for peers.
    pub fn local(&self) -> net::SocketAddr {
        self.inner.local
    }

    /// Returns the number of connections that live, in the pool or not.
    pub fn connections(&self) -> usize {
        self.inner.endpoint.open_connections()
    }

    /// Closes all connections, and with them all streams.
    pub async fn close(&self) {
        self.inner
            .endpoint
            .close(quinn::VarInt::from_u32(0), b"leaving");
        let idle = self.inner.endpoint.wait_idle();
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, idle).await;
    }

    async fn connection(
        &self,
        name: &str,
        addr: net::SocketAddr,
    ) -> Result<quinn::Connection, Error> {
        let slot = self.inner.slot(name);
        if let Some(connection) = slot.live(addr) {
            return Ok(connection);
        }
        let mut failed = slot.dial.lock().await;
        if let Some(connection) = slot.live(addr) {
            return Ok(connection);
        }
        let recent = failed.is_some_and(|at| at.elapsed() < DIAL_PAUSE);
        ensure!(!recent, SilentSnafu { name, addr });
        let dialled = self.dial(name, addr).await;
        *failed = dialled.is_err().then(time::Instant::now);
        let connection = dialled?;
        slot.put(Link {
            connection: connection.clone(),
            dialled: Some(addr),
        });
        tokio::spawn(serve(
            self.inner.clone(),
            name.to_owned(),
            connection.clone(),
        ));
        Ok(connection)
    }

    async fn dial(&self, name: &str, addr: net::SocketAddr) -> Result<quinn::Connection, Error> {
        let connecting = self
            .inner
            .endpoint
            .connect(addr, name)
            .context(DialSnafu { name, addr })?;
        match tokio::time::timeout(DIAL_TIMEOUT, connecting).await {
            Ok(connected) => connected.context(HandshakeSnafu { name, addr }),
            Err(_) => SilentSnafu { name, addr }.fail(),
        }
    }
}

impl Inner {
    fn slot(&self, name: &str) -> Arc<Slot> {
        let mut slots = self.slots.lock().expect("no holder panics");
        slots.entry(name.to_owned()).or_default().clone()
    }
}

/// Takes in connections until the endpoint closes.
async fn accept_connections(inner: Arc<Inner>) {
    while let Some(incoming) = inner.endpoint.accept().await {
        tokio::spawn(accept_connection(inner.clone(), incoming));
    }
}

async fn accept_connection(inner: Arc<Inner>, incoming: quinn::Incoming) {
    let remote = incoming.remote_address();
    let Ok(Ok(connection)) = tokio::time::timeout(ACCEPT_TIMEOUT, incoming).await else {
        log::debug!("the handshake with {remote} failed");
        return;
    };
    let Some(name) = name_of_peer(&connection) else {
        connection.close(quinn::VarInt::from_u32(1), b"no name");
        return;
    };
    let slot = inner.slot(&name);
    if !slot.is_live() {
        slot.put(Link {
            connection: connection.clone(),
            dialled: None,
        });
    }
    serve(inner, name, connection).await;
}

fn name_of_peer(connection: &quinn::Connection) -> Option<String> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    keys::name_of(chain.first()?).ok()
}

/// Hands over what the peer sends on one connection until it closes.
async fn serve(inner: Arc<Inner>, from: String, connection: quinn::Connection) {
    loop {
        tokio::select! {
            stream = connection.accept_bi() => match stream {
                Ok((send, recv)) => {
                    tokio::spawn(accept_stream(inner.clone(), from.clone(), send, recv));
                }
                Err(_) => return,
            },
            datagram = connection.read_datagram() => match datagram {
                // A datagram may be lost anyway, and must not hold up the streams.
                Ok(bytes) => drop(inner.incoming.try_send(Incoming::Datagram { from: from.clone(), bytes })),
                Err(_) => return,
            },
        }
    }
}

async fn accept_stream(
    inner: Arc<Inner>,
    from: String,
    send: quinn::SendStream,
    mut recv: quinn::RecvStream,
) {
    let purpose = tokio::time::timeout(PURPOSE_TIMEOUT, frame::receive(&mut recv)).await;
    let Ok(Ok(purpose)) = purpose else {
        log::debug!("a stream of {from} does not say what it is for");
        return;
    };
    let stream = Incoming::Stream {
        from,
        purpose,
        send,
        recv,
    };
    let _ = inner.incoming.send(stream).await;
}

/// The keys of this daemon, as TLS needs them.
struct Identity {
    provider: Arc<rustls::crypto::CryptoProvider>,
    roots: Arc<rustls::RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: rustls_pki_types::PrivateKeyDer<'static>,
}

impl Identity {
    fn read(settings: &settings::Settings) -> Result<Identity, Error> {
        let mut roots = rustls::RootCertStore::empty();
        for certificate in keys::read_certificates(&settings.keys.authority).context(KeysSnafu)? {
            roots.add(certificate).context(TlsSnafu)?;
        }
        let chain = keys::read_certificates(&settings.keys.certificate).context(KeysSnafu)?;
        let first = chain
            .first()
            .context(keys::OneNameSnafu)
            .context(KeysSnafu)?;
        let certified = keys::name_of(first).context(KeysSnafu)?;
        let name = &settings.name;
        ensure!(certified == *name, NameSnafu { name, certified });
        Ok(Identity {
            provider: Arc::new(rustls::crypto::ring::default_provider()),
            roots: Arc::new(roots),
            chain,
            key: keys::read_key(&settings.keys.key).context(KeysSnafu)?,
        })
    }

    fn server(
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

    fn client(
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

fn transport() -> quinn::TransportConfig {
    let mut config = quinn::TransportConfig::default();
    config
        .max_idle_timeout(SILENCE_TIMEOUT.try_into().ok())
        .keep_alive_interval(Some(KEEP_ALIVE))
        .max_concurrent_bidi_streams(STREAMS.into())
        .max_concurrent_uni_streams(0_u8.into())
        .stream_receive_window(STREAM_WINDOW_BYTES.into())
        .receive_window(CONNECTION_WINDOW_BYTES.into())
        .send_window(CONNECTION_WINDOW_BYTES.into())
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES))
        .datagram_send_buffer_size(DATAGRAM_BUFFER_BYTES);
    config
}
