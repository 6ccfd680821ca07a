//! Bodies and answers larger than what is held: byte for byte, at once, and in bounded memory.

mod scenario;
mod stand;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use stand::{PATIENCE, Place, Proxy, node};

/// Draws that are the same each time.
struct Draws(u64);

impl Draws {
    fn below(&mut self, end: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % end
    }

    fn bytes(&mut self, count: u64) -> Vec<u8> {
        (0..count).map(|_| self.below(256) as u8).collect()
    }
}

/// Writes a body in the given framing, cut into pieces; some with a moment between them.
fn write_body(to: &mut TcpStream, body: &[u8], chunked: bool, draws: &mut Draws) -> std::io::Result<()> {
    let mut rest = body;
    while !rest.is_empty() {
        let most = [7, 700, 70_000][draws.below(3) as usize];
        let (piece, more) = rest.split_at((1 + draws.below(most) as usize).min(rest.len()));
        rest = more;
        if chunked {
            write!(to, "{:x}\r\n", piece.len())?;
        }
        to.write_all(piece)?;
        if chunked {
            to.write_all(b"\r\n")?;
        }
        if draws.below(50) == 0 {
            thread::sleep(Duration::from_millis(1));
        }
    }
    if chunked { to.write_all(b"0\r\n\r\n") } else { Ok(()) }
}

/// Reads a head, and says how its body is framed: a length, chunks, or neither.
fn read_head(from: &mut impl BufRead) -> Option<(String, Option<usize>, bool)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let head = head.to_lowercase();
    let length = head.split("content-length: ").nth(1).and_then(|rest| rest.lines().next()?.parse().ok());
    let chunked = head.contains("transfer-encoding: chunked");
    Some((head, length, chunked))
}

/// Reads a whole message, in whichever framing.
fn read_message(from: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let (head, length, chunked) = read_head(from)?;
    let mut body = Vec::new();
    if !chunked {
        body = vec![0; length.unwrap_or(0)];
        from.read_exact(&mut body).ok()?;
        return Some((head, body));
    }
    loop {
        let mut size = String::new();
        from.read_line(&mut size).ok()?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        let at = body.len();
        body.resize(at + size, 0);
        from.read_exact(&mut body[at..]).ok()?;
        from.read_line(&mut String::new()).ok()?;
        if size == 0 {
            return Some((head, body));
        }
    }
}

fn job(id: u64, framing: &str) -> String {
    format!(
        "POST /book-lesson HTTP/1.1\r\nX-Service-Class: book-lesson\r\nX-Time-Left: 5\r\n\
         X-Correlation-Id: {id:016x}\r\n{framing}\r\n\r\n"
    )
}

fn proxy(place: &Place) -> Proxy {
    let proxy = place.start();
    proxy.ready();
    proxy
}

fn framing(length: usize, chunked: bool) -> String {
    if chunked { "Transfer-Encoding: chunked".to_owned() } else { format!("Content-Length: {length}") }
}

/// Any cut into pieces, in either framing, both ways: what comes out is what went in.
#[test]
fn bodies_come_through_byte_for_byte_however_they_are_cut() {
    let place = Place::new(
        256,
        node(|mut stream| {
            let mut draws = Draws(3);
            while let Some((_, body)) = read_message(&mut stream) {
                let chunked = draws.below(2) == 0;
                let head = format!("HTTP/1.1 200 X\r\n{}\r\n\r\n", framing(body.len(), chunked));
                let to = stream.get_mut();
                let sent =
                    to.write_all(head.as_bytes()).and_then(|()| write_body(to, &body, chunked, &mut draws));
                if sent.is_err() {
                    return;
                }
            }
        }),
    );
    let _proxy = proxy(&place);
    let (mut draws, mut kept) = (Draws(7), None);
    for id in 0..60 {
        let most = [100, 80_000, 600_000][draws.below(3) as usize];
        let count = draws.below(most);
        let (body, chunked) = (draws.bytes(count), draws.below(2) == 0);
        let mut stream: BufReader<TcpStream> =
            kept.take().unwrap_or_else(|| place.connect().expect("the door"));
        let to = stream.get_mut();
        to.write_all(job(id, &framing(body.len(), chunked)).as_bytes()).expect("a head is taken");
        write_body(to, &body, chunked, &mut draws).expect("a body is taken");
        let (head, answer) = read_message(&mut stream).expect("an answer");
        assert!(head.starts_with("http/1.1 200"), "{head}");
        assert!(answer == body, "job {id}: {} bytes of {}", answer.len(), body.len());
        kept = Some(stream).filter(|_| !head.contains("connection: close"));
    }
}

/// The first bytes pass on while the rest has not come yet, both ways.
#[test]
fn the_first_bytes_wait_for_nothing() {
    const ALL: usize = 1 << 20;
    const FIRST: usize = 100_000;
    let (came, node_has) = channel();
    let (go, may_go) = channel::<()>();
    let may_go = Arc::new(Mutex::new(may_go));
    let place = Place::new(
        256,
        node(move |mut stream| {
            while read_head(&mut stream).is_some() {
                let mut first = vec![0; FIRST];
                stream.read_exact(&mut first).expect("the first of the body");
                let _ = came.send(());
                let mut rest = vec![0; ALL - FIRST];
                stream.read_exact(&mut rest).expect("the rest of the body");
                let to = stream.get_mut();
                write!(to, "HTTP/1.1 200 X\r\nContent-Length: {ALL}\r\n\r\n").expect("a head is taken");
                to.write_all(&first).expect("the first of the answer is taken");
                may_go.lock().expect("the word").recv_timeout(PATIENCE).expect("the word");
                to.write_all(&rest).expect("the rest of the answer is taken");
            }
        }),
    );
    let _proxy = proxy(&place);
    let mut stream = place.connect().expect("the door");
    let to = stream.get_mut();
    to.write_all(job(1, &format!("Content-Length: {ALL}")).as_bytes()).expect("a head is taken");
    to.write_all(&[1; FIRST]).expect("the first of the body is taken");
    node_has.recv_timeout(PATIENCE).expect("it passes on");
    to.write_all(&[2; ALL - FIRST]).expect("the rest of the body is taken");
    let (head, length, _) = read_head(&mut stream).expect("the head of the answer");
    assert!(head.starts_with("http/1.1 200") && length == Some(ALL), "{head}");
    let mut first = vec![0; FIRST];
    stream.read_exact(&mut first).expect("the first of the answer");
    go.send(()).expect("the node waits");
    let mut rest = vec![0; ALL - FIRST];
    stream.read_exact(&mut rest).expect("the rest of the answer");
    assert!(first.iter().all(|byte| *byte == 1) && rest.iter().all(|byte| *byte == 2));
}

fn resident_kb(proxy: &Proxy) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).expect("its status");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("its peak");
    line.split_whitespace().nth(1).and_then(|figure| figure.parse().ok()).expect("a figure")
}

const ANSWER: usize = 32 << 20;

/// A node whose answers have 32 MB, but to one job.
fn large_answers() -> SocketAddr {
    node(|mut stream| {
        while let Some((head, _)) = read_message(&mut stream) {
            let length = if head.contains("00000000000000ff") { 5 } else { ANSWER };
            let to = stream.get_mut();
            let mut sent = write!(to, "HTTP/1.1 200 X\r\nContent-Length: {length}\r\n\r\n");
            let piece = [7; 64 * 1024];
            let mut left = length;
            while left > 0 && sent.is_ok() {
                sent = to.write_all(&piece[..left.min(piece.len())]);
                left -= left.min(piece.len());
            }
            if sent.is_err() {
                return;
            }
        }
    })
}

/// A submitter that takes the head of a large answer, and nothing more for now.
fn reader(place: &Place, id: u64) -> BufReader<TcpStream> {
    let mut stream = place.connect().expect("the door");
    stream.get_mut().write_all(job(id, "Content-Length: 0").as_bytes()).expect("a job is taken");
    let (head, length, _) = read_head(&mut stream).expect("the head of an answer");
    assert!(length == Some(ANSWER), "{head}");
    stream
}

/// Takes the rest of it.
fn take_all(reader: &mut BufReader<TcpStream>) {
    let mut all = 0;
    let mut piece = vec![0; 64 * 1024];
    while all < ANSWER {
        let count = reader.read(&mut piece).expect("more of the answer");
        assert!(count > 0, "cut off at {all}");
        all += count;
    }
}

/// Readers that take nothing slow only their own senders, and what is held does not grow with bodies.
#[test]
fn many_large_answers_to_slow_readers_stay_in_bounded_memory() {
    const READERS: u64 = 12;
    let place = Place::new(256, large_answers());
    let proxy = proxy(&place);
    let mut readers: Vec<_> = (0..READERS).map(|id| reader(&place, id)).collect();
    let mut other = place.connect().expect("the door");
    other.get_mut().write_all(job(255, "Content-Length: 0").as_bytes()).expect("a job is taken");
    let began = Instant::now();
    assert!(read_message(&mut other).expect("its answer").0.starts_with("http/1.1 200"));
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
    assert!(proxy.call("GET /ops/readiness").is_some_and(|answer| answer.contains(" 200 ")));
    // Idle for longer than an idle connection may be: they still take their answers.
    thread::sleep(Duration::from_millis(2700));
    readers.iter_mut().for_each(take_all);
    let peak = resident_kb(&proxy);
    assert!(peak < 24 * 1024, "{peak} kB for {READERS} answers of 32 MB");
}

/// A submitter may take 2 s for a head, and bring its body at 64 kB a second.
#[test]
fn slow_submitters_are_served() {
    let place = Place::new(
        256,
        node(|mut stream| {
            while read_message(&mut stream).is_some() {
                if stream.get_mut().write_all(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok").is_err() {
                    return;
                }
            }
        }),
    );
    let _proxy = proxy(&place);
    let slow = |id: u64, length: usize, in_head: Duration| {
        let mut stream = place.connect().expect("the door");
        let head = job(id, &format!("Content-Length: {length}"));
        for part in head.as_bytes().chunks(head.len() / 20 + 1) {
            stream.get_mut().write_all(part).expect("a part is taken");
            thread::sleep(in_head / 20);
        }
        for part in vec![1; length].chunks(6_400) {
            stream.get_mut().write_all(part).expect("a part is taken");
            thread::sleep(Duration::from_millis(100));
        }
        read_message(&mut stream).map(|(head, _)| head)
    };
    thread::scope(|scope| {
        let head = scope.spawn(|| slow(1, 0, Duration::from_millis(2000)));
        let held = scope.spawn(|| slow(2, 60_000, Duration::ZERO));
        let flows = scope.spawn(|| slow(3, 300_000, Duration::ZERO));
        for answer in [head, held, flows] {
            let answer = answer.join().expect("a submitter").expect("an answer");
            assert!(answer.starts_with("http/1.1 200"), "{answer}");
        }
    });
}

/// Danger: to a submitter of the older version the end of a body is the end of the connection. Half an answer must not look
/// whole: the connection is reset.
#[test]
fn half_an_answer_never_looks_whole_to_the_older_version() {
    let place = Place::new(
        256,
        node(|mut stream| {
            if read_message(&mut stream).is_some() {
                let to = stream.get_mut();
                // Chunks, so that no length is known, and no last one.
                let half = vec![7; 200_000];
                let _ =
                    write!(to, "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n", half.len());
                let _ = to.write_all(&half).and_then(|()| to.write_all(b"\r\n"));
            }
        }),
    );
    let _proxy = proxy(&place);
    let mut stream = place.connect().expect("the door");
    let job = job(1, "Content-Length: 0").replace("HTTP/1.1", "HTTP/1.0");
    stream.get_mut().write_all(job.as_bytes()).expect("a job is taken");
    let end = stream.read_to_end(&mut Vec::new());
    assert!(end.is_err(), "{end:?}: it looks whole");
}

/// Both processes of a replacement together hold no more than one may, also while both pass large answers on.
#[test]
fn both_processes_of_a_replacement_stay_in_one_limit_of_memory() {
    const READERS: u64 = 6;
    let place = Place::new(256, large_answers());
    let mut old = proxy(&place);
    let mut readers: Vec<_> = (0..READERS).map(|id| reader(&place, id)).collect();
    let new = proxy(&place);
    old.signal("TERM");
    old.wait("stopping");
    readers.extend((0..READERS).map(|id| reader(&place, 100 + id)));
    let both = resident_kb(&old) + resident_kb(&new);
    readers.iter_mut().for_each(take_all);
    old.ends_well();
    assert!(both < 32 * 1024, "{both} kB");
}
