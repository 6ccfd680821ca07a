//! Bodies larger than the buffer limit: they are forwarded byte for byte, without delay, and in bounded memory.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::TIMEOUT;
use common::deployment::{Deployment, spawn_server};
use common::proxy_process::ProxyProcess;

/// Random numbers that are the same in each run.
struct RandomStream(u64);

impl RandomStream {
    fn below(&mut self, end: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % end
    }

    fn bytes(&mut self, count: u64) -> Vec<u8> {
        (0..count).map(|_| self.below(256) as u8).collect()
    }
}

/// How the end of a body is marked.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
    /// No body.
    None,
}

impl Framing {
    /// Draws one of the two framings of a body.
    fn draw(length: usize, random: &mut RandomStream) -> Self {
        if random.below(2) == 0 { Framing::Chunked } else { Framing::Length(length) }
    }

    /// The header that states the framing.
    fn header(self) -> String {
        match self {
            Framing::Length(length) => format!("Content-Length: {length}"),
            Framing::Chunked => "Transfer-Encoding: chunked".to_owned(),
            Framing::None => String::new(),
        }
    }
}

/// Writes a body in parts of random lengths, with a pause after some of them.
fn write_body(
    stream: &mut TcpStream,
    body: &[u8],
    framing: Framing,
    random: &mut RandomStream,
) -> std::io::Result<()> {
    let is_chunked = framing == Framing::Chunked;
    let mut rest = body;
    while !rest.is_empty() {
        let max_len = [7, 700, 70_000][random.below(3) as usize];
        let (part, more) = rest.split_at((1 + random.below(max_len) as usize).min(rest.len()));
        rest = more;
        if is_chunked {
            write!(stream, "{:x}\r\n", part.len())?;
        }
        stream.write_all(part)?;
        if is_chunked {
            stream.write_all(b"\r\n")?;
        }
        if random.below(50) == 0 {
            thread::sleep(Duration::from_millis(1));
        }
    }
    if is_chunked { stream.write_all(b"0\r\n\r\n") } else { Ok(()) }
}

/// A head in lower case, and the framing that it states.
struct Head {
    text: String,
    framing: Framing,
}

/// Reads a head; none if the connection ends first.
fn read_head(stream: &mut impl BufRead) -> Option<Head> {
    let mut text = String::new();
    while !text.ends_with("\r\n\r\n") {
        if stream.read_line(&mut text).ok()? == 0 {
            return None;
        }
    }
    let text = text.to_lowercase();
    let length = text.split("content-length: ").nth(1).and_then(|rest| rest.lines().next()?.parse().ok());
    let framing = match length {
        _ if text.contains("transfer-encoding: chunked") => Framing::Chunked,
        Some(length) => Framing::Length(length),
        None => Framing::None,
    };
    Some(Head { text, framing })
}

/// Reads a message and returns its head and its body.
fn read_message(stream: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let Head { text, framing } = read_head(stream)?;
    let mut body = Vec::new();
    match framing {
        Framing::None => return Some((text, body)),
        Framing::Length(length) => {
            body.resize(length, 0);
            stream.read_exact(&mut body).ok()?;
            return Some((text, body));
        }
        Framing::Chunked => {}
    }
    loop {
        let mut size = String::new();
        stream.read_line(&mut size).ok()?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        let start = body.len();
        body.resize(start + size, 0);
        stream.read_exact(&mut body[start..]).ok()?;
        stream.read_line(&mut String::new()).ok()?;
        if size == 0 {
            return Some((text, body));
        }
    }
}

/// The head of a request.
fn request_head(id: u64, framing: Framing) -> String {
    format!(
        "POST /book-lesson HTTP/1.1\r\nX-Service-Class: book-lesson\r\nX-Time-Left: 5\r\n\
         X-Correlation-Id: {id:016x}\r\n{}\r\n\r\n",
        framing.header()
    )
}

/// Sends a request without a body.
fn send_empty_request(stream: &mut BufReader<TcpStream>, id: u64) {
    let head = request_head(id, Framing::Length(0));
    stream.get_mut().write_all(head.as_bytes()).expect("the request is sent");
}

/// Uses both framings, for requests and responses.
#[test]
fn bodies_are_forwarded_byte_for_byte_however_they_are_cut() {
    let server = spawn_server(|mut stream| {
        let mut random = RandomStream(3);
        while let Some((_, body)) = read_message(&mut stream) {
            let framing = Framing::draw(body.len(), &mut random);
            let head = format!("HTTP/1.1 200 X\r\n{}\r\n\r\n", framing.header());
            let stream = stream.get_mut();
            let result = stream
                .write_all(head.as_bytes())
                .and_then(|()| write_body(stream, &body, framing, &mut random));
            if result.is_err() {
                return;
            }
        }
    });
    let deployment = Deployment::new(256, server);
    let _proxy = deployment.start_ready();
    let (mut random, mut idle) = (RandomStream(7), None);
    for id in 0..60 {
        let max_len = [100, 80_000, 600_000][random.below(3) as usize];
        let length = random.below(max_len);
        let body = random.bytes(length);
        let framing = Framing::draw(body.len(), &mut random);
        let mut stream: BufReader<TcpStream> =
            idle.take().unwrap_or_else(|| deployment.connect().expect("the proxy listens"));
        let output = stream.get_mut();
        output.write_all(request_head(id, framing).as_bytes()).expect("the head is sent");
        write_body(output, &body, framing, &mut random).expect("the body is sent");
        let (head, received) = read_message(&mut stream).expect("a response");
        assert!(head.starts_with("http/1.1 200"), "{head}");
        assert!(received == body, "request {id}: {} bytes of {}", received.len(), body.len());
        idle = Some(stream).filter(|_| !head.contains("connection: close"));
    }
}

/// Checks requests and responses.
#[test]
fn the_start_of_a_body_is_forwarded_before_the_rest_arrives() {
    const LENGTH: usize = 1 << 20;
    const START: usize = 100_000;
    let (start_sender, start_received) = channel();
    let (go_on, may_continue) = channel::<()>();
    let may_continue = Arc::new(Mutex::new(may_continue));
    let server = spawn_server(move |mut stream| {
        while read_head(&mut stream).is_some() {
            let mut start = vec![0; START];
            stream.read_exact(&mut start).expect("the start of the body");
            let _ = start_sender.send(());
            let mut rest = vec![0; LENGTH - START];
            stream.read_exact(&mut rest).expect("the rest of the body");
            let stream = stream.get_mut();
            write!(stream, "HTTP/1.1 200 X\r\nContent-Length: {LENGTH}\r\n\r\n").expect("the head is sent");
            stream.write_all(&start).expect("the start of the response is sent");
            let may_continue = may_continue.lock().expect("no thread panics with the lock");
            may_continue.recv_timeout(TIMEOUT).expect("the client has the start of the response");
            stream.write_all(&rest).expect("the rest of the response is sent");
        }
    });
    let deployment = Deployment::new(256, server);
    let _proxy = deployment.start_ready();
    let mut stream = deployment.connect().expect("the proxy listens");
    let output = stream.get_mut();
    let head = request_head(1, Framing::Length(LENGTH));
    output.write_all(head.as_bytes()).expect("the head is sent");
    output.write_all(&[1; START]).expect("the start of the body is sent");
    start_received.recv_timeout(TIMEOUT).expect("the server has the start of the body");
    output.write_all(&[2; LENGTH - START]).expect("the rest of the body is sent");
    let head = read_head(&mut stream).expect("the head of the response");
    let is_as_sent = head.text.starts_with("http/1.1 200") && head.framing == Framing::Length(LENGTH);
    assert!(is_as_sent, "{}", head.text);
    let mut start = vec![0; START];
    stream.read_exact(&mut start).expect("the start of the response");
    go_on.send(()).expect("the server waits");
    let mut rest = vec![0; LENGTH - START];
    stream.read_exact(&mut rest).expect("the rest of the response");
    assert!(start.iter().all(|byte| *byte == 1) && rest.iter().all(|byte| *byte == 2));
}

/// The peak memory use of the process, in kB.
fn peak_memory_kb(proxy: &ProxyProcess) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.id())).expect("the status");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("the peak");
    line.split_whitespace().nth(1).and_then(|peak| peak.parse().ok()).expect("a number")
}

/// The length of a large response.
const LARGE_RESPONSE: usize = 32 << 20;
/// The id of the request that gets a small response.
const SMALL_RESPONSE_ID: u64 = 255;

/// A server that sends large responses, except to the request with one particular id.
fn spawn_server_of_large_responses() -> SocketAddr {
    spawn_server(|mut stream| {
        while let Some((head, _)) = read_message(&mut stream) {
            let is_small = head.contains(&format!("{SMALL_RESPONSE_ID:016x}"));
            let length = if is_small { 5 } else { LARGE_RESPONSE };
            let stream = stream.get_mut();
            let mut result = write!(stream, "HTTP/1.1 200 X\r\nContent-Length: {length}\r\n\r\n");
            let part = [7; 64 * 1024];
            let mut left = length;
            while left > 0 && result.is_ok() {
                result = stream.write_all(&part[..left.min(part.len())]);
                left -= left.min(part.len());
            }
            if result.is_err() {
                return;
            }
        }
    })
}

/// A client that reads only the head of a large response for now.
fn start_reader(deployment: &Deployment, id: u64) -> BufReader<TcpStream> {
    let mut stream = deployment.connect().expect("the proxy listens");
    send_empty_request(&mut stream, id);
    let head = read_head(&mut stream).expect("the head of a response");
    assert!(head.framing == Framing::Length(LARGE_RESPONSE), "{}", head.text);
    stream
}

/// Reads the body of a large response.
fn read_large_response(reader: &mut BufReader<TcpStream>) {
    let mut received = 0;
    let mut part = vec![0; 64 * 1024];
    while received < LARGE_RESPONSE {
        let count = reader.read(&mut part).expect("more of the response");
        assert!(count > 0, "the response ends after {received} bytes");
        received += count;
    }
}

/// A client that reads nothing delays only its own response, and memory does not grow with the bodies.
#[test]
fn many_large_responses_to_slow_clients_stay_in_bounded_memory() {
    const READERS: u64 = 12;
    let deployment = Deployment::new(256, spawn_server_of_large_responses());
    let proxy = deployment.start_ready();
    let mut readers: Vec<_> = (0..READERS).map(|id| start_reader(&deployment, id)).collect();
    let mut other = deployment.connect().expect("the proxy listens");
    send_empty_request(&mut other, SMALL_RESPONSE_ID);
    let sent_at = Instant::now();
    assert!(read_message(&mut other).expect("a response").0.starts_with("http/1.1 200"));
    assert!(sent_at.elapsed() < Duration::from_secs(1), "{:?}", sent_at.elapsed());
    assert!(proxy.call_admin("GET /ops/readiness").is_some_and(|response| response.contains(" 200 ")));
    // Longer than the idle timeout. These connections are not idle, since their responses are not complete.
    thread::sleep(Duration::from_millis(2700));
    readers.iter_mut().for_each(read_large_response);
    let peak = peak_memory_kb(&proxy);
    assert!(peak < 24 * 1024, "{peak} kB for {READERS} responses of 32 MB");
}

/// A client may take 2 s to send a head, and may send its body at 64 kB per second.
#[test]
fn slow_clients_are_served() {
    let server = spawn_server(|mut stream| {
        while read_message(&mut stream).is_some() {
            if stream.get_mut().write_all(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok").is_err() {
                return;
            }
        }
    });
    let deployment = Deployment::new(256, server);
    let _proxy = deployment.start_ready();
    let send_slowly = |id: u64, length: usize, head_time: Duration| {
        let mut stream = deployment.connect().expect("the proxy listens");
        let head = request_head(id, Framing::Length(length));
        for part in head.as_bytes().chunks(head.len() / 20 + 1) {
            stream.get_mut().write_all(part).expect("a part of the head is sent");
            thread::sleep(head_time / 20);
        }
        for part in vec![1; length].chunks(6_400) {
            stream.get_mut().write_all(part).expect("a part of the body is sent");
            thread::sleep(Duration::from_millis(100));
        }
        read_message(&mut stream).map(|(head, _)| head)
    };
    thread::scope(|scope| {
        let slow_head = scope.spawn(|| send_slowly(1, 0, Duration::from_millis(2000)));
        let buffered_body = scope.spawn(|| send_slowly(2, 60_000, Duration::ZERO));
        let streamed_body = scope.spawn(|| send_slowly(3, 300_000, Duration::ZERO));
        for client in [slow_head, buffered_body, streamed_body] {
            let head = client.join().expect("the client does not panic").expect("a response");
            assert!(head.starts_with("http/1.1 200"), "{head}");
        }
    });
}

/// For an HTTP/1.0 client, the end of the connection marks the end of the body. An incomplete response must not look
/// complete, so the connection is reset.
#[test]
fn an_incomplete_response_resets_the_connection_of_an_http_1_0_client() {
    let server = spawn_server(|mut stream| {
        if read_message(&mut stream).is_some() {
            let stream = stream.get_mut();
            // Chunked, so that no length is stated, and without the last chunk.
            let start = vec![7; 200_000];
            let _ =
                write!(stream, "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n", start.len());
            let _ = stream.write_all(&start).and_then(|()| stream.write_all(b"\r\n"));
        }
    });
    let deployment = Deployment::new(256, server);
    let _proxy = deployment.start_ready();
    let mut stream = deployment.connect().expect("the proxy listens");
    let head = request_head(1, Framing::Length(0)).replace("HTTP/1.1", "HTTP/1.0");
    stream.get_mut().write_all(head.as_bytes()).expect("the request is sent");
    let end = stream.read_to_end(&mut Vec::new());
    assert!(end.is_err(), "{end:?}: the response looks complete");
}

/// The limit also holds while both processes forward large responses.
#[test]
fn both_processes_of_a_replacement_stay_within_one_limit_on_memory() {
    const READERS: u64 = 6;
    let deployment = Deployment::new(256, spawn_server_of_large_responses());
    let mut old = deployment.start_ready();
    let mut readers: Vec<_> = (0..READERS).map(|id| start_reader(&deployment, id)).collect();
    let new = deployment.start_ready();
    old.signal("TERM");
    old.wait_for_log("stopping");
    readers.extend((0..READERS).map(|id| start_reader(&deployment, 100 + id)));
    let both = peak_memory_kb(&old) + peak_memory_kb(&new);
    readers.iter_mut().for_each(read_large_response);
    old.wait_for_success();
    assert!(both < 32 * 1024, "{both} kB");
}
