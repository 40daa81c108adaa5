//! A relay of UDP on the loopback between daemons, which can cut either direction between two of them and add delay.
//!
//! Each daemon has an address at the relay, which it tells the others as its own. The relay knows who sends by the
//! address that the sender is bound to, and forwards from a socket of that pair, so that answers find their way back.

use std::collections::BTreeMap;
use std::io;
use std::net;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time;

use tokio::net::UdpSocket;
use tokio::task;

/// The longest packet.
const PACKET_BYTES: usize = 65_536;

/// The relay of one fleet; it ends when dropped.
#[derive(Debug, Default)]
pub struct Relay {
    shared: Arc<Shared>,
    tasks: Vec<task::JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct Shared {
    ways: Mutex<BTreeMap<Way, Fault>>,
    /// The daemons by the addresses that they are bound to.
    names: Mutex<BTreeMap<net::SocketAddr, String>>,
    /// The addresses that the daemons are bound to.
    bound: Mutex<BTreeMap<String, net::SocketAddr>>,
    /// The bytes of all packets that came, without what UDP and IP add.
    bytes: AtomicU64,
}

/// The way from one daemon to another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Way {
    from: String,
    to: String,
}

/// What is wrong with a way.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Cut,
    Delay(time::Duration),
}

/// The sockets of one pair of daemons.
#[derive(Debug)]
struct Pair {
    /// The daemon whose address at the relay this serves.
    name: String,
    /// The daemon that sends there.
    from: String,
    /// The address at the relay.
    front: Arc<UdpSocket>,
    /// Whence the relay forwards.
    back: UdpSocket,
}

impl Relay {
    /// Opens an address for the daemon called `name`, which is bound to `bound`.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket is to be had.
    pub async fn open(
        &mut self,
        name: &str,
        bound: net::SocketAddr,
    ) -> io::Result<net::SocketAddr> {
        let front = Arc::new(UdpSocket::bind((net::Ipv4Addr::LOCALHOST, 0)).await?);
        let address = front.local_addr()?;
        self.move_to(name, bound);
        let front = serve(self.shared.clone(), name.to_owned(), front);
        self.tasks.push(tokio::spawn(front));
        Ok(address)
    }

    /// Notes that the daemon called `name` is now bound to `bound`; its address at the relay stays.
    ///
    /// # Panics
    ///
    /// Panics if a holder of the relay's state panicked before.
    pub fn move_to(&self, name: &str, bound: net::SocketAddr) {
        let mut names = self.shared.names.lock().expect("no holder panics");
        names.retain(|_, n| n != name);
        names.insert(bound, name.to_owned());
        let mut bounds = self.shared.bound.lock().expect("no holder panics");
        bounds.insert(name.to_owned(), bound);
    }

    /// Drops all packets from one daemon to another.
    pub fn cut(&self, from: &str, to: &str) {
        self.set(from, to, Fault::Cut);
    }

    /// Holds up all packets from one daemon to another.
    pub fn delay(&self, from: &str, to: &str, span: time::Duration) {
        self.set(from, to, Fault::Delay(span));
    }

    /// Counts the bytes that daemons sent to each other, without what UDP and IP add.
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(Ordering::Relaxed)
    }

    /// Mends all ways.
    ///
    /// # Panics
    ///
    /// Panics if a holder of the relay's state panicked before.
    pub fn heal_links(&self) {
        self.shared.ways.lock().expect("no holder panics").clear();
    }

    fn set(&self, from: &str, to: &str, fault: Fault) {
        let way = Way {
            from: from.to_owned(),
            to: to.to_owned(),
        };
        let mut ways = self.shared.ways.lock().expect("no holder panics");
        ways.insert(way, fault);
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
        let way = Way {
            from: from.to_owned(),
            to: to.to_owned(),
        };
        let ways = self.ways.lock().expect("no holder panics");
        ways.get(&way).copied()
    }

    fn name_at(&self, bound: net::SocketAddr) -> Option<String> {
        let names = self.names.lock().expect("no holder panics");
        names.get(&bound).cloned()
    }

    fn bound(&self, name: &str) -> Option<net::SocketAddr> {
        let bound = self.bound.lock().expect("no holder panics");
        bound.get(name).copied()
    }
}

/// Forwards what comes to the address of the daemon called `name`.
async fn serve(shared: Arc<Shared>, name: String, front: Arc<UdpSocket>) {
    let mut pairs = BTreeMap::<net::SocketAddr, Arc<Pair>>::new();
    let mut answers = task::JoinSet::new();
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
                let pair = Arc::new(Pair {
                    name,
                    from,
                    front,
                    back,
                });
                answers.spawn(answer(shared.clone(), pair.clone(), source));
                pairs.insert(source, pair.clone());
                pair
            }
        };
        shared.bytes.fetch_add(len as u64, Ordering::Relaxed);
        let fault = shared.fault(&pair.from, &name);
        let shared = shared.clone();
        pass(fault, packet[..len].to_vec(), move |bytes| async move {
            if let Some(bound) = shared.bound(&pair.name) {
                let _ = pair.back.send_to(&bytes, bound).await;
            }
        })
        .await;
    }
}

/// Forwards the answers of the daemon that a pair's packets go to.
async fn answer(shared: Arc<Shared>, pair: Arc<Pair>, source: net::SocketAddr) {
    let mut packet = vec![0; PACKET_BYTES];
    loop {
        let Ok(len) = pair.back.recv(&mut packet).await else {
            continue;
        };
        shared.bytes.fetch_add(len as u64, Ordering::Relaxed);
        let fault = shared.fault(&pair.name, &pair.from);
        let pair = pair.clone();
        pass(fault, packet[..len].to_vec(), move |bytes| async move {
            let _ = pair.front.send_to(&bytes, source).await;
        })
        .await;
    }
}

/// Sends a packet on, later or not at all, as the way's fault demands.
async fn pass<F>(fault: Option<Fault>, bytes: Vec<u8>, send: impl FnOnce(Vec<u8>) -> F)
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
