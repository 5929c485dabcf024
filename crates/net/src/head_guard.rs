//! Bounds on what is read before the head of a response.
//!
//! hyper reads interim responses one after the other within one poll, for as long as the sender has more of them, so that a
//! faulty sender would take the thread of all connections. The connection of such a sender ends instead.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::task::{Context, Poll};

use hyper::Request;
use hyper::ext::on_informational;
use hyper::http::Extensions;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::CaptureConnection;

/// Interim responses that may precede a final one.
const MAX_INTERIM: u32 = 16;

/// Counts the interim responses to the current request on a connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct InterimCount(Arc<AtomicU32>);

impl InterimCount {
    /// Begins to count anew, for this request.
    pub(crate) fn watch<B>(&self, request: &mut Request<B>) {
        self.0.store(0, Relaxed);
        let count = self.0.clone();
        on_informational(request, move |_| {
            count.fetch_add(1, Relaxed);
        });
    }

    /// Counts those to a request whose connection is not known before it is sent.
    pub(crate) fn watch_captured<B>(request: &mut Request<B>, connection: CaptureConnection) {
        on_informational(request, move |_| {
            if let Some(Self(count)) = Self::of(&connection) {
                count.fetch_add(1, Relaxed);
            }
        });
    }

    /// Begins to count anew on the connection of a request that has its final response.
    pub(crate) fn reset(connection: &CaptureConnection) {
        if let Some(Self(count)) = Self::of(connection) {
            count.store(0, Relaxed);
        }
    }

    fn of(connection: &CaptureConnection) -> Option<Self> {
        let mut extras = Extensions::new();
        connection.connection_metadata().as_ref()?.get_extras(&mut extras);
        extras.remove()
    }

    fn is_exceeded(&self) -> bool {
        self.0.load(Relaxed) > MAX_INTERIM
    }
}

/// A connection that fails once too many interim responses have been read from it.
#[derive(Debug)]
pub(crate) struct HeadGuard<T> {
    stream: T,
    interim: InterimCount,
}

impl<T> HeadGuard<T> {
    pub(crate) fn new(stream: T, interim: InterimCount) -> Self {
        Self { stream, interim }
    }

    pub(crate) fn stream(&self) -> &T {
        &self.stream
    }

    pub(crate) fn interim(&self) -> &InterimCount {
        &self.interim
    }
}

impl<T: Read + Unpin> Read for HeadGuard<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.interim.is_exceeded() {
            let error = format!("more than {MAX_INTERIM} interim responses");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl<T: Write + Unpin> Write for HeadGuard<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }
}
