//! Runs a control node: a member of the consensus group with a replica of the server registry.

fn main() {
    let command = mosshead_programs::command::parser("The control node of the router fleet").run();
    std::process::exit(mosshead_programs::command::run(command, mosshead_programs::control_process::serve));
}
