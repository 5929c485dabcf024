//! The judge: every broken promise is found, and a good run has none.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

use std::time::{Duration, Instant};

use heathpitch_soak::{Evidence, HeldUp, Kind, Left, Revoked, Told, Trouble};
use heathpitch_standin::{ReceivedRequest, Reply};

fn told(kind: Kind, status: u16, body: &str) -> Told {
    Told {
        id: "c1".to_owned(),
        node: 0,
        kind,
        body: "body".to_owned(),
        key: "key".to_owned(),
        sent: Instant::now(),
        took: Duration::from_millis(20),
        reply: Some(Reply::with_digest(status, body)),
    }
}

fn seen(body: &str, account: &str) -> ReceivedRequest {
    ReceivedRequest::new("c1", account, body)
}

fn broken(told: Told, seen: Vec<ReceivedRequest>) -> Vec<&'static str> {
    let evidence = Evidence { told: vec![told], seen, ..Evidence::default() };
    evidence.judge().iter().map(|b| b.promise).collect()
}

fn stream(numbers: impl Iterator<Item = u64>) -> String {
    numbers.map(|n| format!("id: {n}\ndata: x\n\n")).collect()
}

#[test]
fn a_good_run_breaks_nothing() {
    let one = || seen("body", "desk");
    assert_eq!(broken(told(Kind::Book, 200, "body"), vec![one()]), [""; 0]);
    assert_eq!(broken(told(Kind::Get, 200, "body"), vec![one(), one()]), [""; 0]);
    assert_eq!(broken(told(Kind::Tell, 200, &stream(1..=20)), vec![one()]), [""; 0]);
    let refused = ReceivedRequest { ran: false, ..one() };
    assert_eq!(broken(told(Kind::Book, 503, ""), vec![refused]), [""; 0]);
}

#[test]
fn runs_are_counted() {
    let one = || seen("body", "desk");
    assert_eq!(broken(told(Kind::Book, 200, "body"), vec![one(), one()]), ["at most once"]);
    assert_eq!(broken(told(Kind::Book, 503, ""), vec![one()]), ["not run is true"]);
}

#[test]
fn answers_are_compared() {
    let one = || vec![seen("body", "desk")];
    let spoilt = ["whole and own answers"];
    assert_eq!(broken(told(Kind::Book, 200, "another"), one()), spoilt);
    for events in [stream(1..=19), stream((1..=20).filter(|n| *n != 7)), stream(1..=21)] {
        assert_eq!(broken(told(Kind::Tell, 200, &events), one()), spoilt);
    }
    let mut unstamped = told(Kind::Get, 200, "body");
    unstamped.reply.as_mut().unwrap().headers.clear();
    assert_eq!(broken(unstamped, one()), spoilt);
    let mut short = told(Kind::Tell, 200, &stream(1..=7));
    short.reply.as_mut().unwrap().complete = false;
    assert_eq!(broken(short, one()), [""; 0], "what breaks off visibly is no lie");
}

#[test]
fn requests_at_engines_are_compared() {
    let strange = ["engines run what callers sent"];
    assert_eq!(broken(told(Kind::Get, 200, "body"), vec![seen("other", "desk")]), strange);
    assert_eq!(broken(told(Kind::Get, 200, "body"), vec![seen("body", "forged")]), strange);
}

#[test]
fn late_answers_and_old_keys_are_found() {
    let mut late = told(Kind::Get, 504, "");
    late.took = Duration::from_secs(9);
    assert_eq!(broken(late, vec![]), ["an answer within the route's time"]);
    let one = told(Kind::Get, 200, "body");
    let at = one.sent.checked_sub(Duration::from_secs(4)).unwrap();
    let evidence = Evidence {
        told: vec![one],
        seen: vec![seen("body", "desk")],
        revoked: vec![Revoked { key: "key".to_owned(), at }],
        revoke: Duration::from_secs(3),
        ..Evidence::default()
    };
    assert_eq!(evidence.judge()[0].promise, "a key that was taken away ends");
}

#[test]
fn requests_at_engines_that_left_are_found() {
    let late = seen("body", "desk").with_engine("e1");
    let ago = |ms| late.at.checked_sub(Duration::from_millis(ms)).unwrap();
    let judged = |left, troubles: &[Trouble]| {
        let evidence = Evidence {
            told: vec![told(Kind::Get, 200, "body")],
            seen: vec![late.clone()],
            left: vec![Left { engine: "e1".to_owned(), at: ago(left) }],
            troubles: troubles.to_vec(),
            ..Evidence::default()
        };
        evidence.judge().len()
    };
    let trouble = |node, until| Trouble { node, from: ago(until + 500), until: ago(until) };
    assert_eq!(judged(2_500, &[]), 1);
    assert_eq!(judged(1_500, &[]), 0, "it may still be sent work");
    assert_eq!(judged(2_500, &[trouble(Some(0), 2_000)]), 0, "its node was disturbed");
    assert_eq!(judged(2_500, &[trouble(None, 2_000)]), 0, "all were");
    assert_eq!(judged(4_500, &[trouble(Some(0), 3_500)]), 1, "longer ago");
    assert_eq!(judged(2_500, &[trouble(Some(1), 2_000)]), 1, "another node was");
}

#[test]
fn requests_against_what_an_engine_asked_for_are_found() {
    let now = Instant::now() + Duration::from_secs(10);
    let visit = |ms: u64| ReceivedRequest {
        at: now + Duration::from_millis(ms),
        ran: false,
        ..seen("body", "desk").with_engine("e1")
    };
    let asked =
        |ms, rest| ReceivedRequest { retry_after: Some(Duration::from_millis(rest)), ..visit(ms) };
    let judged = |seen: &[ReceivedRequest], held_up: &[HeldUp], troubles: &[Trouble]| {
        let evidence = Evidence {
            told: vec![told(Kind::Get, 503, "")],
            seen: seen.to_vec(),
            held_up: held_up.to_vec(),
            troubles: troubles.to_vec(),
            ..Evidence::default()
        };
        evidence.judge().len()
    };
    let three = [asked(0, 3_000), visit(600), visit(700), visit(800)];
    assert_eq!(judged(&three, &[], &[]), 1);
    assert_eq!(judged(&three[..3], &[], &[]), 0, "two may come");
    let early = [asked(0, 3_000), visit(300), visit(400), visit(450), visit(3_100)];
    assert_eq!(judged(&early, &[], &[]), 0, "under way, and after its end");
    let (from, until) = (now + Duration::from_millis(100), now + Duration::from_millis(200));
    let held = HeldUp { engine: "e1".to_owned(), from, until };
    assert_eq!(judged(&three, std::slice::from_ref(&held), &[]), 0, "they were held up");
    assert_eq!(judged(&three, &[HeldUp { engine: "e2".to_owned(), ..held }], &[]), 1);
    let trouble = |node| Trouble { node: Some(node), from, until };
    assert_eq!(judged(&three, &[], &[trouble(0)]), 0, "the node was disturbed");
    assert_eq!(judged(&three, &[], &[trouble(1)]), 1, "another one was");
    let leaves = ReceivedRequest { draining: true, ..visit(0) };
    assert_eq!(judged(&[leaves.clone(), visit(2_100)], &[], &[]), 0);
    assert_eq!(judged(&[leaves, visit(2_300)], &[], &[]), 1);
}

#[test]
fn more_than_a_limit_allows_of_all_nodes_together_is_found() {
    let now = Instant::now() + Duration::from_secs(20);
    let visit = |ms: u64, limit: Option<f64>| ReceivedRequest {
        at: now + Duration::from_millis(ms),
        limit,
        ..seen("body", "desk").with_engine("e1")
    };
    let judged = |seen: &[ReceivedRequest], troubles: &[Trouble]| {
        let evidence = Evidence {
            told: vec![told(Kind::Get, 200, "body")],
            seen: seen.to_vec(),
            troubles: troubles.to_vec(),
            ..Evidence::default()
        };
        let of_limit = |b: &heathpitch_soak::Breach| b.promise.contains("limit");
        evidence.judge().iter().filter(|b| of_limit(b)).count()
    };
    // Eleven are allowed in four seconds: one and a half times four, and five.
    let since = |from: u64, count: u64, limit| {
        std::iter::once(visit(0, limit))
            .chain((0..count).map(move |i| visit(from + 100 * i, limit)))
    };
    let one = Some(1.0);
    assert_eq!(judged(&since(3_000, 12, one).collect::<Vec<_>>(), &[]), 1);
    assert_eq!(judged(&since(3_000, 11, one).collect::<Vec<_>>(), &[]), 0);
    assert_eq!(judged(&since(1_000, 12, one).collect::<Vec<_>>(), &[]), 0, "nodes hear of it");
    assert_eq!(judged(&since(3_000, 12, None).collect::<Vec<_>>(), &[]), 0);
    let higher: Vec<ReceivedRequest> =
        since(3_000, 11, one).chain([visit(4_200, Some(2.0))]).collect();
    assert_eq!(judged(&higher, &[]), 0, "a higher one was named meanwhile");
    let (from, until) = (now + Duration::from_millis(2_900), now + Duration::from_millis(3_000));
    let many: Vec<ReceivedRequest> = since(3_000, 12, one).collect();
    assert_eq!(judged(&many, &[Trouble { node: Some(0), from, until }]), 0, "it was disturbed");
    assert_eq!(judged(&many, &[Trouble { node: Some(1), from, until }]), 1);
    assert_eq!(judged(&many, &[Trouble { node: None, from, until }]), 1, "the store is no excuse");
}
