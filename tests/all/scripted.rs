//! Endpoints with scripted answers, for connection tests.

use bytes::{Buf, BytesMut};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// An action of a scripted endpoint on a request.
#[derive(Clone, Debug)]
pub enum Act {
    /// Writes these bytes; `{id}` is replaced by the request id.
    Say(String),
    /// Writes these bytes again and again until the peer closes the connection, and counts them.
    Repeat(String),
    /// Does nothing for a while.
    Pause(Duration),
    /// Closes the connection in an orderly way.
    Close,
    /// Resets the connection.
    Reset,
    /// Waits for the peer to close the connection, and counts it.
    AwaitClose,
}

/// A received request.
#[derive(Clone, Debug, Default)]
pub struct SeenRequest {
    /// The head of the request.
    pub head: String,
    /// The body of the request.
    pub body: Vec<u8>,
}

impl SeenRequest {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }
}

/// What a scripted endpoint received.
#[derive(Clone, Debug, Default)]
pub struct SeenCalls {
    /// Requests in order.
    pub requests: Vec<SeenRequest>,
    /// Number of connections accepted.
    pub connections: usize,
    /// Connections that the peer closed during [`Act::AwaitClose`].
    pub left: usize,
    /// Bytes written by [`Act::Repeat`].
    pub repeated: usize,
}

/// An endpoint with scripted answers.
pub struct Scripted {
    /// The address it listens at.
    pub address: SocketAddr,
    /// What it received.
    pub seen: Rc<RefCell<SeenCalls>>,
}

/// Listens on loopback; the n-th request runs the n-th list of actions, further ones the last.
pub async fn scripted(script: Vec<Vec<Act>>) -> Scripted {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let seen = Rc::new(RefCell::new(SeenCalls::default()));
    let shared = seen.clone();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            shared.borrow_mut().connections += 1;
            // Small writes that wait for acknowledgements take seconds of virtual time.
            stream.set_nodelay(true).expect("an open connection");
            actix_rt::spawn(serve(stream, script.clone(), shared.clone()));
        }
    });
    Scripted { address, seen }
}

async fn serve(mut stream: TcpStream, script: Vec<Vec<Act>>, seen: Rc<RefCell<SeenCalls>>) {
    let mut buffer = BytesMut::new();
    while let Some(request) = read_request(&mut stream, &mut buffer).await {
        let id = request.header("x-oleandertack-request-id").unwrap_or_default().to_owned();
        let number = {
            let mut seen = seen.borrow_mut();
            seen.requests.push(request);
            seen.requests.len() - 1
        };
        let Some(acts) = script.get(number).or(script.last()) else { return };
        for act in acts {
            match act {
                Act::Say(text) => {
                    let text = text.replace("{id}", &id);
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
                Act::Repeat(text) => {
                    let block = text.replace("{id}", &id).repeat(1 + 4096 / text.len());
                    while stream.write_all(block.as_bytes()).await.is_ok() {
                        seen.borrow_mut().repeated += block.len();
                        // The endpoint and the process that reads share a thread.
                        tokio::task::yield_now().await;
                    }
                    return;
                }
                Act::Pause(time) => sleep(*time).await,
                Act::Close => return,
                Act::Reset => {
                    let _ = stream.set_zero_linger();
                    return;
                }
                Act::AwaitClose => {
                    let mut scratch = [0; 64];
                    while stream.read(&mut scratch).await.is_ok_and(|count| count > 0) {}
                    seen.borrow_mut().left += 1;
                    return;
                }
            }
        }
    }
}

pub async fn read_request(stream: &mut TcpStream, buffer: &mut BytesMut) -> Option<SeenRequest> {
    loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..at]).into_owned();
            let mut request = SeenRequest { head, body: Vec::new() };
            let length = request.header("content-length").and_then(|text| text.parse().ok());
            let whole = at + 4 + length.unwrap_or(0);
            if buffer.len() >= whole {
                request.body = buffer[at + 4..whole].to_vec();
                buffer.advance(whole);
                return Some(request);
            }
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}
