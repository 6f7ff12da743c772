//! Hosts decision instances for the simulator: batches on standard input, replies on standard output.
#![forbid(unsafe_code)]

use lilacbank::wire::Host;
use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic is reported on the wire; its trace would help nobody there.
    std::panic::set_hook(Box::new(|_| {}));
    let input = io::BufReader::with_capacity(1 << 20, io::stdin().lock());
    match Host::default().run(input, io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("lilacbank-adapter: {e}");
            ExitCode::FAILURE
        }
    }
}
