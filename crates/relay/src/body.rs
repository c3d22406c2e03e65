//! Bodies of answers.

use std::{convert::Infallible, pin::Pin, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};
use futures::Stream;
use http_body::Frame;
use http_body_util::{Full, StreamBody};

/// The stream ends before its last event. The connection is then broken off, so that it can't be
/// taken for whole.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the answer broke off")]
pub struct Broken;

/// How long the caller may leave a stream unread, kept beside the answer. A whole answer has no such
/// bound: its instance is done with it, and a caller on a slow link may still want it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnreadTimeout(pub(crate) Duration);

type Frames = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, Broken>>>>;

/// The body of an answer.
pub enum Body {
    /// All of it is here.
    Whole(Full<Bytes>),
    /// It comes in parts.
    Stream(StreamBody<Frames>),
}

/// A body of which all is here.
pub(crate) fn full(bytes: Bytes) -> Body {
    Body::Whole(Full::new(bytes))
}

/// A body that comes in parts.
pub(crate) fn stream(frames: impl Stream<Item = Result<Frame<Bytes>, Broken>> + 'static) -> Body {
    Body::Stream(StreamBody::new(Box::pin(frames)))
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never: Infallible| match never {}),
            Self::Stream(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(_) => http_body::SizeHint::default(),
        }
    }
}
