//! Client of the platform's discovery: an HTTP agent on this machine that serves the endpoint list and watch requests for
//! its changes.

mod client;
mod endpoint_list;
mod watch;

pub use endpoint_list::EndpointList;
pub use watch::DiscoveryWatch;
