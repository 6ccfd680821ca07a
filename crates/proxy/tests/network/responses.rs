//! A response of a server is forwarded only if it is complete.

use rstest::rstest;

use crate::scenario::play;

/// A request with an invalid response counts as executed. Bytes after a valid response are ignored, and the next
/// request gets its own response.
#[rstest]
// The header of a response that is cut off proves nothing.
#[case::unprocessed_but_broken("503 X-Unprocessed:1 length=9 body=half", "502", "broken")]
#[case::noise("raw noise\\r\\n\\r\\n", "502", "broken")]
#[case::no_length("200 length=none body=x", "502", "bad-answer")]
#[case::two_framings("200 Transfer-Encoding:chunked body=x", "502", "broken")]
#[case::three_gigabytes("200 length=3000000000 body=x", "502", "bad-answer")]
#[case::a_second_response_follows(
    "200 body=one more=HTTP/1.1+200+X\\r\\nContent-Length:+3\\r\\n\\r\\ntwo",
    "200 one",
    "broken"
)]
#[case::noise_follows("200 body=one more=noise", "200 one", "broken")]
fn an_incomplete_or_invalid_response_is_not_forwarded(
    #[case] response: &str,
    #[case] expected: &str,
    #[case] reason: &str,
) {
    let end = if response.contains("half") { "n1 close" } else { "n1 expect closed\nn1 close" };
    play(&format!(
        "proxy start n1
         a send POST /book-lesson
         n1 expect book-lesson
         n1 send {response}
         {end}
         a expect {expected}
         proxy wait side=execute-node
         b send POST /book-lesson
         n1 expect book-lesson
         n1 send raw HTTP/1.1 103 X\\r\\n\\r\\nHTTP/1.1 200 X\\r\\nX-Backend-Load: junk\\r\\nContent-Length: 3\\r\\n\\r\\nown
         b expect 200 own"
    ).replace("side=execute-node", &format!("reason={reason}")));
}
