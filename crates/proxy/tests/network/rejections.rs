//! Invalid messages are rejected at once, and the proxy continues to serve.

use rstest::rstest;

use crate::scenario::play;

#[rstest]
#[case::unknown_class("GET /poem", "400")]
#[case::time_left_in_words("GET /slot-lookup left=soon", "400")]
#[case::negative_time_left("GET /slot-lookup left=-1", "400")]
#[case::time_left_not_a_number("GET /slot-lookup left=nan", "400")]
#[case::time_left_beyond_the_clock("GET /slot-lookup left=1e18", "400")]
#[case::endless_body("POST /book-lesson left=0.2 length=9 body=half", "408")]
#[case::no_id("raw GET /slot-lookup HTTP/1.1\\r\\nX-Time-Left: 1\\r\\n\\r\\n", "400 x-correlation-id")]
#[case::unknown_account(
    "raw GET /slot-lookup HTTP/1.1\\r\\nX-Correlation-Id: 00000000000000ab\\r\\nX-Account: who\\r\\n\\r\\n",
    "400 account"
)]
#[case::endless_head("raw GET /slot-lookup HTTP/1.1\\r\\nX: ENDLESS", "431")]
#[case::id_of_another_form("GET /slot-lookup id=not-a-number", "400 hex")]
#[case::other_method("POST /slot-lookup", "405")]
#[case::method_of_a_safe_class("GET /book-lesson", "405")]
#[case::body_of_a_safe_request("GET /slot-lookup body=x", "405")]
#[case::class_other_than_the_path("GET /slot-lookup class=book-lesson", "400 differ")]
#[case::header_given_twice("GET /slot-lookup X-Time-Left:9", "400 twice")]
#[case::negative_length("POST /book-lesson length=-5", "400")]
// Hyper drops the length of a chunked body, in which a second message may be hidden.
#[case::two_lengths("POST /book-lesson Transfer-Encoding:chunked", "400 twice connection:+close")]
#[case::two_keys("POST /book-lesson Idempotency-Key:a Idempotency-Key:a", "400 twice")]
#[case::empty_key("POST /book-lesson Idempotency-Key:", "400 empty")]
#[case::over_long_key("POST /book-lesson Idempotency-Key:KEY", "400 too+long")]
#[case::too_large("POST /book-lesson length=34603009", "413")]
#[case::garbage("raw \u{1}\u{2}\\r\\n\\r\\n", "400")]
fn an_invalid_message_is_rejected_and_closes_its_connection(#[case] message: &str, #[case] response: &str) {
    let scenario = format!(
        "proxy start n1
         a send {message}
         a expect {response}
         a expect closed
         b send GET /slot-lookup
         n1 expect slot-lookup
         n1 send 200 body=fine
         b expect 200 fine"
    );
    play(&scenario.replace("ENDLESS", &"x".repeat(20_000)).replace("KEY", &"k".repeat(256)));
}

/// Without a key, servers would execute the request again on each repeat.
#[test]
fn a_request_of_a_keyed_class_without_a_key_is_rejected() {
    play(
        "proxy start n1 effect=\"guarded\"
         a send POST /slot-lookup body=bread
         a expect 400 idempotency-key is+missing
         b send GET /slot-lookup
         b expect 405
         c send POST /slot-lookup Idempotency-Key:k1
         n1 expect idempotency-key:+k1",
    );
}
