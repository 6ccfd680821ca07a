//! TCP streams with hooks that run at each read and write, and on drop.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The hooks of a [`HookedStream`]. By default they do nothing.
pub trait StreamHook: Unpin {
    /// Called before each write.
    ///
    /// # Errors
    ///
    /// Any error makes the write fail with it, before a byte is written.
    fn before_write(&self, stream: &TcpStream) -> io::Result<()> {
        let _ = stream;
        Ok(())
    }

    /// Called after a read of at least one byte.
    fn after_read(&self) {}

    /// Called after a write of which the kernel has accepted the first `count` bytes of these buffers.
    fn after_write(&self, buffers: &[IoSlice<'_>], count: usize) {
        let _ = (buffers, count);
    }

    /// Called before the stream is closed.
    fn on_drop(&self, stream: &TcpStream) {
        let _ = stream;
    }
}

/// A TCP stream with a hook that runs at each read and write, and when the stream is dropped.
#[derive(Debug)]
pub struct HookedStream<H: StreamHook> {
    stream: TcpStream,
    hook: H,
}

impl<H: StreamHook> HookedStream<H> {
    /// Adds a hook to a stream.
    pub fn new(stream: TcpStream, hook: H) -> Self {
        Self { stream, hook }
    }
}

impl<H: StreamHook> Drop for HookedStream<H> {
    fn drop(&mut self) {
        self.hook.on_drop(&self.stream);
    }
}

impl<H: StreamHook> AsyncRead for HookedStream<H> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > filled {
            self.hook.after_read();
        }
        read
    }
}

impl<H: StreamHook> AsyncWrite for HookedStream<H> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.hook.before_write(&self.stream)?;
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(count)) = written {
            self.hook.after_write(&[IoSlice::new(bytes)], count);
        }
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.hook.before_write(&self.stream)?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        if let Poll::Ready(Ok(count)) = written {
            self.hook.after_write(buffers, count);
        }
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
