//! What the operators' pages ask of a request on its way: the client's headers, the time that is left, and that nobody
//! works on for a client that has gone.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{Act, HOST, ID, Proxy, SEAL, Seen, Stand, WAIT, ask, config, good, handle, run};
use mosshead_config::Config;
use mosshead_registry::Stage;

async fn prefill_server(act: Act) -> Rc<Stand> {
    Stand::new("i-read", "llm", Some(Stage::Prefill), move |_| act.clone()).await
}

async fn decode_server(act: Act) -> Rc<Stand> {
    Stand::new("i-run", "llm", Some(Stage::Decode), move |_| act.clone()).await
}

fn stream() -> Act {
    Act::Events { ids: 1..=3, seal: SEAL, cut: false }
}

fn deadline(seen: &Seen) -> u64 {
    seen.header("x-deadline-ms").and_then(|left| left.parse().ok()).expect("a deadline")
}

#[test]
fn each_server_gets_the_client_s_word_of_model_and_prompt() {
    run(async {
        let (reader, runner) = (prefill_server(handle()).await, decode_server(stream()).await);
        let proxy = Proxy::with(1, &[&reader.server, &runner.server]).await;
        assert_eq!(proxy.prompt("/broken/", &[]).await.status, 200);
        for seen in [&reader.seen()[0], &runner.seen()[0]] {
            assert_eq!(seen.header("x-model-name"), Some("m"));
            assert_eq!(seen.header("x-token-count"), Some("1460,80"));
            assert_eq!(seen.header("x-prompt-prefix"), Some("5c1e07a2:800,91bd3f06:410,e4402b7d:250"));
        }
    });
}

#[test]
fn the_versions_of_weights_reach_the_client_unchanged() {
    run(async {
        let body = "versions: 7\nid: 1\ndata: one\n\nid: 2\ndata: two\n\n";
        let head =
            format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {ID}\r\nX-Server-Seal: {SEAL}\r\nVersions: 6\r\n");
        let answer = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        let (mut server, _) = common::raw("i-run", "llm", vec![answer], false).await;
        server.stage = Some(Stage::Decode);
        let proxy = Proxy::with(1, &[&server]).await;
        let answer = proxy.prompt("/broken/", &[]).await;
        assert_eq!((answer.status, answer.whole), (200, true));
        assert_eq!((answer.header("versions"), answer.body.as_str()), (Some("6"), body));
    });
}

#[test]
fn a_second_server_is_handed_the_time_that_is_left() {
    run(async {
        let first = Rc::new(Cell::new(true));
        let script = || {
            let first = first.clone();
            move |_: &Seen| if first.replace(false) { Act::Never } else { good("elsewhere") }
        };
        let one = Stand::new("s-1", "plain", None, script()).await;
        let two = Stand::new("s-2", "plain", None, script()).await;
        [&one, &two].iter().for_each(|stand| stand.dark.set(true));
        let proxy = Proxy::with(1, &[&one.server, &two.server]).await;
        let began = Instant::now();
        assert_eq!(proxy.ask("/again/", &[]).await.body, "elsewhere");
        let took = began.elapsed().as_millis() as u64;
        let mut deadlines = [deadline(&one.seen()[0]), deadline(&two.seen()[0])];
        deadlines.sort_unstable();
        let [later, earlier] = deadlines;
        assert!(earlier <= WAIT && earlier + took >= WAIT, "{earlier}");
        // A dark server is given up after a silence of 250 ms at least.
        assert!(later + 250 <= earlier && later + took >= WAIT, "{later} after {earlier}, {took} ms");
    });
}

#[test]
fn a_resumed_stream_s_server_is_handed_the_time_that_is_left() {
    run(async {
        let first = Rc::new(Cell::new(true));
        let script = || {
            let first = first.clone();
            move |_: &Seen| match first.replace(false) {
                true => Act::Stalls(1..=2),
                false => Act::Events { ids: 1..=3, seal: SEAL, cut: false },
            }
        };
        let one = Stand::new("i-1", "llm", Some(Stage::Decode), script()).await;
        let two = Stand::new("i-2", "llm", Some(Stage::Decode), script()).await;
        [&one, &two].iter().for_each(|stand| stand.dark.set(true));
        let proxy = Proxy::with(1, &[&one.server, &two.server]).await;
        assert!(proxy.prompt("/resumed/", &[]).await.whole);
        let mut deadlines = [deadline(&one.seen()[0]), deadline(&two.seen()[0])];
        deadlines.sort_unstable();
        assert!(deadlines[0] + 250 <= deadlines[1] && deadlines[1] <= WAIT, "{deadlines:?}");
    });
}

#[test]
fn without_a_deadline_of_the_client_s_the_route_s_timeout_is_handed_on() {
    run(async {
        let stand = Stand::new("s-1", "plain", None, |_| good("whole")).await;
        let proxy = Proxy::with(1, &[&stand.server]).await;
        assert_eq!(proxy.ask("/once/", &[("x-deadline-ms", "")]).await.status, 200);
        assert_eq!(proxy.ask("/once/", &[("x-deadline-ms", "60000")]).await.status, 200);
        let deadlines: Vec<u64> = stand.seen().iter().map(deadline).collect();
        assert!(deadlines.iter().all(|left| (7_000..=8_000).contains(left)), "{deadlines:?}");
    });
}

const TIMEOUT: Duration = Duration::from_millis(400);

/// A proxy all of whose routes have a short timeout.
async fn impatient(servers: &[&mosshead_registry::Server]) -> Proxy {
    let proxy = Proxy::empty(1).await;
    let short = format!("\"timeout_ms\":{}", TIMEOUT.as_millis());
    let text = config().to_json().replace("\"timeout_ms\":8000", &short);
    let config = Config::parse(text.as_bytes()).expect("a sound configuration");
    assert!(config.routes.iter().all(|route| route.timeout == TIMEOUT));
    assert!(proxy.data_plane.configure(Arc::new(config)));
    proxy.data_plane.update_servers(servers.iter().copied());
    proxy
}

/// A server that says nothing to a request, and still tells its load.
#[test]
fn a_request_without_an_answer_is_answered_at_its_route_s_timeout() {
    run(async {
        let plain = Stand::new("s-1", "plain", None, |_| Act::Never).await;
        let runner = decode_server(Act::Never).await;
        let proxy = impatient(&[&plain.server, &runner.server]).await;
        for path in ["/again/", "/once/", "/broken/", "/resumed/"] {
            let began = Instant::now();
            assert_eq!(proxy.prompt(path, &[("x-deadline-ms", "60000")]).await.status, 502, "{path}");
            assert!(began.elapsed() + Duration::from_millis(5) >= TIMEOUT, "{path}: {:?}", began.elapsed());
            assert!(began.elapsed() < TIMEOUT + Duration::from_millis(500), "{path}: {:?}", began.elapsed());
        }
    });
}

#[test]
fn a_prompt_that_is_never_read_is_answered_at_its_route_s_timeout() {
    run(async {
        let (reader, runner) = (prefill_server(Act::Never).await, decode_server(stream()).await);
        let proxy = impatient(&[&reader.server, &runner.server]).await;
        let began = Instant::now();
        let answer = proxy.prompt("/broken/", &[("x-deadline-ms", "60000")]).await;
        assert_eq!((answer.status, runner.seen().len()), (503, 0));
        assert!(began.elapsed() < TIMEOUT + Duration::from_millis(500), "{:?}", began.elapsed());
    });
}

/// Drops the client's connection once the server has got the request.
async fn leave(proxy: &Proxy, path: &str, at: &Stand) {
    let prompt = [("x-model-name", "m"), ("x-token-count", "1460,80"), ("x-prompt-prefix", "5c1e07a2:800")];
    tokio::select! {
        _ = ask(proxy.front, "POST", path, &prompt, "a body") => panic!("no answer comes from {HOST}"),
        () = at.until(|_| true) => {}
    }
    at.until_left().await;
}

#[test]
fn a_client_that_leaves_takes_its_stream_along() {
    run(async {
        for act in [Act::Stalls(1..=4), Act::Never] {
            let runner = decode_server(act).await;
            let proxy = Proxy::with(1, &[&runner.server]).await;
            leave(&proxy, "/resumed/", &runner).await;
            assert_eq!(runner.seen().len(), 1);
        }
    });
}

#[test]
fn a_client_that_leaves_takes_the_prefill_of_its_prompt_along() {
    run(async {
        let (reader, runner) = (prefill_server(Act::Never).await, decode_server(stream()).await);
        let proxy = Proxy::with(1, &[&reader.server, &runner.server]).await;
        leave(&proxy, "/resumed/", &reader).await;
        assert_eq!((reader.seen().len(), runner.seen().len()), (1, 0));
    });
}
