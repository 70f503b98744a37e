//! Tracks whether a connection has a request that is being served.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use actix_web::web::Bytes;

use crate::connection::ConnectionState;

/// A request that is being served, until its answer was handed to the connection completely.
pub(crate) struct ServedRequest(Option<Rc<ConnectionState>>);

impl ServedRequest {
    pub(crate) fn begin(state: Option<Rc<ConnectionState>>) -> Self {
        if let Some(state) = &state {
            state.begin_request();
        }
        Self(state)
    }
}

impl Drop for ServedRequest {
    fn drop(&mut self) {
        if let Some(state) = &self.0 {
            state.end_request();
        }
    }
}

/// The body of an answer, with the request that it answers.
pub(crate) struct TrackedBody<B> {
    body: Pin<Box<B>>,
    _request: ServedRequest,
}

impl<B> TrackedBody<B> {
    pub(crate) fn open(body: B, request: ServedRequest) -> Self {
        Self {
            body: Box::pin(body),
            _request: request,
        }
    }
}

impl<B: MessageBody> MessageBody for TrackedBody<B> {
    type Error = B::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        self.body.as_mut().poll_next(context)
    }
}
