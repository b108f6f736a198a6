//! WebSocket connections between daemons, with messages in CBOR.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{Sink, SinkExt as _, Stream, StreamExt as _};
use http::{HeaderValue, StatusCode};
use snafu::{OptionExt as _, ResultExt as _, Snafu};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::client::IntoClientRequest as _;
use tokio_tungstenite::tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Error as WsError, Message};

use crate::names::Secret;
use crate::wire::PeerMessage;

/// Header of the handshake request that carries the shared secret of all daemons.
const SECRET_HEADER: &str = "x-basillead-peer";
/// Time within which a connection and its handshake must be completed.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which a message must be written to the socket; exceeded if the peer stops reading.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without a message after which a link ends; the other side sends one every round.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest message in bytes, sent or received.
const MESSAGE_BYTES_MAX: usize = 8 << 20;

/// Why a link could not be opened, or ended.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(super) enum LinkError {
    /// The connection failed.
    #[snafu(display("cannot connect to the peer: {source}"))]
    Connect { source: std::io::Error },
    /// The WebSocket failed, or the other side refused the handshake.
    #[snafu(display("WebSocket failed: {source}"))]
    Socket {
        #[snafu(source(from(WsError, Box::new)))]
        source: Box<WsError>,
    },
    /// A message is not valid CBOR of a peer message.
    #[snafu(display("malformed message: {source}"))]
    Malformed {
        source: ciborium::de::Error<std::io::Error>,
    },
    /// A message is not allowed in this state of the link or cannot be sent, or the peer secret is
    /// unusable.
    #[snafu(display("link failed: {what}"))]
    Unexpected { what: &'static str },
    /// The handshake, a write or the next message took too long.
    #[snafu(display("handshake, send or receive took longer than {limit:?}"))]
    Stalled { limit: Duration },
    /// The other side closed the link.
    #[snafu(display("link closed by the peer"))]
    Closed,
    /// The link is no longer needed.
    #[snafu(display("link no longer needed"))]
    Unneeded,
}

/// A WebSocket connection after its handshake.
pub(super) type Socket = WebSocketStream<TcpStream>;

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MESSAGE_BYTES_MAX))
        .max_frame_size(Some(MESSAGE_BYTES_MAX))
}

/// Opens a connection to a peer's address.
pub(super) async fn connect(address: &str, secret: &Secret) -> Result<Socket, LinkError> {
    let attempt = timeout(HANDSHAKE_TIMEOUT, handshake(address, secret));
    let limit = HANDSHAKE_TIMEOUT;
    attempt.await.unwrap_or(StalledSnafu { limit }.fail())
}

async fn handshake(address: &str, secret: &Secret) -> Result<Socket, LinkError> {
    let stream = TcpStream::connect(address).await.context(ConnectSnafu)?;
    stream.set_nodelay(true).context(ConnectSnafu)?;
    let request = format!("ws://{address}/").into_client_request();
    let mut request = request.context(SocketSnafu)?;
    let value = HeaderValue::from_str(secret.reveal()).ok();
    let mut value = value.context(UnexpectedSnafu {
        what: "the peer secret is not a valid header value",
    })?;
    value.set_sensitive(true);
    request.headers_mut().insert(SECRET_HEADER, value);
    let upgrade =
        tokio_tungstenite::client_async_with_config(request, stream, Some(websocket_config()));
    Ok(upgrade.await.context(SocketSnafu)?.0)
}

/// Accepts a connection. A peer without the secret is refused in the handshake.
pub(super) async fn accept(stream: TcpStream, secret: &Secret) -> Result<Socket, LinkError> {
    stream.set_nodelay(true).context(ConnectSnafu)?;
    #[expect(
        clippy::result_large_err,
        reason = "the library's callback returns an answer as its error"
    )]
    let check = |request: &Request, response: Response| {
        let sent = request.headers().get(SECRET_HEADER);
        let sent = sent.and_then(|value| value.to_str().ok());
        if sent.is_some_and(|sent| secret.is(sent)) {
            return Ok(response);
        }
        let mut refused = ErrorResponse::new(None);
        *refused.status_mut() = StatusCode::UNAUTHORIZED;
        Err(refused)
    };
    let upgrade =
        tokio_tungstenite::accept_hdr_async_with_config(stream, check, Some(websocket_config()));
    let limit = HANDSHAKE_TIMEOUT;
    let upgrade = timeout(limit, upgrade).await;
    upgrade
        .unwrap_or_else(|_| Err(WsError::ConnectionClosed))
        .context(SocketSnafu)
}

/// Sends a message and returns its size in bytes.
pub(super) async fn send<S>(sink: &mut S, message: &PeerMessage) -> Result<usize, LinkError>
where
    S: Sink<Message, Error = WsError> + Unpin,
{
    let mut buf = Vec::with_capacity(256);
    let written = ciborium::into_writer(message, &mut buf);
    if written.is_err() || buf.len() > MESSAGE_BYTES_MAX {
        let what = "own message exceeds the size limit";
        return UnexpectedSnafu { what }.fail();
    }
    let size = buf.len();
    let sent = sink.send(Message::Binary(Bytes::from(buf)));
    let limit = SEND_TIMEOUT;
    match timeout(limit, sent).await {
        Ok(sent) => sent.context(SocketSnafu)?,
        Err(_) => return StalledSnafu { limit }.fail(),
    }
    Ok(size)
}

/// Waits for a message, and returns it with its size in bytes.
pub(super) async fn receive<S>(stream: &mut S) -> Result<(PeerMessage, usize), LinkError>
where
    S: Stream<Item = Result<Message, WsError>> + Unpin,
{
    loop {
        let limit = RECEIVE_TIMEOUT;
        let Ok(message) = timeout(limit, stream.next()).await else {
            return StalledSnafu { limit }.fail();
        };
        match message {
            None | Some(Ok(Message::Close(_))) => return ClosedSnafu.fail(),
            Some(Err(error)) => return Err(error).context(SocketSnafu),
            Some(Ok(Message::Binary(data))) => {
                let message = ciborium::from_reader(&data[..]).context(MalformedSnafu)?;
                return Ok((message, data.len()));
            }
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
            Some(Ok(Message::Text(_) | Message::Frame(_))) => {
                return UnexpectedSnafu {
                    what: "text message instead of a binary one",
                }
                .fail();
            }
        }
    }
}
