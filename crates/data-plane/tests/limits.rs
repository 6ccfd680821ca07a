//! How often a request is sent, how long it is held, and what is too large.

mod common;

use std::rc::Rc;

use common::{Act, Proxy, SEAL, Stand, good, never_ran, run};

async fn stands(count: usize, act: &Act) -> Vec<Rc<Stand>> {
    let mut stands = Vec::new();
    for at in 0..count {
        let act = act.clone();
        stands.push(Stand::new(&format!("s-{at}"), "plain", None, move |_| act.clone()).await);
    }
    stands
}

fn sends(stands: &[Rc<Stand>]) -> usize {
    stands.iter().map(|stand| stand.seen().len()).sum()
}

#[test]
fn a_request_is_sent_to_so_many_servers_as_its_route_says() {
    run(async {
        for (act, status) in [(Act::Close, 502), (never_ran(503), 503), (never_ran(421), 503)] {
            let stands = stands(6, &act).await;
            let servers: Vec<_> = stands.iter().map(|stand| &stand.server).collect();
            let proxy = Proxy::with(1, &servers).await;
            assert_eq!(proxy.ask("/again/", &[]).await.status, status, "{act:?}");
            assert_eq!(sends(&stands), 3, "{act:?}");
        }
    });
}

#[test]
fn without_a_budget_nothing_is_sent_twice() {
    run(async {
        for (act, status) in [(Act::Close, 502), (never_ran(503), 503)] {
            let stands = stands(3, &act).await;
            let servers: Vec<_> = stands.iter().map(|stand| &stand.server).collect();
            let proxy = Proxy::spending(1, 0.0, 0.0).await.knows(&servers);
            assert_eq!(proxy.ask("/again/", &[]).await.status, status, "{act:?}");
            assert_eq!(sends(&stands), 1, "{act:?}");
        }
    });
}

#[test]
fn the_budget_of_all_proxies_is_kept() {
    run(async {
        let stands = stands(3, &Act::Close).await;
        let servers: Vec<_> = stands.iter().map(|stand| &stand.server).collect();
        let proxy = Proxy::spending(1, 0.2, 4.0).await.knows(&servers);
        proxy.data_plane.set_proxy_count(2);
        for _ in 0..40 {
            assert_eq!(proxy.ask("/again/", &[]).await.status, 502);
        }
        assert!(sends(&stands) > 40, "some are repeated");
        assert!(sends(&stands) <= 40 + 8 + 2, "{}", sends(&stands));
    });
}

#[test]
fn a_server_that_is_dark_is_replaced_for_what_may_run_twice() {
    run(async {
        let first = Rc::new(std::cell::Cell::new(true));
        let script = || {
            let first = first.clone();
            move |_: &common::Seen| if first.replace(false) { Act::Never } else { good("elsewhere") }
        };
        let one = Stand::new("s-1", "plain", None, script()).await;
        let two = Stand::new("s-2", "plain", None, script()).await;
        [&one, &two].iter().for_each(|stand| stand.dark.set(true));
        let proxy = Proxy::with(1, &[&one.server, &two.server]).await;
        let answer = proxy.ask("/again/", &[]).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "elsewhere"));
    });
}

#[test]
fn a_server_that_works_for_long_is_not_asked_twice() {
    run(async {
        for path in ["/again/", "/once/"] {
            let stands = stands(2, &Act::Never).await;
            let proxy = Proxy::with(1, &[&stands[0].server, &stands[1].server]).await;
            let answer = proxy.ask(path, &[("x-deadline-ms", "1500")]).await;
            assert_eq!((answer.status, sends(&stands)), (502, 1), "{path}");
        }
    });
}

#[test]
fn a_body_that_is_too_long_is_refused_and_goes_nowhere() {
    run(async {
        let stands = stands(1, &good("")).await;
        let proxy = Proxy::with(1, &[&stands[0].server]).await;
        let long: &'static str = Box::leak("x".repeat(65_537).into_boxed_str());
        let answer = common::ask(proxy.front, "POST", "/once/", &[], long).await;
        assert_eq!((answer.status, sends(&stands)), (413, 0));
        let answer = common::ask(proxy.front, "POST", "/once/", &[], &long[1..]).await;
        assert_eq!((answer.status, sends(&stands)), (200, 1));
    });
}

fn head(more: &str) -> String {
    head_for(common::ID, more)
}

fn head_for(id: &str, more: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: {SEAL}\r\n{more}\r\n")
}

#[test]
fn an_answer_that_is_not_whole_never_reaches_a_client() {
    run(async {
        let answers = [
            String::new(),
            "this is not HTTP".to_owned(),
            "HTTP/1.1 200 OK\r\nX-Att".to_owned(),
            format!("{}1234", head("Content-Length: 9\r\n")),
            format!("{}4\r\n1234\r\n", head("Transfer-Encoding: chunked\r\n")),
            format!("{}1234", head("")),
            format!("{}1234", head("Content-Length: 4\r\nContent-Encoding: gzip\r\n")),
        ];
        for answer in answers {
            let (server, count) = common::raw("s-1", "plain", vec![answer.clone()], true).await;
            let proxy = Proxy::with(1, &[&server]).await;
            let got = proxy.ask("/once/", &[]).await;
            assert_eq!((got.status, got.body.as_str(), count.get()), (502, "", 1), "{answer}");
        }
    });
}

#[test]
fn bytes_after_a_whole_answer_belong_to_no_request() {
    run(async {
        let good = |body: &str| format!("{}{body}", head("Content-Length: 4\r\n"));
        for excess in [good("more"), "garbage".to_owned(), "\r\n\r\n".to_owned(), good("more").repeat(2)] {
            let answers =
                vec![good("1234") + &excess, format!("{}5678", head_for("1", "Content-Length: 4\r\n"))];
            let (server, _) = common::raw("s-1", "plain", answers, false).await;
            let proxy = Proxy::with(1, &[&server]).await;
            assert_eq!(proxy.ask("/once/", &[]).await.body, "1234");
            let got = proxy.ask("/once/", &[("x-attempt-id", "1")]).await;
            assert!(matches!((got.status, got.body.as_str()), (200, "5678") | (502, "")), "{got:?}");
        }
    });
}

#[test]
fn a_client_that_leaves_takes_its_request_along() {
    run(async {
        let stands = stands(1, &Act::Never).await;
        let proxy = Proxy::with(1, &[&stands[0].server]).await;
        let asks = proxy.ask("/once/", &[]);
        tokio::select! {
            _ = asks => panic!("no answer comes"),
            () = stands[0].until(|_| true) => {}
        }
        stands[0].until_left().await;
        assert_eq!(sends(&stands), 1);
    });
}
