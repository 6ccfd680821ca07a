//! What counts as written.

use std::io::IoSlice;

use mosshead_http_links::{RetryPolicy, SendProgress, WriteProgress};
use quickcheck::quickcheck;

/// Guards the proof that a job never ran: it holds until the very last byte, however writes are cut.
#[test]
fn a_message_is_whole_with_its_last_byte_only() {
    for cut in 1..30 {
        let written = WriteProgress::default();
        written.start_message(5);
        let message = b"POST / HTTP/1.1\r\na: \r\r\n\r\nabcde";
        let (all_but_one, last) = message.split_at(message.len() - 1);
        for part in all_but_one.chunks(cut) {
            written.record_write(part);
            assert!(!written.is_complete());
        }
        written.record_write(last);
        assert!(written.is_complete());
        written.start_message(0);
        assert!(!written.is_complete());
    }
}

quickcheck! {
    fn however_it_is_cut_it_is_whole_with_its_last_byte_only(head: String, body: Vec<u8>, cuts: Vec<u8>) -> bool {
        let head = head.replace("\r\n", "");
        let message = [head.as_bytes(), b"\r\n\r\n", &body].concat();
        // What the head itself ends with may be the start of its end.
        let headed = message.windows(4).position(|part| part == b"\r\n\r\n").map_or(0, |at| at + 4);
        let written = WriteProgress::default();
        written.start_message(message.len() - headed);
        let (mut rest, mut cuts) = (&message[..], cuts.iter().cycle());
        while !rest.is_empty() {
            if written.is_complete() {
                return false;
            }
            let cut = cuts.next().map_or(1, |&cut| usize::from(cut).clamp(1, rest.len()));
            written.record_write(&rest[..cut]);
            rest = &rest[cut..];
        }
        written.has_started() && written.is_complete()
    }
}

/// A body whose length is not known is whole on its sender's word alone.
#[test]
fn without_a_length_it_is_whole_when_its_sender_says_so() {
    let written = WriteProgress::default();
    written.start_message(usize::MAX);
    assert!(!written.has_started());
    written.record_write(b"POST / HTTP/1.1\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    assert!(written.has_started() && !written.is_complete());
    written.mark_complete();
    assert!(written.is_complete());
}

/// Writes these parts as the kernel takes them, so many bytes at a time; false if the message counts as whole at the
/// wrong byte.
fn counted_in_parts(parts: &[&[u8]], body: usize, cuts: &[u8]) -> bool {
    let written = WriteProgress::default();
    written.start_message(body);
    let message = parts.concat();
    let (mut at, mut cuts) = (0, cuts.iter().cycle());
    while at < message.len() {
        if written.progress().may_have_run() {
            return false;
        }
        // What is left of the parts, as a vectored write hands it over.
        let mut skipped = at;
        let mut left = Vec::new();
        for part in parts {
            let skip = skipped.min(part.len());
            skipped -= skip;
            left.push(IoSlice::new(&part[skip..]));
        }
        let taken = cuts.next().map_or(1, |&cut| usize::from(cut).clamp(1, message.len() - at));
        written.record_vectored_write(&left, taken);
        at += taken;
    }
    written.progress() == SendProgress::Complete
}

quickcheck! {
    fn however_parts_are_taken_it_is_whole_with_its_last_byte_only(head: String, body: Vec<u8>, cuts: Vec<u8>) -> bool {
        let head = format!("POST / HTTP/1.1\r\nx: {}\r\n\r\n", head.replace(['\r', '\n'], ""));
        let (first, second) = body.split_at(body.len() / 2);
        counted_in_parts(&[head.as_bytes(), b"", first, second], body.len(), &cuts)
    }
}

quickcheck! {
    /// With more bytes than were announced (as chunks are framed) it counts as whole too early, never too late.
    fn it_is_whole_at_the_latest_with_its_last_byte(body: Vec<u8>, announced: usize) -> bool {
        let announced = announced % (body.len() + 1);
        let written = WriteProgress::default();
        written.start_message(announced);
        written.record_write(b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n");
        written.record_write(&body);
        written.progress().may_have_run()
    }
}

#[test]
fn progress_and_policy_decide_whether_it_is_sent_again() {
    let written = WriteProgress::default();
    written.start_message(1);
    let mut seen = vec![written.progress()];
    written.record_write(b"GET / HTTP/1.1\r\n\r\n");
    seen.push(written.progress());
    written.record_write(b"x");
    seen.push(written.progress());
    assert_eq!(seen, [SendProgress::NotStarted, SendProgress::Partial, SendProgress::Complete]);
    let again =
        |policy: RetryPolicy| seen.iter().map(|&progress| policy.allows(progress)).collect::<Vec<_>>();
    assert_eq!(again(RetryPolicy::Always), [true, true, true]);
    assert_eq!(again(RetryPolicy::OnlyIfNeverSent), [true, true, false]);
}
