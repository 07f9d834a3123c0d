//! oleandertack serves language models on reclaimable instances.
//!
//! This is the one public crate. The crates behind it are parts; their borders may move.

pub use oleander_board as board;
pub use oleander_bulk as bulk;
pub use oleander_bundle as bundle;
pub use oleander_call as call;
pub use oleander_claim as claim;
pub use oleander_conf as conf;
pub use oleander_ctl as ctl;
pub use oleander_dispatch as dispatch;
pub use oleander_duty as duty;
pub use oleander_edge as edge;
pub use oleander_explore as explore;
pub use oleander_fleet as fleet;
pub use oleander_fleetd as fleetd;
pub use oleander_flow as flow;
pub use oleander_front as front;
pub use oleander_gauge as gauge;
pub use oleander_hold as hold;
pub use oleander_judge as judge;
pub use oleander_kind as kind;
pub use oleander_lease as lease;
pub use oleander_limit as limit;
pub use oleander_list as list;
pub use oleander_load as load;
pub use oleander_member as member;
pub use oleander_mesh as mesh;
pub use oleander_origin as origin;
pub use oleander_outlet as outlet;
pub use oleander_pace as pace;
pub use oleander_place as place;
pub use oleander_plat as plat;
pub use oleander_platform as platform;
pub use oleander_release as release;
pub use oleander_rig as rig;
pub use oleander_route as route;
pub use oleander_serve as serve;
pub use oleander_standin as standin;
pub use oleander_suspect as suspect;
pub use oleander_wire as wire;

pub mod start;
