//! What a scale run knows and works out: the fleet, what proxies hold, the rules, the figures. No I/O, no clock.

pub mod channel;
pub mod fleet;
pub mod ids;
pub mod observer;
pub mod order;
pub mod plan;
pub mod propagation;
pub mod proxy_table;
pub mod report;
