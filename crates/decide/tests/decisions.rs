//! The mechanism and each departure from it: what each test names went wrong, or would, without the code.

mod common;
use common::*;
use mosshead_decide::Balancer;
use mosshead_decide::interface::*;
use rstest::rstest;

fn counts(host: &mut Host, requests: usize, servers: usize) -> Vec<usize> {
    let mut counts = vec![0; servers];
    for _ in 0..requests {
        let sent = host.place(SAFE);
        counts[sent.endpoint.0 as usize] += 1;
        host.now += 0.02;
        host.serve(sent);
    }
    counts
}

/// Gives every server a first report, so that none is judged by the fleet's mean.
fn introduce(host: &mut Host, reports: &[LoadReport]) {
    let mut missing: Vec<usize> = (0..reports.len()).collect();
    while !missing.is_empty() {
        let sent = host.place(SAFE);
        host.now += 0.001;
        let at = sent.endpoint.0 as usize;
        host.end(sent, Outcome::Served, reports[at]);
        missing.retain(|&index| index != at);
    }
}

#[test]
fn the_lower_of_the_pair_gets_the_request() {
    let mut host = Host::new(settings(), fleet(2));
    introduce(&mut host, &[load(16.0, 2.0), load(1.0, 0.0)]);
    let first: Vec<u32> = (0..3).map(|_| host.place(SAFE).endpoint.0).collect();
    assert_eq!(first, [1, 1, 1]);
}

#[test]
fn own_attempts_count_before_any_report_and_ties_fall_at_random() {
    let mut host = Host::new(settings(), fleet(2));
    let mut placed = [0; 2];
    for _ in 0..8 {
        placed[host.place(UNSAFE).endpoint.0 as usize] += 1;
    }
    assert_eq!(placed, [4, 4], "each send raises the figure of its server");
    let mut host = Host::new(settings(), fleet(2));
    let ties = counts(&mut host, 200, 2);
    assert!(ties.iter().all(|count| (60..140).contains(count)), "{ties:?}");
}

#[test]
fn the_choice_is_of_two_not_of_all() {
    let mut host = Host::new(settings(), fleet(4));
    let counts = counts(&mut host, 400, 4);
    assert!(counts.iter().all(|count| *count > 40), "{counts:?}");
    introduce(&mut host, &[load(0.0, 0.0), load(3.0, 0.0), load(3.0, 0.0), load(3.0, 0.0)]);
    let mut first = 0;
    for _ in 0..40 {
        let mut again = Host::new(settings(), fleet(4));
        again.balancer = host.balancer.clone();
        again.now = host.now;
        first += usize::from(again.place(SAFE).endpoint.0 == 0);
        let sent = host.place(UNSAFE);
        host.serve(sent);
    }
    assert!((8..36).contains(&first), "the lowest of four wins {first} of 40 draws, not all of them");
}

#[test]
fn one_ready_server_is_sent_to() {
    let mut host = Host::new(settings(), fleet(1));
    assert_eq!(host.place(UNSAFE).endpoint, EndpointId(0));
}

/// Danger: equal counts overload the smaller server.
#[test]
fn load_is_divided_by_the_registered_size() {
    let servers = vec![ListEntry { weight: 3.0, ..entry(0) }, entry(1)];
    let mut host = Host::new(settings(), servers.clone());
    let placed: Vec<u32> = (0..6).map(|_| host.place(UNSAFE).endpoint.0).collect();
    assert!((4..=5).contains(&placed.iter().filter(|server| **server == 0).count()), "{placed:?}");
    let mut host = Host::new(Settings { weights: Weights::Unused, ..settings() }, servers);
    let placed: Vec<u32> = (0..6).map(|_| host.place(UNSAFE).endpoint.0).collect();
    assert_eq!(placed.iter().filter(|server| **server == 0).count(), 3);
}

/// Danger: an old report repeated on each answer wipes out what has been sent since.
#[test]
fn a_repeated_report_is_not_fresh() {
    let mut host = Host::new(settings(), fleet(2));
    introduce(&mut host, &[load(1.6, 0.0), load(2.3, 0.0)]);
    let out: Vec<Sent> = (0..3).map(|_| host.place(UNSAFE)).collect();
    let busy = out.iter().filter(|sent| sent.endpoint.0 == 0).copied().collect::<Vec<_>>();
    host.now += 0.005;
    host.end(busy[0], Outcome::Served, load(1.6, 0.0));
    let next = host.place(UNSAFE);
    assert_eq!(next.endpoint.0, 0, "one answer makes room for one request");
    assert_eq!(host.place(UNSAFE).endpoint.0, 1, "and not for all that the report has not seen");
}

/// Lets two attempts pile up at one server and fails both; what went elsewhere is served.
fn fail_twice(host: &mut Host, class: ClassId, server: EndpointId, outcome: Outcome) {
    let (mut there, mut elsewhere) = (Vec::new(), Vec::new());
    while there.len() < 2 && elsewhere.len() < 20 {
        let sent = host.place(class);
        if sent.endpoint == server { there.push(sent) } else { elsewhere.push(sent) }
    }
    host.now += 0.01;
    for sent in elsewhere {
        host.serve(sent);
    }
    host.now += if matches!(outcome, Outcome::TimedOut | Outcome::Cancelled) { 0.7 } else { 0.0 };
    for sent in there {
        if outcome == Outcome::Cancelled {
            host.tell(Event::RequestWithdrawn { request: sent.job });
        }
        host.end(sent, outcome, LoadReport::default());
    }
    host.out.clear();
}

/// Danger: with a part of the fleet gone the others are given more than they answer in time; they choke, and stay
/// choked while they are given as much as before. What finds no room is refused at once.
#[test]
fn late_answers_leave_a_server_less_room() {
    let mut all = settings();
    all.classes[SAFE.0].latency_target = 0.1;
    // Nothing but the room can refuse these.
    all.classes[UNSAFE.0].latency_target = 100.0;
    all.classes[UNSAFE.0].deadline = 100.0;
    let mut host = Host::new(all, fleet(1));
    let mut serve_after = |wait: Seconds| {
        let jobs: Vec<RequestId> = (0..40).map(|_| host.ask_as(UNSAFE, None, 100.0).0).collect();
        let sent: Vec<Sent> = std::mem::take(&mut host.out);
        let refusals = jobs.iter().filter(|job| refused(&host.actions, **job)).count();
        assert_eq!(sent.len() + refusals, 40, "each is sent or refused at once");
        host.now += wait;
        sent.iter().for_each(|sent| drop(host.serve(*sent)));
        sent.len()
    };
    let soon = (0..200).map(|_| serve_after(0.05)).last();
    assert!(soon > Some(10), "{soon:?} at once");
    let late = (0..12).map(|_| serve_after(0.15)).last();
    assert!(late <= Some(2), "{late:?} at once");
    let soon = (0..200).map(|_| serve_after(0.05)).last();
    assert!(soon > Some(10), "{soon:?} at once");
}

/// Danger: proxies that start together know nothing; each with a full room would send a server many times what it can hold.
#[rstest]
// Beyond six at once the price of work refuses these.
#[case::alone(0.0, 6)]
#[case::one(1.0, 6)]
#[case::six(6.0, 2)]
#[case::hundred(100.0, 1)]
fn what_is_sent_to_an_unknown_server_is_a_part_of_the_fleets_room(#[case] proxies: f64, #[case] room: usize) {
    let mut all = settings();
    all.proxy_count = proxies;
    all.classes[UNSAFE.0].latency_target = 100.0;
    all.classes[UNSAFE.0].deadline = 100.0;
    let mut host = Host::new(all, fleet(1));
    let sent = |host: &mut Host| {
        (0..40).for_each(|_| _ = host.ask_as(UNSAFE, None, 100.0));
        std::mem::take(&mut host.out)
    };
    let first = sent(&mut host);
    assert_eq!(first.len(), room);
    // Answers in time give it more.
    host.now += 0.01;
    first.iter().for_each(|sent| drop(host.serve(*sent)));
    assert!(sent(&mut host).len() >= room);
}

/// Danger: answers fail now and then at any server. Shunned for each, most of a sound fleet stands idle, and
/// the rest drowns.
#[test]
fn a_single_failure_shuns_nobody() {
    let mut host = Host::new(settings(), fleet(4));
    let (mut failed, mut placed) = ([false; 4], [0; 4]);
    for _ in 0..200 {
        let sent = host.place(UNSAFE);
        let at = sent.endpoint.0 as usize;
        placed[at] += 1;
        host.now += 0.01;
        let first = !std::mem::replace(&mut failed[at], true);
        host.end(sent, if first { Outcome::Reset } else { Outcome::Served }, LoadReport::default());
    }
    assert!(placed.iter().all(|count| *count > 30), "{placed:?}");
}

/// Danger: with most of a fleet shunned for silence the few others would get everything, and choke.
#[test]
fn the_few_not_shunned_do_not_get_everything() {
    let mut host = Host::new(settings(), fleet(4));
    for server in 0..3 {
        fail_twice(&mut host, UNSAFE, EndpointId(server), Outcome::Reset);
    }
    let placed = (0..40).filter(|_| {
        let sent = host.place(UNSAFE);
        host.now += 0.01;
        host.serve(sent);
        sent.endpoint.0 < 3
    });
    let placed = placed.count();
    assert!(placed > 10, "{placed} of 40");
}

/// Danger: a server that fails at once holds little and keeps winning pairs.
#[test]
fn fast_errors_are_shunned_and_tried_again_with_a_repeatable_request() {
    let mut host = Host::new(settings(), fleet(3));
    fail_twice(&mut host, SAFE, EndpointId(1), Outcome::Errored);
    for _ in 0..40 {
        let sent = host.place(UNSAFE);
        assert_ne!(sent.endpoint.0, 1, "shunned");
        host.now += 0.01;
        host.serve(sent);
    }
    host.pass(3.0);
    for _ in 0..20 {
        let sent = host.place(UNSAFE);
        assert_ne!(sent.endpoint.0, 1, "an unsafe request is no trial");
        host.serve(sent);
    }
    let trials = counts(&mut host, 40, 3);
    assert!(trials[1] > 3, "tried, proved and back: {trials:?}");
}

/// Danger: with most servers looking bad the evidence is contradictory, and shunning drowns the rest.
#[test]
fn when_most_servers_err_all_stay_candidates() {
    let mut host = Host::new(settings(), fleet(3));
    let mut erred = [false; 2];
    while erred.contains(&false) {
        let sent = host.place(UNSAFE);
        host.now += 0.001;
        match erred.get_mut(sent.endpoint.0 as usize) {
            Some(seen) => {
                *seen = true;
                host.end(sent, Outcome::Errored, LoadReport::default());
            }
            None => drop(host.serve(sent)),
        }
    }
    let mut placed = [0; 3];
    for _ in 0..12 {
        placed[host.place(UNSAFE).endpoint.0 as usize] += 1;
    }
    assert!(placed.iter().all(|count| *count > 1), "{placed:?}");
}

/// Danger: a server that answers nothing never shows a long answer.
#[test]
fn silence_counts_against_a_server() {
    let mut host = Host::new(settings(), fleet(3));
    for _ in 0..200 {
        host.ask(UNSAFE);
        host.now += 0.01;
        // Servers 1 and 2 answer after 0.03 s, server 0 never does.
        for sent in host.out.clone() {
            if sent.endpoint.0 > 0 && host.now - sent.at >= 0.03 {
                host.serve(sent);
            }
        }
    }
    for _ in 0..9 {
        assert_ne!(host.place(UNSAFE).endpoint.0, 0, "{:?}", host.out);
    }
}

#[test]
fn a_time_out_without_any_sign_of_life_is_remembered() {
    let mut host = Host::new(settings(), fleet(2));
    introduce(&mut host, &[load(1.0, 0.0), load(1.0, 0.0)]);
    fail_twice(&mut host, UNSAFE, EndpointId(1), Outcome::TimedOut);
    for _ in 0..3 {
        assert_ne!(host.place(UNSAFE).endpoint.0, 1);
    }
}

/// Danger: a hung server's attempts are called off when a copy wins, and it looks idle.
#[test]
fn a_called_off_attempt_at_a_silent_server_is_remembered() {
    let mut host = Host::new(settings(), fleet(4));
    fail_twice(&mut host, UNSAFE, EndpointId(1), Outcome::Cancelled);
    for _ in 0..3 {
        assert_ne!(host.place(UNSAFE).endpoint.0, 1);
    }
}

/// Danger: a restarted process judged by what its predecessor did.
#[test]
fn a_restart_wipes_the_entry_but_not_the_attempts_out() {
    let mut host = Host::new(settings(), fleet(2));
    let sent = host.place(UNSAFE);
    host.end(sent, Outcome::ConnectFailed, LoadReport::default());
    host.out.clear();
    let server = sent.endpoint.0;
    // It started long ago by now, so that it is warm.
    host.change(ListEntry { started_at: Some(host.now - 60.0), ..entry(server) });
    let placed: Vec<u32> = (0..6).map(|_| host.place(UNSAFE).endpoint.0).collect();
    assert!(placed.contains(&server), "{placed:?}");
}

/// Danger: numbers of servers that have gone are used again; the new one is not to blame for the old one.
#[test]
fn who_gets_the_number_of_one_that_has_gone_starts_afresh() {
    let mut host = Host::new(settings(), fleet(3));
    fail_twice(&mut host, UNSAFE, EndpointId(1), Outcome::Reset);
    host.tell(Event::ListUpdated(ListUpdate::Full(vec![entry(0), entry(2)])));
    host.change(entry(1));
    let placed = (0..20).filter(|_| host.place(UNSAFE).endpoint.0 == 1).count();
    assert!(placed > 3, "{placed} of 20");
}

/// Danger: a server not heard from yet, measured against a mean that has moved, looks slow or fast.
#[test]
fn a_server_not_heard_from_yet_looks_like_any_other() {
    let mut host = Host::new(settings(), fleet(2));
    for _ in 0..400 {
        let sent = host.place(SAFE);
        host.now += 0.0002;
        host.serve(sent);
    }
    host.change(ListEntry { started_at: Some(host.now - 60.0), ..entry(1) });
    let placed: Vec<u32> = (0..6).map(|_| host.place(UNSAFE).endpoint.0).collect();
    assert_eq!(placed.iter().filter(|server| **server == 1).count(), 3, "{placed:?}");
}

fn two_zones() -> Vec<ListEntry> {
    fleet(4)
        .into_iter()
        .map(|entry| ListEntry { zone: ZoneId(entry.endpoint.0 as usize / 2), ..entry })
        .collect()
}

/// Danger: where the pair is drawn at home first, the proxies of a crowded zone choke its servers while others idle.
#[test]
fn the_pair_is_drawn_from_all_zones() {
    let mut host = Host::new(settings(), two_zones());
    let placed = counts(&mut host, 200, 4);
    assert!(placed.iter().all(|count| *count > 25), "{placed:?}");
}

#[test]
fn without_a_home_server_the_other_zone_serves() {
    let mut host = Host::new(settings(), two_zones());
    host.tell(Event::ListUpdated(ListUpdate::Full(two_zones().split_off(2))));
    assert!(host.place(UNSAFE).endpoint.0 >= 2);
}

#[test]
fn a_subscription_is_asked_for_and_renewed_with_growing_waits() {
    let mut host = Host::new(Settings { membership: Membership::Pull, ..settings() }, fleet(2));
    assert!(host.actions.contains(&Action::WatchList));
    let mut waits = Vec::new();
    for _ in 0..4 {
        let actions = host.tell(Event::ListUpdated(ListUpdate::Failed));
        let [Action::SetTimer { delay, .. }] = actions[..] else { panic!("{actions:?}") };
        waits.push(delay);
        assert_eq!(host.pass(delay + 0.001), [Action::WatchList]);
    }
    assert!(waits[3] > 2.0 * waits[0] && waits.iter().all(|wait| *wait < 10.0), "{waits:?}");
    host.tell(Event::ListUpdated(ListUpdate::Full(fleet(2))));
    let actions = host.tell(Event::ListUpdated(ListUpdate::Failed));
    assert!(
        matches!(actions[..], [Action::SetTimer { delay, .. }] if delay < 1.0),
        "success resets the wait"
    );
    let mut host = Host::new(settings(), fleet(2));
    assert!(host.tell(Event::ListUpdated(ListUpdate::Failed)).is_empty() && host.actions.is_empty());
}

#[test]
fn a_second_copy_goes_out_late_and_the_loser_is_called_off() {
    let mut host = Host::new(settings(), fleet(4));
    let first = host.place(SAFE);
    fail_twice(&mut host, UNSAFE, first.endpoint, Outcome::Reset);
    assert!(sends(&host.pass(0.1)).is_empty(), "too early");
    let copies = sends(&host.pass(0.5));
    assert!(copies.len() == 1 && copies[0] != first.endpoint, "{copies:?}");
    let copy = *host.out.last().expect("the copy");
    assert_eq!(host.serve(copy), [Action::Cancel { request: first.job, attempt: first.round }]);
    let unsafe_one = host.place(UNSAFE);
    assert!(sends(&host.pass(1.5)).is_empty(), "{unsafe_one:?}");
}

/// Danger: servers go on with what is called off, so that a slow attempt's work is done twice.
#[test]
fn without_second_copies_no_attempt_is_called_off_before_its_end() {
    let mut all = settings();
    all.limits.can_hedge = false;
    let mut host = Host::new(all, fleet(4));
    let sent = host.place(SAFE);
    let early = host.pass(1.9);
    assert!(
        early.iter().all(|action| matches!(action, Action::SetTimer { .. })),
        "it may still be served: {early:?}"
    );
    let actions = host.pass(0.2);
    assert!(
        actions.contains(&Action::Cancel { request: sent.job, attempt: sent.round })
            && failed(&actions, sent.job)
    );
}

/// Danger: what is called off goes on running. With copies past every slow server the work is done twice just
/// while queues are long, and a fleet near its limit jams.
#[test]
fn no_second_copy_past_a_server_that_is_merely_silent() {
    let mut host = Host::new(settings(), fleet(4));
    host.place(SAFE);
    assert!(sends(&host.pass(1.5)).is_empty());
}

/// Danger: a copy of what waits in a queue lengthens another; with a few of them the whole fleet chokes.
#[test]
fn no_second_copy_past_a_server_that_answers() {
    let mut host = Host::new(settings(), fleet(4));
    let first = host.place(SAFE);
    let other =
        std::iter::repeat_with(|| host.place(UNSAFE)).take(20).find(|sent| sent.endpoint == first.endpoint);
    host.pass(0.1);
    host.serve(other.expect("another one there"));
    let copies = sends(&host.pass(1.0));
    assert!(copies.is_empty(), "{copies:?}");
}

/// Danger: copies go out just when queues are long, and make them longer.
#[test]
fn no_second_copy_to_a_crowded_server() {
    let mut host = Host::new(settings(), fleet(2));
    introduce(&mut host, &[load(2.0, 1.0), load(2.2, 1.2)]);
    host.place(SAFE);
    for _ in 0..2 {
        host.place(UNSAFE);
    }
    assert!(sends(&host.pass(1.0)).is_empty());
}

/// Danger: copies thought of but not sent would use up the retry budget just where servers are crowded.
#[test]
fn a_copy_that_is_not_sent_spends_nothing() {
    let mut host = Host::new(settings(), fleet(2));
    introduce(&mut host, &[load(2.0, 1.0), load(2.2, 1.2)]);
    let mut copies = 0;
    for at in 0..400 {
        let sent = host.place(SAFE);
        // Most are answered at once; every third is slow, so that a copy is thought of.
        copies += sends(&host.pass(if at % 3 == 0 { 0.3 } else { 0.01 })).len();
        host.end(sent, Outcome::Served, load(2.0 + f64::from(at % 50) / 100.0, 1.0));
    }
    let sent = host.place(SAFE);
    host.now += 0.001;
    let retried = sends(&host.end(sent, Outcome::ConnectFailed, LoadReport::default())).len();
    assert!(copies <= 5 && retried == 1, "{copies} copies at crowded servers, {retried} retries after them");
}

/// Danger: when everything fails, retries multiply the load that made it fail.
#[test]
fn retries_stay_a_share_of_the_requests() {
    let mut host = Host::new(settings(), fleet(6));
    let mut extra = 0;
    for _ in 0..500 {
        host.ask(SAFE);
        while let Some(sent) = host.out.first().copied() {
            host.now += 0.001;
            extra += sends(&host.end(sent, Outcome::ConnectFailed, LoadReport::default())).len();
        }
    }
    assert!((20..=130).contains(&extra), "{extra} retries for 500 requests");
}

/// Danger: a queue can outgrow the wanted time before the first late answer tells of it.
#[test]
fn a_queue_longer_than_the_wanted_time_refuses_at_once() {
    let mut host = Host::new(settings(), fleet(1));
    let mut refusals = 0;
    for _ in 0..60 {
        let (job, actions) = host.ask(UNSAFE);
        refusals += usize::from(refused(&actions, job));
    }
    assert!((25..=55).contains(&refusals), "{refusals} of 60 refused");
    assert!(host.out.len() < 35, "{} out", host.out.len());
}

/// Danger: a kind is taken to work on one request at once until a queue shows; a fleet that never queues would
/// look crowded for ever, and be refused to while idle.
#[test]
fn work_without_a_queue_shows_the_slots() {
    let mut host = Host::new(settings(), fleet(1));
    let mut refusals = 0;
    for at in 0..300 {
        let (job, actions) = host.ask(UNSAFE);
        if refused(&actions, job) {
            refusals += usize::from(at >= 60);
        } else {
            let sent = host.out[host.out.len() - 1];
            host.now += 0.1;
            host.end(sent, Outcome::Served, load(8.0 + f64::from(at % 3) / 10.0, 0.0));
        }
        host.now += 0.001;
    }
    assert_eq!(refusals, 0, "no request ever waited");
}

/// Danger: full servers turn away whoever comes next, whatever it is worth, and no answer is ever late.
#[test]
fn rejections_by_crowded_servers_raise_the_price() {
    let mut host = Host::new(settings(), fleet(1));
    let mut refusals = 0;
    for _ in 0..60 {
        (0..3).for_each(|_| drop(host.ask(SAFE)));
        let held = host.out.clone();
        let (job, _) = host.ask(SAFE);
        while let Some(sent) = host.out.iter().copied().find(|sent| sent.job == job) {
            host.end(sent, Outcome::Rejected, LoadReport::default());
        }
        host.now += 0.05;
        for sent in held {
            host.serve(sent);
        }
        host.now += 0.5;
        for _ in 0..4 {
            let (job, actions) = host.ask(SAFE);
            refusals += usize::from(refused(&actions, job));
        }
        for sent in host.out.clone() {
            host.end(sent, Outcome::NotSent, LoadReport::default());
        }
        host.now += 0.5;
    }
    assert!(refusals >= 40, "{refusals} of 240 refused");
}

/// Danger: the edge of the wait refuses dear and cheap alike, and no answer comes late that would move the price.
#[test]
fn worth_decides_who_is_refused_under_lasting_overload() {
    let mut settings = settings();
    settings.classes[1].value = 4.0;
    settings.classes.iter_mut().for_each(|class| class.late_value = 0.0);
    let mut host = Host::new(settings, fleet(1));
    let mut refusals = [0_i32; 2];
    for at in 0..3000 {
        let class = at % 2;
        let (job, actions) = host.ask([SAFE, UNSAFE][class]);
        refusals[class] += i32::from(at >= 1000 && refused(&actions, job));
        // One at a time, 0.05 s each: half of what is asked for.
        if at % 2 == 1
            && let Some(&sent) = host.out.first()
        {
            host.serve(sent);
        }
        host.now += 0.025;
    }
    let [cheap, dear] = refusals;
    assert!((900..1100).contains(&(cheap + dear)), "{refusals:?} refused of 1000 each");
    let odds = |refused: i32| f64::from(refused) / f64::from(1000 - refused);
    assert!(odds(cheap) > 3.0 * odds(dear), "{refusals:?} refused of 1000 each");
}

/// Danger: a price risen in a rush is kept up by the refusals that it causes, as few answers come to lower it.
#[test]
fn refusing_at_short_queues_lowers_the_price() {
    let mut host = Host::new(settings(), fleet(1));
    let flood = |host: &mut Host, count: usize| {
        (0..count).filter(|_| matches!(host.ask(UNSAFE).1[..], [Action::Reject { .. }])).count()
    };
    let rush = flood(&mut host, 400);
    assert!(rush > 350, "{rush} of 400 refused in the rush");
    while host.out.len() > 1 {
        let sent = host.out[0];
        host.end(sent, Outcome::NotSent, LoadReport::default());
    }
    host.now += 0.3;
    let mut late = 0;
    for at in 0..200 {
        let kept = host.out.len();
        late += flood(&mut host, 1) * usize::from(at >= 100);
        if host.out.len() > kept {
            let sent = host.out[kept];
            host.end(sent, Outcome::NotSent, LoadReport::default());
        }
    }
    assert!(late < 45, "{late} of 100 refused at a short queue afterwards");
}

/// Danger: a client's last try may be granted more than its first; first tries taken for late ones are refused,
/// as their wanted time seems to have passed.
#[test]
fn a_first_try_is_known_by_the_time_that_most_are_granted() {
    let mut host = Host::new(settings(), fleet(1));
    let mut refusals = [0; 2];
    for at in 0..100 {
        host.ask(SAFE);
        let held = host.out.clone();
        // A first try, and a last one 0.5 s after its own first, which was not served.
        for (which, time_left) in [(0, 0.9), (1, 1.5 - f64::from(at % 3) / 200.0)] {
            let (job, actions) = host.ask_as(UNSAFE, None, time_left);
            refusals[which] += usize::from(refused(&actions, job));
            for sent in host.out.clone() {
                if sent.job == job {
                    host.end(sent, Outcome::NotSent, LoadReport::default());
                }
            }
        }
        host.now += 0.05;
        for sent in held {
            host.serve(sent);
        }
        host.now += 0.2;
    }
    assert!(refusals[0] <= 5, "{refusals:?} of 100 first and last tries refused");
    assert!(refusals[1] >= 90, "{refusals:?} of 100 first and last tries refused");
}

/// Danger: a client that waits less than others was taken for one that comes again too late, and refused unheard.
#[test]
fn who_waits_less_than_others_is_not_late() {
    let mut all = settings();
    all.classes[SAFE.0].late_value = 0.0;
    let mut host = Host::new(all, fleet(6));
    let mut refusals = 0;
    for at in 0..200 {
        let time_left = if at < 100 || at % 2 == 0 { 1.9 } else { 0.2 + f64::from(at % 7) / 100.0 };
        let (job, actions) = host.ask_as(SAFE, None, time_left);
        refusals += usize::from(refused(&actions, job));
        host.now += 0.05;
        std::mem::take(&mut host.out).into_iter().for_each(|sent| drop(host.serve(sent)));
        host.now += 0.05;
    }
    assert!(refusals < 10, "{refusals} of 200 refused");
}

/// Danger: requests also miss their time at slow servers; that is no sign of overload.
#[test]
fn misses_at_idle_servers_refuse_nothing() {
    let mut host = Host::new(settings(), fleet(4));
    for at in 0..200 {
        let sent = host.place(if at % 5 == 0 { UNSAFE } else { SAFE });
        host.now += if at % 5 == 0 { 0.55 } else { 0.005 };
        host.serve(sent);
    }
    let placed: Vec<Sent> = (0..8).map(|_| host.place(UNSAFE)).collect();
    assert_eq!(placed.len(), 8, "a short queue is no reason to refuse");
}

/// Danger: one tenant's flood takes the room of all others.
#[test]
fn a_tenant_past_its_share_is_refused_first() {
    let tenants = vec![Tenant { share: 0.5 }, Tenant { share: 0.5 }];
    let mut host = Host::new(Settings { tenants, ..settings() }, fleet(2));
    let mut refusals = [0.0; 2];
    let mut asked = [0.0; 2];
    for at in 0..2000 {
        let tenant = usize::from(at % 8 == 0);
        let (job, actions) = host.ask_as(UNSAFE, Some(TenantId(tenant)), 2.0);
        asked[tenant] += 1.0;
        refusals[tenant] += f64::from(u8::from(refused(&actions, job)));
        host.now += 0.01;
        // The fleet is too slow for all of it: every third step one answer.
        if at % 3 == 0 && !host.out.is_empty() {
            let sent = host.out[0];
            host.serve(sent);
        }
    }
    let (flood, quiet) = (refusals[0] / asked[0], refusals[1] / asked[1]);
    assert!(flood > quiet + 0.1, "refused: {flood:.2} of the flood, {quiet:.2} of the other");
}

#[test]
fn a_stream_that_has_begun_is_left_alone_and_its_copies_called_off() {
    let mut host = Host::new(settings(), fleet(4));
    let first = host.place(SAFE);
    fail_twice(&mut host, UNSAFE, first.endpoint, Outcome::Reset);
    host.pass(0.6);
    let copy = *host.out.last().expect("a copy");
    let actions = host.tell(Event::ResponseStarted { request: first.job, attempt: first.round });
    assert_eq!(actions, [Action::Cancel { request: copy.job, attempt: copy.round }]);
    assert!(host.pass(10.0).is_empty());
    assert!(host.serve(first).iter().all(|action| matches!(action, Action::Cancel { .. })));
}

/// Danger: where all answers come too late, every attempt is given up before its report, and a sidecar with
/// little traffic keeps taking a jammed zone for idle.
#[test]
fn attempts_given_up_unanswered_tell_of_a_crowded_zone() {
    let mut host = Host::new(settings(), fleet(20));
    for _ in 0..6 {
        let (job, _) = host.ask(UNSAFE);
        let Some(sent) = host.out.last().copied().filter(|sent| sent.job == job) else { continue };
        host.now += 0.6;
        host.end(sent, Outcome::TimedOut, LoadReport::default());
    }
    let refusals = (0..20).filter(|_| {
        let (job, actions) = host.ask(UNSAFE);
        refused(&actions, job)
    });
    assert!(refusals.count() > 8, "servers never heard of are taken to be crowded as well");
}

/// Danger: many sidecars, each refusing until a report shows an idle server, all end up at that one.
#[test]
fn one_report_of_an_idle_server_in_a_jammed_zone_is_no_licence() {
    let mut host = Host::new(settings(), fleet(2));
    let sent: Vec<Sent> = (0..4).map(|_| host.place(UNSAFE)).collect();
    for (at, sent) in sent.iter().enumerate() {
        host.now += 0.1;
        host.end(*sent, Outcome::Served, load(24.0 + at as f64, 23.0));
    }
    probed(&mut host, sent[3].endpoint, 0.001, load(0.0, 0.0));
    let refusals = (0..20).filter(|_| {
        let (job, actions) = ask_only(&mut host);
        refused(&actions, job)
    });
    assert!(refusals.count() > 8, "what the rest of the zone holds counts for more than one report");
}

/// Danger: an idle server reports the same again and again; taken for old news, it would look as full as the rest.
#[test]
fn an_idle_server_that_stays_idle_is_known_as_idle() {
    let mut host = Host::new(settings(), fleet(2));
    introduce(&mut host, &[load(0.0, 0.0), load(3.0, 2.0)]);
    host.now += 30.0;
    let sent = introduced_again(&mut host, EndpointId(0));
    host.end(sent, Outcome::Served, load(0.0, 0.0));
    let idle = (0..20).filter(|_| {
        let sent = host.place(UNSAFE);
        host.end(sent, Outcome::Cancelled, LoadReport::default());
        sent.endpoint.0 == 0
    });
    assert_eq!(idle.count(), 20, "a fresh report of none against the usual load of the other");
}

/// Asks, and takes back what was sent, so that nothing is out for the next one.
fn ask_only(host: &mut Host) -> (RequestId, Vec<Action>) {
    ask_only_as(host, UNSAFE)
}

fn ask_only_as(host: &mut Host, class: ClassId) -> (RequestId, Vec<Action>) {
    let asked = host.ask(class);
    if let Some(sent) = host.out.last().copied() {
        host.end(sent, Outcome::NotSent, LoadReport::default());
    }
    asked
}

/// Sends until an attempt goes to that server, and leaves the others unanswered.
fn introduced_again(host: &mut Host, endpoint: EndpointId) -> Sent {
    loop {
        let sent = host.place(UNSAFE);
        if sent.endpoint == endpoint {
            return sent;
        }
        host.end(sent, Outcome::NotSent, LoadReport::default());
    }
}

/// Danger: a sidecar that refuses on one old report of a busy server hears nothing new, and refuses for good.
#[test]
fn a_sidecar_that_refuses_finds_out_when_the_crowd_is_gone() {
    let mut host = Host::new(settings(), fleet(20));
    let sent = host.place(UNSAFE);
    host.end(sent, Outcome::Served, load(60.0, 59.0));
    let asked = |host: &mut Host| {
        host.now += 0.05;
        let (job, actions) = host.ask(UNSAFE);
        let sent = host.out.last().copied().filter(|sent| sent.job == job);
        sent.map(|sent| host.end(sent, Outcome::Served, load(1.0, 0.0)));
        refused(&actions, job)
    };
    assert!((0..10).all(|_| asked(&mut host)), "crowded as far as it knows");
    host.now += 4.0;
    assert!(!(0..200).all(|_| asked(&mut host)), "some are taken on to find out");
    let last = (0..20).filter(|_| asked(&mut host)).count();
    assert!(last < 4, "and then nearly all are: {last} of 20 refused");
}

/// Danger: a sidecar with little traffic touches every server, keeps a connection to each and news of none.
#[test]
fn a_quiet_sidecar_keeps_to_a_few_servers_and_a_busy_one_uses_all() {
    let used = |gap: Seconds| {
        let mut host = Host::new(settings(), fleet(40));
        let mut used = std::collections::BTreeSet::new();
        for _ in 0..400 {
            let sent = host.place(SAFE);
            used.insert(sent.endpoint);
            host.now += gap.min(0.05);
            host.serve(sent);
            host.now += gap - gap.min(0.05);
        }
        used.len()
    };
    assert_eq!(used(2.0), 3);
    assert_eq!(used(0.005), 40);
}

/// Danger: when a large part of the few servers fails, the rest of the fleet must still be found.
#[test]
fn others_stand_in_for_failed_servers_of_the_few() {
    let mut host = Host::new(settings(), fleet(40));
    let mut failed = Vec::new();
    while failed.len() < 3 {
        let server = host.place(UNSAFE).endpoint;
        fail_twice(&mut host, UNSAFE, server, Outcome::Reset);
        failed.push(server);
    }
    for _ in 0..20 {
        let sent = host.place(UNSAFE);
        assert!(!failed.contains(&sent.endpoint));
        host.now += 0.05;
        host.serve(sent);
    }
}

fn probed(host: &mut Host, endpoint: EndpointId, rtt: Seconds, report: LoadReport) -> Vec<Action> {
    host.tell(Event::ProbeEnded { endpoint, outcome: Outcome::Served, rtt, report })
}

fn probes(actions: &[Action]) -> Vec<EndpointId> {
    let of = |action: &Action| match action {
        Action::Probe { endpoint } => Some(*endpoint),
        _ => None,
    };
    actions.iter().filter_map(of).collect()
}

fn probing(probe_price: f64) -> Settings {
    let mut all = Settings { reporting: Reporting::Probes, probe_cost: probe_price, ..settings() };
    all.limits.can_probe = true;
    all
}

/// Danger: a sidecar with little traffic never hears of most servers in time, and chooses by chance.
#[test]
fn an_old_pair_is_probed_and_the_lower_one_gets_the_request() {
    let mut host = Host::new(probing(0.01), fleet(9));
    let (job, actions) = host.ask(SAFE);
    let pair = probes(&actions);
    assert!(pair.len() == 2 && pair[0] != pair[1] && sends(&actions).is_empty(), "{actions:?}");
    assert!(sends(&probed(&mut host, pair[0], 0.001, load(3.0, 2.0))).is_empty(), "both are waited for");
    assert_eq!(sends(&probed(&mut host, pair[1], 0.001, load(1.0, 0.0))), [pair[1]]);
    assert!(!refused(&host.actions, job));
    let (_, actions) = Host::new(probing(0.1), fleet(9)).ask(SAFE);
    assert!(probes(&actions).is_empty() && sends(&actions).len() == 1, "too dear: {actions:?}");
}

/// A host with servers in two zones whose reports were seen renewed within little of a mean service.
fn with_fresh_reports(settings: Settings) -> Host {
    let zoned = |at: u32| ListEntry { zone: ZoneId(at as usize % 2), ..entry(at) };
    let mut host = Host::new(settings, (0..10).map(zoned).collect());
    for at in 0..100 {
        host.now += 0.004;
        for server in 0..10 {
            probed(&mut host, EndpointId(server), 0.001, load(1.0 + f64::from(at % 2), 0.0));
        }
    }
    host.now += 2.0;
    host
}

/// Danger: at servers of one slot the lower of a pair often has a queue while another stands idle. Where a probe's answer
/// holds, the higher one gives way to another until one is idle or enough have been asked.
#[test]
fn the_higher_one_of_a_crowded_pair_gives_way_where_reports_hold() {
    let mut host = with_fresh_reports(probing(0.001));
    let (_, actions) = host.ask(SAFE);
    let pair = probes(&actions);
    assert_eq!(pair.len(), 2, "{actions:?}");
    assert!(probes(&probed(&mut host, pair[0], 0.001, load(3.0, 2.0))).is_empty());
    let third = probes(&probed(&mut host, pair[1], 0.001, load(4.0, 3.0)));
    assert!(third.len() == 1 && !pair.contains(&third[0]), "another one is asked: {third:?}");
    let fourth = probes(&probed(&mut host, third[0], 0.001, load(5.0, 4.0)));
    assert!(fourth.len() == 1 && !pair.contains(&fourth[0]) && fourth != third, "{fourth:?}");
    let fifth = probes(&probed(&mut host, fourth[0], 0.001, load(5.0, 4.0)));
    let actions = probed(&mut host, fifth[0], 0.001, load(5.0, 4.0));
    assert!(probes(&actions).is_empty(), "five are enough");
    assert_eq!(sends(&actions), [pair[0]], "the lowest of all stayed in each pair");

    // One that is idle ends the search, and where reports are old a pair is all that is asked.
    let mut host = with_fresh_reports(probing(0.001));
    let pair = probes(&host.ask(SAFE).1);
    probed(&mut host, pair[0], 0.001, load(3.0, 2.0));
    assert_eq!(sends(&probed(&mut host, pair[1], 0.001, load(0.0, 0.0))), [pair[1]]);
    let mut host = Host::new(probing(0.001), fleet(9));
    let pair = probes(&host.ask(SAFE).1);
    let actions = pair.iter().map(|&server| probed(&mut host, server, 0.001, load(5.0, 4.0)));
    assert!(actions.flat_map(|actions| probes(&actions)).next().is_none());
}

/// Danger: a probe that never comes back keeps its request from being sent.
#[test]
fn probes_are_waited_for_during_a_part_of_the_wanted_time() {
    let mut host = Host::new(probing(0.01), fleet(9));
    let (_, actions) = host.ask(SAFE);
    assert_eq!(probes(&actions).len(), 2);
    assert_eq!(sends(&host.pass(0.05)).len(), 1);
}

/// Danger: a request with a few milliseconds left waits for probes past its own end, and is never answered.
#[test]
fn a_request_with_hardly_any_time_left_is_not_held_for_probes() {
    for ticks in 1..8 {
        let mut host = Host::new(probing(0.01), fleet(9));
        let left = f64::from(ticks) * 0.005 + 0.001;
        let end = host.now + left;
        let (job, _) = host.ask_as(SAFE, None, left);
        while host.now < end {
            host.pass(0.005);
        }
        let sent = host.out.iter().any(|sent| sent.job == job && sent.at < end);
        assert!(sent || refused(&host.actions, job), "{ticks} ticks: neither sent nor answered");
        assert!(refused(&host.actions, job) || failed(&host.actions, job), "{ticks} ticks: no answer");
    }
}

/// Danger: where probes wait like requests, they crowd out what they are sent for.
#[test]
fn probes_rest_when_one_is_slow() {
    let mut host = Host::new(probing(0.01), fleet(9));
    let (_, actions) = host.ask(SAFE);
    probes(&actions).iter().for_each(|&server| drop(probed(&mut host, server, 0.1, load(1.0, 0.0))));
    assert!(probes(&host.ask(SAFE).1).is_empty(), "resting");
    host.now += 8.1;
    assert_eq!(probes(&host.ask(SAFE).1).len(), 2, "and tried again");
}

#[test]
fn hostile_reports_break_nothing() {
    let mut host = Host::new(settings(), fleet(3));
    let absurd = [f64::NAN, f64::INFINITY, -5.0, 1e300, f64::MAX];
    for at in 0..400 {
        let (_, actions) = host.ask(SAFE);
        assert!(sends(&actions).len() <= 1);
        host.now += 0.01;
        let value = if at % 8 == 0 { absurd[at / 8 % 5] } else { 1.0 + (at % 7) as f64 / 10.0 };
        for sent in host.out.clone() {
            host.end(sent, Outcome::Served, load(value, value / 2.0));
        }
        host.now += if at % 50 == 0 { 1000.0 } else { 0.0 };
    }
    host.now += 10.0;
    introduce(&mut host, &[load(3.0, 0.0), load(1.0, 0.0), load(3.1, 0.0)]);
    let lower = (0..40).filter(|_| {
        let sent = host.place(SAFE);
        host.serve(sent);
        sent.endpoint.0 == 1
    });
    let lower = lower.count();
    assert!((22..=32).contains(&lower), "{lower} of 40 to the lowest of three");
}

#[test]
fn illegal_settings_say_which_value_and_why() {
    let error = Balancer::new(Settings { classes: Vec::new(), ..settings() }, 1).expect_err("no classes");
    assert_eq!(error.to_string(), "setting classes is 0: it must be at least one class");
    let mut all = settings();
    all.classes[0].latency_target = f64::NAN;
    assert_eq!(Balancer::new(all, 1).expect_err("no aim").name, "classes.target");
    let mut all = settings();
    all.rules.overload_factor = 0.0;
    assert_eq!(Balancer::new(all.clone(), 1).expect_err("no multiple").name, "rules.fall_multiple");
    all.rules.overload_window = 0.0;
    assert_eq!(Balancer::new(all, 1).expect_err("no window").name, "rules.fall");
}

/// Danger: a proxy that seldom meets a node finds every connection to it idle. Where nodes are silent for a while,
/// that was taken for connections dropped unseen: each proxy closed sound ones, and blamed no node.
#[test]
fn silence_on_idle_connections_closes_none() {
    let mut host = Host::new(settings(), fleet(1));
    let mut closed = 0;
    for outcome in [Outcome::Served, Outcome::TimedOut, Outcome::TimedOut, Outcome::Served].repeat(3) {
        let (_, actions) = host.ask(UNSAFE);
        closed +=
            actions.iter().filter(|action| matches!(action, Action::CloseIdleConnections { .. })).count();
        host.now += if outcome == Outcome::Served { 0.05 } else { 2.0 };
        for sent in std::mem::take(&mut host.out) {
            host.end(sent, outcome, LoadReport::default());
        }
        host.now += 3.0;
    }
    assert_eq!(closed, 0, "connections closed for want of an answer");
}

/// Danger: where new connections are dear, a sidecar with few requests that spreads them opens one for each.
#[test]
fn dear_connections_are_used_again() {
    for (price, least, most) in [(0.5, 20, 20), (0.0, 4, 16)] {
        let mut all = settings();
        all.connection_cost = price;
        let mut host = Host::new(all, fleet(2));
        let first = host.place(SAFE);
        host.now += 0.05;
        host.serve(first);
        let again = (0..20).filter(|_| {
            host.now += 1.0;
            let sent = host.place(SAFE);
            let known = sent.endpoint == first.endpoint;
            host.now += 0.05;
            host.serve(sent);
            known
        });
        let again = again.count();
        assert!((least..=most).contains(&again), "{again} of 20 to the one connected at {price}");
    }
}

/// A fleet of twelve whose last four are of the kind that `UNSAFE` is bound to.
fn with_bound_class() -> Host {
    let mut all = settings();
    all.machine_kinds = 2;
    all.classes[UNSAFE.0].machine_kinds = Some(vec![MachineKindId(1)]);
    let kind =
        |entry: ListEntry| ListEntry { kind: MachineKindId(usize::from(entry.endpoint.0 >= 8)), ..entry };
    Host::new(all, fleet(12).into_iter().map(kind).collect())
}

/// Danger: work that may go anywhere crowds out what is bound to a few servers.
#[test]
fn unbound_work_leaves_bound_servers_what_is_over_an_even_load() {
    for bound in [0, 6] {
        let mut host = with_bound_class();
        let mut there = 0;
        for at in 0..400 {
            let class = if at % 10 < bound { UNSAFE } else { SAFE };
            let sent = host.place(class);
            there += usize::from(class == SAFE && at >= 200 && sent.endpoint.0 >= 8);
            host.now += 0.01;
            host.serve(sent);
        }
        // A third of the servers; 6 of 10 requests are bound to them, or none.
        assert_eq!(there == 0, bound == 6, "{there} unbound ones to bound servers with {bound} of 10 bound");
    }
}

/// Danger: a bound class's crowded servers are taken for as idle as the rest of their zone, and the other way round.
#[test]
fn loads_of_bound_servers_are_pooled_apart() {
    let mut host = with_bound_class();
    for endpoint in 0..3 {
        probed(&mut host, EndpointId(endpoint), 0.001, load(0.5, 0.0));
        probed(&mut host, EndpointId(8 + endpoint), 0.001, load(30.0, 29.0));
    }
    host.now += 5.0;
    let refusals = |host: &mut Host, class: ClassId| {
        let refused_here = (0..40).filter(|_| {
            let (job, actions) = ask_only_as(host, class);
            refused(&actions, job)
        });
        refused_here.count()
    };
    let (bound, other) = (refusals(&mut host, UNSAFE), refusals(&mut host, SAFE));
    assert!(bound >= 30 && other <= 5, "{bound} and {other} of 40 refused");
}

/// Danger: the first requests at a cold server are many for it, and every warm one would seem as crowded.
#[test]
fn what_cold_servers_hold_says_nothing_of_warm_ones() {
    let mut host = Host::new(settings(), fleet(8));
    for endpoint in 4..8 {
        host.change(ListEntry { started_at: Some(host.now), ..entry(endpoint) });
        probed(&mut host, EndpointId(endpoint), 0.001, load(3.0, 2.0));
    }
    let taken = (0..20).filter(|_| {
        let (job, actions) = ask_only(&mut host);
        !refused(&actions, job)
    });
    assert!(taken.count() >= 18);
}

/// Danger: fresh reports believed no more than old ones leave the choice to chance; old ones believed herd sidecars.
#[test]
fn reports_seen_renewed_often_are_believed_more() {
    for (renewed, expected) in [(true, 3), (false, 2)] {
        let mut all = settings();
        all.classes.iter_mut().for_each(|class| class.latency_target = 2.0);
        let mut host = Host::new(all, fleet(2));
        let tell = |host: &mut Host, endpoint: u32, held: f64| {
            probed(host, EndpointId(endpoint), 0.001, load(held, 0.0));
        };
        for at in 0..100 {
            host.now += 0.01;
            let step = if renewed { f64::from(at % 2) } else { 0.0 };
            (0..2).for_each(|endpoint| tell(&mut host, endpoint, 2.0 + step));
        }
        host.now += 0.01;
        tell(&mut host, 0, 4.1);
        tell(&mut host, 1, 1.1);
        for _ in 0..3 {
            host.ask(SAFE);
        }
        let to_lower = host.out.iter().filter(|sent| sent.endpoint == EndpointId(1)).count();
        assert_eq!(to_lower, expected, "renewed: {renewed}");
    }
}

/// Danger: a quiet sidecar that keeps to a few servers finds all of them crowded while others stand idle. Where probes tell
/// what holds, any server can be in the pair.
#[test]
fn where_reports_hold_a_quiet_sidecar_asks_any_server() {
    let mut host = with_fresh_reports(probing(0.001));
    let mut asked = std::collections::BTreeSet::new();
    for _ in 0..60 {
        host.now += 3.0;
        let pair = probes(&host.ask(SAFE).1);
        asked.extend(pair.iter().map(|server| server.0));
        pair.into_iter().for_each(|server| drop(probed(&mut host, server, 0.001, load(0.0, 0.0))));
        std::mem::take(&mut host.out).into_iter().for_each(|sent| drop(host.serve(sent)));
    }
    assert_eq!(asked.len(), 10, "{asked:?}");
}

/// A request whose body takes its time: it is sent on at once, and its time counts from the last byte.
#[test]
fn a_body_that_still_comes_uses_up_no_time() {
    let mut host = Host::new(settings(), fleet(3));
    host.place(UNSAFE);
    let job = RequestId(1000);
    let request = Request { id: job, time_left: 2.0, class: UNSAFE, tenant: None };
    let actions = host.tell(Event::HeadReceived(request));
    assert_eq!(sends(&actions).len(), 1, "{actions:?}");
    let sent = *host.out.last().expect("an attempt");
    let actions = host.pass(30.0);
    assert!(!refused(&actions, job) && !failed(&actions, job), "{actions:?}");
    let actions = host.tell(Event::BodyReceived { request: job, time_left: 2.0 });
    assert!(actions.iter().all(|action| matches!(action, Action::SetTimer { .. })), "{actions:?}");
    let actions = host.pass(0.1);
    assert!(!failed(&actions, job));
    let actions = host.pass(3.0);
    assert!(failed(&actions, job), "from then on it has its time like any other: {actions:?}");
    host.end(sent, Outcome::Cancelled, LoadReport::default());
}

/// Danger: a body whose start has been passed on can't be sent again. That it was not sent ends it, harmlessly.
#[test]
fn a_body_that_broke_off_before_its_end_never_ran() {
    let mut host = Host::new(settings(), fleet(3));
    let job = RequestId(1000);
    host.tell(Event::HeadReceived(Request { id: job, time_left: 2.0, class: UNSAFE, tenant: None }));
    let sent = *host.out.last().expect("an attempt");
    host.pass(0.1);
    let actions = host.end(sent, Outcome::ConnectFailed, LoadReport::default());
    assert_eq!(sends(&actions).len(), 1, "another server is tried: {actions:?}");
    let again = *host.out.last().expect("an attempt");
    let actions = host.end(again, Outcome::NotSent, LoadReport::default());
    assert!(refused(&actions, job), "{actions:?}");
}

/// Other settings bind the requests that come after them; those that are held keep theirs.
#[test]
fn held_requests_keep_the_settings_that_they_came_under() {
    let mut host = Host::new(settings(), fleet(4));
    let old = host.place(UNSAFE);
    let mut other = settings();
    other.limits.max_attempts = 1;
    other.classes.push(class(RepeatEffect::Unsafe));
    let added = ClassId(other.classes.len() - 1);
    let open = [SAFE, KEYED, added];
    host.balancer.apply_settings(other, &open, &[(UNSAFE, added)]).expect("legal settings");
    let new = host.place(added);
    let actions = host.end(new, Outcome::ConnectFailed, LoadReport::default());
    assert!(refused(&actions, new.job), "one attempt is all it has: {actions:?}");
    let actions = host.end(old, Outcome::ConnectFailed, LoadReport::default());
    assert_eq!(sends(&actions).len(), 1, "it came with three: {actions:?}");
}

/// Danger: half of other settings in force is worse than none.
#[test]
fn settings_at_fault_change_nothing() {
    let mut host = Host::new(settings(), fleet(2));
    let mut other = settings();
    other.limits.max_attempts = 7;
    other.classes[0].deadline = -1.0;
    assert!(host.balancer.apply_settings(other, &[SAFE], &[]).is_err());
    let first = host.place(UNSAFE);
    let mut tries = 1;
    let mut sent = first;
    loop {
        let actions = host.end(sent, Outcome::ConnectFailed, LoadReport::default());
        if sends(&actions).is_empty() {
            break;
        }
        sent = *host.out.last().expect("an attempt");
        tries += 1;
    }
    assert!(tries <= 3, "{tries}");
}
