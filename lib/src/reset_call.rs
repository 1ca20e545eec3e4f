//! Requests on connections of their own, of which nothing arrives any more once they were
//! given up.

use std::net::SocketAddr;
use std::pin::pin;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::http_client::CONNECT_TIMEOUT;
use crate::http_client::HttpError;
use crate::http_client::check_status;
use crate::http_client::read_body;
use crate::request_socket::RequestEnd;
use crate::request_socket::RequestSocket;

/// Sends a request, whose URI is a path, on a connection of its own and reads
/// the whole answer. Nothing is sent unless `may_send` holds once the connection
/// is there. The connection is reset when this ends or is dropped.
///
/// # Errors
///
/// Failures of the connection, or a status of none; every other status is an answer.
pub async fn send_resetting(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    may_send: impl Fn() -> bool,
) -> Result<Response<Bytes>, HttpError> {
    let socket = open(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(socket))
        .await
        .map_err(|error| HttpError::NotSent(error.to_string()))?;
    let mut request = request;
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(http::header::HOST, host);
    }
    let exchange = async {
        if !may_send() {
            return Err(HttpError::TimedOut);
        }
        let response = sender.send_request(request).await;
        let response = response.map_err(|error| HttpError::Interrupted(error.to_string()))?;
        check_status(response.status())?;
        let (head, body) = response.into_parts();
        Ok(Response::from_parts(head, read_body(body).await?))
    };
    let drive = async {
        // How the connection ends shows in the exchange.
        drop(connection.await);
        std::future::pending::<()>().await;
    };
    let (exchange, drive) = (pin!(exchange), pin!(drive));
    tokio::select! {
        answer = exchange => answer,
        () = drive => Err(HttpError::Interrupted("the connection ended".to_owned())),
    }
}

async fn open(address: SocketAddr) -> Result<RequestSocket, HttpError> {
    let not_sent = |cause: std::io::Error| HttpError::NotSent(cause.to_string());
    let opening = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let socket = match opening.await {
        Ok(opened) => opened.map_err(not_sent)?,
        Err(_) => return Err(HttpError::NotSent("not opened in time".to_owned())),
    };
    let socket = RequestSocket::new(socket, RequestEnd::Told).map_err(not_sent)?;
    let socket_use = socket.socket_use();
    socket_use.begin();
    socket_use.release();
    Ok(socket)
}
