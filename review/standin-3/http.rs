//! Minimal HTTP/1.1: a server with a thread for each connection, and a client for single requests.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A request with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

/// A reply: status and JSON text.
pub type Reply = (u16, String);

/// Handles requests. `None` closes the connection without a reply.
pub trait Handler: Send + Sync + 'static {
    fn handle(&self, request: &Request) -> Option<Reply>;
}

/// A listener with its connections, which `close` ends.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    is_closed: Arc<AtomicBool>,
    streams: Arc<Mutex<BTreeMap<SocketAddr, TcpStream>>>,
}

impl Server {
    /// Listens on an address and serves requests until it is closed.
    pub fn start(address: SocketAddr, handler: Arc<dyn Handler>) -> std::io::Result<Self> {
        let listener = listen(address)?;
        let server = Self {
            address: listener.local_addr()?,
            is_closed: Arc::default(),
            streams: Arc::default(),
        };
        let served = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if served.is_closed.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let (Ok(copy), Ok(peer)) = (stream.try_clone(), stream.peer_addr()) else {
                    continue;
                };
                served.streams.lock().unwrap().insert(peer, copy);
                let (handler, streams) = (handler.clone(), served.streams.clone());
                std::thread::spawn(move || {
                    serve_connection(stream, handler.as_ref());
                    streams.lock().unwrap().remove(&peer);
                });
            }
        });
        Ok(server)
    }

    /// Closes the listener and all connections, as the exit of a process does.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts connections.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        for stream in self.streams.lock().unwrap().values() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Opens a listener. The address may have been in use a moment ago.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let mut attempts = 50;
    loop {
        match TcpListener::bind(address) {
            Err(_) if attempts > 0 => {
                attempts -= 1;
                std::thread::sleep(Duration::from_millis(20));
            }
            result => return result,
        }
    }
}

fn serve_connection(mut stream: TcpStream, handler: &dyn Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler.handle(&request) else {
            let _ = stream.shutdown(std::net::Shutdown::Both);
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if stream.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn read_body(reader: &mut impl BufRead, headers: &BTreeMap<String, String>) -> Option<String> {
    let length = headers
        .get("content-length")
        .and_then(|value| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        method,
        path: path.to_owned(),
        query: pairs
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect(),
        headers,
        body,
    })
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request on a connection of its own. Returns `None` without a whole reply in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Option<Reply> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n\
         hornbeamshunt-deadline-ms: {}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, body))
}
