//! Which messages count as written completely, and which may therefore be retried.

use std::io::IoSlice;

use mosshead_http_links::{RetryPolicy, SendProgress, WriteProgress};
use quickcheck::quickcheck;

/// A request counts as not executed until its last byte is written, for any split into writes.
#[test]
fn a_message_is_complete_only_after_its_last_byte() {
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
    fn a_message_written_in_parts_is_complete_only_after_its_last_byte(head: String, body: Vec<u8>, lengths: Vec<u8>) -> bool {
        let head = head.replace("\r\n", "");
        let message = [head.as_bytes(), b"\r\n\r\n", &body].concat();
        // The head may end with bytes that already belong to the end marker.
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

/// Only the sender knows where a body of unknown length ends.
#[test]
fn a_message_of_unknown_length_is_complete_when_its_sender_marks_it() {
    let write_progress = WriteProgress::default();
    write_progress.start_message(usize::MAX);
    assert!(!write_progress.has_started());
    write_progress.record_write(b"POST / HTTP/1.1\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    assert!(write_progress.has_started() && !write_progress.is_complete());
    write_progress.mark_complete();
    assert!(write_progress.is_complete());
}

/// Records writes of these parts, of which the kernel accepts the next of `lengths` bytes each time. Returns false if
/// the message counts as complete at the wrong byte.
fn is_counted_correctly(parts: &[&[u8]], body: usize, lengths: &[u8]) -> bool {
    let write_progress = WriteProgress::default();
    write_progress.start_message(body);
    let message = parts.concat();
    let (mut position, mut lengths) = (0, lengths.iter().cycle());
    while position < message.len() {
        if write_progress.progress().may_have_run() {
            return false;
        }
        // The rest of the parts, as the buffers of a vectored write.
        let mut skipped = position;
        let mut remaining_buffers = Vec::new();
        for part in parts {
            let skip = skipped.min(part.len());
            skipped -= skip;
            remaining_buffers.push(IoSlice::new(&part[skip..]));
        }
        let count =
            lengths.next().map_or(1, |&length| usize::from(length).clamp(1, message.len() - position));
        write_progress.record_vectored_write(&remaining_buffers, count);
        position += count;
    }
    write_progress.progress() == SendProgress::Complete
}

quickcheck! {
    fn a_message_from_vectored_writes_is_complete_only_after_its_last_byte(head: String, body: Vec<u8>, lengths: Vec<u8>) -> bool {
        let head = format!("POST / HTTP/1.1\r\nx: {}\r\n\r\n", head.replace(['\r', '\n'], ""));
        let (first, second) = body.split_at(body.len() / 2);
        is_counted_correctly(&[head.as_bytes(), b"", first, second], body.len(), &lengths)
    }
}

quickcheck! {
    /// A message with more bytes than announced, as with chunked encoding, may count as complete too early but not too
    /// late.
    fn a_message_longer_than_announced_is_complete_after_its_last_byte(body: Vec<u8>, announced: usize) -> bool {
        let announced = announced % (body.len() + 1);
        let write_progress = WriteProgress::default();
        write_progress.start_message(announced);
        write_progress.record_write(b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n");
        write_progress.record_write(&body);
        write_progress.progress().may_have_run()
    }
}

#[test]
fn progress_and_policy_determine_if_a_message_may_be_retried() {
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
