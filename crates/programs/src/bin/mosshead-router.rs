//! Runs a proxy, which forwards clients' requests to model servers.

fn main() {
    let command = mosshead_programs::command::parser("The proxy of the router fleet").run();
    std::process::exit(mosshead_programs::command::run(command, mosshead_programs::proxy::serve));
}
