/// One run of a process, from its start to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId {
    /// The index of the machine that the process runs on.
    pub machine: usize,
    /// Rises with each start of the process on this machine.
    pub incarnation: u64,
}
