//! What all stand-ins share: a gotham server, JSON answers, faults.

use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cloverbend::http_server::serve_router;
use gotham::handler::HandlerFuture;
use gotham::handler::NewHandler;
use gotham::helpers::http::Body;
use gotham::prelude::DefineSingleRoute;
use gotham::prelude::DrawRoutes;
use gotham::router::Router;
use gotham::router::builder::build_simple_router;
use gotham::state::FromState;
use gotham::state::State;
use http::HeaderMap;
use http::Method;
use http::Response;
use http::StatusCode;
use http::Uri;
use http_body_util::BodyExt;
use http_body_util::Full;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::fault::FaultOrder;
use crate::fault::FaultSwitch;
use crate::fault::FaultVerdict;

/// A request to a stand-in.
#[derive(Clone, Debug)]
pub struct StandinRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl StandinRequest {
    /// Returns the parts of the path.
    pub fn segments(&self) -> Vec<&str> {
        self.uri.path().split('/').skip(1).collect()
    }

    /// Returns a number of the query.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        let query = self.uri.query()?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse().ok())
    }

    /// Returns a header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A stand-in, as far as the server is concerned.
pub trait Standin: Send + Sync + 'static {
    /// Answers a request.
    fn answer(
        self: Arc<Self>,
        request: StandinRequest,
    ) -> impl Future<Output = Response<Body>> + Send;

    /// Returns the switch of its faults.
    fn faults(&self) -> &FaultSwitch;
}

/// A running stand-in server.
#[derive(Debug)]
pub struct StandinServer {
    address: SocketAddr,
    stop: CancellationToken,
}

impl StandinServer {
    /// Serves a stand-in on `address`; port 0 chooses one.
    ///
    /// # Errors
    ///
    /// An address that cannot be listened on.
    pub async fn start<S: Standin>(address: SocketAddr, standin: Arc<S>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let router = standin_router(standin);
        tokio::spawn(serve_router(listener, router, stop.clone(), Duration::ZERO));
        Ok(Self { address, stop })
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops it at once, cutting its connections.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Waits until it was stopped.
    pub async fn stopped(&self) {
        self.stop.cancelled().await;
    }
}

struct StandinHandler<S>(AssertUnwindSafe<Arc<S>>);

impl<S> Clone for StandinHandler<S> {
    fn clone(&self) -> Self {
        Self(AssertUnwindSafe(Arc::clone(&self.0)))
    }
}

impl<S: Standin> gotham::handler::Handler for StandinHandler<S> {
    fn handle(self, state: State) -> Pin<Box<HandlerFuture>> {
        let AssertUnwindSafe(standin) = self.0;
        Box::pin(async move { Ok(handle(standin, state).await) })
    }
}

impl<S: Standin> NewHandler for StandinHandler<S> {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

fn standin_router<S: Standin>(standin: Arc<S>) -> Router {
    let handler = StandinHandler(AssertUnwindSafe(standin));
    let methods = vec![Method::GET, Method::POST, Method::PUT, Method::DELETE];
    build_simple_router(|route| {
        route
            .request(methods.clone(), "/")
            .to_new_handler(handler.clone());
        route.request(methods, "/*").to_new_handler(handler);
    })
}

async fn handle<S: Standin>(standin: Arc<S>, mut state: State) -> (State, Response<Body>) {
    let body = Body::take_from(&mut state).collect().await;
    let request = StandinRequest {
        method: Method::borrow_from(&state).clone(),
        uri: Uri::borrow_from(&state).clone(),
        headers: HeaderMap::borrow_from(&state).clone(),
        body: body.map(|body| body.to_bytes()).unwrap_or_default(),
    };
    let is_post = request.method == Method::POST;
    if request.uri.path() == "/admin/fault" {
        return (state, set_fault(standin.faults(), &request.body));
    }
    if request.uri.path().starts_with("/admin/") {
        return (state, standin.answer(request).await);
    }
    let response = match standin.faults().suffer(is_post).await {
        FaultVerdict::Answer => standin.answer(request).await,
        FaultVerdict::Refuse => json_answer(StatusCode::SERVICE_UNAVAILABLE, &"refused"),
        FaultVerdict::Swallow => {
            let _lost = standin.answer(request).await;
            std::future::pending().await
        }
    };
    (state, response)
}

fn set_fault(faults: &FaultSwitch, body: &Bytes) -> Response<Body> {
    match serde_json::from_slice::<FaultOrder>(body) {
        Ok(order) => {
            faults.set(order);
            json_answer(StatusCode::OK, &order)
        }
        Err(error) => json_answer(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

/// Builds a JSON answer.
pub fn json_answer<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    body_answer(status, "application/json", body.into())
}

/// Builds an answer with a whole body.
pub fn body_answer(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<Body> {
    let body = Body::new(Full::new(body).map_err(|never| match never {}));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let value = http::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, value);
    response
}
