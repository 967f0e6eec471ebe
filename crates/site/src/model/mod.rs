//! The model of the site, without I/O: times, requests and fault toggles in, responses out. Both drivers use
//! it.

pub mod app_box;
pub mod clients;
pub mod faults;
pub mod list;
pub mod random;
pub mod referee;
pub mod spec;
pub mod time;
