//! Connections between processes over TCP.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};

use crate::port::ListenerPort;

/// Opens a listener.
///
/// # Errors
///
/// Returns the error of the operating system.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Opens a connection that sends each message without delay.
///
/// # Errors
///
/// Returns the error of the operating system.
pub async fn connect(address: &str) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

impl ListenerPort for TcpListener {
    type Stream = TcpStream;

    async fn accept(&mut self) -> io::Result<TcpStream> {
        let (stream, _) = TcpListener::accept(self).await?;
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("failed to set up a connection: {error}");
        }
        Ok(stream)
    }
}
