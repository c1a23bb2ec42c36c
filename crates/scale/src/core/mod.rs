//! The model of a scale test: the fleet, the tables of the proxies, the rules and the reports. No I/O and no clock.

pub mod channel;
pub mod checker;
pub mod churn;
pub mod fleet;
pub mod hollow;
pub mod hollow_report;
pub mod ids;
pub mod message;
pub mod observer;
pub mod plan;
pub mod propagation;
pub mod proxy;
pub mod proxy_table;
pub mod push;
pub mod report;
pub mod report_table;
pub mod rule_limits;
pub mod settings;
pub mod slope;
pub mod slopes;
