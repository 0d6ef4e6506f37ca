//! Calls that may run more than once.

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
use ntex::http::{Method, Payload, StatusCode};
use ntex::time::timeout;
use ntex::util::Bytes;
use ntex::web::{HttpResponse, types};

use crate::connection::{unpooled, unwritten};
use crate::process::{InFlight, Worker};
use crate::request::body::Body;
use crate::request::plain::message::{Message, Upload, end_to_end, patience};
use crate::request::plain::{MAX_BODY, address, ask};
use crate::request::refuse;
use fireflyhoist_gateway::Pass;

/// Tries in all; the gate's retry budget bounds them further when many fail at once.
const MAX_TRIES: u32 = 3;

/// A try is given up after so many of the service's objective for a reply, and another target
/// asked: a lookup whose connection went silent would else hang its page.
const SLOW_OBJECTIVES: u32 = 10;

/// Bounds of the above.
const SLOW: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(60));

pub(crate) async fn call(
    worker: &Worker,
    service: &Service,
    message: Message,
    upload: Upload,
    open: Rc<InFlight>,
) -> HttpResponse {
    match upload {
        Upload::Kept(body) => kept(worker, service, &message, body, open).await,
        Upload::Arriving(payload) => streamed(worker, service, message, payload, open).await,
    }
}

/// Sends a call whose body is kept, again where it fails before any byte of a reply.
async fn kept(
    worker: &Worker,
    service: &Service,
    message: &Message,
    body: Bytes,
    open: Rc<InFlight>,
) -> HttpResponse {
    let Some(lane) = worker.process.gate(&service.name) else {
        return refuse::not_found("the service has just been removed; see the operators' text");
    };
    let watch = worker.process.burn().watch(service);
    let mut ask = ask(worker, service, message);
    let mut ran = Ran::No;
    for attempt in 1..=MAX_TRIES {
        let pass = match lane.admit(ask.clone()).await {
            Ok(pass) => pass,
            Err(refusal) => {
                watch.refused();
                return refuse::respond(&refuse::refusal(refusal, ran));
            }
        };
        let target = pass.target().clone();
        ask.avoid = Some(target.clone());
        ask.retry = true;
        match try_once(worker, service, message, &body, attempt, &target).await {
            Ok(response) => {
                watch.answered();
                return reply(&message.method, response, pass, open);
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

async fn try_once(
    worker: &Worker,
    service: &Service,
    message: &Message,
    body: &Bytes,
    attempt: u32,
    target: &id::Target,
) -> Result<ClientResponse, Ran> {
    let address = address(service, target).ok_or(Ran::No)?;
    let request = match attempt {
        1 => {
            let url = format!("http://{address}{}", message.path);
            worker.client.request(message.method.clone(), url)
        }
        // The pool may hold more connections that went silent, or that close as they are used.
        _ => unpooled(&worker.client, message.method.clone(), address, &message.path),
    };
    let objective = Duration::from_millis(service.objective.first_token_ms);
    let slow = (objective * SLOW_OBJECTIVES).clamp(SLOW.0, SLOW.1).min(patience(service));
    match timeout(slow, message.dress(request).send_body(body.clone())).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) if unwritten(&error) => Err(Ran::No),
        Ok(Err(_)) | Err(()) => Err(Ran::Unknown),
    }
}

/// Sends a call whose body is too large to keep, as it arrives; it cannot be sent again.
async fn streamed(
    worker: &Worker,
    service: &Service,
    message: Message,
    payload: types::Payload,
    open: Rc<InFlight>,
) -> HttpResponse {
    let Some(lane) = worker.process.gate(&service.name) else {
        return refuse::not_found("the service has just been removed; see the operators' text");
    };
    let watch = worker.process.burn().watch(service);
    let pass = match lane.admit(ask(worker, service, &message)).await {
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
    let body = Bounded { payload: payload.into_inner(), left: MAX_BODY };
    match message.dress(request).send_stream(body).await {
        Ok(response) => {
            watch.answered();
            reply(&message.method, response, pass, open)
        }
        Err(error) => {
            pass.finish(Outcome::Failed);
            match error {
                error if unwritten(&error) => refuse::target_failed(Ran::No),
                ClientError::Error(_) => refuse::broken_upload(MAX_BODY),
                _ => refuse::target_failed(Ran::Unknown),
            }
        }
    }
}

/// Passes a target's reply on as it arrives.
fn reply(
    method: &Method,
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
    if bodiless || *method == Method::HEAD {
        return built.finish();
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

/// A body on its way through, which may not exceed a bound.
struct Bounded {
    payload: Payload,
    left: u64,
}

impl Stream for Bounded {
    type Item = Result<Bytes, UploadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let Poll::Ready(next) = Pin::new(&mut self.payload).poll_next(cx) else {
            return Poll::Pending;
        };
        Poll::Ready(next.map(|bytes| {
            let bytes = bytes.map_err(|_| UploadError::Broken)?;
            let left = self.left.checked_sub(bytes.len() as u64).ok_or(UploadError::TooLarge)?;
            self.left = left;
            Ok(bytes)
        }))
    }
}
