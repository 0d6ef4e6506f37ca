//! Requests whose bodies arrive in several ways, and begin with the id of their request.

use std::net::SocketAddr;
use std::time::Duration;

use fireflyhoist_policy::route::Kind;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::caller::{self, Answer, Request};

/// More than one packet.
const LARGE_BYTES: usize = 200 << 10;

/// The pause between parts of a body that comes late.
pub(crate) const PAUSE: Duration = Duration::from_millis(120);

/// How the body of a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Body {
    Length,
    Chunks,
    Large,
    Late,
}

pub(crate) const BODIES: [Body; 4] = [Body::Length, Body::Chunks, Body::Large, Body::Late];

/// Returns a request of this kind to the route `once`, without its body.
pub(crate) fn request(kind: Kind, id: &str) -> Request {
    let path = format!("/once/{id}?part=%2F1");
    let request = match kind.is_stream() {
        true => Request::stream(&path, 50),
        false => Request::new("POST", &path),
    };
    request.named(id)
}

/// Sends a request whose body begins with `id`, and reads its answer.
pub(crate) async fn send(to: SocketAddr, request: &Request, id: &str, body: Body) -> Answer {
    let framed = |text: &str| request.clone().header("content-length", &text.len().to_string());
    match body {
        Body::Length => framed(id).raw(id.as_bytes()).send(to).await,
        Body::Large => {
            let text = format!("{id}{}", "x".repeat(LARGE_BYTES));
            framed(&text).raw(text.as_bytes()).send(to).await
        }
        Body::Chunks => {
            let parts = [chunk(id), chunk("second"), "0\r\n\r\n".to_owned()];
            let head = request.clone().header("transfer-encoding", "chunked");
            send_in_parts(to, &head, &parts).await
        }
        Body::Late => {
            let text = format!("{id} and more");
            let head = framed(&text);
            let (first, rest) = text.split_at(id.len());
            send_in_parts(to, &head, &[String::new(), first.to_owned(), rest.to_owned()]).await
        }
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

async fn send_in_parts(to: SocketAddr, head: &Request, parts: &[String]) -> Answer {
    let mut stream: TcpStream = head.open(to).await;
    for part in parts {
        sleep(PAUSE).await;
        // Fails where the entry has answered already.
        let _ = stream.write_all(part.as_bytes()).await;
    }
    caller::read(stream).await
}
