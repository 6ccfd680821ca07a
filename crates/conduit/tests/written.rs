//! What counts as written.

use mosshead_conduit::Written;
use quickcheck::quickcheck;

/// Guards the proof that a job never ran: it holds until the very last byte, however writes are cut.
#[test]
fn a_message_is_whole_with_its_last_byte_only() {
    for cut in 1..30 {
        let written = Written::default();
        written.arm(5);
        let message = b"POST / HTTP/1.1\r\na: \r\r\n\r\nabcde";
        let (all_but_one, last) = message.split_at(message.len() - 1);
        for part in all_but_one.chunks(cut) {
            written.count(part);
            assert!(!written.whole());
        }
        written.count(last);
        assert!(written.whole());
        written.arm(0);
        assert!(!written.whole());
    }
}

quickcheck! {
    fn however_it_is_cut_it_is_whole_with_its_last_byte_only(head: String, body: Vec<u8>, cuts: Vec<u8>) -> bool {
        let head = head.replace("\r\n", "");
        let message = [head.as_bytes(), b"\r\n\r\n", &body].concat();
        // What the head itself ends with may be the start of its end.
        let headed = message.windows(4).position(|part| part == b"\r\n\r\n").map_or(0, |at| at + 4);
        let written = Written::default();
        written.arm(message.len() - headed);
        let (mut rest, mut cuts) = (&message[..], cuts.iter().cycle());
        while !rest.is_empty() {
            if written.whole() {
                return false;
            }
            let cut = cuts.next().map_or(1, |&cut| usize::from(cut).clamp(1, rest.len()));
            written.count(&rest[..cut]);
            rest = &rest[cut..];
        }
        written.begun() && written.whole()
    }
}

/// A body whose length is not known is whole on its sender's word alone.
#[test]
fn without_a_length_it_is_whole_when_its_sender_says_so() {
    let written = Written::default();
    written.arm(usize::MAX);
    assert!(!written.begun());
    written.count(b"POST / HTTP/1.1\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    assert!(written.begun() && !written.whole());
    written.ended();
    assert!(written.whole());
}
