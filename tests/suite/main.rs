//! Tests that run the real programs; one file for each command or family of faults.
#![cfg(feature = "standin")]

mod bad_input;
mod check;
mod leak;
mod path;
mod peers;
mod rounds;
mod stop;
mod trainer;
mod weights;
mod workdir;
