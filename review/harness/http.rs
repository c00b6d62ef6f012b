//! Small HTTP/1.1 server and client on threads.

use std::io;
use std::io::BufRead;
use std::io::BufReader;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Request or response without its first line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line, split at spaces.
    pub line: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        &self.line[0]
    }

    /// Returns the path without its query.
    pub fn path(&self) -> &str {
        self.line[1].split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query.
    pub fn param(&self, name: &str) -> Option<&str> {
        let query = self.line[1].split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

/// Reads a message. `Ok(None)` means that the connection ended before it.
pub fn read_message(reader: &mut impl BufRead, is_response: bool) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        line: line.split_whitespace().map(str::to_owned).collect(),
        ..Message::default()
    };
    if message.line.len() < 2 {
        return Err(invalid("first line"));
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(invalid("head cut off"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (key, value) = line.split_once(':').ok_or_else(|| invalid("header"))?;
        message.headers.push((key.to_owned(), value.trim().to_owned()));
    }
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    let length = message.header("content-length").and_then(|value| value.parse::<usize>().ok());
    if is_chunked {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend_from_slice(&chunk);
        }
    } else if let Some(length) = length {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if is_response {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(invalid("chunks cut off"));
    }
    let size = line.trim().split(';').next().unwrap_or_default().to_owned();
    let size = usize::from_str_radix(&size, 16).map_err(|_| invalid("chunk size"))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

/// Binds a free port on loopback.
pub fn bind() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a loopback port is free")
}

/// Serves connections on threads until the process ends.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(stream));
        }
    });
}

/// Writes a complete response with a length.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} x\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

/// Sends a request on a new connection and returns the complete response. The status is the second
/// word of the line.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: lots.example\r\n{headers}Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader, true)?.ok_or_else(|| invalid("no response"))
}

/// Returns the status of a response.
pub fn status(message: &io::Result<Message>) -> u16 {
    message.as_ref().ok().and_then(|m| m.line[1].parse().ok()).unwrap_or(0)
}
