//! Sends requests to backend servers: connections, single calls, and calls with retries.

pub mod call;
pub mod carried;
pub mod choose;
pub mod crash;
mod demand;
pub mod limit;
pub mod load;
pub mod pool;
pub mod retry;
pub mod warmup;
pub mod zone;
