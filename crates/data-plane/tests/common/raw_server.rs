//! A server that sends given bytes, whatever they are.

use std::cell::Cell;
use std::rc::Rc;

use mosshead_registry::Server;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::{REQUEST_BODY, listen, server};

/// A server that sends just these bytes for each request in turn, repeating the last one, and then closes the
/// connection if `closes`. Returned with the count of its requests.
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
    // Each request of these tests ends with its body.
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
