//! Typed access to XML elements and attributes. A fault is recorded when it is found, and parsing continues.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

use roxmltree::Node;

use crate::duration;
use crate::fault::{Fault, FaultKind};

/// Upper bound of all durations in attributes.
const MAX_DURATION: Duration = Duration::from_secs(7 * 24 * 3600);

/// An XML element. It records the names of the attributes and children that the parser requests, and
/// [`report_unknown`](Element::report_unknown) reports all others as faults.
pub struct Element<'a, 'i> {
    node: Node<'a, 'i>,
    faults: &'a RefCell<Vec<Fault>>,
    known_attributes: RefCell<BTreeSet<&'static str>>,
    known_children: RefCell<BTreeSet<&'static str>>,
}

impl<'a, 'i> Element<'a, 'i> {
    /// Creates the element for `node`. Its faults are appended to `faults`.
    pub fn new(node: Node<'a, 'i>, faults: &'a RefCell<Vec<Fault>>) -> Element<'a, 'i> {
        Element { node, faults, known_attributes: RefCell::default(), known_children: RefCell::default() }
    }

    /// Records a fault on the line where the element starts.
    pub fn fault(&self, kind: FaultKind) {
        self.fault_at(self.node.range().start, kind);
    }

    /// Records a fault on the attribute's own line, because an element may span several lines.
    fn attribute_fault(&self, attribute: &str, kind: FaultKind) {
        let found = self.node.attributes().find(|other| other.name() == attribute);
        let position = found.map_or(self.node.range().start, |attribute| attribute.range().start);
        self.fault_at(position, kind);
    }

    /// Records a fault at a byte offset in the file.
    fn fault_at(&self, position: usize, kind: FaultKind) {
        let line = self.node.document().text_pos_at(position).row;
        let element = Some(self.node.tag_name().name().to_owned());
        self.faults.borrow_mut().push(Fault { line, element, kind });
    }

    /// Returns the children with this name, in document order.
    pub fn children(&self, name: &'static str) -> Vec<Element<'a, 'i>> {
        self.known_children.borrow_mut().insert(name);
        let is_named = |node: &Node| node.is_element() && node.tag_name().name() == name;
        self.node.children().filter(is_named).map(|node| Element::new(node, self.faults)).collect()
    }

    /// Returns the child with this name, if any. Records a fault if there is more than one.
    pub fn child(&self, name: &'static str) -> Option<Element<'a, 'i>> {
        let mut all = self.children(name).into_iter();
        let first = all.next();
        if let Some(second) = all.next() {
            second.fault(FaultKind::RepeatedElement);
        }
        first
    }

    /// Returns the attribute's unparsed value.
    pub fn attribute(&self, name: &'static str) -> Option<&'a str> {
        self.known_attributes.borrow_mut().insert(name);
        self.node.attribute(name)
    }

    /// Returns the attribute's unparsed value. Records a fault if it is missing or empty.
    pub fn required(&self, name: &'static str, expected: &'static str) -> Option<&'a str> {
        let text = self.attribute(name).filter(|text| !text.is_empty());
        if text.is_none() {
            self.fault(FaultKind::MissingAttribute { attribute: name, expected });
        }
        text
    }

    /// Parses the attribute's value, if the attribute is present. Records a fault if `parse` returns `None`.
    fn parsed<T>(&self, name: &'static str, expected: &str, parse: impl Fn(&str) -> Option<T>) -> Option<T> {
        let text = self.attribute(name)?;
        let value = parse(text);
        if value.is_none() {
            let expected = expected.to_owned();
            let found = text.to_owned();
            let kind = FaultKind::InvalidAttribute { attribute: name, expected, found };
            self.attribute_fault(name, kind);
        }
        value
    }

    /// Parses a duration above zero and at most [`MAX_DURATION`].
    pub fn duration(&self, name: &'static str) -> Option<Duration> {
        let expected = "a time with a unit, such as 50ms, 2s, 5min or 24h, above 0 and at most 7 days";
        let is_allowed = |duration: &Duration| !duration.is_zero() && *duration <= MAX_DURATION;
        self.parsed(name, expected, |text| duration::parse(text).filter(is_allowed))
    }

    /// Parses an integer from `min` to `max`.
    pub fn integer(&self, name: &'static str, min: u64, max: u64) -> Option<u64> {
        let expected = format!("a whole number from {min} to {max}");
        let is_allowed = |number: &u64| (min..=max).contains(number);
        self.parsed(name, &expected, |text| text.parse().ok().filter(is_allowed))
    }

    /// Parses a number above zero and at most `max`.
    pub fn positive_number(&self, name: &'static str, max: f64) -> Option<f64> {
        let expected = format!("a number above 0 and at most {max}");
        let is_allowed = |number: &f64| *number > 0.0 && *number <= max;
        self.parsed(name, &expected, |text| text.parse().ok().filter(is_allowed))
    }

    /// Parses `on` or `off`.
    pub fn switch(&self, name: &'static str) -> Option<bool> {
        self.choice(name, &[("on", true), ("off", false)])
    }

    /// Parses one of several names and returns the value that `choices` maps it to.
    pub fn choice<T: Copy>(&self, name: &'static str, choices: &[(&str, T)]) -> Option<T> {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let expected = format!("one of {}", names.join(", "));
        self.parsed(name, &expected, |text| {
            let chosen = choices.iter().find(|(name, _)| *name == text);
            chosen.map(|(_, value)| *value)
        })
    }

    /// Records a fault for text other than whitespace, and for each attribute and child whose name the parser did not
    /// request. These names are unknown, most likely misspelt, and would otherwise have no effect.
    pub fn report_unknown(&self) {
        self.report_unknown_attributes();
        let known = self.known_children.borrow();
        for node in self.node.children() {
            if node.is_element() && !known.contains(node.tag_name().name()) {
                let expected = join_or(&known, "no element");
                Element::new(node, self.faults).fault(FaultKind::UnknownElement { expected });
            } else if node.is_text() {
                self.report_text(node);
            }
        }
    }

    fn report_unknown_attributes(&self) {
        let known = self.known_attributes.borrow();
        for attribute in self.node.attributes().filter(|attribute| !known.contains(attribute.name())) {
            let expected = join_or(&known, "no attribute");
            let kind = FaultKind::UnknownAttribute { attribute: attribute.name().to_owned(), expected };
            self.attribute_fault(attribute.name(), kind);
        }
    }

    fn report_text(&self, node: Node) {
        let text = node.text().unwrap_or_default();
        if text.trim().is_empty() {
            return;
        }
        let leading_whitespace = text.len() - text.trim_start().len();
        self.fault_at(node.range().start + leading_whitespace, FaultKind::UnexpectedText);
    }
}

/// Joins the names with commas, or returns `none` if there are no names.
fn join_or(names: &BTreeSet<&'static str>, none: &str) -> String {
    if names.is_empty() {
        return none.to_owned();
    }
    names.iter().copied().collect::<Vec<_>>().join(", ")
}
