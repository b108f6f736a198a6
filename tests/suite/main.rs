//! Tests that run the real programs; one file for each command or family of faults.
#![cfg(feature = "standin")]

mod path;
mod workdir;
