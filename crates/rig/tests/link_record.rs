//! How messages are read from the bytes that pass through a link, and how events are written.

use mosshead_emulator::proxy_links::{LinkEndpoint, ProcessEvent, ProcessSignal};
use mosshead_rig::link_record::{ConnectionReader, LinkEvent, LinkEventKind, ReceivedEntry};
use mosshead_world::Time;
use mosshead_world::scenario::{LinkKind, StoredStateCondition};

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

/// `crossed.txt` of all versions can be compared only if its words stay as they were at first.
#[test]
fn an_event_is_written_with_the_words_of_the_first_version() {
    let address = "127.64.1.254:40000".parse().expect("the text is an address");
    let line = |link, kind| {
        let endpoint = Some(LinkEndpoint { kind: link, proxy: 2, server: None, zone: None, address });
        LinkEvent { at: Time::from_millis(1500), proxy: 2, endpoint, connection: 7, kind }.to_string()
    };
    let entries = vec![ReceivedEntry { id: "s-0".to_owned(), address, is_serving: true }];
    let list = LinkEventKind::ListReceived { status: 200, version: 3, is_full: true, entries };
    assert_eq!(
        line(LinkKind::Discovery, list),
        "    1.500000 proxy 2 List 127.64.1.254:40000 connection 7 Listed { status: 200, version: 3, full: true, \
         lines: [Line { id: \"s-0\", address: 127.64.1.254:40000, serving: true }] }"
    );
    let id = || "a".to_owned();
    let sent =
        LinkEventKind::AttemptSent { id: id(), class: "pay".to_owned(), started_at: Time::from_millis(2) };
    let response = LinkEventKind::ResponseReceived { id: id(), status: 503, not_executed: true };
    let stage = LinkEventKind::StageReported { status: 200, stage: "full".to_owned() };
    for (link, kind, expected) in [
        (LinkKind::Server, LinkEventKind::ConnectionOpened, "Nodes 127.64.1.254:40000 connection 7 Opened"),
        (LinkKind::Server, LinkEventKind::ConnectionEnded, "connection 7 Ended"),
        (LinkKind::Discovery, LinkEventKind::ListRequested { from: Some(3) }, "Call { from: Some(3) }"),
        (LinkKind::Server, sent, "Sent { id: \"a\", class: \"pay\", began: Time(2000) }"),
        (LinkKind::Server, response, "Answered { id: \"a\", status: 503, unprocessed: true }"),
        (
            LinkKind::Admin,
            stage,
            "Door 127.64.1.254:40000 connection 7 Said { status: 200, stage: \"full\" }",
        ),
    ] {
        let written = line(link, kind);
        assert!(written.ends_with(expected), "{written}");
    }
    for (event, expected) in [
        (ProcessEvent::StateFolderPrepared(StoredStateCondition::Kept), "Process(Finds(\"kept\"))"),
        (ProcessEvent::Signalled(ProcessSignal::Suspend), "Process(Signalled(\"SIGSTOP\"))"),
        (ProcessEvent::Ready, "Process(Ready)"),
    ] {
        let kind = LinkEventKind::Process(event);
        let event = LinkEvent { at: Time::ZERO, proxy: 0, endpoint: None, connection: 0, kind };
        assert_eq!(event.to_string(), format!("    0.000000 proxy 0 connection 0 {expected}"));
    }
}
