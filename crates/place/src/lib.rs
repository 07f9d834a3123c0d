//! Placement: the choice of an endpoint for each request.
//!
//! The [`EndpointBoard`] holds the state of each endpoint: its entry in the platform's list, the
//! work this process has there, the work others reported, and its health. The choice is a pure
//! function of the board, the request and the time.

pub mod board;
pub mod brittle;
pub mod choose;
pub mod cost;
pub mod health;
pub mod path;
pub mod pause;
pub mod prefix;
pub mod share;
pub mod shed;
pub mod signal;

pub use board::{BrittleChange, EndpointBoard, EndpointEntry, EndpointFact, EndpointKey, WorkLoad};
pub use brittle::{BrittleSignal, RoomShare, RoomUse, RoomWindow, sender_count};
pub use choose::{PlacementChoice, PlacementRequest, available_in, choose_endpoint, has_free_room};
pub use cost::expected_first_byte;
pub use health::{AnswerGrade, HealthRecord};
pub use path::{PathFault, PathRecord, PathState};
pub use pause::PauseRecord;
pub use prefix::PrefixRecord;
pub use share::{PlaceShare, SharedPlaces, count_places};
pub use shed::{OfferedRate, ServiceLoad, queue_limit, shed_delay};
pub use signal::{EndpointSignals, RateSignal};
