//! The command-line tool as a process: the steps from the check of a bundle to its rollout, and the exit statuses.

use crate::support;

use std::env;
use std::fs;
use std::path;
use std::process;

const BUNDLE: &str = r#"version = 1
tiers = [{ name = "paying" }]
routes = [{ prefix = "/", service = "fees" }]

[[services]]
name = "fees"
floor = 1
targets = [{ name = "a", address = "127.0.0.1:9001", domain = "d", slots = 3 }]
"#;

/// A separate directory for each test.
struct Dir(path::PathBuf);

impl Dir {
    fn new(test: &str) -> Dir {
        let dir = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).unwrap();
        Dir(dir)
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.0.join(name), text).unwrap();
    }

    /// Runs the tool in this directory, and returns its exit status and its output.
    fn run(&self, args: &[&str]) -> (i32, String) {
        let test = env::current_exe().unwrap();
        let tool = test.ancestors().nth(2).unwrap().join("peridotspread");
        #[expect(clippy::disallowed_types, reason = "the lab may start processes")]
        let mut command = process::Command::new(&tool);
        let output = command.args(args).current_dir(&self.0).output();
        let output = output.unwrap_or_else(|e| panic!("failed to start {}: {e}", tool.display()));
        let text = [output.stdout, output.stderr].concat();
        (
            output.status.code().unwrap_or(-1),
            String::from_utf8(text).unwrap(),
        )
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bundle_is_checked_signed_and_rolled_out() {
    let dir = Dir::new("tool-rollout");
    let platform = support::platform().await;
    let address = platform.address.to_string();
    dir.write("one.toml", BUNDLE);
    dir.write("two.toml", &BUNDLE.replace("version = 1", "version = 2"));
    assert_eq!(dir.run(&["keys", "operator", "operator-1"]).0, 0);
    assert_eq!(dir.run(&["check", "one.toml"]).0, 0);
    assert_eq!(
        dir.run(&["sign", "one.toml", "--key", "operator-1.pem"]).0,
        0
    );
    let (status, text) = dir.run(&["rollout", "one.toml", "--platform", &address, "--json"]);
    assert_eq!(status, 0, "{text}");
    assert!(text.contains(r#""outcome":"accepted""#), "{text}");
    let two = [
        "rollout",
        "two.toml",
        "--platform",
        &address,
        "--key",
        "operator-1.pem",
    ];
    assert_eq!(dir.run(&two).0, 0);
    let (status, text) = dir.run(&["rollout", "one.toml", "--platform", &address]);
    assert_eq!(status, 1, "{text}");
    assert!(
        text.contains("version 2 by operator-1 is in force"),
        "{text}"
    );
    dir.write("one.toml", &BUNDLE.replace("version = 1", "version = 3"));
    let (status, text) = dir.run(&["rollout", "one.toml", "--platform", &address]);
    assert_eq!(status, 66, "{text}");
    platform.handle.set(|o| o.down = true);
    let three = [
        "rollout",
        "one.toml",
        "--platform",
        &address,
        "--key",
        "operator-1.pem",
        "--patience",
        "1",
    ];
    let (status, text) = dir.run(&three);
    assert_eq!(status, 69, "{text}");
}

#[test]
fn findings_and_differences_exit_with_1_and_usage_errors_with_2() {
    let dir = Dir::new("tool-check");
    dir.write("one.toml", BUNDLE);
    dir.write(
        "bad.toml",
        &BUNDLE
            .replace("slots = 3", "slots = 0")
            .replace("floor = 1", "floor = 9"),
    );
    let (status, text) = dir.run(&["check", "bad.toml"]);
    assert_eq!(status, 1);
    assert!(
        text.contains("bad.toml:7: ") && text.contains("bad.toml:8: "),
        "{text}"
    );
    let (status, text) = dir.run(&["check", "bad.toml", "--json"]);
    assert_eq!(status, 1);
    let report: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(report["findings"].as_array().unwrap().len(), 2);
    assert_eq!(dir.run(&["diff", "one.toml", "one.toml"]).0, 0);
    dir.write("two.toml", &BUNDLE.replace("version = 1", "version = 2"));
    let (status, text) = dir.run(&["diff", "one.toml", "two.toml"]);
    assert_eq!((status, text.as_str()), (1, "~ version: 1 -> 2\n"));
    assert_eq!(dir.run(&["check", "none.toml"]).0, 66);
    assert_eq!(dir.run(&["check"]).0, 2);
    assert_eq!(dir.run(&["chek"]).0, 2);
    assert_eq!(dir.run(&["rollout", "--help"]).0, 0);
    assert_eq!(dir.run(&["--help"]).0, 0);
}

#[test]
fn keys_are_created_once_and_never_overwritten() {
    let dir = Dir::new("tool-keys");
    assert_eq!(dir.run(&["keys", "authority", "--dir", "k"]).0, 0);
    assert_eq!(dir.run(&["keys", "daemon", "entry-1", "--dir", "k"]).0, 0);
    let key = fs::read(dir.0.join("k/entry-1.key.pem")).unwrap();
    assert_eq!(dir.run(&["keys", "daemon", "entry-1", "--dir", "k"]).0, 66);
    assert_eq!(fs::read(dir.0.join("k/entry-1.key.pem")).unwrap(), key);
    assert_eq!(dir.run(&["keys", "daemon"]).0, 2);
    let (status, text) = dir.run(&["keys", "token", "--json"]);
    assert_eq!(status, 0);
    assert!(text.contains("digest"), "{text}");
}
