//! The server list in discovery's form.

use mosshead_decide::interface::Readiness;
use mosshead_settings::{JsonField, parse_json};
use mosshead_snapshot::server_list::{read_server_list, write_server_list};

/// During a replacement, the successor reads this list to learn which servers drain or start.
#[test]
fn a_server_list_is_unchanged_by_writing_and_reading() {
    let text = r#"{"version":7,"full":true,"servers":[
        {"id":"a\"b","addr":"127.0.0.1:5","zone":"z","kind":"m","cell":3,"state":"DRAINING","weight":0.3,
        "started_ms":1764616437123.0},{"id":"c","addr":"127.0.0.1:6","state":"SERVING"}]}"#;
    let read = |text: &str| {
        read_server_list(&JsonField::root(&parse_json(text).expect("the text is JSON")))
            .expect("the JSON is a server list")
    };
    let server_list = read(text);
    assert_eq!(read(&write_server_list(&server_list).expect("its numbers are finite")), server_list);
    assert_eq!(server_list.servers[0].readiness, Readiness::Draining);
}
