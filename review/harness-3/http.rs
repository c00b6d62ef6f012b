//! Small HTTP/1.1 server and client, on threads.

use std::collections::HashMap;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// A request, as a server reads it.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then(|| percent_decode(value))
        })
    }
}

pub fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%' && at + 2 < bytes.len())
            .then(|| u8::from_str_radix(&text[at + 1..at + 3], 16).ok())
            .flatten();
        match hex {
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

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("header"))?;
        headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn is_chunked(headers: &HashMap<String, String>) -> bool {
    headers.get("transfer-encoding").is_some_and(|value| value.contains("chunked"))
}

/// Reads one chunk. An empty one is the last.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let line = read_line(reader)?;
    let size = usize::from_str_radix(line.split(';').next().unwrap_or(""), 16)
        .map_err(|_| broken("chunk"))?;
    let mut data = vec![0; size];
    reader.read_exact(&mut data)?;
    read_line(reader)?;
    Ok(data)
}

/// Reads a request. Returns `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Ok(line) = read_line(reader) else { return Ok(None) };
    let mut words = line.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if is_chunked(&headers) {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    } else if let Some(length) = headers.get("content-length") {
        body = vec![0; length.parse().map_err(|_| broken("length"))?];
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request { method, target, headers, body }))
}

/// Serves each connection on a thread of its own. The handler returns whether the connection stays open.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(&Request, &mut TcpStream) -> io::Result<bool> + Clone + Send + 'static,
{
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut out) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    if !handle(&request, &mut out).unwrap_or(false) {
                        return;
                    }
                }
            });
        }
    });
}

/// Writes an answer with a length.
pub fn reply(out: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    out.write_all(&[head.as_bytes(), body].concat())
}

/// How an answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// As its framing says: by its length, or by the last chunk.
    Complete,
    /// The connection was closed or reset before that.
    Broken(String),
    /// The client gave up.
    TimedOut,
}

/// What a client saw.
#[derive(Clone, Debug)]
pub struct Seen {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    pub end: End,
}

impl Seen {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request on a new connection and reads the answer. An answer without length and chunks ends
/// with its connection.
pub fn call(addr: &str, request: &[u8], limit: Duration) -> Seen {
    let mut seen =
        Seen { status: 0, headers: HashMap::new(), body: Vec::new(), end: End::TimedOut };
    let until = Instant::now() + limit;
    if let Err(err) = exchange(addr, request, until, &mut seen) {
        let is_late = matches!(err.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut);
        seen.end = if is_late { End::TimedOut } else { End::Broken(err.to_string()) };
    }
    seen
}

struct Timed {
    stream: TcpStream,
    until: Instant,
}

impl Read for Timed {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let left = self.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buf)
    }
}

fn exchange(addr: &str, request: &[u8], until: Instant, seen: &mut Seen) -> io::Result<()> {
    let addr = addr.parse().map_err(|_| broken("address"))?;
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(Timed { stream, until });
    let line = read_line(&mut reader)?;
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
    seen.status = status.ok_or_else(|| broken("status"))?;
    seen.headers = read_headers(&mut reader)?;
    if is_chunked(&seen.headers) {
        loop {
            let chunk = read_chunk(&mut reader)?;
            if chunk.is_empty() {
                break;
            }
            seen.body.extend(chunk);
        }
    } else if let Some(length) = seen.headers.get("content-length") {
        let length: u64 = length.parse().map_err(|_| broken("length"))?;
        reader.by_ref().take(length).read_to_end(&mut seen.body)?;
        if (seen.body.len() as u64) < length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    } else {
        reader.read_to_end(&mut seen.body)?;
    }
    seen.end = End::Complete;
    Ok(())
}
