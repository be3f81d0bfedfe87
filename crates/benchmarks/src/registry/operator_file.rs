//! The operator's file that configures the controller's source. Its pauses are short, so that they add little to the
//! measured latency.

use std::net::SocketAddr;
use std::path::Path;

use super::arguments::Source;

/// Returns the text of the file, or `None` for the platform's discovery, which needs no file.
pub fn operator_file(source: Source, registry: SocketAddr, zone_file: &Path) -> Option<String> {
    match source {
        Source::Discovery => None,
        Source::Watch => Some(registry_file(registry, r#"protocol="watch" prefix="fleet/""#, "")),
        Source::BlockingRead => {
            let service = r#"<service name="fleet"/>"#;
            Some(registry_file(registry, r#"protocol="blocking-read""#, service))
        }
        Source::ZoneFile => Some(format!(
            r#"<dahliaroad xmlns="urn:dahliaroad:options:1">
                <fleet><pace changes-per-second="100000" burst="100000" gather="1ms" hold="1ms" longest-hold="1ms"/>
                </fleet><sources discovery="off"><zone-file name="z" apex="fleet.example" service="_ledger._tcp"
                path="{}"/></sources></dahliaroad>"#,
            zone_file.display()
        )),
    }
}

fn registry_file(registry: SocketAddr, protocol: &str, service: &str) -> String {
    format!(
        r#"<dahliaroad xmlns="urn:dahliaroad:options:1">
        <fleet><pace changes-per-second="100000" burst="100000" gather="1ms" hold="1ms" longest-hold="1ms"/></fleet>
        <sources discovery="off"><registry name="main" {protocol}><member address="{registry}"/>{service}
        <limits first-pause="20ms" longest-pause="100ms" floor="1ms" rereads="1000" rereads-per-minute="60000"/>
        </registry></sources></dahliaroad>"#
    )
}
