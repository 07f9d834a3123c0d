//! Answers that are numbered errors.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use oleander_kind::{RequestId, ResultCode};

/// The header that tells a result code by number.
pub const CODE_HEADER: &str = "x-result-code";
/// The header that tells the request's id.
pub const ID_HEADER: &str = "x-request-id";

/// The result of steps that may refuse a request.
pub type Result<T> = std::result::Result<T, RefusalNote>;

/// How a refusal is told.
#[derive(Clone, Debug)]
pub struct RefusalNote {
    code: ResultCode,
    id: Option<RequestId>,
    detail: String,
    retry_ms: Option<u64>,
}

impl RefusalNote {
    /// A note of `code` alone.
    pub fn new(code: ResultCode) -> Self {
        RefusalNote { code, id: None, detail: String::new(), retry_ms: default_retry(code) }
    }

    /// With the request's id.
    pub fn id(mut self, id: &RequestId) -> Self {
        self.id = Some(id.clone());
        self
    }

    /// With what is wrong in this case.
    pub fn detail(mut self, detail: &str) -> Self {
        self.detail = detail.to_owned();
        self
    }

    /// With the time to come back, in milliseconds.
    pub fn retry_ms(mut self, retry_ms: u64) -> Self {
        self.retry_ms = Some(retry_ms);
        self
    }

    /// The code.
    pub fn code(&self) -> ResultCode {
        self.code
    }

    /// The body: an OpenAI-style error object with the number, and whether it ran.
    pub fn body(&self) -> serde_json::Value {
        let code = self.code;
        serde_json::json!({
            "error": {
                "code": code.number(),
                "type": code.name(),
                "message": code.text(),
                "detail": self.detail,
                "not_run": code.guarantees_not_run(),
                "retry_after_ms": self.retry_ms,
                "request_id": self.id,
            }
        })
    }

    /// The response.
    pub fn response(&self) -> HttpResponse {
        let status = StatusCode::from_u16(self.code.status());
        let mut response = HttpResponse::build(status.unwrap_or(StatusCode::BAD_GATEWAY));
        response.insert_header((CODE_HEADER, self.code.number().to_string()));
        if let Some(id) = &self.id {
            response.insert_header((ID_HEADER, id.as_str()));
        }
        if let Some(ms) = self.retry_ms {
            response.insert_header(("retry-after", ms.div_ceil(1000).to_string()));
        }
        response.json(self.body())
    }
}

/// When a caller may come back, unless something better is known.
fn default_retry(code: ResultCode) -> Option<u64> {
    match code {
        ResultCode::NoBundle | ResultCode::StoreDown | ResultCode::BudgetSpent => Some(1000),
        ResultCode::KeyUnsettled => Some(1000),
        ResultCode::NoEndpoint | ResultCode::LimitReached | ResultCode::StillRunning => Some(1000),
        ResultCode::Draining => Some(0),
        ResultCode::MemoryFull => Some(2000),
        _ => None,
    }
}
