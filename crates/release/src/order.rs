//! The operators' order.

use compact_str::CompactString;
use oleander_kind::{ResultCode, ServiceName, TimeSpan};
use quick_error::quick_error;

/// The longest order that is believed.
const MAX_DURATION: TimeSpan = TimeSpan(24 * 3_600_000);

/// That a service's requests move to endpoints of another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleaseOrder {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub to: CompactString,
    /// Within which it has to be decided.
    pub lasts: TimeSpan,
}

/// How an order stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseState {
    /// The version is tried.
    Running,
    /// All requests go to the version; endpoints of the former one stop at once.
    Completed,
    /// The version gets nothing any more.
    RolledBack,
}

/// An order as the store has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderEntry {
    /// The order.
    pub order: ReleaseOrder,
    /// How it stands, and for which version that was written; none if nothing was.
    pub state: Option<(ReleaseState, CompactString)>,
    /// The revision of the object.
    pub revision: u64,
}

impl OrderEntry {
    /// How the order stands. What was written for another version is of an earlier order.
    pub fn state(&self) -> Option<ReleaseState> {
        let own = self.state.as_ref().filter(|(_, to)| *to == self.order.to);
        own.map(|(state, _)| *state)
    }
}

quick_error! {
    /// Why an order cannot be carried out.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum OrderFault {
        /// It cannot be read.
        Unreadable {
            display("the order cannot be read")
        }
        /// No rules name its service.
        UnknownService {
            display("no service of that name")
        }
        /// Its time is none, or longer than a day.
        BadTime {
            display("the time to decide in must be more than 0 and at most a day")
        }
        /// It names no version, or the one that serves already.
        BadVersion {
            display("the version is empty, or serves already")
        }
        /// The service or version was changed, or the order removed, before it was decided.
        Withdrawn {
            display("the order was changed or removed before it was decided")
        }
    }
}

impl OrderFault {
    /// Its number in the table of result codes.
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
    /// Why it cannot be carried out.
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
