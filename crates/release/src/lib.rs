//! Roll-outs of new versions of a service with bounded harm to callers.
//!
//! An order moves a service's requests to endpoints of another version, which may be bad: from the
//! start, later, under load, or on one route. Until the version is proven it gets only requests
//! granted by a ledger ([`exposure_limit`]), a fraction of the service's requests, so the bound
//! holds whatever the version does. Its answers are compared with those of the serving version
//! ([`VersionComparison`]). [`ReleasePlan`] controls the whole roll-out: a version that is found
//! sound gets the longest requests first, and all requests only when so little time is left that
//! the bound would hold even then.
//!
//! Everything here is a state machine over values; the store and the connections are elsewhere.

mod comparison;
mod exposure;
mod order;
mod plan;
mod routing;

pub use comparison::VersionComparison;
pub use exposure::{ExposureBounds, TRIAL_GRANTS, exposure_account, exposure_limit};
pub use order::{OrderEntry, OrderFault, ReleaseOrder, ReleaseState, Result};
pub use plan::{PlanAction, PlanInputs, ReleasePlan, ReleaseStage, RollbackReason};
pub use routing::{
    AnnouncedStage, ListedVersion, OrderNews, OrderStatus, VersionLane, VersionRouter,
};
