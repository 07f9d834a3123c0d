//! Requests under which endpoints end.
//!
//! A request may end each endpoint that runs it, and its caller sends it again under another id, at any
//! process. Nothing that is known of endpoints or of one attempt tells that it is the same request; its
//! content does ([`RequestPrint`]).

mod print;

pub use print::{RequestContent, RequestPrint};
