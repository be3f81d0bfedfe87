//! A fake of discovery that serves one list to all controllers.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::endpoint_list::{EndpointList, ListRequest};

/// Serves the list on a new address until the caller's `LocalSet` ends. Returns the address.
pub async fn serve(list: Rc<EndpointList>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let list = list.clone();
            spawn_local(async move {
                // The error is ignored: a connection breaks when its controller is killed.
                let _ = serve_connection(&list, stream).await;
            });
        }
    });
    Ok(address)
}

/// Answers the requests of a connection. The traffic is counted from the controller's side: requests as sent, responses
/// as received.
async fn serve_connection(list: &EndpointList, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = BufReader::new(stream);
    while let Some(path) = read_request_path(list, &mut stream).await? {
        let text = list.answer(&ListRequest::of(&path)).await;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", text.len());
        list.traffic.add_received(head.len() + text.len());
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(text.as_bytes()).await?;
    }
    Ok(())
}

/// Reads the next request and returns its path. Returns `None` at the end of the connection.
async fn read_request_path(
    list: &EndpointList,
    stream: &mut BufReader<TcpStream>,
) -> io::Result<Option<String>> {
    let mut path = None;
    let mut line = String::new();
    loop {
        line.clear();
        if stream.read_line(&mut line).await? == 0 {
            return Ok(None);
        }
        list.traffic.add_sent(line.len());
        if line.trim_end().is_empty() {
            return Ok(path);
        }
        path = path.or_else(|| line.split(' ').nth(1).map(str::to_owned));
    }
}
