//! The exact output and the exit codes of all commands other than `serve`.

use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::thread::sleep;
use std::time::Duration;

const FILES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/commands");

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dahliaroad"));
    command.current_dir(Path::new(FILES)).env_remove("ROUTER_CONFIG").env_remove("DAHLIAROAD_OPTIONS");
    command.args(arguments).output().unwrap()
}

fn compare_zones(old: &str, new: &str) -> Output {
    run(&["zone", old, new, "--apex", "fleet.example", "--service", "_ledger._tcp"])
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap()
}

/// The new file drops one endpoint, adds one, and changes each of the others in one way: its weight, a drain
/// taken back without a new start, a drain, a new start, an address. A listed name without an address is
/// reported as a problem and does not count as an endpoint.
#[test]
fn a_comparison_of_zones_lists_the_change_of_each_endpoint() {
    let output = compare_zones("old.zone", "new.zone");
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(
        text(&output.stdout),
        "e1: goes\n\
         e2: weight 30 instead of 20\n\
         e3: stays draining, as its start did not change\n\
         e4: draining instead of running\n\
         e5: restarted\n\
         e6: another address, zone or kind\n\
         e8: comes, aside, weight 20\n\
         serial 7 to 8: 7 of 7 endpoints change\n"
    );
    assert_eq!(
        text(&output.stderr),
        "new.zone: e9: its target e9.fleet.example has no address: not listed\n"
    );
}

/// The new file omits the start of three endpoints. The controller takes that for no change, so the comparison shows
/// none, and a drain holds. A start that is given for the first time is a restart, and so is an earlier one, as clocks are
/// stepped back, unless it is that of a process that has ended.
#[test]
fn a_comparison_of_zones_shows_what_an_omitted_a_new_and_an_earlier_start_change() {
    let output = compare_zones("starts-old.zone", "starts-new.zone");
    assert_eq!(
        text(&output.stdout),
        "e2: weight 30 instead of 20\n\
         e3: stays draining, as its start did not change\n\
         e4: restarted\n\
         e5: restarted, by an earlier start; goes, if that start was listed before\n\
         serial 7 to 8: 4 of 5 endpoints change\n"
    );
}

/// The files are given in the wrong order: the serial goes back, which a controller would reject.
#[test]
fn a_comparison_with_an_older_zone_is_rejected() {
    let output = compare_zones("new.zone", "old.zone");
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(text(&output.stdout), "");
    assert_eq!(
        text(&output.stderr),
        "old.zone: would be rejected: serial 7 is not newer than 8 (RFC 1982): expected a newer one\n"
    );
}

/// A missing file, or a start without any file: one line each, and an exit code on which scripts rely.
#[test]
fn missing_files_are_reported_in_one_line() {
    let options = "--options";
    for (arguments, exit_code, line) in [
        (&["check", "none"][..], 2, "none: No such file or directory (os error 2)\n"),
        (&["fleet"], 2, "dahliaroad: no operator's file: give one by --options or DAHLIAROAD_OPTIONS\n"),
        (&["fleet", options, "none"], 2, "dahliaroad: none: No such file or directory (os error 2)\n"),
        (
            &["serve"],
            1,
            "dahliaroad: configuration: no configuration file: give one by --config or ROUTER_CONFIG\n",
        ),
        (
            &["serve", options, "none"],
            1,
            "dahliaroad: options: none: No such file or directory (os error 2)\n",
        ),
    ] {
        let output = run(arguments);
        assert_eq!((output.status.code(), text(&output.stderr)), (Some(exit_code), line), "{arguments:?}");
    }
}

/// The reader of the output, such as `head`, ends after a line or does not exist. That is no error: the
/// command must not panic, and the exit code stays the same.
#[test]
fn output_that_nobody_reads_changes_no_exit_code() {
    let zone = ["zone", "old.zone", "new.zone", "--apex", "fleet.example", "--service", "_ledger._tcp"];
    let fleet =
        ["fleet", "--follow", "--options", "fleet.xml", "--config", "../../../../demo/controller.json"];
    let cases: [(&[&str], i32); 4] =
        [(&zone, 0), (&["check", "fleet.xml"], 0), (&["check", "old.zone"], 2), (&fleet, 0)];
    for (arguments, code) in cases {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dahliaroad"));
        command.current_dir(Path::new(FILES)).env_remove("ROUTER_CONFIG").env_remove("DAHLIAROAD_OPTIONS");
        let mut process =
            command.args(arguments).stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
        drop((process.stdout.take(), process.stderr.take()));
        assert_eq!(exit_code(process), Some(code), "{arguments:?}");
    }
}

/// Returns the exit code of a process. Panics when the process has not ended within half a minute.
fn exit_code(mut process: Child) -> Option<i32> {
    for _ in 0..300 {
        if let Some(status) = process.try_wait().unwrap() {
            return status.code();
        }
        sleep(Duration::from_millis(100));
    }
    process.kill().unwrap();
    panic!("the process did not exit within 30 s");
}
