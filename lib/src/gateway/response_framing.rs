//! How the end of a response body is marked.

use std::fmt;

use http::Response;
use http::header;

/// How the end of a response body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFraming {
    /// By a length in the head.
    Length,
    /// By a last chunk.
    Chunks,
    /// By the end of the connection.
    Close,
}

impl ResponseFraming {
    /// Returns the framing that a backend server gave its response. An extension of the
    /// response tells it if another entry relayed the response.
    pub fn of<B>(response: &Response<B>) -> Self {
        if let Some(framing) = response.extensions().get::<Self>() {
            return *framing;
        }
        let headers = response.headers();
        if headers.contains_key(header::TRANSFER_ENCODING) {
            Self::Chunks
        } else if headers.contains_key(header::CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Close
        }
    }

    /// Returns the label of the framing in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Close => "close",
        }
    }
}

impl fmt::Display for ResponseFraming {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}
