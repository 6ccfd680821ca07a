//! A server that sends given bytes, valid HTTP or not.

use std::cell::Cell;
use std::rc::Rc;

use mosshead_registry::Server;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::{REQUEST_BODY, listen, server};

/// Starts a server that sends the next of these responses for each request, and repeats the last one when none are
/// left. It closes the connection after a response if `closes` is set. Returns the server and the count of its
/// requests.
pub(crate) async fn raw_server(
    id: &str,
    service: &str,
    responses: Vec<String>,
    closes: bool,
) -> (Server, Rc<Cell<usize>>) {
    let (listener, address) = listen().await;
    let count = Rc::new(Cell::new(0));
    let (counted, responses) = (count.clone(), Rc::new(responses));
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(serve(stream, counted.clone(), responses.clone(), closes));
        }
    });
    (server(id, service, None, address), count)
}

async fn serve(mut stream: TcpStream, count: Rc<Cell<usize>>, responses: Rc<Vec<String>>, closes: bool) {
    let mut received = Vec::new();
    // All requests of these tests end with the same body.
    while let Ok(1..) = stream.read_buf(&mut received).await {
        if !received.ends_with(REQUEST_BODY.as_bytes()) {
            continue;
        }
        received.clear();
        let index = count.get().min(responses.len() - 1);
        count.set(count.get() + 1);
        let _ = stream.write_all(responses[index].as_bytes()).await;
        if closes {
            return;
        }
    }
}
