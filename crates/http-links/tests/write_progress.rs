//! What counts as written, and what follows for a retry.

use std::io::IoSlice;

use mosshead_http_links::{RetryPolicy, SendProgress, WriteProgress};
use quickcheck::quickcheck;

/// A request counts as not executed until its very last byte is written, however the writes are split.
#[test]
fn a_message_is_complete_with_its_last_byte_only() {
    for length in 1..30 {
        let write_progress = WriteProgress::default();
        write_progress.start_message(5);
        let message = b"POST / HTTP/1.1\r\na: \r\r\n\r\nabcde";
        let (all_but_one, last) = message.split_at(message.len() - 1);
        for part in all_but_one.chunks(length) {
            write_progress.record_write(part);
            assert!(!write_progress.is_complete());
        }
        write_progress.record_write(last);
        assert!(write_progress.is_complete());
        write_progress.start_message(0);
        assert!(!write_progress.is_complete());
    }
}

quickcheck! {
    fn a_message_written_in_pieces_is_complete_with_its_last_byte_only(head: String, body: Vec<u8>, lengths: Vec<u8>) -> bool {
        let head = head.replace("\r\n", "");
        let message = [head.as_bytes(), b"\r\n\r\n", &body].concat();
        // The last bytes of the head may be the first ones of its end marker.
        let head_length = message.windows(4).position(|part| part == b"\r\n\r\n").map_or(0, |position| position + 4);
        let write_progress = WriteProgress::default();
        write_progress.start_message(message.len() - head_length);
        let (mut rest, mut lengths) = (&message[..], lengths.iter().cycle());
        while !rest.is_empty() {
            if write_progress.is_complete() {
                return false;
            }
            let length = lengths.next().map_or(1, |&length| usize::from(length).clamp(1, rest.len()));
            write_progress.record_write(&rest[..length]);
            rest = &rest[length..];
        }
        write_progress.has_started() && write_progress.is_complete()
    }
}

/// Only the sender knows the end of a body without a stated length.
#[test]
fn a_message_without_a_length_is_complete_when_its_sender_says_so() {
    let write_progress = WriteProgress::default();
    write_progress.start_message(usize::MAX);
    assert!(!write_progress.has_started());
    write_progress.record_write(b"POST / HTTP/1.1\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    assert!(write_progress.has_started() && !write_progress.is_complete());
    write_progress.mark_complete();
    assert!(write_progress.is_complete());
}

/// Writes these parts as the kernel takes them, so many bytes at a time; false if the message counts as complete at the
/// wrong byte.
fn is_counted_correctly(parts: &[&[u8]], body: usize, lengths: &[u8]) -> bool {
    let write_progress = WriteProgress::default();
    write_progress.start_message(body);
    let message = parts.concat();
    let (mut position, mut lengths) = (0, lengths.iter().cycle());
    while position < message.len() {
        if write_progress.progress().may_have_run() {
            return false;
        }
        // The remaining parts, as a vectored write passes them.
        let mut skipped = position;
        let mut left = Vec::new();
        for part in parts {
            let skip = skipped.min(part.len());
            skipped -= skip;
            left.push(IoSlice::new(&part[skip..]));
        }
        let count =
            lengths.next().map_or(1, |&length| usize::from(length).clamp(1, message.len() - position));
        write_progress.record_vectored_write(&left, count);
        position += count;
    }
    write_progress.progress() == SendProgress::Complete
}

quickcheck! {
    fn a_vectored_message_is_complete_with_its_last_byte_only(head: String, body: Vec<u8>, lengths: Vec<u8>) -> bool {
        let head = format!("POST / HTTP/1.1\r\nx: {}\r\n\r\n", head.replace(['\r', '\n'], ""));
        let (first, second) = body.split_at(body.len() / 2);
        is_counted_correctly(&[head.as_bytes(), b"", first, second], body.len(), &lengths)
    }
}

quickcheck! {
    /// A message with more bytes than announced, as with chunked framing, may count as complete too early, never too late.
    fn a_message_longer_than_announced_is_complete_at_the_latest_with_its_last_byte(body: Vec<u8>, announced: usize) -> bool {
        let announced = announced % (body.len() + 1);
        let write_progress = WriteProgress::default();
        write_progress.start_message(announced);
        write_progress.record_write(b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n");
        write_progress.record_write(&body);
        write_progress.progress().may_have_run()
    }
}

#[test]
fn progress_and_policy_decide_about_a_retry() {
    let write_progress = WriteProgress::default();
    write_progress.start_message(1);
    let mut observed = vec![write_progress.progress()];
    write_progress.record_write(b"GET / HTTP/1.1\r\n\r\n");
    observed.push(write_progress.progress());
    write_progress.record_write(b"x");
    observed.push(write_progress.progress());
    assert_eq!(observed, [SendProgress::NotStarted, SendProgress::Partial, SendProgress::Complete]);
    let may_be_retried =
        |policy: RetryPolicy| observed.iter().map(|&progress| policy.allows(progress)).collect::<Vec<_>>();
    assert_eq!(may_be_retried(RetryPolicy::Always), [true, true, true]);
    assert_eq!(may_be_retried(RetryPolicy::OnlyIfNeverSent), [true, true, false]);
}
