//! HTTP/1.1 over loopback: a server with one thread a connection, and a client with one connection a call.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub struct Request {
    /// Path with the query.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pair = query.split('&').filter_map(|pair| pair.split_once('='));
        pair.into_iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| unescape(value))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

fn unescape(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes
            .get(at + 1..at + 3)
            .and_then(|d| std::str::from_utf8(d).ok());
        match (bytes[at], code.and_then(|d| u8::from_str_radix(d, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A reply. `None` in place of one closes the connection.
pub type Reply = (u16, String);

/// A listener and its open connections, which can be cut as in a crash.
pub struct Server {
    pub address: SocketAddr,
    state: Arc<Mutex<ServerState>>,
}

struct ServerState {
    is_open: bool,
    streams: Vec<TcpStream>,
}

impl Server {
    pub fn start<F>(address: SocketAddr, handler: F) -> io::Result<Server>
    where
        F: Fn(Request) -> Option<Reply> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(ServerState {
            is_open: true,
            streams: Vec::new(),
        }));
        let (shared, handler) = (state.clone(), Arc::new(handler));
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let mut state = shared.lock().unwrap();
                if !state.is_open {
                    return;
                }
                let _ = stream.set_nodelay(true);
                state.streams.retain(|s| s.peer_addr().is_ok());
                if let Ok(copy) = stream.try_clone() {
                    state.streams.push(copy);
                }
                let handler = handler.clone();
                std::thread::spawn(move || {
                    let _ = serve(&stream, &*handler);
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
        Ok(Server { address, state })
    }

    /// Closes the listener and all connections.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_open = false;
        for stream in state.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        // Wakes the listener's thread, which then drops the listener.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(100));
    }
}

fn serve(stream: &TcpStream, handler: &dyn Fn(Request) -> Option<Reply>) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut words = line.split_whitespace();
        let target = words.by_ref().nth(1).unwrap_or("").to_owned();
        let (headers, body) = read_rest(&mut reader)?;
        let Some((status, body)) = handler(Request {
            target,
            headers,
            body,
        }) else {
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all((head + &body).as_bytes())?;
    }
}

fn read_rest(reader: &mut impl BufRead) -> io::Result<(Vec<(String, String)>, String)> {
    let mut headers: Vec<(String, String)> = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((headers, String::from_utf8_lossy(&body).into_owned()))
}

/// Sends a request on a connection of its own. Returns the status (0 without a complete reply) and the body.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> (u16, String) {
    let exchange = || -> io::Result<(u16, String)> {
        let address: SocketAddr = address.parse().map_err(io::Error::other)?;
        let mut stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_nodelay(true)?;
        let deadline = timeout.as_millis();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: {host}\r\nhornbeamshunt-deadline-ms: {deadline}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes())?;
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let status = line.split_whitespace().nth(1).and_then(|s| s.parse().ok());
        let (_, body) = read_rest(&mut reader)?;
        Ok((status.unwrap_or(0), body))
    };
    exchange().unwrap_or((0, String::new()))
}
