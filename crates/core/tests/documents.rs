//! Validation of documents, settings and paths, and the outcomes derived from evidence.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use heathpitch_core::{
    Account, Document, Epoch, ErrorKind, Evidence, Index, LayerRange, Model, Name, Outcome, Path,
    PathError, Priority, Revision, Stage, diff, parse_document, parse_settings,
};

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn stage(engine: &str, first: u32, end: u32) -> Stage {
    let (engine, address) = (name(engine), name("127.0.0.1:1"));
    Stage { engine, address, layers: LayerRange::new(first, end), epoch: Epoch(0) }
}

fn path(stages: Vec<Stage>) -> Result<Path, PathError> {
    Path::new(&Model::new(name("m"), name("v"), 6), stages)
}

#[test]
fn only_complete_paths_can_be_built() {
    assert!(path(vec![stage("a", 0, 6)]).is_ok());
    assert!(path(vec![stage("a", 0, 2), stage("b", 2, 6)]).is_ok());
    let invalid = [
        vec![],
        vec![stage("a", 0, 5)],
        vec![stage("a", 1, 6)],
        vec![stage("a", 0, 3), stage("b", 2, 6)],
        vec![stage("a", 0, 3), stage("b", 4, 6)],
        vec![stage("a", 0, 3), stage("b", 3, 3), stage("c", 3, 6)],
        vec![stage("b", 3, 6), stage("a", 0, 3)],
        vec![stage("a", 0, 3), stage("a", 3, 6)],
        vec![stage("a", 0, 7)],
    ];
    let errors: Vec<String> =
        invalid.into_iter().map(|stages| path(stages).unwrap_err().to_string()).collect();
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn documents_survive_a_round_trip() {
    let text = r#"{"models":[{"name":"m","version":"v1","layers":4}],
        "pools":[{"name":"p","members":{"kind":"engine"}}],
        "accounts":[{"name":"a","rate":2.5,"keys":["abc"]}],
        "routes":[{"name":"r","select":{"priorities":["high"]}}]}"#;
    let doc = parse_document(text).unwrap();
    let again = parse_document(&serde_json::to_string(&doc).unwrap()).unwrap();
    assert_eq!(doc, again);
}

#[test]
fn selectors_match_account_model_and_priority() {
    let text = r#"{"models":[{"name":"m","version":"v1","layers":4}],
        "pools":[{"name":"p"}],
        "routes":[
          {"name":"urgent","select":{"priorities":["high"],"accounts":{"labels":{"user":"desk"}}}},
          {"name":"rest"}]}"#;
    let index = Index::new(Revision(1), &parse_document(text).unwrap());
    let mut desk = Account::new(name("desk"));
    desk.labels = [("user", "desk")].try_into().unwrap();
    let night = Account::new(name("night"));
    let route = |a: &Account, at| index.route(a, &name("m"), at).unwrap().name.to_string();
    assert_eq!(route(&desk, Priority::High), "urgent");
    assert_eq!(route(&desk, Priority::Low), "rest");
    assert_eq!(route(&night, Priority::High), "rest");
}

#[test]
fn errors_have_machine_readable_kinds() {
    let kind = |text: &str| parse_document(text).unwrap_err().kind();
    assert_eq!(kind("{"), ErrorKind::Syntax);
    assert_eq!(kind(r#"{"x":1}"#), ErrorKind::UnknownKey);
    assert_eq!(kind(r#"{"models":3}"#), ErrorKind::BadValue);
    assert_eq!(kind(r#"{"routes":[{"name":"r"}]}"#), ErrorKind::MatchesNothing);
    assert_eq!(kind(&format!("{}{{}}", " ".repeat(1_000_001))), ErrorKind::TooLarge);
    assert_eq!(parse_settings("{}").unwrap_err().kind(), ErrorKind::BadValue);
}

#[test]
fn differences_are_listed_by_entry_name() {
    let one = r#"{"pools":[{"name":"p"}],"routes":[{"name":"a"},{"name":"b"}]}"#;
    let two = r#"{"pools":[{"name":"p"}],"routes":[{"name":"b","settings":{"attempts":2}}]}"#;
    let read = |t: &str| -> Document { parse_document(t).unwrap() };
    let lines: Vec<String> = diff(&read(one), &read(two))
        .iter()
        .map(|c| c.to_string().chars().take(60).collect())
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn entries_added_to_an_empty_list_are_listed_separately() {
    let doc = parse_document(r#"{"models":[{"name":"m","version":"v1","layers":4}]}"#).unwrap();
    let changes = diff(&Document::default(), &doc);
    let paths: Vec<&str> = changes.iter().map(|c| c.path.as_str()).collect();
    assert_eq!(paths, ["models.(order)", "models.m"]);
}

#[test]
fn an_outcome_accounts_for_every_attempt() {
    let mut evidence = Evidence::new();
    evidence.sent();
    evidence.lost();
    evidence.sent();
    evidence.refused();
    assert_eq!(evidence.outcome(), Outcome::Unknown);
    evidence.sent();
    evidence.started();
    assert_eq!(evidence.outcome(), Outcome::Failed);
    assert!(evidence.not_run().is_none());
}

#[test]
fn gateway_settings_errors_name_the_missing_or_invalid_value() {
    use heathpitch_core::GatewaySettings;
    let valid = r#"{ "node": "n", "domain": "d", "listen": "127.0.0.1:1", "ready": "127.0.0.1:2",
        "metrics": "127.0.0.1:3", "store": "127.0.0.1:4" }"#;
    assert!(GatewaySettings::parse(valid).is_ok());
    let errors = [
        valid.replace("\"store\": \"127.0.0.1:4\"", "\"bounds\": {}"),
        valid.replace("\"domain\"", "\"domian\""),
        valid.replace("127.0.0.1:2", "here"),
        valid.replace(" }", ", \"bounds\": { \"revoke_ms\": 3 } }"),
    ]
    .map(|text| GatewaySettings::parse(&text).unwrap_err().to_string());
    insta::assert_snapshot!(errors.join("\n"));
}
