//! Finds out whether an endpoint ran on after an answer of it had ended with its connection.
//!
//! When a process ends, its system closes its connections in the same orderly way in which the process ends such an
//! answer. An endpoint that says afterwards who it is cannot have ended; of one that has, or that does not answer,
//! nothing tells whether its answer was complete.

use crate::answering::{AnswerFault, EarlyAnswer};
use crate::attempt::{CONNECT_TIMEOUT, SILENCE_TOLERANCE};
use crate::drive::CallContext;
use crate::events::event;
use crate::{paths, suspects};
use actix_http::header::{CONTENT_TYPE, HeaderMap};
use actix_http::{Method, RequestHead, Uri, Version};
use bytes::Bytes;
use oleander_call::{EndProof, EndpointIdentity};
use oleander_outlet::{IdleLink, LinkError};
use oleander_place::EndpointKey;
use oleander_suspect::EndpointIncarnation;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// How long an endpoint may take to say who it is: a sound one may say nothing for as long.
const PROOF_TIMEOUT: Duration = SILENCE_TOLERANCE;

/// How long an answer over a kept connection may take. One that has fallen silent shows nothing of its endpoint.
const KEPT_TIMEOUT: Duration = Duration::from_millis(300);

/// Connections that are opened for the question, and the pause between them. An endpoint resets one for want of room;
/// one that is reached much later may have started again.
const MAX_DIALS: u32 = 3;
const DIAL_PAUSE: Duration = Duration::from_millis(50);

impl CallContext<'_, '_> {
    /// Finds out whether the endpoint of the last attempt, `key`, ran on after its answer had ended with its
    /// connection. Without a key a peer answered: that one closes an answer in order only when it knows.
    pub(crate) async fn prove_end(&self, key: Option<EndpointKey>) -> EndProof {
        let (Some(key), Some((life, address))) = (key, &self.last_target) else {
            return EndProof::RunsOn;
        };
        let asked_at = Instant::now();
        let asking = timeout(PROOF_TIMEOUT, self.ask_in_turn(life, *address));
        let proof = match self.node.run_until_replaced(Some(key), asking).await {
            Some(Ok(proof)) => proof,
            Some(Err(_)) => EndProof::Unanswered,
            None => EndProof::HasEnded,
        };
        event!(self.node, EndProved;
            "request" => self.call.id.as_str(), "endpoint" => life.instance.as_str(),
            "proof" => proof.name(), "took_ms" => asked_at.elapsed().as_millis() as u64,
            "last_event" => self.last_event);
        proof
    }

    /// Asks over kept connections, and over new ones after them. On a kept one an answer may arrive that was sent before
    /// the endpoint ended, so that only one that names the endpoint counts.
    async fn ask_in_turn(&self, life: &EndpointIncarnation, address: SocketAddr) -> EndProof {
        while let Some(link) = self.take_kept(life) {
            let Ok(asked) = timeout(KEPT_TIMEOUT, self.ask_identity(life, link)).await else {
                break;
            };
            // The answer to the question is still due on that connection, so that it cannot be used any more.
            if asked.as_ref().is_ok_and(|(identity, _)| !identity.is_told()) {
                break;
            }
            if let Some(proof) = self.judge(life, asked) {
                return proof;
            }
        }
        for _ in 0..MAX_DIALS {
            let asked = match self.node.dialer.dial(address, CONNECT_TIMEOUT).await {
                Ok(link) => self.ask_identity(life, link).await,
                Err(fault) => Err(fault.into()),
            };
            if let Some(proof) = self.judge(life, asked) {
                return proof;
            }
            sleep(DIAL_PAUSE).await;
        }
        EndProof::Unanswered
    }

    fn take_kept(&self, life: &EndpointIncarnation) -> Option<IdleLink> {
        self.node.pool.borrow_mut().take(&life.instance)
    }

    /// What the answer to a question proves; `None` if it has to be asked again. Keeps the connection of an endpoint that
    /// runs on.
    fn judge(
        &self,
        life: &EndpointIncarnation,
        asked: Result<(EndpointIdentity, Option<IdleLink>), AnswerFault>,
    ) -> Option<EndProof> {
        match asked {
            Ok((identity, link)) if identity.may_be(&life.instance, life.life) => {
                if let Some(link) = link {
                    paths::keep_link(self.node, &life.instance, link);
                }
                Some(EndProof::RunsOn)
            }
            Ok(_) => Some(EndProof::HasEnded),
            Err(AnswerFault::Link(fault)) if suspects::is_port_closed(&fault) => {
                Some(EndProof::HasEnded)
            }
            Err(fault) => {
                event!(self.node, AttemptFault;
                    "request" => self.call.id.as_str(), "endpoint" => life.instance.as_str(),
                    "fault" => fault.to_string());
                None
            }
        }
    }

    /// Asks the endpoint at the other end of a connection who it is; also returns the connection if it can be used again.
    async fn ask_identity(
        &self,
        life: &EndpointIncarnation,
        link: IdleLink,
    ) -> Result<(EndpointIdentity, Option<IdleLink>), AnswerFault> {
        let mut sent = link.send(&self.node.http, self.identity_head(life)?, Bytes::new())?;
        let head = sent.read_head().await?;
        let mut early = EarlyAnswer::new(sent.into_body(&head), head);
        if is_json(early.head.headers()) {
            early.read_whole(&self.hold).await?;
        }
        let (head, body, text) = early.into_parts();
        Ok((self.node.dialect.parse_identity(&head, &text.bytes.to_bytes()), body.into_idle()))
    }

    fn identity_head(&self, life: &EndpointIncarnation) -> Result<RequestHead, LinkError> {
        let service = self.rules.service(&self.service);
        let path = service.map_or("/", |service| service.identity_path.as_str());
        let malformed = |_| LinkError::Malformed(format!("no path: {path}"));
        let mut head = RequestHead::default();
        head.method = Method::GET;
        head.uri = Uri::try_from(path).map_err(malformed)?;
        head.version = Version::HTTP_11;
        head.headers = HeaderMap::new();
        self.node.dialect.stamp_identity_request(&mut head.headers, &life.instance);
        Ok(head)
    }
}

fn is_json(headers: &HeaderMap) -> bool {
    let kind = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("application/json"))
}
