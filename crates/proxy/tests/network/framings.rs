//! Requests and responses with all framings of HTTP/1.1.

use rstest::rstest;

use crate::scenario::play;

#[rstest]
#[case::chunked(
    "a send POST /book-lesson Transfer-Encoding:chunked length=none more=3;x=y\\r\\nabc\\r\\n2\\r\\nde\\r\\n0\\r\\n\\r\\n
     n1 expect book-lesson content-length:+5 abcde
     n1 send 200 Transfer-Encoding:chunked length=none more=2\\r\\nok\\r\\n0\\r\\nT:+x\\r\\n\\r\\n
     a expect 200 content-length:+2 ok"
)]
#[case::trailers(
    "a send POST /book-lesson Transfer-Encoding:chunked length=none more=1\\r\\na\\r\\n0\\r\\nTrailer-Field:+x\\r\\n\\r\\n
     n1 expect book-lesson content-length:+1
     n1 send 200 body=ok
     a expect 200 ok
     a send GET /slot-lookup
     n1 expect slot-lookup
     n1 send 200 body=next
     a expect next"
)]
#[case::continue_is_expected(
    "a send POST /book-lesson Expect:100-continue length=3
     a expect 100
     a send raw abc
     n1 expect book-lesson abc
     n1 send 200 body=ok
     a expect 200 ok"
)]
#[case::pipelined(
    "a send raw GET /slot-lookup HTTP/1.1\\r\\nX-Time-Left: 5\\r\\nX-Correlation-Id: 00000000000000a1\\r\\n\\r\\nGET /slot-lookup HTTP/1.1\\r\\nX-Time-Left: 5\\r\\nX-Correlation-Id: 00000000000000a2\\r\\n\\r\\n
     n1 expect 00000000000000a1
     n1 send 200 body=one
     a expect one
     n1 expect 00000000000000a2
     n1 send 200 body=two
     a expect two"
)]
#[case::http_1_0(
    "a send raw GET /slot-lookup HTTP/1.0\\r\\nX-Time-Left: 5\\r\\nX-Correlation-Id: 00000000000000a1\\r\\n\\r\\n
     n1 expect 00000000000000a1
     n1 send 200 body=one
     a expect 200 one
     a expect closed"
)]
#[case::a_response_ends_with_its_connection(
    "a send POST /book-lesson
     n1 expect book-lesson
     n1 send raw HTTP/1.1 200 X\\r\\nConnection: close\\r\\n\\r\\nbooked
     n1 close
     a expect 200 content-length:+6 booked"
)]
// With both framings, in either order, the content of the body must not be treated as a message.
#[case::both_framings(
    "a send POST /book-lesson Transfer-Encoding:chunked length=3 more=0\\r\\n\\r\\nGET+/slot-lookup+HTTP/1.1\\r\\n\\r\\n
     a expect 400 twice connection:+close
     a expect closed
     b send raw POST /book-lesson HTTP/1.1\\r\\nContent-Length: 3\\r\\nX-Time-Left: 5\\r\\nX-Correlation-Id: 00000000000000a1\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n0\\r\\n\\r\\n
     b expect 400 twice connection:+close"
)]
// Bodies above the buffer limit, in requests and responses; the connections are reused.
#[case::large_bodies(
    "a send POST /book-lesson body=LARGE
     n1 expect book-lesson content-length:+200000 LARGE
     n1 send 200 body=LARGE
     a expect 200 content-length:+200000 LARGE
     a send POST /book-lesson body=small
     n1 expect small
     n1 send 200 body=ok
     a expect ok"
)]
// A response that is cut off must not look complete, and its request must not be sent again.
#[case::a_large_response_breaks_off(
    "a send POST /book-lesson
     n1 expect book-lesson
     n1 send 200 length=300000 body=LARGE
     n1 close
     a expect closed
     b send POST /book-lesson id=0b
     n1 expect 000000000000000b
     n1 send 200 body=ok
     b expect ok"
)]
// A body that has been read beyond its start can't be sent again; the request was provably not executed.
#[case::a_large_body_is_rejected(
    "a send POST /book-lesson body=LARGE
     n1 expect LARGE
     n1 send 503 X-Unprocessed:1
     a expect 503 retry-after:
     b send POST /book-lesson id=0b
     n1 expect 000000000000000b
     n1 send 200 body=ok
     b expect ok"
)]
#[case::a_large_body_never_ends(
    "a send POST /book-lesson length=300000 body=LARGE
     proxy wait side=execute-node
     a expect 503"
)]
fn messages_of_every_form_are_forwarded(#[case] scenario: &str) {
    play(&format!("proxy start n1\n{}", scenario.replace("LARGE", &"0123456789".repeat(20_000))));
}
