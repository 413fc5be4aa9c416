//! A TCP proxy that can break its connections, or delay chosen requests or replies.

use std::net::SocketAddr;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::platform::listen;

/// Maximum number of bytes that are forwarded at a time. A request that is matched has to fit.
const CHUNK_BYTES: usize = 1 << 20;

/// Which message is held back if a request contains a given text. Later messages in the same
/// direction of its connection wait too.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HoldKind {
    /// The request.
    Request,
    /// The reply. The request takes effect.
    Reply,
}

#[derive(Clone, Default)]
struct LinkState {
    is_cut: bool,
    holds: Vec<(HoldKind, String)>,
    /// Number of requests since the start that matched a hold.
    held_count: usize,
    /// Incremented to deliver all messages that are held back.
    deliveries: usize,
}

/// Forwards TCP connections to one address, with injected faults.
pub struct FaultyLink {
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
}

impl FaultyLink {
    /// Starts a link to `target`.
    pub async fn open(target: SocketAddr) -> Self {
        let (listener, address) = listen().await;
        let state = watch::Sender::new(LinkState::default());
        tokio::spawn(accept(listener, target, state.clone()));
        Self { address, state }
    }

    /// Cuts the link or restores it. A cut link closes its connections, and new ones at once.
    pub fn set_cut(&self, is_cut: bool) {
        self.state.send_modify(|state| state.is_cut = is_cut);
    }

    /// Holds back every request that contains `text`, or its reply.
    pub fn hold(&self, kind: HoldKind, text: &str) {
        let hold = (kind, text.to_owned());
        self.state.send_modify(|state| state.holds.push(hold));
    }

    /// Returns how many requests have matched a hold so far.
    pub fn held_count(&self) -> usize {
        self.state.borrow().held_count
    }

    /// Delivers the messages that are held back. Later requests are still matched.
    pub fn deliver_held(&self) {
        self.state.send_modify(|state| state.deliveries += 1);
    }

    /// Delivers the messages that are held back, and holds no further ones.
    pub fn remove_holds(&self) {
        self.state.send_modify(|state| state.holds.clear());
        self.deliver_held();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: watch::Sender<LinkState>) {
    while let Ok((downstream, _)) = listener.accept().await {
        tokio::spawn(forward(downstream, target, state.clone()));
    }
}

async fn forward(downstream: TcpStream, target: SocketAddr, state: watch::Sender<LinkState>) {
    if state.borrow().is_cut {
        return;
    }
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (downstream.set_nodelay(true), upstream.set_nodelay(true));
    let (downstream_in, downstream_out) = downstream.into_split();
    let (upstream_in, upstream_out) = upstream.into_split();
    let held_reply = watch::Sender::new(None);
    let mut cut_watch = state.subscribe();
    tokio::select! {
        () = forward_requests(downstream_in, upstream_out, &state, &held_reply) => {}
        () = forward_replies(upstream_in, downstream_out, &state, &held_reply) => {}
        _ = cut_watch.wait_for(|state| state.is_cut) => {}
    }
}

/// Waits until there have been more than `after` deliveries.
async fn wait_for_delivery(state: &watch::Sender<LinkState>, after: usize) {
    let mut state = state.subscribe();
    let _ = state.wait_for(|state| state.deliveries > after).await;
}

async fn forward_requests(
    mut downstream: impl AsyncRead + Unpin,
    mut upstream: impl AsyncWrite + Unpin,
    state: &watch::Sender<LinkState>,
    held_reply: &watch::Sender<Option<usize>>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count @ 1..) = downstream.read(&mut chunk).await {
        let text = String::from_utf8_lossy(&chunk[..count]);
        let (holds, deliveries) = {
            let state = state.borrow();
            (state.holds.clone(), state.deliveries)
        };
        let hold = holds.iter().find(|(_, part)| text.contains(part));
        if let Some((kind, _)) = hold {
            // Set before the request is forwarded, so that the reply cannot arrive first.
            held_reply.send_replace((*kind == HoldKind::Reply).then_some(deliveries));
            state.send_modify(|state| state.held_count += 1);
            if *kind == HoldKind::Request {
                wait_for_delivery(state, deliveries).await;
            }
        }
        if upstream.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}

async fn forward_replies(
    mut upstream: impl AsyncRead + Unpin,
    mut downstream: impl AsyncWrite + Unpin,
    state: &watch::Sender<LinkState>,
    held_reply: &watch::Sender<Option<usize>>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count @ 1..) = upstream.read(&mut chunk).await {
        if let Some(deliveries) = held_reply.send_replace(None) {
            wait_for_delivery(state, deliveries).await;
        }
        if downstream.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
