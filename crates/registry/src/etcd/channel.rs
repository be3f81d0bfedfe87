//! The gRPC channel to a member, with the authentication token that its requests carry.

use tonic::Request;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::transport::Channel;

/// Maximum length of a response message, in bytes. Longer messages are rejected before memory is allocated for them.
pub(super) const MAX_MESSAGE_LENGTH: usize = 16 << 20;

/// A channel to one member.
pub(super) struct MemberChannel {
    channel: Channel,
    /// Authentication token; `None` before a login.
    token: Option<MetadataValue<Ascii>>,
}

impl MemberChannel {
    pub fn new(channel: Channel) -> MemberChannel {
        MemberChannel { channel, token: None }
    }

    /// Sets the authentication token of all further requests.
    pub fn set_token(&mut self, token: MetadataValue<Ascii>) {
        self.token = Some(token);
    }

    /// Returns the channel, for a client of one of the API's services.
    pub fn channel(&self) -> Channel {
        self.channel.clone()
    }

    /// Creates a request that carries the authentication token, if there is one.
    pub fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        if let Some(token) = &self.token {
            request.metadata_mut().insert("authorization", token.clone());
        }
        request
    }
}
