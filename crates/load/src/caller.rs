//! One caller: it asks through a balancer, follows where it is sent, and comes back when cut.

use crate::history::{CallEnd, CallKind, CallRecord};
use awc::Client;
use awc::error::SendRequestError;
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::StreamExt;
use oleander_kind::hash::mix_bits;
use oleander_plat::never_sent;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often a caller comes back before it gives up.
const MOST_RETURNS: u32 = 60;
/// Between two tries.
const PAUSE: Duration = Duration::from_millis(100);
/// The longest body that is read.
const BODY_LIMIT: usize = 64 << 20;

/// What callers share.
pub struct CallerDesk {
    /// The HTTP client.
    pub client: Client,
    /// Entries.
    pub entries: Vec<CompactString>,
    /// The caller's key.
    pub key: CompactString,
    /// When the run began.
    pub began: Instant,
    /// Whether first asks go to the first entry.
    pub first_to_first: bool,
    next: Cell<usize>,
}

/// What a call asks.
#[derive(Clone, Debug)]
pub struct CallPlan {
    /// Its id.
    pub id: CompactString,
    /// What it is.
    pub kind: CallKind,
    /// Its path.
    pub path: String,
    /// Its body.
    pub body: Bytes,
    /// Right answers.
    pub right: Vec<String>,
}

struct CallState {
    record: CallRecord,
    shown_tokens: u64,
    failed: Option<CallEnd>,
}

enum Turn {
    Done(CallEnd),
    /// Ask for the request by its id.
    Return,
    /// Ask as at first: nothing of it was taken, or repeating it does no harm.
    Repeat,
}

impl CallerDesk {
    /// A desk over `entries`.
    pub fn new(entries: Vec<CompactString>, key: CompactString) -> Rc<Self> {
        let client =
            Client::builder().timeout(Duration::from_secs(300)).disable_redirects().finish();
        Rc::new(CallerDesk {
            client,
            entries,
            key,
            began: Instant::now(),
            first_to_first: false,
            next: Cell::new(0),
        })
    }

    fn now(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn next_entry(&self, returns: u32) -> &CompactString {
        if self.first_to_first && returns == 0 {
            return &self.entries[0];
        }
        let at = self.next.get();
        self.next.set(at.wrapping_add(1));
        &self.entries[mix_bits(at as u64) as usize % self.entries.len()]
    }

    /// Makes one call to its end.
    pub async fn call(self: Rc<Self>, plan: CallPlan) -> CallRecord {
        let record = CallRecord {
            id: plan.id.clone(),
            kind: plan.kind,
            started: self.now(),
            ended: 0,
            first: None,
            accepted: false,
            returns: 0,
            shown: String::new(),
            right: plan.right.clone(),
            end: CallEnd::Lost,
        };
        let mut state = CallState { record, shown_tokens: 0, failed: None };
        let mut turn = Turn::Repeat;
        while state.record.returns <= MOST_RETURNS {
            turn = match turn {
                Turn::Done(end) => {
                    state.record.end = end;
                    break;
                }
                Turn::Repeat => self.ask(&plan, &mut state).await,
                Turn::Return => self.come_back(&plan, &mut state).await,
            };
            if !matches!(turn, Turn::Done(_)) {
                state.record.returns += 1;
                actix_rt::time::sleep(PAUSE).await;
            }
        }
        state.record.ended = self.now();
        state.record
    }

    async fn ask(&self, plan: &CallPlan, state: &mut CallState) -> Turn {
        let url = format!("http://{}{}", self.next_entry(state.record.returns), plan.path);
        let request = self
            .client
            .post(url)
            .insert_header(("authorization", format!("Bearer {}", self.key)))
            .insert_header(("content-type", "application/json"))
            .insert_header(("idempotency-key", plan.id.as_str()))
            .insert_header(("x-retry-count", state.record.returns.to_string()));
        let sent = request.send_body(plan.body.clone()).await;
        self.take_answer(plan, state, sent).await
    }

    async fn come_back(&self, plan: &CallPlan, state: &mut CallState) -> Turn {
        let url =
            format!("http://{}/v1/requests/{}", self.next_entry(state.record.returns), plan.id);
        let request = self
            .client
            .get(url)
            .insert_header(("authorization", format!("Bearer {}", self.key)))
            .insert_header(("last-event-id", state.shown_tokens.to_string()));
        let sent = request.send().await;
        self.take_answer(plan, state, sent).await
    }

    async fn take_answer(
        &self,
        plan: &CallPlan,
        state: &mut CallState,
        sent: Result<awc::ClientResponse, SendRequestError>,
    ) -> Turn {
        // A plain call may be repeated with its key; a model request is asked for by its id.
        let again = || {
            if plan.kind == CallKind::Rewrite { Turn::Return } else { Turn::Repeat }
        };
        let mut response = match sent {
            Ok(response) => response,
            Err(fault) if never_sent(&fault) && !state.record.accepted => return Turn::Repeat,
            Err(_) => return again(),
        };
        let status = response.status().as_u16();
        match status {
            200 if plan.kind == CallKind::Rewrite => self.read_stream(state, response).await,
            200 => match response.body().limit(BODY_LIMIT).await {
                Ok(body) => {
                    state.record.first = Some(self.now());
                    state.record.shown = String::from_utf8_lossy(&body).into_owned();
                    Turn::Done(CallEnd::Answered)
                }
                Err(_) => again(),
            },
            303 => Turn::Return,
            _ => self.take_refusal(plan, state, &mut response).await,
        }
    }

    async fn take_refusal(
        &self,
        plan: &CallPlan,
        state: &mut CallState,
        response: &mut awc::ClientResponse,
    ) -> Turn {
        let value: serde_json::Value = response.json().await.unwrap_or_default();
        let code = value["error"]["code"].as_u64().unwrap_or(0) as u16;
        let not_run = value["error"]["not_run"].as_bool().unwrap_or(false);
        let end = CallEnd::Refused { code, not_run };
        match code {
            // The entry is leaving, or still runs the call: another try tells more.
            1006 => Turn::Repeat,
            2004 if state.record.returns < MOST_RETURNS => {
                if plan.kind == CallKind::Rewrite {
                    Turn::Return
                } else {
                    Turn::Repeat
                }
            }
            // Nobody knows it. If nothing was ever shown, asking anew does no harm.
            2007 if plan.kind == CallKind::Rewrite && !state.record.accepted => Turn::Repeat,
            2007 if state.record.returns < 20 => {
                state.failed = Some(end);
                Turn::Return
            }
            _ => Turn::Done(end),
        }
    }

    async fn read_stream(&self, state: &mut CallState, mut response: awc::ClientResponse) -> Turn {
        state.record.accepted = true;
        let mut buffer: Vec<u8> = Vec::new();
        while let Some(Ok(chunk)) = response.next().await {
            buffer.extend_from_slice(&chunk);
            while let Some(at) = buffer.windows(2).position(|pair| pair == b"\n\n") {
                let event: Vec<u8> = buffer.drain(..at + 2).collect();
                if let Some(turn) = self.take_event(state, &String::from_utf8_lossy(&event)) {
                    return turn;
                }
            }
        }
        Turn::Return
    }

    fn take_event(&self, state: &mut CallState, event: &str) -> Option<Turn> {
        if event.starts_with("event: moved") {
            return Some(Turn::Return);
        }
        let data = event.lines().find_map(|line| line.strip_prefix("data:"))?.trim();
        if data == "[DONE]" {
            return Some(Turn::Done(CallEnd::Answered));
        }
        let value: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
        if event.starts_with("event: error") {
            let code = value["error"]["code"].as_u64().unwrap_or(0) as u16;
            let not_run = value["error"]["not_run"].as_bool().unwrap_or(false);
            return Some(Turn::Done(CallEnd::Refused { code, not_run }));
        }
        let id = event.lines().find_map(|line| line.strip_prefix("id:"));
        let text = value["choices"][0]["delta"]["content"].as_str().unwrap_or("");
        if !text.is_empty() {
            state.record.first.get_or_insert(self.now());
            state.record.shown.push_str(text);
        }
        if let Some(end) = id.and_then(|id| id.trim().parse().ok()) {
            state.shown_tokens = end;
        }
        None
    }
}
