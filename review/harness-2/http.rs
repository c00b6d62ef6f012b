//! A small HTTP/1.1 client and server side over blocking sockets.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// First line, without its end.
    pub first: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the nth word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }
}

/// Response with what arrived of its body.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a head. Returns `None` at the end of the channel.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            if head.first.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.first.is_empty() {
            line.clone_into(&mut head.first);
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body into `body`. Returns whether it is complete.
pub fn read_body(
    reader: &mut impl BufRead,
    head: &Head,
    is_response: bool,
    body: &mut Vec<u8>,
) -> bool {
    let chunked = head.get("transfer-encoding").is_some_and(|value| value.contains("chunked"));
    if chunked {
        return read_chunks(reader, body).unwrap_or(false);
    }
    let length = head.get("content-length").and_then(|value| value.parse::<u64>().ok());
    match length {
        Some(length) => {
            let read = reader.take(length).read_to_end(body);
            read.is_ok() && body.len() as u64 == length
        }
        None if is_response => reader.read_to_end(body).is_ok(),
        None => true,
    }
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<bool> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(false);
        }
        let size = line.trim().split(';').next().unwrap_or_default();
        let Ok(size) = u64::from_str_radix(size, 16) else { return Ok(false) };
        let before = body.len();
        reader.take(size).read_to_end(body)?;
        if (body.len() - before) as u64 != size {
            return Ok(false);
        }
        let mut end = String::new();
        if reader.read_line(&mut end)? == 0 {
            return Ok(false);
        }
        if size == 0 {
            return Ok(true);
        }
    }
}

/// Sends a request on a new channel and reads the response, for at most `limit` between two reads.
pub fn request(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Response> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut out = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut writer = stream.try_clone()?;
    writer.write_all(out.as_bytes())?;
    writer.write_all(body)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = head.word(1).parse().unwrap_or(0);
    let mut body = Vec::new();
    if !read_body(&mut reader, &head, true, &mut body) {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Response { status, body })
}
