//! Tests that run the real programs; one file for each command or family of faults.
#![cfg(feature = "standin")]

mod bad_input;
mod check;
mod leak;
mod path;
mod stop;
mod usage;
mod workdir;
