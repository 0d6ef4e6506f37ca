//! Responses of targets and the platform that the HTTP library returns although they are no complete
//! answers.
//!
//! It returns interim responses and statuses out of range as answers, takes a response without a
//! length for one without a body, and one of HTTP/1.0 for complete however short it is.

use std::pin::Pin;
use std::task::{Context, Poll};

use derive_more::{Display, Error};
use futures_util::Stream;
use ntex::client::ClientResponse;
use ntex::http::error::PayloadError;
use ntex::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use ntex::http::{Method, Payload, StatusCode, Version};
use ntex::util::Bytes;

/// The response is no answer, or one whose body cannot be read.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum Invalid {
    /// It is an interim response, or its status is out of range.
    #[display("status is no final one; see the target's log")]
    Status,
    /// It has neither a length nor chunks.
    #[display("body has no length; the target must send one, or chunks")]
    Length,
}

/// Returns a response to a request with this method if it is a final answer whose body, if any, ends
/// with an error where it is cut.
pub(crate) fn check(method: &Method, response: ClientResponse) -> Result<ClientResponse, Invalid> {
    let status = response.status();
    if !(200..=599).contains(&status.as_u16()) {
        return Err(Invalid::Status);
    }
    let bodiless = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if bodiless || *method == Method::HEAD {
        return Ok(response);
    }
    let headers = response.headers();
    let length = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
    let is_framed = length.is_some() || headers.contains_key(TRANSFER_ENCODING);
    match (response.version() == Version::HTTP_10, length) {
        (false, _) if !is_framed => return Err(Invalid::Length),
        (true, Some(missing)) => {
            let payload = response.take_payload();
            response.set_payload(Payload::from_stream(Exact { payload, missing }));
        }
        (false, _) | (true, None) => {}
    }
    Ok(response)
}

/// A body that fails if it ends before its length.
struct Exact {
    payload: Payload,
    missing: u64,
}

impl Stream for Exact {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let next = Pin::new(&mut self.payload).poll_next(cx);
        match &next {
            Poll::Ready(Some(Ok(bytes))) => {
                self.missing = self.missing.saturating_sub(bytes.len() as u64);
            }
            Poll::Ready(None) if self.missing > 0 => {
                return Poll::Ready(Some(Err(PayloadError::Incomplete(None))));
            }
            Poll::Ready(_) | Poll::Pending => {}
        }
        next
    }
}
