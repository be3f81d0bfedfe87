//! Deliberately broken files, each refused with its line, its element and what was expected.

use dahliaroad_options::{Protocol, read};

const GOOD: &str = r#"<dahliaroad xmlns="urn:dahliaroad:options:1">
  <log form="json"/>
  <fleet remember-dead="24h" most-dead="5000">
    <pace changes-per-second="100" burst="500" hold="1s" longest-hold="32s"/>
  </fleet>
  <sources discovery="off">
    <registry name="main" protocol="watch" prefix="/e/">
      <member address="127.0.0.1:2379"/>
      <member address="[::1]:2379"/>
      <limits answer="1.5s" page="200"/>
    </registry>
    <registry name="other" protocol="blocking-read" stale="on">
      <member address="registry.example:8500"/>
      <service name="ledger"/>
      <login secret-file="/run/token"/>
    </registry>
  </sources>
</dahliaroad>"#;

#[test]
fn a_good_file_is_read_and_an_empty_one_turns_nothing_on() {
    let options = read(GOOD).unwrap();
    assert!(options.log_json && options.without_discovery);
    assert_eq!(options.registries.len(), 2);
    assert_eq!(options.registries[1].protocol, Protocol::BlockingRead);
    assert_eq!(options.registries[0].limits.page, Some(200));
    assert_eq!(read(r#"<dahliaroad xmlns="urn:dahliaroad:options:1"/>"#), Ok(Default::default()));
}

#[test]
fn each_fault_is_told_with_its_line_its_element_and_what_was_expected() {
    let cases = [
        ("</dahliaroad>", "", "line 1: no XML"),
        ("options:1", "options:2", "line 1: <dahliaroad>: expected"),
        ("form=\"json\"", "form=\"yaml\"", "line 2: <log>: form: expected one of text, json, found \"yaml\""),
        ("24h", "24", "line 3: <fleet>: remember-dead: expected a time with its unit"),
        ("24h", "0s", "line 3: <fleet>: remember-dead: expected a time"),
        ("5000", "-1", "line 3: <fleet>: most-dead: expected a whole number from 1"),
        ("burst=\"500\"", "burst=\"0.5\"", "line 4: <pace>: burst: expected 1 or more"),
        ("longest-hold=\"32s\"", "longest-hold=\"32ms\"", "line 4: <pace>: hold is 1s"),
        ("burst", "bursts", "line 4: <pace>: bursts: unknown: expected burst, changes-per-second"),
        ("name=\"main\"", "", "line 7: <registry>: name is missing"),
        ("name=\"main\"", "name=\"other\"", "line 12: <registry>: name: another registry has it"),
        ("\"watch\"", "\"watches\"", "line 7: <registry>: protocol: expected one of watch, blocking-read"),
        ("prefix=\"/e/\"", "", "line 7: <registry>: prefix is missing"),
        ("[::1]:2379", "[::1]", "line 9: <member>: address: expected a host and a port"),
        ("127.0.0.1:2379", "http://127.0.0.1:2379", "line 8: <member>: address: expected a host and a port"),
        (
            "<member address=\"registry.example:8500\"/>",
            "",
            "line 12: <registry>: expected at least one <member",
        ),
        ("<service name=\"ledger\"/>", "", "line 12: <registry>: expected at least one <service"),
        ("<service name=\"ledger\"/>", "ledger", "line 14: <registry>: text is not expected"),
        ("<login secret", "<login user=\"u\" secret", "line 15: <login>: user: a token has none"),
        ("page=\"200\"", "page=\"0\"", "line 10: <limits>: page: expected a whole number"),
        ("<limits", "<tls key-file=\"k\"/><limits", "line 10: <tls>: is reserved"),
        ("<limits", "<limit/><limits", "line 10: <limit>: unknown here: expected limits, login, member"),
        ("<log form=\"json\"/>", "<log/><log/>", "line 2: <log>: stands here a second time"),
    ];
    for (from, to, expected) in cases {
        assert!(GOOD.contains(from), "{from}");
        let faults = read(&GOOD.replacen(from, to, 1)).expect_err(to);
        let told: Vec<String> = faults.iter().map(ToString::to_string).collect();
        assert!(told.iter().any(|fault| fault.starts_with(expected)), "{expected}\n{told:#?}");
    }
}

#[test]
fn all_faults_are_told_at_once_in_the_order_of_their_lines() {
    let text = GOOD.replace("24h", "ever").replace("1.5s", "soon").replace("\"off\"", "\"no\"");
    let lines: Vec<u32> = read(&text).unwrap_err().iter().map(|fault| fault.line).collect();
    assert_eq!(lines, [3, 6, 10]);
}
