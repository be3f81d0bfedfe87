//! Watches. Each stream has one watch, because followers open one watch per stream.

use std::convert::Infallible;
use std::pin::Pin;

use dahliaroad_registry::proto::watch_request::RequestUnion;
use dahliaroad_registry::proto::watch_server::Watch;
use dahliaroad_registry::proto::{Event, WatchCreateRequest, WatchRequest, WatchResponse};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};

use super::MemberServer;
use super::messages::{event, header, prefix};
use crate::store::{MemberView, Store};

/// Maximum number of events in one response. More events are sent in fragments.
const EVENTS_PER_FRAGMENT: usize = 64;
/// Capacity of the channels of responses and of progress requests. Their senders wait when a channel is full.
const CHANNEL_CAPACITY: usize = 4;
/// The watch id of progress notifications, which concern all watches of a stream.
const PROGRESS_WATCH_ID: i64 = -1;

/// The watch has ended: its client has disconnected, or has been sent the last response.
struct WatchEnded;

/// The task of one watch, from its creation to its end.
struct WatchTask {
    store: Store,
    member: usize,
    prefix: String,
    /// Whether the client accepts a revision in fragments, which it joins.
    fragments: bool,
    /// The cluster that the watch was created in.
    cluster: u64,
    /// The first revision that has not been sent.
    next_revision: u64,
    responses: mpsc::Sender<Result<WatchResponse, Status>>,
}

impl WatchTask {
    fn new(
        server: MemberServer,
        create: &WatchCreateRequest,
        responses: mpsc::Sender<Result<WatchResponse, Status>>,
    ) -> WatchTask {
        let view = server.view();
        let next_revision = match create.start_revision {
            1.. => create.start_revision as u64,
            _ => view.revision + 1,
        };
        WatchTask {
            store: server.store,
            member: server.member,
            prefix: prefix(&create.range_end),
            fragments: create.fragment,
            cluster: view.cluster,
            next_revision,
            responses,
        }
    }

    /// Sends events and progress notifications until the watch ends for any reason.
    async fn run(mut self, mut progress_requests: mpsc::Receiver<()>) {
        let Err(WatchEnded) = self.serve(&mut progress_requests).await;
    }

    async fn serve(&mut self, progress_requests: &mut mpsc::Receiver<()>) -> Result<Infallible, WatchEnded> {
        let created = WatchResponse { created: true, ..self.response(&self.view()) };
        self.send(Ok(created)).await?;
        let store = self.store.clone();
        loop {
            let changed = store.changed();
            let view = self.view();
            self.check(&view).await?;
            self.send_events(&view).await?;
            tokio::select! {
                () = changed => {}
                request = progress_requests.recv() => {
                    request.ok_or(WatchEnded)?;
                    self.send_progress().await?;
                }
                () = self.responses.closed() => return Err(WatchEnded),
            }
        }
    }

    fn view(&self) -> MemberView {
        self.store.view(self.member)
    }

    fn response(&self, view: &MemberView) -> WatchResponse {
        WatchResponse { header: header(view, self.member), ..WatchResponse::default() }
    }

    async fn send(&self, response: Result<WatchResponse, Status>) -> Result<(), WatchEnded> {
        self.responses.send(response).await.map_err(|_| WatchEnded)
    }

    /// Ends the watch if the member can no longer serve it.
    async fn check(&self, view: &MemberView) -> Result<(), WatchEnded> {
        if view.cluster != self.cluster {
            return Err(WatchEnded);
        }
        if self.next_revision < view.compacted {
            let canceled = WatchResponse {
                canceled: true,
                compact_revision: view.compacted as i64,
                cancel_reason: "mvcc: required revision has been compacted".to_owned(),
                ..self.response(view)
            };
            self.send(Ok(canceled)).await?;
            return Err(WatchEnded);
        }
        if view.leaderless {
            self.send(Err(Status::unavailable("etcdserver: no leader"))).await?;
            return Err(WatchEnded);
        }
        Ok(())
    }

    /// Sends the member's events that have not been sent to the client yet.
    async fn send_events(&mut self, view: &MemberView) -> Result<(), WatchEnded> {
        let changes = self.store.changes(&self.prefix, self.next_revision, view.revision);
        let events: Vec<Event> = changes.into_iter().map(event).collect();
        self.next_revision = self.next_revision.max(view.revision + 1);
        let fragments = events.chunks(EVENTS_PER_FRAGMENT);
        let last = fragments.len().saturating_sub(1);
        for (index, events) in fragments.enumerate() {
            let fragment = self.fragments && index < last;
            let response = WatchResponse { events: events.to_vec(), fragment, ..self.response(view) };
            self.send(Ok(response)).await?;
        }
        Ok(())
    }

    /// Sends a progress notification, unless events are still to be sent.
    async fn send_progress(&self) -> Result<(), WatchEnded> {
        let progress = WatchResponse { watch_id: PROGRESS_WATCH_ID, ..self.response(&self.view()) };
        if self.view().revision >= self.next_revision {
            return Ok(());
        }
        self.send(Ok(progress)).await
    }
}

/// Handles the requests of a stream: starts a watch task when the watch is created, and forwards progress requests to
/// it.
async fn serve_requests(
    server: MemberServer,
    mut requests: Streaming<WatchRequest>,
    responses: mpsc::Sender<Result<WatchResponse, Status>>,
) {
    let mut watch: Option<mpsc::Sender<()>> = None;
    while let Ok(Some(request)) = requests.message().await {
        match (request.request_union, &watch) {
            (Some(RequestUnion::CreateRequest(create)), None) => {
                let (progress, progress_requests) = mpsc::channel(CHANNEL_CAPACITY);
                watch = Some(progress);
                let task = WatchTask::new(server.clone(), &create, responses.clone());
                tokio::spawn(task.run(progress_requests));
            }
            (Some(RequestUnion::ProgressRequest(_)), Some(watch)) => {
                // Sending fails after the watch has ended. The client notices the end from the stream.
                let _ = watch.send(()).await;
            }
            _ => return,
        }
    }
}

#[tonic::async_trait]
impl Watch for MemberServer {
    type WatchStream = Pin<Box<dyn tokio_stream::Stream<Item = Result<WatchResponse, Status>> + Send>>;

    async fn watch(
        &self,
        request: Request<Streaming<WatchRequest>>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        self.check_token(&request)?;
        let (responses, response_stream) = mpsc::channel(CHANNEL_CAPACITY);
        tokio::spawn(serve_requests(self.clone(), request.into_inner(), responses));
        Ok(Response::new(Box::pin(ReceiverStream::new(response_stream))))
    }
}
