//! One connection of a proxy to a server: requests are handed to the world, and its responses are written.

use std::rc::Rc;

use mosshead_world::events::AttemptOutcome;
use mosshead_world::server::LoadReport;
use mosshead_world::{ConnectionId, Handshake, Input, RequestId};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use super::ServerEndpoint;
use crate::clients::response_body;
use crate::harness::Harness;
use crate::http::{HttpConnection, Message, MessageKind, Received, encode_response};

/// What there is of the body of a response that is cut off.
const TRUNCATED_BODY: &[u8] = b"half of it, and then";

/// What the world orders the connection of a server to do.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ConnectionCommand {
    /// The request has this outcome.
    Respond { request: RequestId, outcome: AttemptOutcome, report: LoadReport },
    /// The probe is answered with this report.
    RespondToProbe(LoadReport),
    /// The connection is reset.
    Reset,
}

/// Which side has ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndedBy {
    Server,
    Proxy,
}

pub(super) async fn serve(harness: Rc<Harness>, endpoint: ServerEndpoint, stream: TcpStream) {
    let ServerEndpoint { proxy, address } = endpoint;
    let id = ConnectionId(harness.next_number());
    let (sender, commands) = unbounded_channel();
    harness.connections.borrow_mut().insert(id, sender);
    harness.apply(Input::ConnectionOpened {
        connection: id,
        proxy,
        address,
        handshake: Handshake::DoneByKernel,
    });
    let http = HttpConnection::new(stream);
    let mut connection = ServerConnection { harness: harness.clone(), proxy, id, http, commands };
    let ended_by = connection.run().await;
    harness.connections.borrow_mut().remove(&id);
    match ended_by {
        EndedBy::Server => connection.http.reset(),
        EndedBy::Proxy => harness.apply(Input::ConnectionClosed { connection: id }),
    }
}

/// What is done with a message that was received.
enum Accepted {
    /// The world will order a response.
    AwaitsCommand,
    /// It is rejected with this status, and the world does not see it.
    RejectedWith(u16),
}

struct ServerConnection {
    harness: Rc<Harness>,
    proxy: usize,
    id: ConnectionId,
    http: HttpConnection,
    commands: UnboundedReceiver<ConnectionCommand>,
}

impl ServerConnection {
    /// Serves one message after the other.
    async fn run(&mut self) -> EndedBy {
        loop {
            let message = match self.next_message().await {
                Ok(message) => message,
                Err(ended_by) => return ended_by,
            };
            let response = match self.accept(&message) {
                Accepted::RejectedWith(status) => encode_response(status, "", b""),
                Accepted::AwaitsCommand => match self.await_response().await {
                    Ok(response) => response,
                    Err(ended_by) => return ended_by,
                },
            };
            // A response that is cut off within its body is the last one on its connection.
            let is_truncated = response.ends_with(TRUNCATED_BODY);
            if self.http.write_all(&response).await.is_err() || is_truncated {
                return EndedBy::Proxy;
            }
        }
    }

    async fn next_message(&mut self) -> Result<Message, EndedBy> {
        loop {
            tokio::select! {
                biased;
                command = self.commands.recv() => match command {
                    Some(ConnectionCommand::Reset) | None => return Err(EndedBy::Server),
                    // A response to a request that the proxy has given up.
                    Some(_) => continue,
                },
                received = self.http.read_message(MessageKind::Request) => match received {
                    Received::Message(message) => return Ok(message),
                    Received::Closed | Received::Malformed => return Err(EndedBy::Proxy),
                },
            }
        }
    }

    async fn await_response(&mut self) -> Result<Vec<u8>, EndedBy> {
        tokio::select! {
            biased;
            command = self.commands.recv() => match command {
                Some(ConnectionCommand::Reset) | None => Err(EndedBy::Server),
                Some(ConnectionCommand::RespondToProbe(report)) => {
                    Ok(encode_response(200, "", format_load(&report).as_bytes()))
                }
                Some(ConnectionCommand::Respond { request, outcome, report }) => {
                    let body = response_body(self.harness.seed, request);
                    Ok(encode_outcome(outcome, &report, &body, self.id))
                }
            },
            // One request at a time: what is received meanwhile is the end, or a fault of the proxy.
            has_bytes = self.http.wait_for_bytes() => {
                if has_bytes {
                    let what = "a second request on a connection with one under way";
                    self.harness.report_misbehaviour(self.proxy, what);
                }
                Err(EndedBy::Proxy)
            }
        }
    }

    /// Hands a message to the world, if it is one that a server takes.
    fn accept(&self, message: &Message) -> Accepted {
        let connection = self.id;
        if matches!(message.target.as_str(), "/ping" | "/_load") {
            if !self.harness.with_world(|world| world.scenario().proxy.allows_probes) {
                return Accepted::RejectedWith(404);
            }
            self.harness.apply(Input::ProbeSent { connection, number: connection.0 });
            return Accepted::AwaitsCommand;
        }
        let Some(id) = message.header("x-correlation-id") else { return Accepted::RejectedWith(404) };
        let Some(sent) = self.harness.clients.find_sent(self.proxy, id, message) else {
            self.harness.report_misbehaviour(self.proxy, "a request whose id no client sent");
            return Accepted::RejectedWith(400);
        };
        self.harness.apply(Input::AttemptStarted { connection, request: sent.request });
        self.harness.apply(Input::AttemptWritten {
            connection,
            request: sent.request,
            is_intact: sent.is_intact,
        });
        Accepted::AwaitsCommand
    }
}

fn format_load(report: &LoadReport) -> String {
    let LoadReport { requests_per_second, in_flight, queued, utilization, .. } = report;
    format!("qps={requests_per_second:.1},inflight={in_flight:.0},queue={queued:.0},util={utilization:.3}")
}

fn encode_outcome(
    outcome: AttemptOutcome,
    report: &LoadReport,
    body: &[u8],
    connection: ConnectionId,
) -> Vec<u8> {
    let load = format!("X-Backend-Load: {}\r\n", format_load(report));
    match outcome {
        AttemptOutcome::Served => encode_response(200, &load, body),
        AttemptOutcome::Errored | AttemptOutcome::Reset => encode_response(500, &load, b""),
        AttemptOutcome::Rejected => encode_response(503, &format!("{load}X-Unprocessed: 1\r\n"), b""),
        AttemptOutcome::Corrupted => corrupted_response(body, connection),
    }
}

/// Bytes that are no response, in one of five ways.
fn corrupted_response(body: &[u8], connection: ConnectionId) -> Vec<u8> {
    match connection.0 % 5 {
        0 => b"\x16\x03\x01 this is no answer\r\n\r\n".to_vec(),
        1 => [b"HTTP/1.1 200 X\r\nContent-Length: 5\r\nContent-Length: 9\r\n\r\n", body].concat(),
        2 => b"HTTP/1.1 200 X\r\nContent-Length: 3000000000\r\n\r\nmuch".to_vec(),
        3 => [b"HTTP/1.1 200 X\r\nContent-Length: 400\r\n\r\n", TRUNCATED_BODY].concat(),
        _ => b"HTTP/1.1 20".to_vec(),
    }
}
