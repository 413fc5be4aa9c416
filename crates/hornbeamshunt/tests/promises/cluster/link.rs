//! A network link that can be cut, or that holds requests or replies back.

use std::net::SocketAddr;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::platform::listen;

/// Bytes that are passed on at a time. A request that is looked for has to fit.
const CHUNK_BYTES: usize = 1 << 20;

/// What a link holds back of a request that contains a text, and of what follows on its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HoldKind {
    /// The request itself.
    Request,
    /// Its reply. The request takes effect.
    Reply,
}

#[derive(Clone, Default)]
struct LinkState {
    is_cut: bool,
    holds: Vec<(HoldKind, String)>,
    /// Number of requests since the start that were held back, or whose reply was.
    held: usize,
    /// Rises when what is held back passes.
    passes: usize,
}

/// Forwards TCP connections to one address.
pub struct CutLink {
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
}

impl CutLink {
    /// Opens a link to `target`.
    pub async fn open(target: SocketAddr) -> Self {
        let (listener, address) = listen().await;
        let state = watch::Sender::new(LinkState::default());
        tokio::spawn(accept(listener, target, state.clone()));
        Self { address, state }
    }

    /// Cuts the link or mends it. A cut link breaks its connections and refuses new ones.
    pub fn set_cut(&self, is_cut: bool) {
        self.state.send_modify(|state| state.is_cut = is_cut);
    }

    /// Holds back every request that contains `text`, or its reply.
    pub fn hold(&self, kind: HoldKind, text: &str) {
        let hold = (kind, text.to_owned());
        self.state.send_modify(|state| state.holds.push(hold));
    }

    /// Returns how many requests were held back, or their replies.
    pub fn held(&self) -> usize {
        self.state.borrow().held
    }

    /// Passes on what is held back. Later requests are still held.
    pub fn pass_held(&self) {
        self.state.send_modify(|state| state.passes += 1);
    }

    /// Passes on what is held back, and holds nothing any more.
    pub fn release(&self) {
        self.state.send_modify(|state| state.holds.clear());
        self.pass_held();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: watch::Sender<LinkState>) {
    while let Ok((near, _)) = listener.accept().await {
        tokio::spawn(forward(near, target, state.clone()));
    }
}

async fn forward(near: TcpStream, target: SocketAddr, state: watch::Sender<LinkState>) {
    if state.borrow().is_cut {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let held_reply = watch::Sender::new(None);
    let mut cut = state.subscribe();
    tokio::select! {
        () = pass_requests(near_in, far_out, &state, &held_reply) => {}
        () = pass_replies(far_in, near_out, &state, &held_reply) => {}
        _ = cut.wait_for(|state| state.is_cut) => {}
    }
}

async fn wait_pass(state: &watch::Sender<LinkState>, after: usize) {
    let mut state = state.subscribe();
    let _ = state.wait_for(|state| state.passes > after).await;
}

async fn pass_requests(
    mut near: impl AsyncRead + Unpin,
    mut far: impl AsyncWrite + Unpin,
    state: &watch::Sender<LinkState>,
    held_reply: &watch::Sender<Option<usize>>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count @ 1..) = near.read(&mut chunk).await {
        let text = String::from_utf8_lossy(&chunk[..count]);
        let (holds, passes) = {
            let state = state.borrow();
            (state.holds.clone(), state.passes)
        };
        let hold = holds.iter().find(|(_, part)| text.contains(part));
        if let Some((kind, _)) = hold {
            // The reply must not overtake the note that it is held.
            held_reply.send_replace((*kind == HoldKind::Reply).then_some(passes));
            state.send_modify(|state| state.held += 1);
            if *kind == HoldKind::Request {
                wait_pass(state, passes).await;
            }
        }
        if far.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}

async fn pass_replies(
    mut far: impl AsyncRead + Unpin,
    mut near: impl AsyncWrite + Unpin,
    state: &watch::Sender<LinkState>,
    held_reply: &watch::Sender<Option<usize>>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(count @ 1..) = far.read(&mut chunk).await {
        if let Some(passes) = held_reply.send_replace(None) {
            wait_pass(state, passes).await;
        }
        if near.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
