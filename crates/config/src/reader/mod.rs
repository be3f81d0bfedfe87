//! Parses the file's text to an [`OperatorConfig`].

mod membership;
mod registry;
mod zone_file;

use std::cell::RefCell;
use std::collections::BTreeSet;

use roxmltree::Document;

use crate::element::Element;
use crate::fault::{Fault, FaultKind};
use crate::operator_config::OperatorConfig;

const NAMESPACE: &str = "urn:dahliaroad:options:1";
const MAX_SOURCES: usize = 16;

/// Parses the text of an operator's file.
///
/// The error lists all faults ordered by line. Faults of the same line are in the order in which they were found.
pub fn parse(text: &str) -> Result<OperatorConfig, Vec<Fault>> {
    let document = Document::parse(text).map_err(not_xml)?;
    let faults = RefCell::default();
    let root = Element::new(document.root_element(), &faults);
    let name = document.root_element().tag_name();
    if name.name() != "dahliaroad" || name.namespace() != Some(NAMESPACE) {
        root.fault(FaultKind::WrongRoot { namespace: NAMESPACE });
        return Err(faults.into_inner());
    }
    let config = operator_config(&root);
    let mut faults = faults.into_inner();
    if faults.is_empty() {
        return Ok(config);
    }
    faults.sort_by_key(|fault| fault.line);
    Err(faults)
}

fn not_xml(error: roxmltree::Error) -> Vec<Fault> {
    vec![Fault { line: error.pos().row, element: None, kind: FaultKind::NotXml(error) }]
}

fn operator_config(root: &Element) -> OperatorConfig {
    let mut config = OperatorConfig::default();
    if let Some(log) = root.child("log") {
        config.log_json = log.choice("form", &[("text", false), ("json", true)]).unwrap_or_default();
        log.report_unknown();
    }
    if let Some(fleet) = root.child("fleet") {
        config.membership = membership::membership(&fleet);
    }
    if let Some(sources) = root.child("sources") {
        read_sources(&sources, &mut config);
    }
    root.report_unknown();
    config
}

fn read_sources(sources: &Element, config: &mut OperatorConfig) {
    config.without_discovery = !sources.switch("discovery").unwrap_or(true);
    let registries = sources.children("registry");
    config.registries = registries.iter().filter_map(registry::registry).collect();
    let zone_files = sources.children("zone-file");
    config.zone_files = zone_files.iter().filter_map(zone_file::zone_file).collect();
    let names = check_names_and_count(registries.iter().chain(&zone_files));
    if config.without_discovery && names.is_empty() {
        sources.fault(FaultKind::NoSource);
    }
    sources.report_unknown();
}

/// Returns the names of all sources. Records a fault for each duplicate name, because logs and counters identify
/// sources by name, and for each source above the maximum.
fn check_names_and_count<'a, 'i: 'a>(
    sources: impl Iterator<Item = &'a Element<'a, 'i>>,
) -> BTreeSet<&'a str> {
    let mut names = BTreeSet::new();
    for (index, source) in sources.enumerate() {
        if source.attribute("name").is_some_and(|name| !names.insert(name)) {
            source.fault(FaultKind::DuplicateSourceName);
        }
        if index >= MAX_SOURCES {
            source.fault(FaultKind::TooMany { entries: "sources", max: MAX_SOURCES });
        }
    }
    names
}
