//! The site itself, pure: time, requests and toggles in, answers out. Both drivers stand on it.

pub mod app_box;
pub mod clients;
pub mod faults;
pub mod list;
pub mod random;
pub mod referee;
pub mod spec;
pub mod time;
