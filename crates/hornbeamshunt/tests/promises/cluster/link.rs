//! A network link that can be cut.

use std::net::SocketAddr;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::platform::listen;

/// Forwards TCP connections to one address until it is cut. A cut link breaks its connections and
/// refuses new ones.
pub struct CutLink {
    pub address: SocketAddr,
    cut: watch::Sender<bool>,
}

impl CutLink {
    /// Opens a link to `target`.
    pub async fn open(target: SocketAddr) -> Self {
        let (listener, address) = listen().await;
        let (cut, is_cut) = watch::channel(false);
        tokio::spawn(forward(listener, target, is_cut));
        Self { address, cut }
    }

    /// Cuts the link or mends it.
    pub fn set_cut(&self, is_cut: bool) {
        self.cut.send_replace(is_cut);
    }
}

async fn forward(listener: TcpListener, target: SocketAddr, is_cut: watch::Receiver<bool>) {
    while let Ok((mut near, _)) = listener.accept().await {
        let mut cut = is_cut.clone();
        tokio::spawn(async move {
            if *cut.borrow() {
                return;
            }
            let Ok(mut far) = TcpStream::connect(target).await else {
                return;
            };
            tokio::select! {
                _ = copy_bidirectional(&mut near, &mut far) => {}
                _ = cut.wait_for(|cut| *cut) => {}
            }
        });
    }
}
