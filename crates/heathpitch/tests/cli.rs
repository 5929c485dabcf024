//! The command line against a fake platform.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails its test")]

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use heathpitch_fakes::{FakePlatform, PlatformConfig, PlatformFault, sample_document};
use serde_json::Value;

static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

/// A fake platform and a temporary folder.
struct Setup {
    platform: FakePlatform,
    folder: PathBuf,
}

impl Setup {
    fn start() -> Self {
        let platform = FakePlatform::spawn(PlatformConfig::default()).unwrap();
        let n = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
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

    fn run(&self, args: &[&str]) -> Output {
        command(args)
            .env("HEATHPITCH_PLATFORM", self.platform.address().to_string())
            .output()
            .unwrap()
    }

    fn json(&self, args: &[&str]) -> Value {
        let all: Vec<&str> = ["--output", "json"].into_iter().chain(args.iter().copied()).collect();
        let output = self.run(&all);
        assert!(output.status.success(), "{}", stderr(&output));
        serde_json::from_slice(&output.stdout).unwrap()
    }
}

impl Drop for Setup {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_heathpitch"));
    command.args(args).env_remove("HEATHPITCH_PLATFORM").env_remove("HEATHPITCH_NODE");
    command
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn help_lists_commands_and_exit_codes() {
    insta::assert_snapshot!(stdout(&command(&["--help"]).output().unwrap()));
}

#[test]
fn a_mistyped_command_gets_a_suggestion() {
    let output = command(&["aply", "x.json"]).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(stderr(&output));
}

#[test]
fn invalid_documents_name_the_path_and_a_suggestion() {
    let setup = Setup::start();
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
        let output = setup.run(&["validate", &setup.file("wrong.json", text)]);
        assert_eq!(output.status.code(), Some(3), "{text}");
        let message = stderr(&output);
        all += message.split_once("wrong.json: ").unwrap().1;
    }
    insta::assert_snapshot!(all);
}

#[test]
fn an_applied_document_is_returned_with_its_revision() {
    let setup = Setup::start();
    let sample = setup.sample();
    assert_eq!(setup.run(&["get"]).status.code(), Some(5));
    let accepted = setup.json(&["apply", &sample]);
    assert_eq!(accepted["revision"], 1);
    let got = setup.json(&["get"]);
    assert_eq!(got["revision"], 1);
    assert_eq!(got["models"][0]["name"], "tickets");
    assert_eq!(stdout(&setup.run(&["diff", &sample])).trim(), "no difference");
}

#[test]
fn a_file_without_revision_does_not_overwrite_the_stored_document() {
    let setup = Setup::start();
    let sample = setup.sample();
    setup.json(&["apply", &sample]);
    let output = setup.run(&["apply", &sample]);
    assert_eq!(output.status.code(), Some(4));
    insta::assert_snapshot!(stderr(&output));
    assert!(setup.run(&["apply", "--overwrite", &sample]).status.success());
}

#[test]
fn a_file_of_a_stale_revision_is_rejected_with_the_differences() {
    let setup = Setup::start();
    setup.json(&["apply", &setup.sample()]);
    let mine = setup.json(&["get"]);
    setup.json(&["route", "all-models", "attempts", "2"]);
    let mut text = mine.clone();
    text["accounts"][0]["weight"] = 9.into();
    let output = setup.run(&["apply", &setup.file("mine.json", &text.to_string())]);
    assert_eq!(output.status.code(), Some(4));
    insta::assert_snapshot!(stderr(&output));
    assert_eq!(setup.json(&["get"])["routes"][0]["settings"]["attempts"], 2);
}

#[test]
fn concurrent_edits_are_all_kept() {
    let setup = Setup::start();
    setup.json(&["apply", &setup.sample()]);
    let running: Vec<_> = (0..6)
        .map(|i| {
            let word = format!("by{i}=yes");
            command(&["label", "pool", "engines", &word])
                .env("HEATHPITCH_PLATFORM", setup.platform.address().to_string())
                .stdout(Stdio::null())
                .spawn()
                .unwrap()
        })
        .collect();
    for mut child in running {
        assert!(child.wait().unwrap().success());
    }
    let labels = setup.json(&["get"])["pools"][0]["labels"].clone();
    assert!((0..6).all(|i| labels[format!("by{i}")] == "yes"), "{labels}");
}

#[test]
fn a_write_whose_answer_is_lost_takes_effect_once() {
    let setup = Setup::start();
    setup.json(&["apply", &setup.sample()]);
    setup.platform.inject(PlatformFault::LoseWriteResponses(1));
    let accepted = setup.json(&["label", "account", "adviser-1", "office=birmingham"]);
    assert_eq!(accepted["revision"], 2);
    assert_eq!(setup.json(&["get"])["revision"], 2);
}

#[test]
fn an_unreachable_platform_is_reported() {
    let platform = FakePlatform::spawn(PlatformConfig::default()).unwrap();
    let address = platform.address().to_string();
    platform.kill();
    let output = command(&["--platform", &address, "get"]).output().unwrap();
    assert_eq!(output.status.code(), Some(5));
    assert!(stderr(&output).contains("cannot reach the platform"));
}

#[test]
fn a_write_without_any_answer_is_found_by_its_change_id() {
    let setup = Setup::start();
    let sample = setup.sample();
    setup.json(&["apply", &sample]);
    setup.platform.inject(PlatformFault::LoseWriteResponses(100));
    let output = setup.run(&["apply", "--overwrite", &sample]);
    // The first write took effect and is found by its change id.
    assert!(output.status.success(), "{}", stderr(&output));
    assert_eq!(setup.platform.stored("config").unwrap().revision.0, 2);
}

#[test]
fn labels_are_removed_and_unknown_names_get_a_suggestion() {
    let setup = Setup::start();
    setup.json(&["apply", &setup.sample()]);
    setup.json(&["label", "account", "adviser-1", "a=b"]);
    setup.json(&["label", "account", "adviser-1", "a-"]);
    assert!(setup.json(&["get"])["accounts"][1]["labels"]["a"].is_null());
    let cases: [&[&str]; 5] = [
        &["label", "account", "advisor-1", "a=b"],
        &["label", "pool", "engine", "a=b"],
        &["label", "zone", "x", "a=b"],
        &["route", "all-models", "atempts", "3"],
        &["route", "all-models", "attempts", "many"],
    ];
    let mut all = String::new();
    for args in cases {
        let output = setup.run(args);
        assert_eq!(output.status.code(), Some(2));
        all += &stderr(&output);
    }
    insta::assert_snapshot!(all);
}

#[test]
fn an_edit_that_makes_the_document_invalid_is_rejected() {
    let setup = Setup::start();
    setup.json(&["apply", &setup.sample()]);
    let output = setup.run(&["route", "all-models", "attempts", "99"]);
    assert_eq!(output.status.code(), Some(3));
    insta::assert_snapshot!(stderr(&output));
}

#[test]
fn the_digest_of_a_key_is_printed() {
    let mut child = command(&["key"]).stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().unwrap();
    child.stdin.take().unwrap().write_all(b"abc\n").unwrap();
    let output = child.wait_with_output().unwrap();
    let sha = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(stdout(&output).trim(), sha);
}

#[test]
fn missing_or_invalid_addresses_are_reported() {
    let output = command(&["get"]).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("--platform is required"));
    let output = command(&["--node", "nowhere", "status"]).output().unwrap();
    assert!(stderr(&output).contains("\"nowhere\" is not ip:port"));
}
