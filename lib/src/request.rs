//! A request as it is accepted, copied to a mirror and run.

use bytes::Bytes;
use prost::Message;

/// All that is needed to run a request, here or at a mirror. It is a `prost`
/// message itself, since it is copied between entries as it stands.
#[derive(Clone, PartialEq, Message)]
pub struct AcceptedRequest {
    /// The service's name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The client account's name.
    #[prost(string, tag = "2")]
    pub account: String,
    /// The priority, 0 being the most urgent.
    #[prost(uint32, tag = "3")]
    pub priority: u32,
    /// The availability zones where it may run; empty means everywhere.
    #[prost(string, repeated, tag = "4")]
    pub zones: Vec<String>,
    /// The highest hourly price of a VM that it may use.
    #[prost(double, optional, tag = "5")]
    pub max_price: Option<f64>,
    /// The time left until its deadline when it was accepted, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub time_left_ms: u64,
    /// The HTTP method, for plain services.
    #[prost(string, tag = "7")]
    pub method: String,
    /// The path and query, for plain services.
    #[prost(string, tag = "8")]
    pub path: String,
    /// The content type of the body.
    #[prost(string, tag = "9")]
    pub content_type: String,
    /// The body.
    #[prost(bytes = "bytes", tag = "10")]
    pub body: Bytes,
    /// The trace context of the caller, in the form of `traceparent`.
    #[prost(string, tag = "11")]
    pub traceparent: String,
    /// Whether the service is a model service.
    #[prost(bool, tag = "12")]
    pub model: bool,
    /// The estimated length of the prompt, in tokens.
    #[prost(uint64, tag = "13")]
    pub prompt_tokens: u64,
    /// The most tokens to generate.
    #[prost(uint64, tag = "14")]
    pub max_tokens: u64,
    /// Hashes of the prompt's prefixes, one a block, longest last.
    #[prost(fixed64, repeated, tag = "15")]
    pub prefix_blocks: Vec<u64>,
}
