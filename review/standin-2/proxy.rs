//! A forwarder in front of the store whose open connections can fall silent for good, without a reset, while new ones
//! work.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    /// Connections opened in an earlier era are silent.
    era: Arc<AtomicU64>,
    open: Arc<AtomicUsize>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let proxy = Self {
            address: listener.local_addr()?,
            era: Arc::default(),
            open: Arc::default(),
        };
        let shared = proxy.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let era = shared.era.load(Ordering::SeqCst);
                let (Ok(client_in), Ok(server_in)) = (client.try_clone(), server.try_clone())
                else {
                    continue;
                };
                shared.open.fetch_add(1, Ordering::SeqCst);
                let (there, back) = (shared.clone(), shared.clone());
                std::thread::spawn(move || {
                    there.pump(client_in, server, era);
                    there.open.fetch_sub(1, Ordering::SeqCst);
                });
                std::thread::spawn(move || back.pump(server_in, client, era));
            }
        });
        Ok(proxy)
    }

    /// Silences all connections that are open now. Returns how many there are.
    pub fn silence(&self) -> usize {
        self.era.fetch_add(1, Ordering::SeqCst);
        self.open.load(Ordering::SeqCst)
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, era: u64) {
        let mut bytes = [0; 16 << 10];
        loop {
            let Ok(count) = from.read(&mut bytes) else {
                break;
            };
            if count == 0 {
                break;
            }
            // What a silent connection carries is lost.
            if self.era.load(Ordering::SeqCst) == era && to.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
    }
}
