//! The command line against a stand-in platform and real nodes.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use heathpitch_fakes::{FakePlatform, PlatformConfig, PlatformFault, sample_document};
use serde_json::Value;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A platform and a folder for files.
struct Bench {
    platform: FakePlatform,
    folder: PathBuf,
}

impl Bench {
    fn open() -> Self {
        let platform = FakePlatform::spawn(PlatformConfig::default()).unwrap();
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("heathpitch-cli-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Self { platform, folder }
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    fn sample(&self) -> String {
        self.file("sample.json", &serde_json::to_string(&sample_document(12).unwrap()).unwrap())
    }

    fn run(&self, words: &[&str]) -> Output {
        command(words)
            .env("HEATHPITCH_PLATFORM", self.platform.address().to_string())
            .output()
            .unwrap()
    }

    fn json(&self, words: &[&str]) -> Value {
        let all: Vec<&str> =
            ["--output", "json"].into_iter().chain(words.iter().copied()).collect();
        let output = self.run(&all);
        assert!(output.status.success(), "{}", err(&output));
        serde_json::from_slice(&output.stdout).unwrap()
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn command(words: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathpitch"));
    command.args(words).env_remove("HEATHPITCH_PLATFORM").env_remove("HEATHPITCH_NODE");
    command
}

fn out(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn err(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn help_teaches() {
    insta::assert_snapshot!(out(&command(&["--help"]).output().unwrap()));
}

#[test]
fn a_mistyped_command_gets_a_tip() {
    let output = command(&["aply", "x.json"]).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(err(&output));
}

#[test]
fn wrong_documents_name_the_path_and_the_nearest_word() {
    let b = Bench::open();
    let cases = [
        r#"{"modles":[]}"#,
        r#"{"models":[{"name":"m","version":"v1","layers":0}]}"#,
        r#"{"models":[{"name":"m","version":"v1","layers":4},{"name":"m","version":"v1","layers":4}]}"#,
        r#"{"pools":[{"name":"p"}],"routes":[{"name":"r","select":{"models":["tikets"]}}]}"#,
        r#"{"routes":[{"name":"r"}]}"#,
        r#"{"pools":[{"name":"p","labels":{"tier":"gold"}}],
            "routes":[{"name":"r","pools":{"labels":{"tier":"gild"}}}]}"#,
        r#"{"pools":[{"name":"p"}],"routes":[{"name":"r","settings":{"attemps":3}}]}"#,
        r#"{"accounts":[{"name":"a","rate":-1}]}"#,
        r#"{"accounts":[{"name":"two words"}]}"#,
        r#"{"models":"#,
    ];
    let mut all = String::new();
    for text in cases {
        let output = b.run(&["validate", &b.file("wrong.json", text)]);
        assert_eq!(output.status.code(), Some(3), "{text}");
        let said = err(&output);
        all += said.split_once("wrong.json: ").unwrap().1;
    }
    insta::assert_snapshot!(all);
}

#[test]
fn what_is_applied_is_got_back_with_its_revision() {
    let b = Bench::open();
    let sample = b.sample();
    assert_eq!(b.run(&["get"]).status.code(), Some(5));
    let accepted = b.json(&["apply", &sample]);
    assert_eq!(accepted["revision"], 1);
    let got = b.json(&["get"]);
    assert_eq!(got["revision"], 1);
    assert_eq!(got["models"][0]["name"], "tickets");
    assert_eq!(out(&b.run(&["diff", &sample])).trim(), "no difference");
}

#[test]
fn a_file_without_its_revision_does_not_undo_what_stands() {
    let b = Bench::open();
    let sample = b.sample();
    b.json(&["apply", &sample]);
    let output = b.run(&["apply", &sample]);
    assert_eq!(output.status.code(), Some(4));
    insta::assert_snapshot!(err(&output));
    assert!(b.run(&["apply", "--overwrite", &sample]).status.success());
}

#[test]
fn the_slower_of_two_operators_is_told_what_changed() {
    let b = Bench::open();
    b.json(&["apply", &b.sample()]);
    let mine = b.json(&["get"]);
    b.json(&["route", "all-models", "attempts", "2"]);
    let mut text = mine.clone();
    text["accounts"][0]["weight"] = 9.into();
    let output = b.run(&["apply", &b.file("mine.json", &text.to_string())]);
    assert_eq!(output.status.code(), Some(4));
    insta::assert_snapshot!(err(&output));
    assert_eq!(b.json(&["get"])["routes"][0]["settings"]["attempts"], 2);
}

#[test]
fn edits_made_at_once_are_all_kept() {
    let b = Bench::open();
    b.json(&["apply", &b.sample()]);
    let running: Vec<_> = (0..6)
        .map(|i| {
            let word = format!("by{i}=yes");
            command(&["label", "pool", "engines", &word])
                .env("HEATHPITCH_PLATFORM", b.platform.address().to_string())
                .stdout(Stdio::null())
                .spawn()
                .unwrap()
        })
        .collect();
    for mut child in running {
        assert!(child.wait().unwrap().success());
    }
    let labels = b.json(&["get"])["pools"][0]["labels"].clone();
    assert!((0..6).all(|i| labels[format!("by{i}")] == "yes"), "{labels}");
}

#[test]
fn a_write_whose_answer_is_lost_is_found_and_made_once() {
    let b = Bench::open();
    b.json(&["apply", &b.sample()]);
    b.platform.inject(PlatformFault::LoseWriteResponses(1));
    let accepted = b.json(&["label", "account", "adviser-1", "office=birmingham"]);
    assert_eq!(accepted["revision"], 2);
    assert_eq!(b.json(&["get"])["revision"], 2);
}

#[test]
fn a_platform_that_is_away_is_named() {
    let platform = FakePlatform::spawn(PlatformConfig::default()).unwrap();
    let address = platform.address().to_string();
    platform.kill();
    let output = command(&["--platform", &address, "get"]).output().unwrap();
    assert_eq!(output.status.code(), Some(5));
    assert!(err(&output).contains("the platform cannot be reached"));
}

#[test]
fn with_the_platform_failing_nothing_is_claimed() {
    let b = Bench::open();
    let sample = b.sample();
    b.json(&["apply", &sample]);
    b.platform.inject(PlatformFault::LoseWriteResponses(100));
    let output = b.run(&["apply", "--overwrite", &sample]);
    // The first write took effect and is found by its change id.
    assert!(output.status.success(), "{}", err(&output));
    assert_eq!(b.platform.stored("config").unwrap().revision.0, 2);
}

#[test]
fn labels_are_taken_away_and_unknown_names_get_a_tip() {
    let b = Bench::open();
    b.json(&["apply", &b.sample()]);
    b.json(&["label", "account", "adviser-1", "a=b"]);
    b.json(&["label", "account", "adviser-1", "a-"]);
    assert!(b.json(&["get"])["accounts"][1]["labels"]["a"].is_null());
    let cases: [&[&str]; 5] = [
        &["label", "account", "advisor-1", "a=b"],
        &["label", "pool", "engine", "a=b"],
        &["label", "zone", "x", "a=b"],
        &["route", "all-models", "atempts", "3"],
        &["route", "all-models", "attempts", "many"],
    ];
    let mut all = String::new();
    for words in cases {
        let output = b.run(words);
        assert_eq!(output.status.code(), Some(2));
        all += &err(&output);
    }
    insta::assert_snapshot!(all);
}

#[test]
fn an_edit_that_breaks_the_document_is_refused() {
    let b = Bench::open();
    b.json(&["apply", &b.sample()]);
    let output = b.run(&["route", "all-models", "attempts", "99"]);
    assert_eq!(output.status.code(), Some(3));
    insta::assert_snapshot!(err(&output));
}

#[test]
fn the_digest_of_a_key_is_printed() {
    let mut child = command(&["key"]).stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().unwrap();
    child.stdin.take().unwrap().write_all(b"abc\n").unwrap();
    let output = child.wait_with_output().unwrap();
    let sha = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(out(&output).trim(), sha);
}

#[test]
fn missing_addresses_are_named() {
    let output = command(&["get"]).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(err(&output).contains("--platform is needed"));
    let output = command(&["--node", "nowhere", "status"]).output().unwrap();
    assert!(err(&output).contains("\"nowhere\" is not ip:port"));
}
