//! A worker of a service as a process of its own.
//!
//! It answers each request with a stream of numbered events, and goes on after `Last-Event-Id`. It
//! prints what it runs. Lines on its input switch the disruption that it is to show.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http::Head;
use crate::http::read_body;
use crate::http::read_head;

/// How a worker answers.
#[derive(Clone)]
pub struct Manner {
    pub id: String,
    /// Number of events of a whole answer, and the time between two of them.
    pub events: u64,
    pub gap: Duration,
    /// Whether answers have chunks. Otherwise they end with their channel.
    pub chunked: bool,
}

/// Returns the data of an event.
pub fn event_data(attempt: &str, number: u64) -> String {
    format!("{attempt}-{number}")
}

/// Returns the whole output of an item.
pub fn whole_output(attempt: &str, events: u64) -> String {
    (1..=events).map(|number| event_data(attempt, number)).collect::<Vec<_>>().join("\n")
}

fn say(text: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{text}");
    let _ = out.flush();
}

/// Runs a worker until its input ends or it is killed.
pub fn run(manner: Manner) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    say(&format!("ADDR {}", listener.local_addr().expect("an address")));
    let noise = Arc::new(AtomicBool::new(false));
    let switch = Arc::clone(&noise);
    thread::spawn(move || {
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            switch.store(line == "noise on", Ordering::SeqCst);
        }
        std::process::exit(0);
    });
    for stream in listener.incoming().flatten() {
        let (manner, noise) = (manner.clone(), Arc::clone(&noise));
        thread::spawn(move || serve(stream, &manner, &noise));
    }
}

fn serve(stream: TcpStream, manner: &Manner, noise: &AtomicBool) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    let Ok(Some(head)) = read_head(&mut reader) else { return };
    let mut body = Vec::new();
    if !read_body(&mut reader, &head, false, &mut body) {
        return;
    }
    let attempt = head.get("attempt-id").unwrap_or_default().to_owned();
    if head.get("expect-instance").is_some_and(|id| id != manner.id) {
        let answer = format!(
            "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
            manner.id
        );
        let _ = writer.write_all(answer.as_bytes());
        return;
    }
    if noise.load(Ordering::SeqCst) {
        say(&format!("NOISE {attempt} begins"));
        let sent = send_noise(&mut writer, &attempt);
        say(&format!("NOISE {attempt} ends, closed by the caller after {sent} bytes"));
        return;
    }
    let last = head.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    say(&format!("RUN {attempt} {} after event {last}{}", head.word(1), shown(&head)));
    match send_events(&mut writer, manner, &attempt, last) {
        Ok(()) => say(&format!("DONE {attempt}")),
        Err(_) => say(&format!("CUT {attempt}, closed by the caller")),
    }
}

/// Returns the headers that tell who the caller is.
fn shown(head: &Head) -> String {
    let names = ["tenant", "authorization"];
    let found = names.iter().filter_map(|name| Some(format!(" {name}={}", head.get(name)?)));
    found.collect()
}

fn answer_head(attempt: &str, framing: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
         Content-Type: text/event-stream\r\n{framing}\r\n\r\n"
    )
}

fn send_events(
    writer: &mut TcpStream,
    manner: &Manner,
    attempt: &str,
    last: u64,
) -> io::Result<()> {
    let framing = if manner.chunked { "Transfer-Encoding: chunked" } else { "Connection: close" };
    writer.write_all(answer_head(attempt, framing).as_bytes())?;
    for number in last + 1..=manner.events {
        thread::sleep(manner.gap);
        let event = format!("id: {number}\ndata: {}\n\n", event_data(attempt, number));
        // Each event is written whole.
        if manner.chunked {
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        } else {
            writer.write_all(event.as_bytes())?;
        }
    }
    if manner.chunked {
        writer.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// Sends bytes that are no answer until the caller closes. Returns their number.
fn send_noise(writer: &mut TcpStream, attempt: &str) -> u64 {
    let head = answer_head(attempt, "Connection: close");
    if writer.write_all(head.as_bytes()).is_err() {
        return 0;
    }
    let mut sent = 0;
    loop {
        thread::sleep(Duration::from_millis(50));
        if writer.write_all(b"\n").is_err() {
            return sent;
        }
        sent += 1;
    }
}
