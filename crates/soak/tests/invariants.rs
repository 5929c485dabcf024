//! Invariant checks: every violation is found, and a correct history has none.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails its test")]

use std::time::{Duration, Instant};

use heathpitch_soak::{
    CallKind, CallRecord, ConfigVersion, DrainedEngine, EngineDisruption, History, NodeDisruption,
    RetryLimit, RevokedKey, Senders,
};
use heathpitch_standin::{LogLine, ReceivedRequest, Reply};
use serde_json::json;

fn call(kind: CallKind, status: u16, body: &str) -> CallRecord {
    CallRecord {
        id: "c1".to_owned(),
        node: 0,
        kind,
        body: "body".to_owned(),
        key: "key".to_owned(),
        sent_at: Instant::now(),
        elapsed: Duration::from_millis(20),
        reply: Some(Reply::with_digest(status, body)),
    }
}

fn received(body: &str, account: &str) -> ReceivedRequest {
    ReceivedRequest::new("c1", account, body)
}

fn violated(call: CallRecord, received: Vec<ReceivedRequest>) -> Vec<&'static str> {
    let evidence = History { calls: vec![call], received, ..History::default() };
    evidence.check().iter().map(|b| b.invariant).collect()
}

fn stream(numbers: impl Iterator<Item = u64>) -> String {
    numbers.map(|n| format!("id: {n}\ndata: x\n\n")).collect()
}

#[test]
fn a_correct_history_has_no_violations() {
    let one = || received("body", "desk");
    assert_eq!(violated(call(CallKind::AtMostOnce, 200, "body"), vec![one()]), [""; 0]);
    assert_eq!(violated(call(CallKind::Idempotent, 200, "body"), vec![one(), one()]), [""; 0]);
    assert_eq!(violated(call(CallKind::Stream, 200, &stream(1..=20)), vec![one()]), [""; 0]);
    let refused = ReceivedRequest { ran: false, ..one() };
    assert_eq!(violated(call(CallKind::AtMostOnce, 503, ""), vec![refused]), [""; 0]);
}

#[test]
fn duplicate_and_denied_runs_are_found() {
    let one = || received("body", "desk");
    assert_eq!(
        violated(call(CallKind::AtMostOnce, 200, "body"), vec![one(), one()]),
        ["non-idempotent calls run at most once"]
    );
    assert_eq!(
        violated(call(CallKind::AtMostOnce, 503, ""), vec![one()]),
        ["calls reported as not run did not run"]
    );
}

#[test]
fn incomplete_or_altered_answers_are_found() {
    let one = || vec![received("body", "desk")];
    let corrupt = ["answers are complete and unmodified"];
    assert_eq!(violated(call(CallKind::AtMostOnce, 200, "another"), one()), corrupt);
    for events in [stream(1..=19), stream((1..=20).filter(|n| *n != 7)), stream(1..=21)] {
        assert_eq!(violated(call(CallKind::Stream, 200, &events), one()), corrupt);
    }
    let mut without_digest = call(CallKind::Idempotent, 200, "body");
    without_digest.reply.as_mut().unwrap().headers.clear();
    assert_eq!(violated(without_digest, one()), corrupt);
    let mut short = call(CallKind::Stream, 200, &stream(1..=7));
    short.reply.as_mut().unwrap().complete = false;
    assert_eq!(violated(short, one()), [""; 0], "a visibly truncated answer is allowed");
}

#[test]
fn altered_requests_are_found() {
    let altered = ["engines receive requests unchanged"];
    assert_eq!(
        violated(call(CallKind::Idempotent, 200, "body"), vec![received("other", "desk")]),
        altered
    );
    assert_eq!(
        violated(call(CallKind::Idempotent, 200, "body"), vec![received("body", "forged")]),
        altered
    );
}

#[test]
fn late_answers_and_use_of_revoked_keys_are_found() {
    let mut late = call(CallKind::Idempotent, 504, "");
    late.elapsed = Duration::from_secs(9);
    assert_eq!(violated(late, vec![]), ["answers arrive within the route timeout"]);
    let one = call(CallKind::Idempotent, 200, "body");
    let at = one.sent_at.checked_sub(Duration::from_secs(4)).unwrap();
    let evidence = History {
        calls: vec![one],
        received: vec![received("body", "desk")],
        revoked_keys: vec![RevokedKey { key: "key".to_owned(), at }],
        revocation_bound: Duration::from_secs(3),
        ..History::default()
    };
    assert_eq!(evidence.check()[0].invariant, "revoked keys stop working");
}

#[test]
fn calls_handled_by_an_outdated_configuration_are_found() {
    let ago = |ms| Instant::now().checked_sub(Duration::from_millis(ms)).unwrap();
    let version = |ms, added_key: Option<&str>, has_added| ConfigVersion {
        sent: ago(ms + 5),
        accepted: ago(ms),
        has_added,
        keys: added_key.into_iter().chain(["key"]).map(str::to_owned).collect(),
    };
    // A route was removed, and a key added, this long ago.
    let violations = |call: CallRecord, runs, changed, disruptions: &[NodeDisruption]| {
        let mut run = received("body", "desk");
        run.ran = true;
        let evidence = History {
            calls: vec![CallRecord { body: "body".to_owned(), ..call }],
            received: vec![run; runs],
            versions: vec![version(9_000, None, true), version(changed, Some("new"), false)],
            node_disruptions: disruptions.to_vec(),
            standstills: Vec::new(),
            ..History::default()
        };
        evidence.check().iter().map(|b| b.invariant).collect::<Vec<_>>()
    };
    let denied = ["calls that the configuration allows are not denied"];
    let outdated = ["calls run only as a configuration in force allows"];
    let with_new_key =
        || CallRecord { key: "new".to_owned(), ..call(CallKind::Idempotent, 401, "") };
    assert_eq!(violations(with_new_key(), 0, 2_500, &[]), denied);
    assert_eq!(violations(with_new_key(), 0, 1_500, &[]), [""; 0], "in time");
    let removed = call(CallKind::Added, 404, "");
    assert_eq!(violations(removed, 0, 2_500, &[]), [""; 0], "its route was removed");
    let added = || call(CallKind::Added, 502, "");
    assert_eq!(violations(added(), 1, 2_500, &[]), outdated);
    assert_eq!(violations(added(), 1, 1_500, &[]), [""; 0], "in time");
    let by = |node, until| NodeDisruption { node, from: ago(8_000), until: ago(until) };
    assert_eq!(violations(added(), 1, 2_500, &[by(Some(0), 2_000)]), [""; 0], "out of touch");
    assert_eq!(violations(added(), 1, 2_500, &[by(Some(0), 4_000)]), outdated, "in touch again");
    assert_eq!(violations(added(), 1, 2_500, &[by(Some(1), 0)]), outdated, "another node");
}

#[test]
fn requests_at_drained_engines_are_found() {
    let late = received("body", "desk").with_engine("e1");
    let ago = |ms| late.at.checked_sub(Duration::from_millis(ms)).unwrap();
    let violations = |left, disruptions: &[NodeDisruption]| {
        let evidence = History {
            calls: vec![call(CallKind::Idempotent, 200, "body")],
            received: vec![late.clone()],
            drained: vec![DrainedEngine { engine: "e1".to_owned(), at: ago(left) }],
            node_disruptions: disruptions.to_vec(),
            standstills: Vec::new(),
            ..History::default()
        };
        evidence.check().len()
    };
    let disruption =
        |node, until| NodeDisruption { node, from: ago(until + 500), until: ago(until) };
    assert_eq!(violations(2_500, &[]), 1);
    assert_eq!(violations(1_500, &[]), 0, "within the grace period");
    assert_eq!(violations(2_500, &[disruption(Some(0), 2_000)]), 0, "its node was disrupted");
    assert_eq!(violations(2_500, &[disruption(None, 2_000)]), 0, "all nodes were disrupted");
    assert_eq!(violations(4_500, &[disruption(Some(0), 3_500)]), 1, "disrupted too long ago");
    assert_eq!(violations(2_500, &[disruption(Some(1), 2_000)]), 1, "another node was disrupted");
}

#[test]
fn requests_that_ignore_backpressure_are_found() {
    let now = Instant::now() + Duration::from_secs(10);
    let visit = |ms: u64| ReceivedRequest {
        at: now + Duration::from_millis(ms),
        ran: false,
        ..received("body", "desk").with_engine("e1")
    };
    let asked =
        |ms, rest| ReceivedRequest { retry_after: Some(Duration::from_millis(rest)), ..visit(ms) };
    let violations = |received: &[ReceivedRequest],
                      stalls: &[EngineDisruption],
                      disruptions: &[NodeDisruption]| {
        let evidence = History {
            calls: vec![call(CallKind::Idempotent, 503, "")],
            received: received.to_vec(),
            engine_disruptions: stalls.to_vec(),
            node_disruptions: disruptions.to_vec(),
            standstills: Vec::new(),
            ..History::default()
        };
        evidence.check().len()
    };
    let three = [asked(0, 3_000), visit(600), visit(700), visit(800)];
    assert_eq!(violations(&three, &[], &[]), 1);
    assert_eq!(violations(&three[..3], &[], &[]), 0, "two requests are allowed");
    let early = [asked(0, 3_000), visit(300), visit(400), visit(450), visit(3_100)];
    assert_eq!(violations(&early, &[], &[]), 0, "in flight, or after the pause");
    let (from, until) = (now + Duration::from_millis(100), now + Duration::from_millis(200));
    let held = EngineDisruption { engine: "e1".to_owned(), from, until };
    assert_eq!(violations(&three, std::slice::from_ref(&held), &[]), 0, "the engine was disrupted");
    assert_eq!(violations(&three, &[EngineDisruption { engine: "e2".to_owned(), ..held }], &[]), 1);
    let disruption = |node| NodeDisruption { node: Some(node), from, until };
    assert_eq!(violations(&three, &[], &[disruption(0)]), 0, "the node was disrupted");
    assert_eq!(violations(&three, &[], &[disruption(1)]), 1, "another node was disrupted");
    let leaves = ReceivedRequest { draining: true, ..visit(0) };
    assert_eq!(violations(&[leaves.clone(), visit(2_100)], &[], &[]), 0);
    assert_eq!(violations(&[leaves, visit(2_300)], &[], &[]), 1);
}

#[test]
fn a_rate_limit_exceeded_by_all_nodes_together_is_found() {
    let now = Instant::now() + Duration::from_secs(20);
    let visit = |ms: u64, limit: Option<f64>| ReceivedRequest {
        at: now + Duration::from_millis(ms),
        limit,
        ..received("body", "desk").with_engine("e1")
    };
    let violations = |received: &[ReceivedRequest], disruptions: &[NodeDisruption]| {
        let evidence = History {
            calls: vec![call(CallKind::Idempotent, 200, "body")],
            received: received.to_vec(),
            node_disruptions: disruptions.to_vec(),
            standstills: Vec::new(),
            ..History::default()
        };
        let of_limit = |b: &heathpitch_soak::Violation| b.invariant.contains("limit");
        evidence.check().iter().filter(|b| of_limit(b)).count()
    };
    // Eleven requests are allowed in four seconds: 1.5 times four, plus five.
    let since = |from: u64, count: u64, limit| {
        std::iter::once(visit(0, limit))
            .chain((0..count).map(move |i| visit(from + 100 * i, limit)))
    };
    let one = Some(1.0);
    assert_eq!(violations(&since(3_000, 12, one).collect::<Vec<_>>(), &[]), 1);
    assert_eq!(violations(&since(3_000, 11, one).collect::<Vec<_>>(), &[]), 0);
    assert_eq!(
        violations(&since(1_000, 12, one).collect::<Vec<_>>(), &[]),
        0,
        "nodes may still learn of it"
    );
    assert_eq!(violations(&since(3_000, 12, None).collect::<Vec<_>>(), &[]), 0);
    let higher: Vec<ReceivedRequest> =
        since(3_000, 11, one).chain([visit(4_200, Some(2.0))]).collect();
    assert_eq!(violations(&higher, &[]), 0, "a higher limit was set in between");
    let (from, until) = (now + Duration::from_millis(2_900), now + Duration::from_millis(3_000));
    let many: Vec<ReceivedRequest> = since(3_000, 12, one).collect();
    assert_eq!(
        violations(&many, &[NodeDisruption { node: Some(0), from, until }]),
        0,
        "the node was disrupted"
    );
    assert_eq!(violations(&many, &[NodeDisruption { node: Some(1), from, until }]), 1);
    assert_eq!(
        violations(&many, &[NodeDisruption { node: None, from, until }]),
        1,
        "a store disruption is no excuse"
    );
}

#[test]
fn more_retries_than_agreed_are_found() {
    let limit = RetryLimit { ratio: 0.2, slack: 1.0, window: Duration::from_secs(10) };
    let retried = |retries: usize| {
        let received = (0..=retries).map(|_| received("body", "desk")).collect();
        let calls = vec![call(CallKind::Idempotent, 200, "body")];
        let history = History { calls, received, retry_limit: Some(limit), ..History::default() };
        history.check().iter().map(|v| v.invariant).collect::<Vec<_>>()
    };
    assert_eq!(retried(1), [""; 0]);
    assert_eq!(retried(2), ["retries of all nodes stay within the limit"]);
}

/// Guards against a request that is taken for that of the node to which its call was forwarded later.
#[test]
fn requests_count_for_the_node_that_sent_them() {
    let start = Instant::now();
    let at = |id: &str, ms: u64| {
        let request = ReceivedRequest::new(id, "desk", "body").with_engine("e1");
        ReceivedRequest { at: start + Duration::from_millis(ms), ..request }
    };
    let asking = ReceivedRequest { retry_after: Some(Duration::from_secs(3)), ..at("a", 0) };
    let later = ["b", "c", "d"].map(|id| at(id, 1_000));
    let call = |(id, node): (&str, usize)| CallRecord {
        id: id.to_owned(),
        node,
        ..call(CallKind::Idempotent, 200, "body")
    };
    let invariants = |node: usize| {
        let mut senders = Senders::default();
        for id in ["b", "c", "d"] {
            let line = |event: &str, at: u64| json!({ "event": event, "request": id, "at": at });
            let with = |mut line: LogLine, key: &str, value: &str| {
                line[key] = value.into();
                line
            };
            let routed = |at| with(line("call_routed", at), "engine", "e1");
            let failed = with(line("call_attempt_failed", 2), "engine", "e1");
            // The other node chose the engine first, but sent nothing.
            senders.record(1 - node, &routed(1));
            senders.record(node, &routed(3));
            senders.record(0, &with(line("call_forwarded", 4), "node", "n1-7"));
            senders.record(1 - node, &with(failed, "error", "not sent: the engine rests"));
        }
        let calls = Vec::from([("a", 1), ("b", 0), ("c", 0), ("d", 0)].map(call));
        let received = later.iter().cloned().chain([asking.clone()]).collect();
        let history = History { calls, received, senders, ..History::default() };
        history.check().iter().map(|v| v.invariant).collect::<Vec<_>>()
    };
    assert_eq!(invariants(0), [""; 0]);
    assert_eq!(invariants(1), ["an engine's Retry-After is respected"]);
}
