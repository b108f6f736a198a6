//! The entry daemon.

use std::process::ExitCode;

use basillead::cmd::daemon;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    daemon::main(daemon::Kind::Entry)
}
