//! Reads `<zone-file>`, which configures a DNS zone file as a source of endpoints.

use crate::element::Element;
use crate::fault::FaultKind;
use crate::operator_config::ZoneFileConfig;

/// Maximum length of a label in bytes, by RFC 1035.
const MAX_LABEL_LENGTH: usize = 63;
/// Maximum length of a domain name in bytes, by RFC 1035.
const MAX_NAME_LENGTH: usize = 253;

pub fn zone_file(element: &Element) -> Option<ZoneFileConfig> {
    let name = element.required("name", "a unique name");
    let apex = element.required("apex", "the zone's domain name, such as fleet.example");
    let service =
        element.required("service", "the owner name of the service's records, such as _ledger._tcp, or @");
    let path = element.required("path", "the path of the zone file");
    let poll_interval = element.duration("look");
    check_domain_name(element, "apex", apex);
    check_domain_name(element, "service", service);
    element.report_unknown();
    Some(ZoneFileConfig {
        name: name?.to_owned(),
        apex: apex?.to_owned(),
        service: service?.to_owned(),
        path: path?.to_owned(),
        poll_interval,
    })
}

fn check_domain_name(element: &Element, attribute: &'static str, name: Option<&str>) {
    let Some(found) = name.filter(|name| !is_domain_name(name)) else { return };
    let expected = "a domain name".to_owned();
    element.fault(FaultKind::InvalidAttribute { attribute, expected, found: found.to_owned() });
}

fn is_domain_name(name: &str) -> bool {
    let is_label = |label: &str| !label.is_empty() && label.len() <= MAX_LABEL_LENGTH;
    let has_whitespace = name.contains(char::is_whitespace);
    !has_whitespace && name.len() <= MAX_NAME_LENGTH && name.trim_end_matches('.').split('.').all(is_label)
}
