//! Clients that send malformed or incomplete requests.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::clients::CONNECT_TIMEOUT;
use crate::harness::Harness;
use crate::http::{HttpConnection, MessageKind, Received};

/// Within this a proxy responds to a malformed request with an error, or closes the connection.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(3000);
/// Header lines that together are longer than any head that a proxy reads.
const OVERSIZED_HEADERS: usize = 900;

/// What is wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Defect {
    NotHttp,
    NoCorrelationId,
    UnreadableTimeLeft,
    UnknownClass,
    NegativeLength,
    OversizedHead,
    LengthAndChunked,
    /// The head is cut off, and the client ends its side.
    TruncatedHead,
    NoBytes,
}

impl Defect {
    const ALL: [Self; 9] = [
        Self::NotHttp,
        Self::NoCorrelationId,
        Self::UnreadableTimeLeft,
        Self::UnknownClass,
        Self::NegativeLength,
        Self::OversizedHead,
        Self::LengthAndChunked,
        Self::TruncatedHead,
        Self::NoBytes,
    ];

    fn by_number(number: u64) -> Self {
        Self::ALL[(number % Self::ALL.len() as u64) as usize]
    }

    /// What the client sends, for a class of the scenario.
    fn request(self, class: &str, id: &str) -> String {
        let head = |lines: &str| format!("GET /{class}/1 HTTP/1.1\r\nHost: app.svc\r\n{lines}");
        match self {
            Self::NotHttp => "\x16\x03\x01\x02nothing that can be read\r\n\r\n".to_owned(),
            Self::NoCorrelationId => head("X-Time-Left: 2\r\n\r\n"),
            Self::UnreadableTimeLeft => head(&format!("X-Correlation-Id: {id}\r\nX-Time-Left: soon\r\n\r\n")),
            Self::UnknownClass => {
                head(&format!("X-Correlation-Id: {id}\r\nX-Time-Left: 2\r\nX-Service-Class: dance\r\n\r\n"))
            }
            Self::NegativeLength => {
                head(&format!("X-Correlation-Id: {id}\r\nX-Time-Left: 2\r\nContent-Length: -7\r\n\r\n"))
            }
            Self::OversizedHead => {
                head(&"X-Filler: and so on and so on and so on\r\n".repeat(OVERSIZED_HEADERS))
            }
            Self::LengthAndChunked => format!(
                "POST /{class}/1 HTTP/1.1\r\nX-Correlation-Id: {id}\r\nX-Time-Left: 2\r\nContent-Length: 4\r\n\
                 Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            ),
            Self::TruncatedHead => head("X-Correlation-Id: 12"),
            Self::NoBytes => String::new(),
        }
    }
}

/// Sends a malformed request, on a task of its own: an error or a close must follow in time, and it must not be
/// served. `number` selects what is wrong with it.
pub(crate) fn send_malformed_request(harness: &Rc<Harness>, proxy: usize, number: u64) {
    let class = harness.with_world(|world| {
        let class = world.scenario().classes.first();
        class.map(|class| class.name.clone()).unwrap_or_default()
    });
    let defect = Defect::by_number(number);
    let text = defect.request(&class, &format!("{number:016x}"));
    spawn_local(await_rejection(harness.clone(), proxy, text, defect == Defect::TruncatedHead));
}

async fn await_rejection(harness: Rc<Harness>, proxy: usize, request: String, ends_sending: bool) {
    let address = harness.proxies.address(proxy);
    let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else { return };
    let mut connection = HttpConnection::new(stream);
    // A proxy that has closed before the last byte has rejected the request.
    let _ = connection.write_all(request.as_bytes()).await;
    if ends_sending {
        let _ = connection.end_sending().await;
    }
    tokio::select! {
        received = connection.read_message(MessageKind::Response) => {
            if let Received::Message(message) = received && message.status == 200 {
                harness.report_misbehaviour(proxy, "a rude client was served");
            }
        }
        () = sleep(REJECTION_TIMEOUT) => {
            if harness.proxies.is_up(proxy) {
                let what = "a rude client got neither an error nor a close within 3 s";
                harness.report_misbehaviour(proxy, what);
            }
        }
    }
}
