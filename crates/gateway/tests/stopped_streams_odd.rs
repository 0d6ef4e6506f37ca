//! Streams whose runs moves stop, where engines close, reply or go on in unusual ways, and callers and
//! entries leave meanwhile.

mod support;

use std::time::Duration;

use support::caller::{Answer, read, read_old, read_one};
use support::eventually;
use support::stopping::{Close, Fleet, Framing, GAP, LENGTH, Last, Manner, PROMPT, Reply, Resume};
use support::target::events;
use tokio::task::spawn_local;
use tokio::time::sleep;
use yare::parameterized;

const LATE: Duration = Duration::from_millis(400);

const COPIED: Last = Last::stops(PROMPT, Reply::Copied);

fn assert_whole(answer: &Answer) {
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    assert_eq!(answer.body, events(1, LENGTH));
}

/// Checks that an answer is not taken for complete, and has the first events once each.
fn assert_cut(answer: &Answer) {
    assert!(!answer.whole, "{answer:?}");
    assert!(events(1, LENGTH).starts_with(&answer.body), "{answer:?}");
}

/// Guards against a stream given as complete, cut or joined wrongly whose run two moves stop, one after
/// the other.
#[parameterized(
    unframed = { Framing::Connection, COPIED },
    old = { Framing::Old, COPIED },
    chunks = { Framing::Chunks, COPIED },
    length = { Framing::Length, COPIED },
    replied_late = { Framing::Connection, Last::stops(LATE, Reply::Copied) },
    replies_lost = { Framing::Connection, Last::stops(PROMPT, Reply::Lost) },
)]
#[test_macro(ntex::test)]
async fn a_stream_that_moves_twice_is_whole(framing: Framing, last: Last) {
    let fleet = Fleet::open(false, 3, Manner { framing, ..Manner::of(last) }).await;
    let answer = fleet.generation(2).await;
    assert_whole(&answer);
    assert_eq!(fleet.runs(), [1, 1, 1]);
}

/// Guards against a short answer given as complete because the stop was answered in another way than
/// with the copy.
#[parameterized(
    unnamed = { Framing::Connection, Last::stops(PROMPT, Reply::Status(200)) },
    failed = { Framing::Connection, Last::stops(PROMPT, Reply::Status(500)) },
    chunks_unnamed = { Framing::Chunks, Last::stops(PROMPT, Reply::Status(200)) },
    cut_off = { Framing::Connection, Last::stops(PROMPT, Reply::CutOff) },
    chunks_cut_off = { Framing::Chunks, Last::stops(PROMPT, Reply::CutOff) },
    cut_off_late = { Framing::Connection, Last::stops(LATE, Reply::CutOff) },
    busy_three_times = { Framing::Connection, Last::RefusesFirst(3, 409) },
    busy_seven_times = { Framing::Connection, Last::RefusesFirst(7, 409) },
    chunks_busy = { Framing::Chunks, Last::RefusesFirst(3, 409) },
    crowded_once = { Framing::Connection, Last::RefusesFirst(1, 429) },
)]
#[test_macro(ntex::test)]
async fn a_stop_that_is_answered_oddly_loses_nothing(framing: Framing, last: Last) {
    let fleet = Fleet::open(false, 2, Manner { framing, ..Manner::of(last) }).await;
    let answer = fleet.generation(1).await;
    assert_whole(&answer);
    assert_eq!(fleet.runs(), [1, 1]);
}

/// Guards against a short answer given as complete because the engine that stopped the run says that it
/// has no room for the call.
#[parameterized(
    crowded = { Framing::Connection, Last::stops(PROMPT, Reply::Status(429)) },
    crowded_late = { Framing::Connection, Last::stops(LATE, Reply::Status(429)) },
    old_crowded = { Framing::Old, Last::stops(PROMPT, Reply::Status(429)) },
    chunks_crowded = { Framing::Chunks, Last::stops(PROMPT, Reply::Status(429)) },
    no_room = { Framing::Connection, Last::stops(PROMPT, Reply::Status(503)) },
)]
#[test_macro(ntex::test)]
async fn a_stop_that_is_refused_and_done_loses_nothing(framing: Framing, last: Last) {
    let fleet = Fleet::open(false, 2, Manner { framing, ..Manner::of(last) }).await;
    let answer = fleet.generation(1).await;
    assert_whole(&answer);
    assert_eq!(fleet.runs(), [1, 1]);
}

/// Guards against a stream that is given as complete while the engine says over and over that another
/// call is in progress, which may have stopped the run.
#[parameterized(
    unframed = { Framing::Connection },
    chunks = { Framing::Chunks },
)]
#[test_macro(ntex::test)]
async fn a_stream_whose_stop_stays_unknown_is_not_complete(framing: Framing) {
    let last = Last::StopsAndStaysBusy;
    let fleet = Fleet::open(false, 2, Manner { framing, ..Manner::of(last) }).await;
    let answer = fleet.generation(1).await;
    if !answer.whole {
        return assert_cut(&answer);
    }
    assert_whole(&answer);
}

/// Guards against a short answer given as complete because of when or how the engine closed its stream
/// for the stop.
#[parameterized(
    with_the_reply = { Framing::Connection, Last::Stops(Close::BetweenEvents(PROMPT), PROMPT, Reply::Copied) },
    after_the_reply = { Framing::Connection, Last::Stops(Close::BetweenEvents(LATE), PROMPT, Reply::Copied) },
    chunks_after_the_reply = { Framing::Chunks, Last::Stops(Close::BetweenEvents(LATE), PROMPT, Reply::Copied) },
    after_a_lost_reply = { Framing::Connection, Last::Stops(Close::BetweenEvents(LATE), PROMPT, Reply::Lost) },
    after_a_late_reply = { Framing::Connection, Last::Stops(Close::BetweenEvents(LATE * 2), LATE, Reply::Copied) },
    within_an_event = { Framing::Connection, Last::Stops(Close::WithinEvent, LATE, Reply::Copied) },
    old_within_an_event = { Framing::Old, Last::Stops(Close::WithinEvent, LATE, Reply::Copied) },
    chunks_within_an_event = { Framing::Chunks, Last::Stops(Close::WithinEvent, LATE, Reply::Copied) },
    reset = { Framing::Connection, Last::Stops(Close::Reset, LATE, Reply::Copied) },
    old_reset = { Framing::Old, Last::Stops(Close::Reset, LATE, Reply::Copied) },
    chunks_reset = { Framing::Chunks, Last::Stops(Close::Reset, LATE, Reply::Copied) },
    reset_and_reply_lost = { Framing::Connection, Last::Stops(Close::Reset, PROMPT, Reply::Lost) },
)]
#[test_macro(ntex::test)]
async fn a_stream_closed_for_a_stop_in_any_way_goes_on(framing: Framing, last: Last) {
    let fleet = Fleet::open(false, 2, Manner { framing, ..Manner::of(last) }).await;
    let answer = fleet.generation(1).await;
    assert_whole(&answer);
    assert_eq!(fleet.runs(), [1, 1]);
}

/// Guards against losing a stream that was stopped over HTTP/1.0, with a length or in chunks, where the
/// unframed one goes on.
#[parameterized(
    old = { Framing::Old, COPIED },
    old_late = { Framing::Old, Last::stops(LATE, Reply::Copied) },
    old_lost = { Framing::Old, Last::stops(PROMPT, Reply::Lost) },
    old_kept = { Framing::Old, Last::stops(PROMPT, Reply::Kept) },
    chunks = { Framing::Chunks, COPIED },
    chunks_late = { Framing::Chunks, Last::stops(LATE, Reply::Copied) },
    chunks_lost = { Framing::Chunks, Last::stops(PROMPT, Reply::Lost) },
    chunks_kept = { Framing::Chunks, Last::stops(PROMPT, Reply::Kept) },
    length_late = { Framing::Length, Last::stops(LATE, Reply::Copied) },
)]
#[test_macro(ntex::test)]
async fn a_stopped_stream_goes_on_in_each_framing(framing: Framing, last: Last) {
    let fleet = Fleet::open(false, 2, Manner { framing, ..Manner::of(last) }).await;
    let answer = fleet.generation(1).await;
    assert_whole(&answer);
    assert_eq!(fleet.runs().iter().sum::<usize>(), 2);
}

/// Guards against a short answer given as complete, or one that is lost, where the engine that is to go
/// on declines the copy or has gone: the stopped engine still has the memory.
#[parameterized(
    declines = { Framing::Connection, COPIED, Resume::Declines },
    declines_late = { Framing::Connection, Last::stops(LATE, Reply::Copied), Resume::Declines },
    old_declines = { Framing::Old, COPIED, Resume::Declines },
    chunks_declines = { Framing::Chunks, COPIED, Resume::Declines },
    gone = { Framing::Connection, Last::stops(LATE, Reply::Copied), Resume::IsGone },
    old_gone = { Framing::Old, Last::stops(LATE, Reply::Copied), Resume::IsGone },
    chunks_gone = { Framing::Chunks, Last::stops(LATE, Reply::Copied), Resume::IsGone },
)]
#[test_macro(ntex::test)]
async fn a_stream_whose_next_engine_fails_goes_on_at_its_own(
    framing: Framing,
    last: Last,
    resume: Resume,
) {
    let manner = Manner { framing, resume, ..Manner::of(last) };
    let fleet = Fleet::open(false, 2, manner).await;
    let (answer, ()) = tokio::join!(fleet.generation(1), fleet.told());
    assert_whole(&answer);
}

/// Guards against a short answer given as complete where no engine goes on with a run that was stopped.
#[parameterized(
    both_decline = { Framing::Connection, false, Resume::Declines, Resume::Declines },
    both_decline_resumable = { Framing::Connection, true, Resume::Declines, Resume::Declines },
    old_both_decline = { Framing::Old, false, Resume::Declines, Resume::Declines },
    chunks_both_decline = { Framing::Chunks, false, Resume::Declines, Resume::Declines },
    both_gone = { Framing::Connection, false, Resume::IsGone, Resume::IsGone },
    source_gone = { Framing::Connection, false, Resume::Declines, Resume::IsGone },
    chunks_source_gone = { Framing::Chunks, false, Resume::Declines, Resume::IsGone },
)]
#[test_macro(ntex::test)]
async fn a_stream_that_nothing_goes_on_with_is_cut_visibly(
    framing: Framing,
    resumable: bool,
    resume: Resume,
    resume_at_source: Resume,
) {
    let last = Last::stops(LATE, Reply::Copied);
    let manner = Manner { framing, last, resume, resume_at_source };
    let fleet = Fleet::open(resumable, 2, manner).await;
    let (answer, ()) = tokio::join!(fleet.generation(1), fleet.told());
    assert_cut(&answer);
}

/// Has a generation answered to a caller of HTTP/1.0, which knows no chunks.
async fn old_generation(framing: Framing, resume: Resume) -> Answer {
    let manner = Manner { framing, resume, resume_at_source: resume, ..Manner::of(COPIED) };
    let fleet = Fleet::open(false, 2, manner).await;
    let caller = fleet.request().old().open(fleet.entry.callers()).await;
    let answered = spawn_local(read_old(caller));
    fleet.drain_after(1).await;
    answered.await.expect("the caller ends")
}

/// Guards against a stopped stream that a caller of HTTP/1.0 loses, or can take for complete when it is
/// cut, whatever the framing of its answer.
#[parameterized(
    unframed = { Framing::Connection },
    chunks = { Framing::Chunks },
)]
#[test_macro(ntex::test)]
async fn an_old_caller_gets_the_rest_or_a_cut(framing: Framing) {
    assert_whole(&old_generation(framing, Resume::GoesOn).await);
    assert_cut(&old_generation(framing, Resume::Declines).await);
}

/// Guards against chunks in answers to callers of HTTP/1.0, which would read their sizes as events and
/// the end of the connection as that of the answer.
#[ntex::test]
async fn an_old_caller_gets_no_chunks() {
    let answer = old_generation(Framing::Connection, Resume::GoesOn).await;
    assert_eq!(answer.header("transfer-encoding"), None, "{answer:?}");
}

/// Guards against a kept connection that is closed or out of step after an answer whose run was stopped
/// and went on.
#[parameterized(
    unframed = { Framing::Connection },
    old = { Framing::Old },
    chunks = { Framing::Chunks },
)]
#[test_macro(ntex::test)]
async fn a_kept_connection_outlasts_a_stop(framing: Framing) {
    let manner = Manner { framing, ..Manner::of(Last::stops(LATE, Reply::Copied)) };
    let fleet = Fleet::open(false, 2, manner).await;
    let request = fleet.request().kept();
    let mut caller = request.open(fleet.entry.callers()).await;
    let reading = async {
        let first = read_one(&mut caller).await;
        tokio::io::AsyncWriteExt::write_all(&mut caller, &request.bytes()).await.expect("it reads");
        (first, read_one(&mut caller).await)
    };
    let ((first, second), ()) = tokio::join!(reading, fleet.drain_after(1));
    assert_whole(&first);
    assert_whole(&second);
    assert_eq!(fleet.runs().iter().sum::<usize>(), 3);
}

/// Guards against a copy that nobody goes on from, or a run that goes on for nobody, after its caller has
/// left while the run was stopped.
#[parameterized(
    unframed = { Framing::Connection },
    old = { Framing::Old },
    chunks = { Framing::Chunks },
)]
#[test_macro(ntex::test)]
async fn a_caller_that_leaves_during_a_stop_leaves_no_copy(framing: Framing) {
    let manner = Manner { framing, ..Manner::of(Last::stops(LATE, Reply::Copied)) };
    let fleet = Fleet::open(false, 2, manner).await;
    let caller = fleet.request().open(fleet.entry.callers()).await;
    fleet.drain_after(1).await;
    fleet.told().await;
    // The stream has ended by then, and the reply has not come.
    sleep(LATE / 4).await;
    drop(caller);
    eventually(async || fleet.freed() > 0).await;
    sleep(LATE * 2).await;
    assert_eq!(fleet.runs().iter().sum::<usize>(), 1);
}

/// Guards against a stopped stream given as complete, or lost, because its entry is stopped while it
/// waits for the reply.
#[parameterized(
    unframed = { Framing::Connection },
    old = { Framing::Old },
    chunks = { Framing::Chunks },
)]
#[test_macro(ntex::test)]
async fn a_stream_outlasts_the_drain_of_its_entry_during_a_stop(framing: Framing) {
    let manner = Manner { framing, ..Manner::of(Last::stops(LATE, Reply::Copied)) };
    let fleet = Fleet::open(false, 2, manner).await;
    let caller = fleet.request().open(fleet.entry.callers()).await;
    let answered = spawn_local(read(caller));
    fleet.drain_after(1).await;
    fleet.told().await;
    sleep(LATE / 4).await;
    let _registry = fleet.drain_entry();
    assert_whole(&answered.await.expect("the caller ends"));
}

/// Guards against a run that came to its own end being taken for stopped: it is cut, run again, or held
/// for longer than a round trip takes.
#[parameterized(
    just_before = { Framing::Connection, false, Last::HasEnded(Duration::ZERO) },
    old_just_before = { Framing::Old, false, Last::HasEnded(Duration::ZERO) },
    chunks_just_before = { Framing::Chunks, false, Last::HasEnded(Duration::ZERO) },
    replied_late = { Framing::Connection, true, Last::HasEnded(LATE) },
    after_being_busy = { Framing::Connection, false, Last::Refuses(409) },
    after_a_refusal = { Framing::Connection, false, Last::Refuses(503) },
    resumable_after_a_refusal = { Framing::Connection, true, Last::Refuses(503) },
    old_after_a_refusal = { Framing::Old, false, Last::Refuses(503) },
    chunks_after_a_refusal = { Framing::Chunks, false, Last::Refuses(503) },
    after_a_crowded_reply = { Framing::Connection, false, Last::Refuses(429) },
)]
#[test_macro(ntex::test)]
async fn a_run_that_ends_by_itself_is_whole_and_run_once(
    framing: Framing,
    resumable: bool,
    last: Last,
) {
    let fleet = Fleet::open(resumable, 2, Manner { framing, ..Manner::of(last) }).await;
    let answer = fleet.generation(1).await;
    assert_whole(&answer);
    assert_eq!(fleet.runs().iter().sum::<usize>(), 1);
}

/// Has a generation answered whose engine leaves a few events before its end.
async fn generation_that_is_nearly_done(fleet: &Fleet) -> Answer {
    let caller = fleet.request().open(fleet.entry.callers()).await;
    let answered = spawn_local(read(caller));
    eventually(async || fleet.runs().iter().sum::<usize>() > 0).await;
    sleep(GAP * 20).await;
    fleet.drain_after(1).await;
    answered.await.expect("the caller ends")
}

/// Guards against a run that ends by itself soon after a stop that was certainly not run being taken for
/// stopped.
#[parameterized(
    unframed = { Framing::Connection, Last::Declines(503) },
    old = { Framing::Old, Last::Declines(503) },
    chunks = { Framing::Chunks, Last::Declines(503) },
    crowded = { Framing::Connection, Last::Declines(429) },
    busy = { Framing::Connection, Last::Refuses(409) },
    chunks_refused = { Framing::Chunks, Last::Refuses(503) },
)]
#[test_macro(ntex::test)]
async fn a_run_that_ends_soon_after_a_declined_stop_is_whole(framing: Framing, last: Last) {
    let fleet = Fleet::open(false, 2, Manner { framing, ..Manner::of(last) }).await;
    assert_whole(&generation_that_is_nearly_done(&fleet).await);
    assert_eq!(fleet.runs().iter().sum::<usize>(), 1);
}

/// Guards against a run that is run again because it ends by itself soon after a stop that may have been
/// run.
#[parameterized(
    no_room = { Framing::Connection, 503 },
    old_no_room = { Framing::Old, 503 },
    crowded = { Framing::Connection, 429 },
    failed = { Framing::Connection, 500 },
)]
#[test_macro(ntex::test)]
async fn a_run_that_ends_soon_after_a_refused_stop_is_run_once(framing: Framing, status: u16) {
    let fleet =
        Fleet::open(false, 2, Manner { framing, ..Manner::of(Last::Refuses(status)) }).await;
    assert_eq!(generation_that_is_nearly_done(&fleet).await.body, events(1, LENGTH));
    assert_eq!(fleet.runs().iter().sum::<usize>(), 1);
}

/// Guards against losing or joining wrongly a run that is stopped after its last event and before the
/// end of its stream.
#[parameterized(
    chunks = { Framing::Chunks },
    length = { Framing::Length },
)]
#[test_macro(ntex::test)]
async fn a_run_stopped_after_its_last_event_is_whole(framing: Framing) {
    let manner = Manner { framing, ..Manner::of(Last::StopsAfterLastEvent) };
    let fleet = Fleet::open(false, 2, manner).await;
    assert_whole(&fleet.generation(1).await);
}

/// Guards against events that come twice where the end of an unframed stream can't be told from a stop
/// after the last event.
#[parameterized(
    unframed = { Framing::Connection },
    old = { Framing::Old },
)]
#[test_macro(ntex::test)]
async fn an_unframed_run_stopped_after_its_last_event_has_each_once(framing: Framing) {
    let manner = Manner { framing, ..Manner::of(Last::StopsAfterLastEvent) };
    let fleet = Fleet::open(false, 2, manner).await;
    assert_eq!(fleet.generation(1).await.body, events(1, LENGTH));
}
