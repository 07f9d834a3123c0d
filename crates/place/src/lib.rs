//! Which endpoint takes a request.
//!
//! The [`EndpointBoard`] holds what is known of each endpoint: its entry in the platform's list, the
//! work this process has there, the work others reported, and how it has been answering. Choosing is
//! a pure function of the board, the request and the time.

pub mod board;
pub mod choose;
pub mod cost;
pub mod health;
pub mod pause;
pub mod prefix;
pub mod shed;
pub mod word;

pub use board::{EndpointBoard, EndpointEntry, EndpointFact, EndpointKey, WorkLoad};
pub use choose::{PlaceAsk, PlaceChoice, choose_endpoint, opens_in};
pub use cost::expected_first;
pub use health::{AnswerGrade, HealthRecord};
pub use pause::PauseRecord;
pub use prefix::PrefixRecord;
pub use shed::{OfferedRate, ServicePressure, queue_limit, shed_until};
pub use word::{LimitWord, OwnWords};
