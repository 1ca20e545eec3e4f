//! Serves a gotham router on a listener that can be drained.
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
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// How long a client may take to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);
/// How long to wait after a failed accept, for example without descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until `stop` is cancelled, then waits for the open ones
/// for at most `drain`.
pub async fn serve_router(
    listener: TcpListener,
    router: Router,
    stop: CancellationToken,
    drain: Duration,
) {
    let graceful = GracefulShutdown::new();
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT);
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => match accepted {
                Ok((socket, client)) => {
                    serve_connection(&builder, &graceful, socket, client, router.clone());
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
        }
    }
    drop(listener);
    // Connections that are still open after the drain are cut on return.
    let _ = tokio::time::timeout(drain, graceful.shutdown()).await;
}

fn serve_connection(
    builder: &http1::Builder,
    graceful: &GracefulShutdown,
    socket: TcpStream,
    client: SocketAddr,
    router: Router,
) {
    // Small events must not wait for one another; a failure only adds delay.
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let state = State::from_request(request, client);
        call_handler(router.clone(), AssertUnwindSafe(state)).boxed()
    });
    let connection = builder.serve_connection(TokioIo::new(socket), service);
    let connection = graceful.watch(connection);
    // A broken connection is the client's affair; its request goes on.
    tokio::spawn(async move { drop(connection.await) });
}
