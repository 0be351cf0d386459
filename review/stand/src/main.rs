//! The cases of the independent review. Usage: `review-stand CASE FOLDER`.

mod deployment;
mod history;
mod http;
mod stale_return;
mod state;
mod swarm;
mod world;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-stand CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match case.as_str() {
        "swarm" => swarm::run(folder, trouble),
        "history" => history::run(folder, trouble),
        "stale-return" => stale_return::run(folder, trouble),
        _ => std::process::exit(2),
    }
}
