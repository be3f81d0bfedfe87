//! Parser for the operator's configuration file, an XML file that configures features of a controller instance beyond
//! those that its platform configures. Without the file, all of these features are off.
//!
//! The format is defined by the schema `deploy/dahliaroad.xsd`. The parser also checks constraints that a schema cannot
//! express. It reports all faults of a file at once, each with its line, its element and the expected value.
//!
//! ```
//! let text = r#"<dahliaroad xmlns="urn:dahliaroad:options:1">
//!   <sources><registry name="main" protocol="watch" prefix="/endpoints/">
//!     <member address="127.0.0.1:2379"/>
//!     <limits answer="500ms"/>
//!   </registry></sources>
//! </dahliaroad>"#;
//! let config = dahliaroad_config::parse(text).unwrap();
//! let limits = &config.registries[0].limits;
//! assert_eq!(limits.request_timeout, Some(std::time::Duration::from_millis(500)));
//!
//! let faults = dahliaroad_config::parse(&text.replace("500ms", "500")).unwrap_err();
//! assert!(faults[0].to_string().starts_with("line 4: <limits>: answer: expected a time with a unit"));
//! ```

#![warn(missing_docs)]

mod duration;
mod element;
mod fault;
mod operator_config;
mod reader;

pub use fault::{Fault, FaultKind};
pub use operator_config::{
    MembershipConfig, OperatorConfig, Protocol, RegistryConfig, RegistryLimits, ZoneFileConfig,
};
pub use reader::parse;
