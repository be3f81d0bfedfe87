//! Decodes the settings object that the platform passes to a controller instance at startup.
//!
//! Every program that runs a controller instance uses this crate: the simulation reads the object from its input, the
//! controller from its configuration file.
//!
//! Only this crate uses the platform's field names. It maps each to a field of
//! [`Deployment`](dahliaroad::Deployment) or [`StartupSettings`], which use the usual terms of load balancing.
//!
//! ```
//! use dahliaroad_settings::{Fields, StartupSettings};
//!
//! let settings = serde_json::json!({"balancers": 0});
//! let error = StartupSettings::decode(Fields::new("settings", &settings).unwrap()).err().unwrap();
//! assert_eq!(error.to_string(), "settings: field 'domain' is missing, wanted an object");
//! ```

#![warn(missing_docs)]

mod deployment;
mod duration;
mod error;
mod fields;
mod startup_settings;

pub use duration::{InvalidDuration, duration_from_millis};
pub use error::FieldError;
pub use fields::Fields;
pub use startup_settings::StartupSettings;
