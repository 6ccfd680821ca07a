//! The control node of the fleet: a member of the consensus group with a replica of the registry.

fn main() {
    let command = mosshead_programs::command::parser("A machine of the core of the router fleet").run();
    std::process::exit(mosshead_programs::command::run(command, mosshead_programs::control_process::serve));
}
