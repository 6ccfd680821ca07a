//! Requests are forwarded unchanged, and each gets exactly one response.

use rstest::rstest;

use crate::scenario::play;

#[rstest]
// The method, path, query, body and id are forwarded, and so is the body of the response.
#[case::both_are_forwarded_unchanged(
    "proxy start n1
     a send POST /book-lesson/7?x=%20y id=00ab body=lesson
     n1 expect POST /book-lesson/7?x=%20y x-correlation-id:+00000000000000ab x-time-left: lesson
     n1 send 200 X-Backend-Load:inflight=1 body=booked
     a expect 200 booked
     a send GET /slot-lookup/1 id=00ac
     n1 expect GET /slot-lookup/1 00ac
     n1 send 200 body=free
     a expect 200 free"
)]
// The idempotency key is forwarded byte for byte with each attempt, for every class.
#[case::keys_are_forwarded_unchanged(
    "proxy start n1 effect=\"guarded\" send_cap=5
     a send POST /slot-lookup Idempotency-Key:00Ff-\u{e9}= body=bread
     n1 expect POST /slot-lookup idempotency-key:+00ff-\u{e9} bread
     n1 send 503 X-Unprocessed:1
     n1 expect POST /slot-lookup idempotency-key:+00ff-\u{e9} bread
     n1 send 500
     n1 expect POST /slot-lookup idempotency-key:+00ff-\u{e9} bread
     n1 send 200 body=baked
     a expect 200 baked
     a send POST /book-lesson Idempotency-Key:k2
     n1 expect POST /book-lesson idempotency-key:+k2
     n1 send 200 body=booked
     a expect 200 booked
     a send POST /book-lesson
     n1 expect POST /book-lesson
     n1 send 200 body=keyless
     a expect 200 keyless"
)]
// A request that may have been executed never gets a status that allows a retry, and an unsafe one is not retried.
#[case::an_error_is_no_rejection(
    "proxy start n1
     a send POST /book-lesson
     n1 expect book-lesson
     n1 send 500
     a expect 502"
)]
#[case::a_503_without_the_header_may_have_run(
    "proxy start n1
     a send POST /book-lesson
     n1 expect book-lesson
     n1 send 503
     a expect 502"
)]
#[case::a_broken_connection_may_have_run(
    "proxy start n1
     a send POST /book-lesson
     n1 expect book-lesson
     n1 close
     a expect 502
     proxy wait side=execute-node"
)]
#[case::a_broken_response_may_have_run(
    "proxy start n1
     a send POST /book-lesson
     n1 expect book-lesson
     n1 send 200 length=9 body=half
     n1 close
     a expect 502
     proxy wait reason=broken"
)]
// A request that was provably not executed is rejected, with the delay before a retry.
#[case::a_rejection_is_passed_on(
    "proxy start n1 send_cap=1
     a send POST /book-lesson
     n1 expect book-lesson
     n1 send 503 X-Unprocessed:1
     a expect 503 retry-after:"
)]
#[case::a_refused_connection_never_ran(
    "proxy start dead send_cap=1
     a send POST /book-lesson
     a expect 503 retry-after:
     proxy wait reason=refused"
)]
// An attempt that is aborted closes its connection.
#[case::an_attempt_times_out_with_the_client(
    "proxy start n1 target_s=0.3
     a send GET /slot-lookup left=0.5
     n1 expect slot-lookup
     a expect 502
     n1 expect closed
     proxy wait reason=given-up"
)]
// When a client disconnects, its attempt is cancelled.
#[case::a_client_leaves(
    "proxy start n1
     a send POST /book-lesson
     n1 expect book-lesson
     a close
     proxy wait reason=submitter-gone
     n1 expect closed
     n1 close
     b send GET /_health
     b expect 200"
)]
// An idle connection is reused, unless the server closes it.
#[case::connections_are_reused(
    "proxy start n1
     a send POST /book-lesson id=01
     n1 expect book-lesson
     n1 send 200 body=one
     a expect one
     a send POST /book-lesson id=02
     n1 expect 02
     n1 send 200 Connection:close body=two
     n1 close
     a expect two
     a send POST /book-lesson id=03
     n1 expect 03
     n1 send 200 body=three
     a expect three"
)]
// At the maximum of pending requests, the next one is rejected before the balancer sees it.
#[case::too_many_pending_requests(
    "proxy start n1 most_held=1
     a send POST /book-lesson
     n1 expect book-lesson
     b send POST /book-lesson
     b expect 503 retry-after:
     n1 send 200 body=done
     a expect 200 done"
)]
fn a_request_has_exactly_one_response(#[case] scenario: &str) {
    play(scenario);
}

/// A server treats a second request with the same id as a repeat of the first one.
#[rstest]
#[case::pending_or_finished_not_long_ago(
    "proxy start n1
     a send POST /book-lesson id=07
     n1 expect 07
     b send POST /book-lesson id=07
     b expect 409
     n1 send 200 body=booked
     a expect 200 booked
     c send POST /book-lesson id=07
     c expect 409"
)]
#[case::free_after_a_request_that_was_never_sent(
    "proxy start n1 most_held=1
     a send POST /book-lesson
     n1 expect book-lesson
     b send POST /book-lesson id=07
     b expect 503
     n1 send 200 body=done
     a expect 200 done
     b send POST /book-lesson id=07
     n1 expect 07
     n1 send 200 body=booked
     b expect 200 booked"
)]
fn an_id_in_use_is_rejected(#[case] scenario: &str) {
    play(scenario);
}
