//! Who a caller is, and whether its request may come in; before its body is read.

use crate::node::EntryNode;
use crate::refuse::{RefusalNote, Result};
use actix_web::HttpRequest;
use actix_web::web::{BytesMut, Payload};
use bytes::Bytes;
use futures_util::StreamExt;
use oleander_board::StopStage;
use oleander_bundle::SignedBundle;
use oleander_hold::{CallerHold, HolderEviction};
use oleander_kind::hash::digest_bytes;
use oleander_kind::ident::format_uuid_v7;
use oleander_kind::{AccountName, ClockTime, RequestId, ResultCode, TimeSpan};
use oleander_limit::{AccountLimits, LimitVerdict};
use oleander_serve::ReadingBody;
use std::rc::Rc;

/// A caller that may ask.
pub struct KnownCaller {
    /// Its account.
    pub account: AccountName,
    /// The account's limits.
    pub limits: AccountLimits,
    /// The bundle that says so.
    pub bundle: Rc<SignedBundle>,
}

/// A header's text; empty if it is missing or not text.
pub fn header<'a>(request: &'a HttpRequest, name: &str) -> &'a str {
    request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// Finds the account of the caller's key. `draining` refuses new work but not a return.
///
/// # Errors
/// The numbered refusal; nothing of the body was read.
pub fn know_caller(node: &EntryNode, request: &HttpRequest, new_work: bool) -> Result<KnownCaller> {
    let refuse = |code| Err(RefusalNote::new(code));
    let stop = node.board.borrow().stop;
    if new_work && matches!(stop, StopStage::Draining | StopStage::Stopped) {
        return refuse(ResultCode::Draining);
    }
    let Some(bundle) = node.bundle() else {
        return refuse(ResultCode::NoBundle);
    };
    let Some(key) = header(request, "authorization").strip_prefix("Bearer ") else {
        return refuse(ResultCode::BadCallerKey);
    };
    let hash = hex_lower(&digest_bytes(key.trim().as_bytes()));
    let found = bundle
        .content
        .accounts
        .iter()
        .find(|(_, account)| account.key_hashes.iter().any(|known| same_text(known, &hash)));
    let Some((account, entry)) = found else {
        return refuse(ResultCode::BadCallerKey);
    };
    let limits = AccountLimits {
        requests_per_s: entry.requests_per_s,
        in_flight: entry.in_flight,
        tokens_per_s: entry.tokens_per_s,
    };
    Ok(KnownCaller { account: account.clone(), limits, bundle: bundle.clone() })
}

fn hex_lower(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Compares without stopping at the first difference, so that the time taken tells nothing of how
/// much of a guessed key's hash is right.
fn same_text(a: &str, b: &str) -> bool {
    let differences =
        a.bytes().zip(b.bytes()).fold(0u8, |sum, (a, b)| sum | (a.to_ascii_lowercase() ^ b));
    a.len() == b.len() && differences == 0
}

/// The request's id: the caller's idempotency key, or one made here.
///
/// # Errors
/// [`ResultCode::BadBody`] if the key has characters or a length that no id may have.
pub fn request_id(node: &EntryNode, request: &HttpRequest) -> Result<RequestId> {
    let key = header(request, "idempotency-key");
    if key.is_empty() {
        let random = (u128::from(node.random()) << 64) | u128::from(node.random());
        return Ok(RequestId::from(format_uuid_v7(node.clock.wall().0, random).as_str()));
    }
    RequestId::parse(key).ok_or_else(|| {
        let detail = "the idempotency key must be 1 to 128 letters, digits, or - _ . :";
        RefusalNote::new(ResultCode::BadBody).detail(detail)
    })
}

/// When the caller wants the answer, as monotonic time.
pub fn deadline(node: &EntryNode, request: &HttpRequest) -> ClockTime {
    let most = TimeSpan::secs(node.settings.bounds.deadline_s);
    let asked = header(request, "x-deadline-ms").parse().map(TimeSpan);
    node.clock.now() + asked.map_or(most, |asked| asked.min(most))
}

/// Most bytes that are reserved for a body before it comes.
const FIRST_BYTES: usize = 64 << 10;
/// How long what a refused caller still sends is read and discarded.
const DISCARD_LIMIT: TimeSpan = TimeSpan(10_000);
/// The same of a caller whose body gave way: it made little progress, and may never send the rest.
const GAVE_WAY_LIMIT: TimeSpan = TimeSpan(500);
/// Shortest time between two log lines about bodies that gave way; the metrics count them all.
const LOG_PAUSE: TimeSpan = TimeSpan(100);

/// Reads what a refused caller still sends, without keeping it, for a bounded time and length. Were
/// the connection closed under it, the caller would see a broken connection and not the refusal.
async fn discard(mut payload: Payload, most_bytes: usize, limit: TimeSpan) {
    let reading = async {
        let mut bytes = 0;
        while let Some(Ok(chunk)) = payload.next().await {
            bytes += chunk.len();
            if bytes > most_bytes {
                return;
            }
        }
    };
    let _ = actix_rt::time::timeout(limit.duration(), reading).await;
}

/// Reads a body within its bounds, and returns it with its room. What is announced takes no room before it comes; a body
/// that makes less progress than others gives way to them when there is none.
///
/// # Errors
/// The numbered refusal. One that is too long by its own length is refused before it is read.
pub async fn read_body(
    node: &Rc<EntryNode>,
    request: &HttpRequest,
    mut payload: Payload,
) -> Result<(Bytes, Rc<CallerHold>)> {
    let bounds = &node.settings.bounds;
    let refuse = |code| RefusalNote::new(code);
    let reading_body = ReadingBody::begin(request);
    let told: Option<usize> = header(request, "content-length").parse().ok();
    if told.is_some_and(|length| length > bounds.body_bytes) {
        discard(payload, 4 * bounds.body_bytes, DISCARD_LIMIT).await;
        return Err(refuse(ResultCode::BodyTooLarge));
    }
    let hold = CallerHold::open(&node.holds);
    hold.begin();
    let reading = tokio::select! {
        biased;
        read = collect_body((&hold, &reading_body), &mut payload, (told, bounds.body_bytes)) => read,
        _ = hold.until_evicted() => Err(ResultCode::MemoryFull),
        () = actix_rt::time::sleep(TimeSpan(bounds.body_ms).duration()) => Err(ResultCode::SlowBody),
    };
    match reading {
        Ok(body) => {
            hold.complete();
            Ok((body, hold))
        }
        Err(code) => {
            let eviction = hold.eviction();
            // Its room is free while the rest is discarded.
            drop(hold);
            if code == ResultCode::MemoryFull {
                note_gave_way(node, eviction);
                discard(payload, 4 * bounds.body_bytes, GAVE_WAY_LIMIT).await;
            }
            Err(refuse(code))
        }
    }
}

async fn collect_body(
    (hold, reading_body): (&CallerHold, &ReadingBody),
    payload: &mut Payload,
    (told, most_bytes): (Option<usize>, usize),
) -> std::result::Result<Bytes, ResultCode> {
    // No more is reserved by what is announced: it may be memory that an earlier body has left.
    let mut body = BytesMut::with_capacity(told.unwrap_or(0).min(FIRST_BYTES));
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| ResultCode::BadBody)?;
        if body.len() + chunk.len() > most_bytes {
            return Err(ResultCode::BodyTooLarge);
        }
        hold.note_moved(chunk.len());
        reading_body.note_moved(chunk.len());
        let held = body.len() + chunk.len();
        hold.claim_request(held).await.map_err(|_| ResultCode::MemoryFull)?;
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Counts and logs a body that was refused for want of room, because it gave way or nobody did for it.
fn note_gave_way(node: &EntryNode, eviction: Option<HolderEviction>) {
    node.meter.count_result(ResultCode::MemoryFull.number());
    let now = node.clock.now();
    if now - node.gave_way_logged.get() < LOG_PAUSE {
        return;
    }
    node.gave_way_logged.set(now);
    slog::info!(node.log, "a body found no room, or gave way";
        "room" => eviction.map(|eviction| eviction.room.name()),
        "used" => eviction.map(|eviction| eviction.used),
        "bound" => eviction.map(|eviction| eviction.bound),
        "moved" => eviction.map(|eviction| eviction.moved),
        "for_ms" => eviction.map(|eviction| eviction.for_ms));
}

/// Counts a request against its account's limits.
///
/// # Errors
/// [`ResultCode::LimitReached`] with the time to come back.
pub fn count_limits(
    node: &EntryNode,
    caller: &KnownCaller,
    tokens: u64,
    id: &RequestId,
) -> Result<()> {
    let now = node.clock.now();
    let verdict = node.limits.borrow_mut().admit(&caller.account, &caller.limits, tokens, now);
    match verdict {
        LimitVerdict::Pass => Ok(()),
        LimitVerdict::Refuse { retry_ms } => {
            let note = RefusalNote::new(ResultCode::LimitReached).id(id).retry_ms(retry_ms);
            node.meter.count_result(ResultCode::LimitReached.number());
            Err(note)
        }
    }
}
