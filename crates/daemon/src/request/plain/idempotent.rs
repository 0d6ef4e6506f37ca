//! Idempotent calls, which may run more than once.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use derive_more::{Display, Error};
use fireflyhoist_policy::gate::Outcome;
use fireflyhoist_policy::id;
use fireflyhoist_text::Service;
use fireflyhoist_wire::problem::Ran;
use futures_util::Stream;
use ntex::client::ClientResponse;
use ntex::client::error::ClientError;
use ntex::http::{Method, Payload, StatusCode, Version};
use ntex::time::timeout;
use ntex::util::Bytes;
use ntex::web::{HttpResponse, types};

use crate::connection::{answer, unpooled, unwritten};
use crate::process::{InFlight, Worker};
use crate::request::body::Body;
use crate::request::plain::message::{Message, Upload, end_to_end, patience};
use crate::request::plain::{MAX_BODY_BYTES, address, admission};
use crate::request::refuse;
use fireflyhoist_gateway::Pass;

/// Attempts per call; the gate's retry budget limits retries further when many calls fail at once.
const MAX_ATTEMPTS: u32 = 3;

/// The timeout of one attempt, in multiples of the service's objective for a reply. Another target is
/// tried after it; otherwise a lookup whose connection went silent would block its page.
const ATTEMPT_OBJECTIVES: u32 = 10;

/// The largest reply that is held until it is complete, in bytes.
const MAX_HELD_REPLY_BYTES: usize = 8 << 20;

/// Bounds of the timeout of one attempt.
const ATTEMPT_TIMEOUT_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(60));

pub(crate) async fn call(
    worker: &Worker,
    service: &Service,
    message: Message,
    upload: Upload,
    open: Rc<InFlight>,
) -> HttpResponse {
    match upload {
        Upload::Buffered(body) => buffered(worker, service, &message, body, open).await,
        Upload::Streaming(payload) => streamed(worker, service, message, payload, open).await,
    }
}

/// Sends a call whose body is buffered; retries it where it fails before the first byte of a reply.
async fn buffered(
    worker: &Worker,
    service: &Service,
    message: &Message,
    body: Bytes,
    open: Rc<InFlight>,
) -> HttpResponse {
    let Some(gate) = worker.process.gate(&service.name) else {
        return refuse::not_found("the service has just been removed; see the operators' text");
    };
    let watch = worker.process.burn().watch(service);
    let mut admission = admission(worker, service, message);
    let mut ran = Ran::No;
    for attempt in 1..=MAX_ATTEMPTS {
        let pass = match gate.admit(admission.clone()).await {
            Ok(pass) => pass,
            Err(refusal) => {
                watch.refused();
                return refuse::respond(&refuse::refusal(refusal, ran));
            }
        };
        let target = pass.target().clone();
        admission.avoid = Some(target.clone());
        admission.retry = true;
        match send_once(worker, service, message, &body, &target).await {
            Ok(response) => {
                watch.answered();
                return reply(message, response, pass, open).await;
            }
            Err(failure) => {
                pass.finish(Outcome::Failed);
                log::info!(
                    request:% = message.request, target:% = target, attempt = attempt,
                    ran:? = failure;
                    "call failed"
                );
                if failure == Ran::Unknown {
                    ran = Ran::Unknown;
                }
            }
        }
    }
    refuse::target_failed(ran)
}

async fn send_once(
    worker: &Worker,
    service: &Service,
    message: &Message,
    body: &Bytes,
    target: &id::Target,
) -> Result<ClientResponse, Ran> {
    let address = address(service, target).ok_or(Ran::No)?;
    // A pooled connection may have gone silent, close on use, or hold bytes that its target sent after an
    // earlier answer.
    let request = unpooled(&worker.client, message.method.clone(), address, &message.path);
    let objective = Duration::from_millis(service.objective.first_token_ms);
    let attempt_timeout = (objective * ATTEMPT_OBJECTIVES)
        .clamp(ATTEMPT_TIMEOUT_BOUNDS.0, ATTEMPT_TIMEOUT_BOUNDS.1)
        .min(patience(service));
    match timeout(attempt_timeout, message.add_headers(request).send_body(body.clone())).await {
        Ok(Ok(response)) => answer::check(&message.method, response).map_err(|_| Ran::Unknown),
        Ok(Err(error)) if unwritten(&error) => Err(Ran::No),
        Ok(Err(_)) | Err(()) => Err(Ran::Unknown),
    }
}

/// Streams a call whose body is too large to buffer; it cannot be retried.
async fn streamed(
    worker: &Worker,
    service: &Service,
    message: Message,
    payload: types::Payload,
    open: Rc<InFlight>,
) -> HttpResponse {
    let Some(gate) = worker.process.gate(&service.name) else {
        return refuse::not_found("the service has just been removed; see the operators' text");
    };
    let watch = worker.process.burn().watch(service);
    let pass = match gate.admit(admission(worker, service, &message)).await {
        Ok(pass) => pass,
        Err(refusal) => {
            watch.refused();
            return refuse::gate(refusal);
        }
    };
    let Some(address) = address(service, pass.target()) else {
        return refuse::target_failed(Ran::No);
    };
    let request = unpooled(&worker.client, message.method.clone(), address, &message.path);
    let body = Bounded { payload: payload.into_inner(), remaining: MAX_BODY_BYTES };
    match message.add_headers(request).send_stream(body).await {
        Ok(response) => match answer::check(&message.method, response) {
            Ok(response) => {
                watch.answered();
                reply(&message, response, pass, open).await
            }
            Err(_) => {
                pass.finish(Outcome::Failed);
                refuse::target_failed(Ran::Unknown)
            }
        },
        Err(error) => {
            pass.finish(Outcome::Failed);
            match error {
                error if unwritten(&error) => refuse::target_failed(Ran::No),
                ClientError::Error(_) => refuse::broken_upload(MAX_BODY_BYTES),
                _ => refuse::target_failed(Ran::Unknown),
            }
        }
    }
}

/// Streams a target's reply to the caller. One that speaks HTTP/1.0 has no chunks, so it gets the reply
/// once it is complete.
async fn reply(
    message: &Message,
    response: ClientResponse,
    pass: Pass,
    open: Rc<InFlight>,
) -> HttpResponse {
    pass.finish(Outcome::Whole);
    let mut built = HttpResponse::build(response.status());
    for (name, value) in &end_to_end(response.headers()) {
        built.header(name.clone(), value.clone());
    }
    let bodiless = matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if bodiless || message.method == Method::HEAD {
        return built.finish();
    }
    if message.version < Version::HTTP_11 {
        return match response.body().limit(MAX_HELD_REPLY_BYTES).await {
            Ok(body) => built.body(body),
            Err(_) => refuse::target_failed(Ran::Unknown),
        };
    }
    built.streaming(Body::open(response.take_payload(), open))
}

/// Why an upload stopped.
#[derive(Debug, Display, Error)]
enum UploadError {
    #[display("the body is larger than an entry takes")]
    TooLarge,
    #[display("the caller did not send the whole body")]
    Broken,
}

/// A streamed body that fails once it exceeds a size limit.
struct Bounded {
    payload: Payload,
    remaining: u64,
}

impl Stream for Bounded {
    type Item = Result<Bytes, UploadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let Poll::Ready(next) = Pin::new(&mut self.payload).poll_next(cx) else {
            return Poll::Pending;
        };
        Poll::Ready(next.map(|bytes| {
            let bytes = bytes.map_err(|_| UploadError::Broken)?;
            let remaining =
                self.remaining.checked_sub(bytes.len() as u64).ok_or(UploadError::TooLarge)?;
            self.remaining = remaining;
            Ok(bytes)
        }))
    }
}
