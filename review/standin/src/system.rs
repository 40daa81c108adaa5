//! Signals and socket options, which the standard library lacks.

use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::process::Command;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

/// Sends a signal to a process that this test has started.
pub fn signal(process: u32, signal: i32) {
    // SAFETY: the call takes two numbers.
    unsafe { kill(process as i32, signal) };
}

/// Makes the system kill a process that is started by `command` when this one ends, however it ends.
pub fn end_with_this(command: &mut Command) {
    const PR_SET_PDEATHSIG: i32 = 1;
    // SAFETY: the call between fork and exec takes two numbers and allocates nothing.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        });
    }
}

/// Makes the system reset the connection when it is closed.
pub fn reset_on_close(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    // SAFETY: the value outlives the call, and the length is its size.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &raw const linger, 8) };
}
