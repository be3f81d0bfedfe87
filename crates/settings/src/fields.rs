//! Typed access to the fields of one JSON object.

use std::ops::RangeInclusive;
use std::time::Duration;

use serde_json::{Map, Value};

use crate::duration::duration_from_millis;
use crate::error::FieldError;

/// The fields of one JSON object, and the name that error messages use for the object.
///
/// An optional field whose value is `null` counts as missing. A required field whose value is `null` is reported as
/// [`FieldError::WrongForm`].
#[derive(Clone, Copy)]
pub struct Fields<'a> {
    place: &'a str,
    map: &'a Map<String, Value>,
}

impl<'a> Fields<'a> {
    /// Returns the fields of `value`, which must be an object. Errors name it `place`.
    pub fn new(place: &'a str, value: &'a Value) -> Result<Self, FieldError> {
        match value {
            Value::Object(map) => Ok(Fields { place, map }),
            _ => Err(FieldError::NotAnObject { place: place.to_owned() }),
        }
    }

    /// Returns the field's value, or `None` if the field is missing or `null`.
    pub fn optional(&self, field: &str) -> Option<&'a Value> {
        self.map.get(field).filter(|value| !value.is_null())
    }

    fn required<T>(
        &self,
        field: &str,
        expected: &'static str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, FieldError> {
        let value = self.optional(field).and_then(read);
        value.ok_or_else(|| self.missing_or_wrong_form(field, expected))
    }

    /// Returns the error for a field that is missing or has a value other than `expected`.
    fn missing_or_wrong_form(&self, field: &str, expected: &'static str) -> FieldError {
        let place = self.place.to_owned();
        let is_present = self.map.contains_key(field);
        let field = field.to_owned();
        if is_present {
            FieldError::WrongForm { place, field, expected }
        } else {
            FieldError::Missing { place, field, expected }
        }
    }

    /// Reads a number of either sign.
    pub fn number(&self, field: &str) -> Result<f64, FieldError> {
        self.required(field, "a number", Value::as_f64)
    }

    /// Reads a number of 0 or more.
    pub fn non_negative_number(&self, field: &str) -> Result<f64, FieldError> {
        let read = |value: &Value| value.as_f64().filter(|number| *number >= 0.0);
        self.required(field, "a number of 0 or more", read)
    }

    /// Reads an unsigned 64-bit integer.
    pub fn u64(&self, field: &str) -> Result<u64, FieldError> {
        self.required(field, "a whole number", Value::as_u64)
    }

    /// Reads an unsigned 32-bit integer.
    pub fn u32(&self, field: &str) -> Result<u32, FieldError> {
        let read = |value: &Value| value.as_u64().and_then(|number| u32::try_from(number).ok());
        self.required(field, "a small whole number", read)
    }

    /// Reads a boolean.
    pub fn boolean(&self, field: &str) -> Result<bool, FieldError> {
        self.required(field, "true or false", Value::as_bool)
    }

    /// Reads a string.
    pub fn string(&self, field: &str) -> Result<&'a str, FieldError> {
        self.required(field, "a text", Value::as_str)
    }

    /// Reads an array of values of any type.
    pub fn array(&self, field: &str) -> Result<&'a [Value], FieldError> {
        self.required(field, "a list", |value| value.as_array().map(Vec::as_slice))
    }

    /// Reads an array of strings.
    pub fn strings(&self, field: &str) -> Result<Vec<String>, FieldError> {
        let values = self.array(field)?.iter();
        let strings: Option<Vec<String>> = values.map(|value| value.as_str().map(str::to_owned)).collect();
        strings.ok_or_else(|| self.missing_or_wrong_form(field, "a list of texts"))
    }

    /// Reads an object. Errors of its fields name the object by `field`.
    pub fn object(&self, field: &'a str) -> Result<Fields<'a>, FieldError> {
        let map = self.required(field, "an object", Value::as_object)?;
        Ok(Fields { place: field, map })
    }

    /// Reads a duration in milliseconds.
    pub fn duration(&self, field: &str) -> Result<Duration, FieldError> {
        let milliseconds = self.number(field)?;
        duration_from_millis(milliseconds)
            .map_err(|source| FieldError::InvalidDuration { field: field.to_owned(), source })
    }

    /// Reads a duration in milliseconds that must not be zero.
    pub fn duration_above_zero(&self, field: &str) -> Result<Duration, FieldError> {
        let duration = self.duration(field)?;
        if duration.is_zero() {
            return Err(self.missing_or_wrong_form(field, "a time above 0"));
        }
        Ok(duration)
    }

    /// Reads a duration in milliseconds, or returns zero if the field is missing.
    pub fn duration_or_zero(&self, field: &str) -> Result<Duration, FieldError> {
        if self.optional(field).is_none() {
            return Ok(Duration::ZERO);
        }
        self.duration(field)
    }

    /// Returns `count` if it is within `allowed`, and an error otherwise. `count` is the field's value, or the length
    /// of the field's list.
    pub fn check_count(
        &self,
        field: &str,
        count: usize,
        allowed: RangeInclusive<usize>,
    ) -> Result<usize, FieldError> {
        if allowed.contains(&count) {
            return Ok(count);
        }
        Err(FieldError::CountOutOfRange {
            place: self.place.to_owned(),
            field: field.to_owned(),
            count,
            min: *allowed.start(),
            max: *allowed.end(),
        })
    }

    /// Reads the name in the field and returns the value that `choices` maps it to.
    pub fn choice<T: Copy>(&self, field: &'static str, choices: &[(&str, T)]) -> Result<T, FieldError> {
        let found = self.string(field)?;
        let chosen = choices.iter().find(|(name, _)| *name == found);
        chosen.map(|(_, value)| *value).ok_or_else(|| FieldError::UnknownValue {
            place: self.place.to_owned(),
            field,
            value: found.to_owned(),
        })
    }
}
