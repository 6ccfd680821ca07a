//! Tests of `mosshead::framing`.

use mosshead::framing::{Position, RequestFraming};

const SOME: &str = "\r\nGET /a HTTP/1.1\r\nX: 1\r\n\r\n\
    POST /b HTTP/1.1\r\nContent-Length: 40\r\n\r\nGET / HTTP/1.1\r\nTransfer-Encoding: a\r\n\r\n\
    POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: x\r\n\r\n\
    POST /d HTTP/1.1\r\ntransfer-encoding: chunked\r\nCONTENT-LENGTH: 4\r\n\r\n1\r\nx\r\n0\r\n\r\n\
    POST /e HTTP/1.0\nContent-Length: 0\n\n\
    POST /f HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n\
    GET /g HTTP/1.1\r\n\r\n";

/// Guards against a second message in a body, however the bytes are cut: a head in a body is none.
#[test]
fn each_head_is_found_however_the_bytes_are_cut() {
    for cut in 1..SOME.len() {
        let mut framing = RequestFraming::default();
        SOME.as_bytes().chunks(cut).for_each(|part| framing.feed(part));
        assert_eq!(framing.heads, [false, false, false, true, false, true, false], "cut {cut}");
        assert_eq!(framing.at, Position::Head);
    }
}

#[test]
fn what_makes_no_sense_is_taken_for_the_worst() {
    let mut framing = RequestFraming::default();
    framing.feed(b"POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\nGET / HTTP/1.1\r\n\r\n");
    assert!(!framing.next_has_both_framings() && framing.next_has_both_framings());
}
