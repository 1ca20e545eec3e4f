//! Serves a gotham router, or any other service, on a listener that can be
//! drained.
//!
//! `gotham::bind_server` accepts for ever, so the accept loop is our own: it
//! hands each connection to hyper-util and lets open ones finish on a stop.

use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_util::FutureExt;
use gotham::router::Router;
use gotham::service::call_handler;
use gotham::state::State;
use http::Request;
use http::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::abortable_socket::abortable;
use crate::answer_delivery::AnswerDelivery;
use crate::answer_delivery::DeliveryCount;

/// How long a client may take to send the head of a request.
/// Also how long a connection may rest between requests: some callers take up
/// connections that have rested for twelve seconds.
const HEAD_TIMEOUT: Duration = Duration::from_secs(20);
/// The largest read buffer of a connection: twice the longest head allowed.
const READ_BUFFER: usize = 64 * 1024;
/// Any error of a service or body.
type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// How long to wait after a failed accept, for example without descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves a router until `stop` is cancelled, then waits for the open
/// connections for at most `drain`.
pub async fn serve_router(
    listener: TcpListener,
    router: Router,
    stop: CancellationToken,
    drain: Duration,
) {
    let make = move |client: SocketAddr| {
        let router = router.clone();
        service_fn(move |request: Request<Incoming>| {
            let state = State::from_request(request, client);
            call_handler(router.clone(), AssertUnwindSafe(state)).boxed()
        })
    };
    serve_connections(listener, make, stop, drain, DeliveryCount::default()).await;
}

/// Accepts connections until `stop` is cancelled and serves each with a
/// service that `make` builds, then waits for the open ones for at most
/// `drain`. Counts the answers that have not arrived.
pub async fn serve_connections<M, S, B>(
    listener: TcpListener,
    make: M,
    stop: CancellationToken,
    drain: Duration,
    deliveries: DeliveryCount,
) where
    M: Fn(SocketAddr) -> S,
    S: Service<Request<Incoming>, Response = Response<B>> + Send + 'static,
    S::Future: Send + 'static,
    S::Error: Into<BoxError>,
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<BoxError>,
{
    let graceful = GracefulShutdown::new();
    let cut = CancellationToken::new();
    // Connections that are still open after the drain are cut on return.
    let _cut_on_return = cut.clone().drop_guard();
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .max_buf_size(READ_BUFFER)
        .header_read_timeout(HEAD_TIMEOUT);
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => match accepted {
                Ok((socket, client)) => {
                    let service = make(client);
                    serve_connection(&builder, &graceful, &cut, socket, service, &deliveries);
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
        }
    }
    drop(listener);
    let _ = tokio::time::timeout(drain, graceful.shutdown()).await;
}

fn serve_connection<S, B>(
    builder: &http1::Builder,
    graceful: &GracefulShutdown,
    cut: &CancellationToken,
    socket: TcpStream,
    service: S,
    deliveries: &DeliveryCount,
) where
    S: Service<Request<Incoming>, Response = Response<B>> + Send + 'static,
    S::Future: Send + 'static,
    S::Error: Into<BoxError>,
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<BoxError>,
{
    // Small events must not wait for one another; a failure only adds delay.
    let _ = socket.set_nodelay(true);
    let delivery = AnswerDelivery::new(deliveries.clone());
    let (socket, service) = abortable(socket, service, &delivery);
    let connection = builder.serve_connection(TokioIo::new(socket), service);
    let connection = graceful.watch(connection);
    let cut = cut.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = cut.cancelled() => {}
            _ = delivery.drive(connection) => {}
        }
    });
}
