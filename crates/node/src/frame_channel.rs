//! Long-lived connection on which two baobabfall processes exchange messages.
//!
//! It begins as an HTTP/1.1 request that upgrades the connection, so that path,
//! credential and listener are those of other calls. Afterwards each frame is the length
//! of a message (four bytes, big-endian) and the message. Sending a message costs one
//! write, where an HTTP exchange costs heads, a task and several allocations on both sides.

use crate::codec::{self, CodecError, MESSAGE_LIMIT};
use crate::http_client::{CONNECT_TIMEOUT, PeerError, refused_error};
use crate::http_server::FullResponse;
use crate::opening_stream::OpeningStream;
use crate::tcp_options::set_user_timeout;
use bytes::{Buf, Bytes, BytesMut};
use http::header::{AUTHORIZATION, CONNECTION, HOST, UPGRADE};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::upgrade::{OnUpgrade, Upgraded};
use hyper_util::rt::TokioIo;
use hyper_util::server::conn::auto::upgrade::downcast;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Length of the frame header in bytes.
const HEADER_BYTES: usize = 4;
/// Initial capacity of the receive buffer; a usual message fits.
const BUFFER_BYTES: usize = 2048;
/// Length of a message from which its buffer is not kept for the next one. After a change of the
/// leader every router sends a large one.
const KEPT_BYTES: usize = 8 << 10;
/// Initial capacity of an encoded frame; a usual one fits.
const FRAME_BYTES: usize = 512;
/// Time in which the peer must accept a frame.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Reason why a channel can no longer be used.
#[derive(Debug, Error)]
pub enum ChannelError {
    /// The peer closed the connection.
    #[error("The peer closed the channel.")]
    Closed,
    /// The connection failed, or the peer took a frame too slowly.
    #[error("The channel failed: {0}.")]
    Broken(#[from] io::Error),
    /// A message could not be encoded or decoded.
    #[error(transparent)]
    Message(#[from] CodecError),
}

/// One end of a channel.
#[derive(Debug)]
pub struct FrameChannel {
    stream: TcpStream,
    received: BytesMut,
}

/// The server's end of a channel whose upgrade has not been answered yet.
#[derive(Debug)]
pub struct PendingChannel(OnUpgrade);

impl PendingChannel {
    /// Takes over the connection of a request that asks for an upgrade to `protocol`;
    /// `None` if it does not.
    pub fn take(request: Request<Incoming>, protocol: &str) -> Option<Self> {
        let asked = request.headers().get(UPGRADE)?;
        (asked.as_bytes() == protocol.as_bytes()).then(|| Self(hyper::upgrade::on(request)))
    }

    /// Waits until the response to the request has been sent.
    pub async fn open(self) -> Result<FrameChannel, ChannelError> {
        FrameChannel::from_upgraded(self.0.await.map_err(io::Error::other)?)
    }
}

/// Builds the response that accepts an upgrade to `protocol`.
pub fn upgrade_response(protocol: &'static str) -> FullResponse {
    let mut response = Response::new(Vec::new().into());
    *response.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
    let headers: &mut HeaderMap = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(UPGRADE, HeaderValue::from_static(protocol));
    response
}

/// Returns the socket of an upgraded connection and the bytes that were already read from it.
pub fn upgraded_stream(upgraded: Upgraded) -> io::Result<(TcpStream, Bytes)> {
    let parts = downcast::<TokioIo<OpeningStream<TcpStream>>>(upgraded)
        .map_err(|_| io::Error::other("the connection is not a TCP stream"))?;
    Ok((parts.io.into_inner().into_inner(), parts.read_buf))
}

impl FrameChannel {
    fn from_upgraded(upgraded: Upgraded) -> Result<Self, ChannelError> {
        let (stream, read) = upgraded_stream(upgraded)?;
        let mut received = BytesMut::with_capacity(BUFFER_BYTES);
        received.extend_from_slice(&read);
        // Registered anew, since the listener may belong to the event loop of another thread.
        Ok(Self { stream: TcpStream::from_std(stream.into_std()?)?, received })
    }

    /// Opens a channel to the peer at `address`.
    pub async fn connect(
        address: SocketAddr,
        path: &str,
        protocol: &'static str,
        token: &str,
    ) -> Result<Self, PeerError> {
        let unreachable = |reason: String| PeerError::Unreachable { address, reason };
        let opening = Self::open(address, path, protocol, token);
        tokio::time::timeout(CONNECT_TIMEOUT, opening)
            .await
            .unwrap_or_else(|_| Err(unreachable("the channel was not opened in time".to_owned())))
    }

    async fn open(
        address: SocketAddr,
        path: &str,
        protocol: &'static str,
        token: &str,
    ) -> Result<Self, PeerError> {
        let unreachable =
            |error: &dyn ToString| PeerError::Unreachable { address, reason: error.to_string() };
        let stream = TcpStream::connect(address).await.map_err(|error| unreachable(&error))?;
        stream.set_nodelay(true).map_err(|error| unreachable(&error))?;
        set_user_timeout(&stream);
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|error| unreachable(&error))?;
        tokio::spawn(connection.with_upgrades());
        let request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(HOST, address.to_string())
            .header(CONNECTION, "upgrade")
            .header(UPGRADE, protocol)
            .header(AUTHORIZATION, format!("Bearer {token}"))
            .body(Empty::<Bytes>::new())
            .map_err(|error| unreachable(&error))?;
        let response = sender.send_request(request).await.map_err(|error| unreachable(&error))?;
        let status = response.status();
        if status != StatusCode::SWITCHING_PROTOCOLS {
            let body = Limited::new(response.into_body(), MESSAGE_LIMIT).collect().await;
            let body = body.map_err(|error| unreachable(&error))?.to_bytes();
            return Err(refused_error(status.as_u16(), body));
        }
        let upgraded = hyper::upgrade::on(response).await.map_err(|error| unreachable(&error))?;
        let parts = upgraded
            .downcast::<TokioIo<TcpStream>>()
            .map_err(|_| unreachable(&"the connection is not a TCP stream"))?;
        let mut received = BytesMut::with_capacity(BUFFER_BYTES);
        received.extend_from_slice(&parts.read_buf);
        Ok(Self { stream: parts.io.into_inner(), received })
    }

    /// Receives the next message and its length in bytes. If the future is dropped before it
    /// is ready, nothing is lost.
    pub async fn read<T: DeserializeOwned>(&mut self) -> Result<(T, usize), ChannelError> {
        loop {
            if let Some(length) = self.frame_length()? {
                if self.received.len() >= HEADER_BYTES + length {
                    self.received.advance(HEADER_BYTES);
                    let message = codec::decode(&self.received[..length]);
                    self.received.advance(length);
                    if length > KEPT_BYTES && self.received.is_empty() {
                        self.received = BytesMut::with_capacity(BUFFER_BYTES);
                    }
                    return Ok((message?, length));
                }
                self.received.reserve(HEADER_BYTES + length - self.received.len());
            }
            if self.stream.read_buf(&mut self.received).await? == 0 {
                return Err(ChannelError::Closed);
            }
        }
    }

    /// Length of the message whose header has arrived.
    fn frame_length(&self) -> Result<Option<usize>, CodecError> {
        let Some(header) = self.received.first_chunk::<HEADER_BYTES>() else { return Ok(None) };
        let length = usize::try_from(u32::from_be_bytes(*header)).unwrap_or(usize::MAX);
        if length > MESSAGE_LIMIT { Err(CodecError::Oversized(length)) } else { Ok(Some(length)) }
    }

    /// Sends a message and returns its length in bytes. The channel cannot be used any more
    /// if the future is dropped before it is ready.
    pub async fn write<T: Serialize>(&mut self, message: &T) -> Result<usize, ChannelError> {
        let mut frame = Vec::with_capacity(FRAME_BYTES);
        frame.extend_from_slice(&[0; HEADER_BYTES]);
        let mut frame = codec::encode_after(frame, message)?;
        let length = frame.len() - HEADER_BYTES;
        let header = u32::try_from(length).unwrap_or(u32::MAX).to_be_bytes();
        frame[..HEADER_BYTES].copy_from_slice(&header);
        let written = match self.stream.try_write(&frame) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => 0,
            written => written?,
        };
        if written < frame.len() {
            tokio::time::timeout(WRITE_TIMEOUT, self.stream.write_all(&frame[written..]))
                .await
                .map_err(io::Error::from)??;
        }
        Ok(length)
    }
}
