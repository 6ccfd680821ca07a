//! What counts as written.

use mosshead_conduit::Written;

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
