//! A UDP relay between daemons on the loopback interface, which can cut or delay each direction of a link.
//!
//! Each daemon has an address at the relay, which it advertises to the others as its own. The relay identifies the
//! sender of a packet by its source address and forwards from a socket dedicated to that sender and receiver, so that
//! replies can be routed back.

use std::collections::BTreeMap;
use std::io;
use std::net;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time;

use tokio::net::UdpSocket;
use tokio::task;

/// The maximum size of a packet.
const PACKET_BYTES: usize = 65_536;

/// The relay of one fleet, which stops when dropped.
#[derive(Debug, Default)]
pub struct Relay {
    shared: Arc<Shared>,
    tasks: Vec<task::JoinHandle<()>>,
}

/// The state shared with the forwarding tasks.
#[derive(Debug, Default)]
struct Shared {
    faults: Mutex<BTreeMap<Link, Fault>>,
    /// The names of the daemons by the addresses they are bound to.
    names: Mutex<BTreeMap<net::SocketAddr, String>>,
    /// The addresses that the daemons are bound to, by name.
    bound: Mutex<BTreeMap<String, net::SocketAddr>>,
    /// The size of all received packets in bytes, without the overhead of UDP and IP.
    bytes: AtomicU64,
}

/// The direction from one daemon to another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Link {
    from: String,
    to: String,
}

/// A fault injected into one direction of a link.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// All packets are dropped.
    Cut,
    /// All packets are forwarded after a delay.
    Delay(time::Duration),
}

/// The sockets that forward packets from one daemon to another, and the replies.
#[derive(Debug)]
struct SocketPair {
    /// The daemon that receives the packets.
    name: String,
    /// The daemon that sends the packets.
    from: String,
    /// The socket at the receiver's address at the relay.
    front: Arc<UdpSocket>,
    /// The socket from which the relay forwards to the receiver.
    back: UdpSocket,
}

impl Relay {
    /// Opens and returns a relay address for the daemon called `name`, which is itself bound to `bound`.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be bound.
    pub async fn open(
        &mut self,
        name: &str,
        bound: net::SocketAddr,
    ) -> io::Result<net::SocketAddr> {
        let front = Arc::new(UdpSocket::bind((net::Ipv4Addr::LOCALHOST, 0)).await?);
        let address = front.local_addr()?;
        self.rebind(name, bound);
        let front = forward_packets(self.shared.clone(), name.to_owned(), front);
        self.tasks.push(tokio::spawn(front));
        Ok(address)
    }

    /// Sets the address to which the daemon called `name` is bound, as after a restart; its relay address stays the
    /// same.
    ///
    /// # Panics
    ///
    /// Panics if a holder of the relay's state panicked before.
    pub fn rebind(&self, name: &str, bound: net::SocketAddr) {
        let mut names = self.shared.names.lock().expect("no holder panics");
        names.retain(|_, n| n != name);
        names.insert(bound, name.to_owned());
        let mut bound_addresses = self.shared.bound.lock().expect("no holder panics");
        bound_addresses.insert(name.to_owned(), bound);
    }

    /// Drops all packets from one daemon to another.
    pub fn cut(&self, from: &str, to: &str) {
        self.set_fault(from, to, Fault::Cut);
    }

    /// Delays all packets from one daemon to another by `span`.
    pub fn delay(&self, from: &str, to: &str, span: time::Duration) {
        self.set_fault(from, to, Fault::Delay(span));
    }

    /// Returns the number of bytes that daemons sent to each other, without the overhead of UDP and IP.
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(Ordering::Relaxed)
    }

    /// Removes all injected faults.
    ///
    /// # Panics
    ///
    /// Panics if a holder of the relay's state panicked before.
    pub fn heal_links(&self) {
        self.shared.faults.lock().expect("no holder panics").clear();
    }

    fn set_fault(&self, from: &str, to: &str, fault: Fault) {
        let link = Link {
            from: from.to_owned(),
            to: to.to_owned(),
        };
        let mut faults = self.shared.faults.lock().expect("no holder panics");
        faults.insert(link, fault);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Shared {
    fn fault(&self, from: &str, to: &str) -> Option<Fault> {
        let link = Link {
            from: from.to_owned(),
            to: to.to_owned(),
        };
        let faults = self.faults.lock().expect("no holder panics");
        faults.get(&link).copied()
    }

    /// Returns the daemon that is bound to `bound`.
    fn name_at(&self, bound: net::SocketAddr) -> Option<String> {
        let names = self.names.lock().expect("no holder panics");
        names.get(&bound).cloned()
    }

    fn bound(&self, name: &str) -> Option<net::SocketAddr> {
        let bound = self.bound.lock().expect("no holder panics");
        bound.get(name).copied()
    }
}

/// Forwards the packets that arrive at the relay address of the daemon called `name`.
async fn forward_packets(shared: Arc<Shared>, name: String, front: Arc<UdpSocket>) {
    let mut pairs = BTreeMap::<net::SocketAddr, Arc<SocketPair>>::new();
    let mut replies = task::JoinSet::new();
    let mut packet = vec![0; PACKET_BYTES];
    loop {
        let Ok((len, source)) = front.recv_from(&mut packet).await else {
            continue;
        };
        let Some(from) = shared.name_at(source) else {
            continue;
        };
        let pair = match pairs.get(&source) {
            Some(pair) => pair.clone(),
            None => {
                let Ok(back) = UdpSocket::bind((net::Ipv4Addr::LOCALHOST, 0)).await else {
                    continue;
                };
                let (name, front) = (name.clone(), front.clone());
                let pair = Arc::new(SocketPair {
                    name,
                    from,
                    front,
                    back,
                });
                replies.spawn(forward_replies(shared.clone(), pair.clone(), source));
                pairs.insert(source, pair.clone());
                pair
            }
        };
        shared.bytes.fetch_add(len as u64, Ordering::Relaxed);
        let fault = shared.fault(&pair.from, &name);
        let shared = shared.clone();
        forward(fault, packet[..len].to_vec(), move |bytes| async move {
            if let Some(bound) = shared.bound(&pair.name) {
                let _ = pair.back.send_to(&bytes, bound).await;
            }
        })
        .await;
    }
}

/// Forwards the replies of the receiver back to the sender at `source`.
async fn forward_replies(shared: Arc<Shared>, pair: Arc<SocketPair>, source: net::SocketAddr) {
    let mut packet = vec![0; PACKET_BYTES];
    loop {
        let Ok(len) = pair.back.recv(&mut packet).await else {
            continue;
        };
        shared.bytes.fetch_add(len as u64, Ordering::Relaxed);
        let fault = shared.fault(&pair.name, &pair.from);
        let pair = pair.clone();
        forward(fault, packet[..len].to_vec(), move |bytes| async move {
            let _ = pair.front.send_to(&bytes, source).await;
        })
        .await;
    }
}

/// Forwards a packet with `send`, or delays or drops it according to `fault`.
async fn forward<F>(fault: Option<Fault>, bytes: Vec<u8>, send: impl FnOnce(Vec<u8>) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    match fault {
        None => send(bytes).await,
        Some(Fault::Cut) => {}
        Some(Fault::Delay(span)) => {
            let sending = send(bytes);
            tokio::spawn(async move {
                tokio::time::sleep(span).await;
                sending.await;
            });
        }
    }
}
