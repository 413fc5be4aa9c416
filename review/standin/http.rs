//! HTTP/1.1: a server with a thread for each connection, and a client without a pool.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

#[derive(Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    query: HashMap<String, String>,
    headers: HashMap<String, String>,
    pub body: String,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }

    pub fn query_number(&self, name: &str) -> u64 {
        self.query(name).parse().unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// What a server does with a request.
pub enum Reply {
    Send(u16, String),
    /// Nothing is sent, and the connection is closed after this time.
    Silence(Duration),
}

type Handler = dyn Fn(Request) -> Reply + Send + Sync;

/// Listens on a free loopback port.
pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// Returns a free loopback address. Its socket is closed again, so that a process can bind it.
pub fn free_address() -> SocketAddr {
    listen().local_addr().expect("a bound socket")
}

/// Serves connections until the process ends.
pub fn serve(listener: TcpListener, handler: Arc<Handler>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    while let Some(request) = read_request(&mut reader) {
        match handler(request) {
            Reply::Send(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} R\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                if stream
                    .write_all(format!("{head}{body}").as_bytes())
                    .is_err()
                {
                    break;
                }
            }
            Reply::Silence(time) => {
                thread::sleep(time);
                break;
            }
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut request = Request {
        method,
        path: path.to_owned(),
        query: pairs
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect(),
        ..Request::default()
    };
    request.headers = read_headers(reader)?;
    let length = request.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    request.body = String::from_utf8_lossy(&body).into_owned();
    Some(request)
}

fn read_headers(reader: &mut impl BufRead) -> Option<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

/// Decodes percent escapes.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((byte, after)) = rest.split_first() {
        let digits = after
            .get(..2)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        let escaped = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (byte, escaped) {
            (b'%', Some(escaped)) => {
                bytes.push(escaped);
                rest = &after[2..];
            }
            _ => {
                bytes.push(*byte);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends a request on a new connection. Returns the status and the body of the reply.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    timeout: Duration,
) -> Result<(u16, String), String> {
    let until = Instant::now() + timeout;
    let text = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect_timeout(&address, timeout).map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    stream
        .write_all(format!("{head}\r\n{body}").as_bytes())
        .map_err(text)?;
    let left = until
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).map_err(text)?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).map_err(text)?;
    let status = line
        .split_whitespace()
        .nth(1)
        .and_then(|status| status.parse().ok());
    let status = status.ok_or("no answer")?;
    let headers = read_headers(&mut reader).ok_or("an incomplete answer")?;
    let length = headers
        .get("content-length")
        .and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).map_err(text)?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
