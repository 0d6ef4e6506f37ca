//! Invalid settings end the start with one line on stderr and exit code 2.

use std::process::Command;

use fireflyhoist_daemon::Settings;
use fireflyhoist_harness::program;
use yare::parameterized;

const VALID: &str = r#"host = "brno-1"
domain = "hala-a"
listen = "10.0.0.1:7000"
peer_listen = "10.0.0.1:7001"
platform = "10.0.0.9:80"
peer_key = "shared"
workers = 2
"#;

#[test]
fn valid_settings_are_accepted() {
    assert!(Settings::parse(VALID.as_bytes()).is_ok());
}

#[parameterized(
    empty = { VALID, "", "line 1: the file is empty" },
    missing = { "host = \"brno-1\"\n", "", "line 1: field `host` is missing in `the file`" },
    unknown = { "workers", "wokers", "line 7: field `wokers` is unknown; remove it or use" },
    upper = { "brno-1", "Brno-1", "line 1: `\"Brno-1\"`: name holds 'B'" },
    host_name = { "10.0.0.9:80", "platform.lan:80", "line 5: `\"platform.lan:80\"` is no IP number" },
    no_port = { "10.0.0.1:7000", "10.0.0.1", "line 3: `\"10.0.0.1\"` is no IP number with a port" },
    port_zero = { "10.0.0.9:80", "10.0.0.9:0", "line 5: `10.0.0.9:0` cannot be connected to" },
    same_port = { "10.0.0.1:7001", "10.0.0.1:7000", "line 4: `10.0.0.1:7000` is the address of `listen` too" },
    key_blank = { "\"shared\"", "\"\"", "line 6: peer_key is empty; write one" },
    no_workers = { "workers = 2", "workers = 0", "line 7: workers `0` is out of range; set it from 1 to 1024" },
    workers_text = { "workers = 2", "workers = \"2\"", "line 7: `\"2\"` does not fit; write a whole number" },
    syntax = { "workers = 2", "workers = ", "line 7: `workers =` is not TOML here" },
    twice = { "workers = 2", "host = \"brno-2\"", "line 7: `host` is not TOML here: duplicate key" },
)]
fn invalid_settings_name_line_value_and_remedy(from: &str, to: &str, message: &str) {
    let error = Settings::parse(VALID.replacen(from, to, 1).as_bytes()).expect_err("refused");
    assert!(error.to_string().starts_with(message), "{error}");
}

#[test]
fn settings_that_are_not_utf8_are_refused() {
    let error = Settings::parse(b"host = \"\xff\"").expect_err("refused");
    assert_eq!(error.to_string(), "line 1: byte 0xff is not UTF-8; save the file as UTF-8");
}

fn start(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(program("fireflyhoistd")).args(arguments).output().expect("it runs");
    (output.status.code(), String::from_utf8(output.stderr).expect("UTF-8"))
}

/// A typing error in the settings must end the daemon at once instead of being replaced by a
/// default. The last line of its unit's log must say what to correct.
#[test]
fn a_settings_error_ends_the_start_with_code_two_and_one_line() {
    let path = std::env::temp_dir().join(format!("ffh-settings-{}.toml", std::process::id()));
    std::fs::write(&path, VALID.replacen("10.0.0.9:80", "platform:80", 1)).expect("written");
    let (code, stderr) = start(&["--settings", path.to_str().expect("a path")]);
    std::fs::remove_file(&path).expect("removed");
    assert_eq!(code, Some(2), "{stderr}");
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
    assert!(stderr.contains("line 5: `\"platform:80\"` is no IP number"), "{stderr}");
}

#[test]
fn a_missing_settings_file_ends_the_start_with_code_two() {
    let (code, stderr) = start(&["--settings", "no-such-file.toml"]);
    assert_eq!(code, Some(2), "{stderr}");
    assert!(stderr.contains("no-such-file.toml: cannot be read"), "{stderr}");
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
}

#[test]
fn an_invalid_command_line_ends_with_code_two() {
    let (code, stderr) = start(&["--setings", "x"]);
    assert_eq!(code, Some(2), "{stderr}");
}
