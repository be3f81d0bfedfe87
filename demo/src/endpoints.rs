//! Endpoint servers. They respond to health checks only.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use crate::world::{EndpointState, World};

/// Serves one endpoint until the task is aborted.
pub async fn serve(listener: TcpListener, name: String, world: Rc<World>) {
    let name: Rc<str> = name.into();
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(serve_connection(stream, name.clone(), world.clone()));
    }
}

async fn serve_connection(stream: TcpStream, name: Rc<str>, world: Rc<World>) {
    let service = service_fn(|request: Request<Incoming>| {
        let name = name.clone();
        let world = world.clone();
        async move { Ok::<_, Infallible>(respond(request.uri().path(), &name, &world).await) }
    });
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn respond(path: &str, name: &str, world: &World) -> Response<Full<Bytes>> {
    world.health_checks.set(world.health_checks.get() + 1);
    let endpoint = world.endpoints.borrow().get(name).map(|endpoint| (endpoint.state, endpoint.utilization));
    let (state, utilization) = endpoint.unwrap_or((EndpointState::Down, 0.0));
    if state == EndpointState::Hung {
        std::future::pending::<()>().await;
    }
    let (status, body) = match path {
        _ if state != EndpointState::Up => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        "/health/live" => (StatusCode::OK, String::new()),
        "/stats" => (StatusCode::OK, format!("busy={utilization:.3}")),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    response
}
