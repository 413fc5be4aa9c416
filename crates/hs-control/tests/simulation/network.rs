//! Connections between simulated processes, in memory.

use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hs_control::port::ListenerPort;
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf, duplex};
use tokio::sync::mpsc;
use tokio::time::{Sleep, sleep};

use crate::cpu::VirtualCpu;
use crate::link::VirtualLink;

/// Bytes that a connection holds in each direction.
const BUFFER_BYTES: usize = 64 * 1024;

/// Work of reading or writing a part of a message.
const TRANSFER_WORK: u64 = 15;

/// Number of bytes that take a unit of work in addition.
const BYTES_PER_WORK: usize = 100;

/// Outcome of the next attempts to accept a connection.
pub type Accepted = io::Result<DuplexStream>;

/// The listeners of all processes, by address.
#[derive(Debug, Default)]
pub struct SimNetwork {
    listeners: BTreeMap<String, mpsc::UnboundedSender<Accepted>>,
}

impl SimNetwork {
    /// Opens a listener. It replaces the one of an earlier process at the address.
    pub fn listen(
        &mut self,
        address: String,
        cpu: Arc<VirtualCpu>,
        link: Arc<VirtualLink>,
    ) -> SimListener {
        let (sender, connections) = mpsc::unbounded_channel();
        self.listeners.insert(address, sender);
        SimListener {
            connections,
            cpu,
            link,
        }
    }

    /// Opens a connection to a listener.
    ///
    /// # Errors
    ///
    /// Returns an error of the kind [`io::ErrorKind::ConnectionRefused`] if nothing listens at the address.
    pub fn connect(&self, address: &str) -> io::Result<DuplexStream> {
        let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
        let listener = self.listeners.get(address).ok_or_else(refused)?;
        let (near, far) = duplex(BUFFER_BYTES);
        listener.send(Ok(far)).map_err(|_| refused())?;
        Ok(near)
    }

    /// Makes the listener at an address fail to accept a connection.
    pub fn fail_accept(&self, address: &str, error: io::Error) {
        let listener = &self.listeners[address];
        listener.send(Err(error)).expect("the process runs");
    }
}

/// Listener of a simulated process.
#[derive(Debug)]
pub struct SimListener {
    connections: mpsc::UnboundedReceiver<Accepted>,
    cpu: Arc<VirtualCpu>,
    link: Arc<VirtualLink>,
}

impl ListenerPort for SimListener {
    type Stream = MeteredStream;

    async fn accept(&mut self) -> io::Result<MeteredStream> {
        let accepted = self.connections.recv().await;
        let stream = accepted.unwrap_or_else(|| Err(io::ErrorKind::NotConnected.into()))?;
        Ok(MeteredStream::new(
            stream,
            self.cpu.clone(),
            self.link.clone(),
        ))
    }
}

/// End of a connection that charges its process and its link for what it reads and writes.
#[derive(Debug)]
pub struct MeteredStream {
    stream: DuplexStream,
    cpu: Arc<VirtualCpu>,
    link: Arc<VirtualLink>,
    /// Ends when the link has passed what was read before.
    receiving: Option<Pin<Box<Sleep>>>,
    /// Ends when the link has passed what was written before.
    sending: Option<Pin<Box<Sleep>>>,
}

impl MeteredStream {
    /// Wraps the end of a connection.
    pub fn new(stream: DuplexStream, cpu: Arc<VirtualCpu>, link: Arc<VirtualLink>) -> Self {
        Self {
            stream,
            cpu,
            link,
            receiving: None,
            sending: None,
        }
    }

    /// Waits until the link has passed the earlier bytes of a direction. Never ends if the link is cut.
    fn poll_link(
        link: &VirtualLink,
        transfer: &mut Option<Pin<Box<Sleep>>>,
        context: &mut Context<'_>,
    ) -> Poll<()> {
        if link.is_cut() {
            return Poll::Pending;
        }
        if let Some(sleep) = transfer {
            ready!(sleep.as_mut().poll(context));
            *transfer = None;
        }
        Poll::Ready(())
    }

    /// Returns the wait until the link has passed bytes, which is over at `end`.
    fn transfer(&self, end: Duration) -> Option<Pin<Box<Sleep>>> {
        let wait = end.saturating_sub(self.cpu.local_time());
        (!wait.is_zero()).then(|| Box::pin(sleep(wait)))
    }

    fn charge(&self, bytes: usize) {
        if bytes > 0 {
            let work = (bytes / BYTES_PER_WORK) as u64;
            self.cpu.charge(TRANSFER_WORK + work);
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        ready!(Self::poll_link(&this.link, &mut this.receiving, context));
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - filled;
        self.charge(read);
        let end = self.link.receive(self.cpu.local_time(), read);
        self.receiving = self.transfer(end);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        ready!(Self::poll_link(&this.link, &mut this.sending, context));
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, buffer))?;
        self.charge(written);
        let end = self.link.send(self.cpu.local_time(), written);
        self.sending = self.transfer(end);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
