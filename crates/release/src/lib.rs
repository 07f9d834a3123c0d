//! Roll-outs of a service's software that cannot harm its callers.
//!
//! An order asks that a service's requests move to endpoints of another version, which may be bad: from the start, later, under
//! load, or on one route. Until it is proved a version gets no request that was not handed out ([`exposure_limit`]): a part of
//! the service's requests, so that the bound holds whatever the version does. What callers get of it is compared with
//! what they get of the version that serves ([`VersionComparison`]). [`ReleasePlan`] goes from the first request to the last:
//! a version that looks sound is given the longest requests first, and all of them only when so little time is left that
//! the bound would hold even then.
//!
//! Everything here is a state machine over values; the store and the links are elsewhere.

mod comparison;
mod exposure;
mod order;
mod plan;
mod routing;

pub use comparison::VersionComparison;
pub use exposure::{ExposureBounds, TRIAL_GRANTS, exposure_account, exposure_limit};
pub use order::{OrderEntry, OrderFault, ReleaseOrder, ReleaseState, Result};
pub use plan::{PlanAction, PlanInputs, PlanReason, ReleasePlan, ReleaseStage};
pub use routing::{
    AnnouncedStage, ListedVersion, OrderNews, OrderStatus, VersionLane, VersionRouter,
};
