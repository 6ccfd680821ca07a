//! A machine of the core: keeps the configuration and its part of the register of servers.

fn main() {
    let command = mosshead_programs::command::parser("A machine of the core of the router fleet").run();
    std::process::exit(mosshead_programs::command::run(command, mosshead_programs::control_node::serve));
}
