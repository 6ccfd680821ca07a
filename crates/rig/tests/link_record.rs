//! How messages are read from the bytes that pass through a link.

use mosshead_rig::link_record::{ConnectionReader, LinkEventKind};
use mosshead_world::Time;
use mosshead_world::scenario::LinkKind;

/// Every checker depends on this: a message in chunks is one event, at its last byte, that started at its first.
#[test]
fn a_message_is_one_event_however_it_is_cut_into_chunks() {
    let request = b"POST /book-lesson/7?slot=1 HTTP/1.1\r\nX-Correlation-Id: 0123456789abcdef\r\nContent-Length: 4\r\n\r\nbody";
    let response = b"HTTP/1.1 503 X\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
    for cut in 1..request.len() {
        let mut reader = ConnectionReader::new(LinkKind::Server);
        let (first, second) = (Time::from_millis(1), Time::from_millis(2));
        assert_eq!(reader.on_bytes_from_proxy(first, &request[..cut]), []);
        let (id, class) = ("0123456789abcdef".to_owned(), "book-lesson".to_owned());
        let sent = LinkEventKind::AttemptSent { id: id.clone(), class, started_at: first };
        assert_eq!(reader.on_bytes_from_proxy(second, &request[cut..]), [sent]);
        let cut = cut.min(response.len() - 1);
        assert_eq!(reader.on_bytes_to_proxy(second, &response[..cut]), []);
        let received = LinkEventKind::ResponseReceived { id, status: 503, not_executed: true };
        assert_eq!(reader.on_bytes_to_proxy(second, &response[cut..]), [received]);
    }
}
