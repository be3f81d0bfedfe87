//! Faults of a configuration file.

use std::fmt;
use std::time::Duration;

use thiserror::Error;

/// One fault of a file.
#[derive(Clone, Debug, PartialEq, Error)]
pub struct Fault {
    /// The line of the fault, counted from 1.
    pub line: u32,
    /// The name of the faulty element; `None` if the text is not well-formed XML.
    pub element: Option<String>,
    /// The kind of fault.
    pub kind: FaultKind,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: ", self.line)?;
        if let Some(element) = &self.element {
            write!(f, "<{element}>: ")?;
        }
        self.kind.fmt(f)
    }
}

/// The kind of fault of a file, of an element or of one of its attributes.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum FaultKind {
    /// The text is not well-formed XML.
    #[error("not well-formed XML: {0}")]
    NotXml(roxmltree::Error),
    /// The outermost element has another name or namespace.
    #[error("expected <dahliaroad xmlns=\"{namespace}\"> as the outermost element")]
    WrongRoot {
        /// The namespace that is required.
        namespace: &'static str,
    },
    /// A required attribute is missing or empty.
    #[error("{attribute} is missing: expected {expected}")]
    MissingAttribute {
        /// The attribute's name.
        attribute: &'static str,
        /// What the attribute specifies.
        expected: &'static str,
    },
    /// The value of an attribute is not valid.
    #[error("{attribute}: expected {expected}, found {found:?}")]
    InvalidAttribute {
        /// The attribute's name.
        attribute: &'static str,
        /// What a valid value looks like.
        expected: String,
        /// The value found.
        found: String,
    },
    /// The element has no attribute of this name; most likely the name is misspelt.
    #[error("{attribute}: unknown attribute: expected {expected}")]
    UnknownAttribute {
        /// The attribute's name.
        attribute: String,
        /// The names of the known attributes.
        expected: String,
    },
    /// The parent has no child element of this name; most likely the name is misspelt.
    #[error("unknown element: expected {expected}")]
    UnknownElement {
        /// The names of the known child elements.
        expected: String,
    },
    /// There is text between elements.
    #[error("text is not allowed here")]
    UnexpectedText,
    /// An element that is allowed once occurs twice or more.
    #[error("duplicate element: expected at most one")]
    RepeatedElement,
    /// A child element that is required at least once is missing.
    #[error("expected at least one {example}")]
    MissingElement {
        /// An example of the child element.
        example: &'static str,
    },
    /// A list is longer than allowed.
    #[error("expected at most {max} {entries}")]
    TooMany {
        /// The kind of the list's entries, in the plural.
        entries: &'static str,
        /// The largest number of entries that is allowed.
        max: usize,
    },
    /// Two sources have the same name.
    #[error("name: already used by another source: expected a unique name")]
    DuplicateSourceName,
    /// The platform's discovery is off and the file configures no source that replaces it.
    #[error("discovery is off and no other source is configured: expected a <registry> or a <zone-file>")]
    NoSource,
    /// A token bucket is too small to ever hold a whole token.
    #[error("{attribute}: expected 1 or more, otherwise {consequence}")]
    BurstBelowOne {
        /// The attribute's name.
        attribute: &'static str,
        /// The consequence of the small bucket.
        consequence: &'static str,
    },
    /// The initial delay of a returning endpoint is longer than the maximum delay.
    #[error("hold is {initial:?}, longest-hold is {max:?}: expected hold to be at most longest-hold")]
    ReturnDelaysReversed {
        /// The initial delay.
        initial: Duration,
        /// The maximum delay.
        max: Duration,
    },
    /// The initial backoff is longer than the maximum backoff.
    #[error(
        "first-pause is {initial:?}, longest-pause is {max:?}: expected first-pause to be at most longest-pause"
    )]
    BackoffsReversed {
        /// The initial backoff.
        initial: Duration,
        /// The maximum backoff.
        max: Duration,
    },
    /// A registry with watches has a `<service>`, but its endpoints are selected by the prefix of their keys.
    #[error("<service> is valid only with protocol blocking-read: expected the attribute prefix")]
    ServiceWithWatch,
    /// A registry with blocking reads has a prefix, but its endpoints are selected by their services.
    #[error("prefix: valid only with protocol watch: expected a <service> element")]
    PrefixWithBlockingRead,
    /// A registry with watches allows stale reads, but a server that lags behind never serves watches.
    #[error("stale: valid only with protocol blocking-read")]
    StaleWithWatch,
    /// A registry with blocking reads has a user, but it authenticates by a token, which has no user.
    #[error("user: not valid with protocol blocking-read: a token has no user")]
    UserWithToken,
    /// The element is reserved for a later version.
    #[error("reserved element: connections to registries are not encrypted yet")]
    TlsReserved,
}
