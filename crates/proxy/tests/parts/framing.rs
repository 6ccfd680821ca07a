//! Tests of `mosshead::framing`.

use mosshead::framing::{Position, RequestFraming};

/// Messages with all framings; the fourth and the sixth head state both.
const MESSAGES: &str = "\r\nGET /a HTTP/1.1\r\nX: 1\r\n\r\n\
    POST /b HTTP/1.1\r\nContent-Length: 40\r\n\r\nGET / HTTP/1.1\r\nTransfer-Encoding: a\r\n\r\n\
    POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: x\r\n\r\n\
    POST /d HTTP/1.1\r\ntransfer-encoding: chunked\r\nCONTENT-LENGTH: 4\r\n\r\n1\r\nx\r\n0\r\n\r\n\
    POST /e HTTP/1.0\nContent-Length: 0\n\n\
    POST /f HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n\
    GET /g HTTP/1.1\r\n\r\n";

/// Bytes that look like a head inside a body must not be treated as one.
#[test]
fn each_head_is_found_however_the_bytes_are_cut() {
    for cut in 1..MESSAGES.len() {
        let mut framing = RequestFraming::default();
        MESSAGES.as_bytes().chunks(cut).for_each(|part| framing.feed(part));
        assert_eq!(framing.pending_heads(), 7, "cut every {cut} bytes");
        let heads: Vec<_> = (0..7).map(|_| framing.next_has_both_framings()).collect();
        assert_eq!(heads, [false, false, false, true, false, true, false], "cut every {cut} bytes");
        assert_eq!(framing.position(), Position::Head);
    }
}

#[test]
fn after_an_invalid_head_both_framings_are_assumed() {
    let mut framing = RequestFraming::default();
    framing.feed(b"POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\nGET / HTTP/1.1\r\n\r\n");
    assert!(!framing.next_has_both_framings() && framing.next_has_both_framings());
}
