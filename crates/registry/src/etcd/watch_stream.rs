//! The gRPC stream of a watch. Messages that have already arrived are merged into batches.

use std::task::Poll;

use dahliaroad_membership::Revision;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;
use tonic::metadata::MetadataValue;

use super::channel::{MAX_MESSAGE_LENGTH, MemberChannel};
use super::codec;
use crate::follower::RequestError;
use crate::proto::watch_client::WatchClient;
use crate::proto::watch_request::RequestUnion;
use crate::proto::{WatchCreateRequest, WatchProgressRequest, WatchRequest, WatchResponse};

/// Maximum number of messages merged into one batch. Without merging, a registry that sends fast causes one report to
/// the membership, and one run of the assigner, for each message.
const MAX_BATCH_MESSAGES: usize = 256;

/// Capacity of the queue of requests to send. One request creates the watch and few request its progress, so the
/// queue is never full.
const REQUEST_QUEUE_CAPACITY: usize = 4;

/// A watch of all keys with a prefix.
pub(super) struct WatchStream {
    requests: mpsc::Sender<WatchRequest>,
    responses: Streaming<WatchResponse>,
    /// A message that was received but not merged into the last batch.
    deferred_message: Option<Result<WatchResponse, RequestError>>,
}

impl WatchStream {
    /// Creates a watch that reports revisions beginning with `from`. Its first message confirms the creation.
    pub async fn open(
        channel: &MemberChannel,
        prefix: &[u8],
        from: Revision,
    ) -> Result<WatchStream, RequestError> {
        let (requests, receiver) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
        let create = WatchCreateRequest {
            key: prefix.to_vec(),
            range_end: codec::range_end(prefix),
            start_revision: from.0 as i64,
            progress_notify: true,
            watch_id: 0,
            fragment: true,
        };
        let create = WatchRequest { request_union: Some(RequestUnion::CreateRequest(create)) };
        requests.try_send(create).map_err(|error| RequestError::Disconnected(error.to_string()))?;
        let mut request = channel.request(ReceiverStream::new(receiver));
        // With this header, a member that is partitioned from the other members ends the watch. Without it, the watch
        // stays silent.
        request.metadata_mut().insert("hasleader", MetadataValue::from_static("true"));
        let client = WatchClient::new(channel.channel());
        let mut client = client.max_decoding_message_size(MAX_MESSAGE_LENGTH);
        let responses = client.watch(request).await.map_err(|status| codec::request_error(&status))?;
        Ok(WatchStream { requests, responses: responses.into_inner(), deferred_message: None })
    }

    /// Requests a progress notification.
    pub fn request_progress(&self) -> Result<(), RequestError> {
        let progress = RequestUnion::ProgressRequest(WatchProgressRequest {});
        let request = WatchRequest { request_union: Some(progress) };
        let no_requests = |_| RequestError::Disconnected("watch stream does not accept requests".to_owned());
        self.requests.try_send(request).map_err(no_requests)
    }

    /// Waits for the next message and merges the updates that have arrived after it.
    pub async fn next_batch(&mut self) -> Result<WatchResponse, RequestError> {
        let mut batch = self.next_message().await?;
        let mut count = 1;
        while codec::is_batch(&batch)
            && count < MAX_BATCH_MESSAGES
            && let Some(message) = self.available_message().await
        {
            match message {
                Ok(message) if codec::is_batch(&message) && codec::same_cluster(&message, &batch) => {
                    batch.events.extend(message.events);
                    batch.header = message.header;
                    batch.fragment = message.fragment;
                    count += 1;
                }
                other => {
                    self.deferred_message = Some(other);
                    break;
                }
            }
        }
        Ok(batch)
    }

    async fn next_message(&mut self) -> Result<WatchResponse, RequestError> {
        if let Some(deferred_message) = self.deferred_message.take() {
            return deferred_message;
        }
        let response = self.responses.message().await.map_err(|status| codec::request_error(&status))?;
        response.ok_or_else(|| RequestError::Disconnected("watch stream ended".to_owned()))
    }

    /// Returns the next message if it has already arrived.
    async fn available_message(&mut self) -> Option<Result<WatchResponse, RequestError>> {
        let mut message = std::pin::pin!(self.next_message());
        std::future::poll_fn(|context| match message.as_mut().poll(context) {
            Poll::Ready(message) => Poll::Ready(Some(message)),
            Poll::Pending => Poll::Ready(None),
        })
        .await
    }
}
