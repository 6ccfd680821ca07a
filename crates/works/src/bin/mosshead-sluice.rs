//! The proxy of the fleet: carries clients' requests to model servers.

fn main() {
    let command = mosshead_works::command::parser("The proxy of the router fleet").run();
    std::process::exit(mosshead_works::command::run(command, mosshead_works::proxy::serve));
}
