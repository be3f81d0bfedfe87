//! The interface of a registry protocol's client, which the follower's I/O loop drives.

use crate::follower::{RegistryRequest, RegistryResponse, RequestError};

/// Address of a registry member: a host name or an IP address, and a port.
pub type MemberAddress = String;

/// Client of one registry protocol. It uses one connection at a time, and sends one request at a time on it.
pub trait RegistryClient {
    /// A connection to a member, with the state negotiated on it (token, watch).
    type Connection;

    /// Establishes a connection. The caller applies the timeout.
    fn connect(
        &self,
        address: &MemberAddress,
    ) -> impl Future<Output = Result<Self::Connection, RequestError>>;

    /// Checks that a registry member answers on a connection. An established connection does not prove that a member is
    /// behind it.
    fn check(&self, connection: &mut Self::Connection) -> impl Future<Output = Result<(), RequestError>>;

    /// Sends any request except [`RegistryRequest::Connect`] and returns its response. The caller applies the
    /// timeout. The connection stays usable for the next request if the returned future is dropped before it
    /// completes.
    fn send(
        &self,
        connection: &mut Self::Connection,
        request: RegistryRequest,
    ) -> impl Future<Output = RegistryResponse>;
}
