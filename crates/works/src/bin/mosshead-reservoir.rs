//! A machine of the core: keeps the configuration and its part of the register of servers.

fn main() {
    let command = mosshead_works::command::parser("A machine of the core of the router fleet").run();
    std::process::exit(mosshead_works::command::run(command, mosshead_works::core::serve));
}
