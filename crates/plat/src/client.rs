//! HTTP clients of the library that check the heads of answers.
//!
//! The library takes heads for sound that are none, and shows only what it made of them.

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::{Service, ServiceExt};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector as TcpConnector};
use awc::http::Uri;
use awc::{Client, Connector};
use oleander_kind::TimeSpan;
use oleander_outlet::HeadWatch;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Creates an HTTP client with connection reuse, without redirects, whose calls end after `timeout`.
pub fn new_client(timeout: TimeSpan) -> Client {
    let builder = Client::builder().connector(new_connector());
    builder.timeout(timeout.duration()).disable_redirects().finish()
}

/// Creates a connector with the library's settings.
pub fn new_connector() -> Connector<
    impl Service<ConnectInfo<Uri>, Response = Connection<Uri, CheckedStream>, Error = ConnectError>
    + Clone,
> {
    let checked = |connection: Connection<Uri, TcpStream>| {
        let (stream, uri) = connection.into_parts();
        Connection::new(uri, CheckedStream { stream, watch: HeadWatch::default() })
    };
    Connector::new().connector(TcpConnector::default().service().map(checked))
}

/// A connection that breaks at a head that is none.
#[derive(Debug)]
pub struct CheckedStream {
    stream: TcpStream,
    watch: HeadWatch,
}

impl CheckedStream {
    fn note_written(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.watch.note_written();
        }
        written
    }
}

impl AsyncRead for CheckedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let invalid = |fault| io::Error::new(io::ErrorKind::InvalidData, fault);
        match read {
            Poll::Ready(Ok(())) => {
                let bytes = &buffer.filled()[before..];
                Poll::Ready(self.watch.note_read(bytes).map_err(invalid))
            }
            other => other,
        }
    }
}

impl AsyncWrite for CheckedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.note_written(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.note_written(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for CheckedStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
