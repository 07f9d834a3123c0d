//! Roll-out orders given by operators.

use compact_str::CompactString;
use oleander_kind::{ResultCode, ServiceName, TimeSpan};
use quick_error::quick_error;

/// The longest accepted duration of an order.
const MAX_DURATION: TimeSpan = TimeSpan(24 * 3_600_000);

/// An order to move a service's requests to endpoints of another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleaseOrder {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub to: CompactString,
    /// The time within which the order has to be decided.
    pub lasts: TimeSpan,
}

/// The state of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseState {
    /// The version is under trial.
    Running,
    /// All requests go to the version; endpoints of the former version stop at once.
    Completed,
    /// The version gets no requests any more.
    RolledBack,
}

/// An order as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderEntry {
    /// The order.
    pub order: ReleaseOrder,
    /// The stored state and the version that it was written for; `None` if no state was written.
    pub state: Option<(ReleaseState, CompactString)>,
    /// The store revision of the object.
    pub revision: u64,
}

impl OrderEntry {
    /// Returns the state of the order. A state written for another version belongs to an earlier
    /// order.
    pub fn state(&self) -> Option<ReleaseState> {
        let own = self.state.as_ref().filter(|(_, to)| *to == self.order.to);
        own.map(|(state, _)| *state)
    }
}

quick_error! {
    /// Reasons why an order cannot be carried out.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum OrderFault {
        /// The order cannot be parsed.
        Unreadable {
            display("the order cannot be read")
        }
        /// No rules name its service.
        UnknownService {
            display("no service of that name")
        }
        /// Its duration is zero or longer than a day.
        BadTime {
            display("the time to decide in must be more than 0 and at most a day")
        }
        /// It names no version, or the serving one.
        BadVersion {
            display("the version is empty, or serves already")
        }
        /// The order was removed, or its service or version changed, before it was decided.
        Withdrawn {
            display("the order was changed or removed before it was decided")
        }
    }
}

impl OrderFault {
    /// Returns the result code of the fault.
    pub fn code(self) -> ResultCode {
        match self {
            OrderFault::Unreadable => ResultCode::ReleaseUnreadable,
            OrderFault::UnknownService => ResultCode::ReleaseUnknownService,
            OrderFault::BadTime => ResultCode::ReleaseBadTime,
            OrderFault::BadVersion => ResultCode::ReleaseBadVersion,
            OrderFault::Withdrawn => ResultCode::ReleaseWithdrawn,
        }
    }
}

/// The result of checking an order.
pub type Result<T> = std::result::Result<T, OrderFault>;

impl ReleaseOrder {
    /// Checks the order; `serving` are the versions whose endpoints take requests.
    ///
    /// # Errors
    /// Returns the reason why it cannot be carried out.
    pub fn check(&self, is_known: bool, serving: &[&CompactString]) -> Result<()> {
        if !is_known {
            return Err(OrderFault::UnknownService);
        }
        if self.lasts == TimeSpan(0) || self.lasts > MAX_DURATION {
            return Err(OrderFault::BadTime);
        }
        let serves_alone = serving.len() == 1 && *serving[0] == self.to;
        if self.to.is_empty() || serves_alone {
            return Err(OrderFault::BadVersion);
        }
        Ok(())
    }
}
