//! Why an emulation could not be played.

use std::io;
use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// Why an emulation could not be played.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum FleetEmulatorError {
        /// A program of the fleet is not there.
        ProgramMissing(path: PathBuf) {
            display("{} is not there: build it (`cargo build --release --workspace`)", path.display())
        }
        /// A process could not be started.
        Start(program: PathBuf, error: io::Error) {
            display("{} can't be started: {error}", program.display())
            source(error)
        }
        /// A file or a socket of the emulation failed.
        Io(error: io::Error) {
            display("{error}")
            source(error)
            from()
        }
        /// A signal ended it before its time.
        Interrupted {
            display("ended before its time")
        }
        /// The fleet did not get ready.
        NotReady(what: &'static str) {
            display("the fleet did not get ready: {what}")
        }
    }
}
