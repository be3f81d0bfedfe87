//! Errors of JSON objects and their fields.

use thiserror::Error;

use crate::duration::InvalidDuration;

/// An error of one JSON object or of one of its fields. `place` names the object and `field` the field in it, both as
/// the sender writes them. The simulation prints these texts, and its output is compared byte by byte.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum FieldError {
    /// The value is not a JSON object.
    #[error("{place}: not an object")]
    NotAnObject {
        /// The object's name.
        place: String,
    },
    /// A required field is missing.
    #[error("{place}: field '{field}' is missing, wanted {expected}")]
    Missing {
        /// The object's name.
        place: String,
        /// The field's name.
        field: String,
        /// The value that is required.
        expected: &'static str,
    },
    /// A field's value has the wrong type or is out of range.
    #[error("{place}: field '{field}' is not {expected}")]
    WrongForm {
        /// The object's name.
        place: String,
        /// The field's name.
        field: String,
        /// The value that is required.
        expected: &'static str,
    },
    /// A field gives a count that this program does not support.
    #[error("{place}: field '{field}' tells {count}, where {min} to {max} can be held")]
    CountOutOfRange {
        /// The object's name.
        place: String,
        /// The field's name.
        field: String,
        /// The count in the field, or the length of the list.
        count: usize,
        /// The smallest supported count.
        min: usize,
        /// The largest supported count.
        max: usize,
    },
    /// A field that selects one of several names has an unknown name.
    #[error("{place}: unknown {field} '{value}'")]
    UnknownValue {
        /// The object's name.
        place: String,
        /// The field's name.
        field: &'static str,
        /// The name that was found.
        value: String,
    },
    /// A field that gives a duration has a number that is not a valid one.
    #[error("field '{field}': {source}")]
    InvalidDuration {
        /// The field's name.
        field: String,
        /// The invalid number.
        source: InvalidDuration,
    },
}
