//! Tests that run the real programs; one file for each command or family of faults.
#![cfg(feature = "standin")]

mod bad_input;
mod check;
mod drain;
mod leak;
mod once;
mod openapi;
mod path;
mod peers;
mod rounds;
mod stop;
mod trainer;
mod usage;
mod weights;
mod workdir;
