//! Adapter for the simulator: hosts decision modules, reads batches of events on standard input and writes
//! the actions on standard output.
#![forbid(unsafe_code)]

use lilacbank::wire::AdapterHost;
use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic is reported through the protocol, so its message on standard error is suppressed.
    std::panic::set_hook(Box::new(|_| {}));
    let input = io::BufReader::with_capacity(1 << 20, io::stdin().lock());
    match AdapterHost::default().run(input, io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("lilacbank-adapter: {e}");
            ExitCode::FAILURE
        }
    }
}
