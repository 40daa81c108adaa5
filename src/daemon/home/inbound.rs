//! What comes from the entry on a request's stream after its head.

use tokio::{sync as tasks, task};

use crate::protocol::{frame, headers, peer};
use crate::transport::body;

use super::Reader;

/// What comes from the entry after the head.
pub(super) struct Inbound {
    pub(super) pieces: tasks::mpsc::Receiver<body::Piece>,
    pub(super) go: tasks::oneshot::Receiver<()>,
    /// Resolves when the entry has gone.
    pub(super) gone: AbortOnDrop,
}

/// A task that ends with its owner.
pub(super) struct AbortOnDrop(task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Future for AbortOnDrop {
    type Output = ();

    fn poll(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<()> {
        std::pin::Pin::new(&mut self.0).poll(cx).map(|_| ())
    }
}

impl Inbound {
    pub(super) fn start(recv: Reader) -> Inbound {
        let (piece_sender, pieces) = body::channel();
        let (go_sender, go) = tasks::oneshot::channel();
        let gone = AbortOnDrop(tokio::spawn(read_inbound(recv, piece_sender, go_sender)));
        Inbound { pieces, go, gone }
    }
}

/// Reads the entry's frames until the entry has gone.
async fn read_inbound(
    mut recv: Reader,
    pieces: tasks::mpsc::Sender<body::Piece>,
    go: tasks::oneshot::Sender<()>,
) {
    let mut go = Some(go);
    let mut pieces = Some(pieces);
    while let Ok(frame) = frame::read(&mut recv).await {
        let piece = match frame {
            frame::Frame::Data(data) => body::Piece::Data(data),
            control @ frame::Frame::Control(_) => match frame::decode::<peer::ToHome>(&control) {
                Ok(peer::ToHome::Go) => {
                    if let Some(go) = go.take() {
                        // The exchange may have ended already.
                        let _ = go.send(());
                    }
                    continue;
                }
                Ok(peer::ToHome::End(trailers)) => {
                    body::Piece::End(headers::from_fields(&trailers))
                }
                Ok(peer::ToHome::Head(_)) | Err(_) => return,
            },
        };
        let ends = matches!(piece, body::Piece::End(_));
        if let Some(sender) = &pieces {
            // A target that answers early stops reading the body.
            let _ = sender.send(piece).await;
        }
        if ends {
            pieces = None;
        }
    }
}
