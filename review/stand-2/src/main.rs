//! Stand-ins and checks of the second review. `review-stand-2 CASE FOLDER` plays a case from the repository's root,
//! writes `record.txt` into the folder and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

mod cases;
mod fleet;
mod http;
mod platform;
mod record;
mod store;
mod users;

use fleet::{Flavor, Fleet, WorkerTimes};
use platform::{Deployment, Platform};
use record::Record;
use std::path::{Path, PathBuf};
use std::process::exit;
use std::sync::Arc;
use std::time::Duration;
use store::{Limits, Store};
use users::Users;

/// Time after which a case is ended without a result.
const LONGEST_RUN: Duration = Duration::from_secs(118);

/// A deployment with its stand-ins.
pub struct Scene {
    pub platform: Arc<Platform>,
    pub fleet: Arc<Fleet>,
    pub store: Store,
    pub users: Users,
    pub record: Record,
    pub trouble: bool,
    temporary: PathBuf,
}

impl Scene {
    /// Creates the deployment; nothing is started yet.
    pub fn new(folder: &Path, deployment: Deployment, flavors: Vec<Flavor>) -> Scene {
        let record = Record::create(&folder.join("record.txt")).unwrap_or_else(|error| {
            eprintln!("no record: {error}");
            exit(2)
        });
        let temporary = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).unwrap();
        let limits = Limits {
            rps: deployment.rps,
            write_rps: deployment.write_rps,
            value_kb: deployment.value_kb,
            txn_ops: deployment.txn_ops,
        };
        let times = WorkerTimes { report_s: deployment.report_s, lease_s: deployment.lease_s };
        let (cloud_rps, lag) = (deployment.cloud_rps, deployment.list_lag_s);
        let store = Store::new(limits);
        let platform = Platform::new(deployment, &temporary, record.clone());
        let fleet = Fleet::new(flavors, times, cloud_rps, lag, platform.addresses(), record.clone());
        let users = Users { platform: platform.clone(), fleet: fleet.clone(), record: record.clone() };
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.line(&format!("trouble: {trouble}"));
        Scene { platform, fleet, store, users, record, trouble, temporary }
    }

    /// Starts the stand-ins and the controllers, and waits until a node is healthy.
    pub fn start(&self) {
        let clouds: Vec<_> = (0..3).map(|node| self.fleet.serve_cloud(node)).collect();
        let states: Vec<_> = (0..3).map(|_| self.store.serve()).collect();
        self.platform.start(&clouds, &states);
        for _ in 0..200 {
            if self.users.poll("run-999999").is_some_and(|(status, _)| status == 404) {
                return;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        self.record.say("the deployment does not answer");
        self.end(2);
    }

    /// Ends all processes and exits.
    pub fn end(&self, code: i32) -> ! {
        self.platform.end();
        self.record.line(&format!("exit code {code}"));
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.temporary);
        } else {
            println!("logs: {}", self.temporary.display());
        }
        exit(code)
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-stand-2 CASE FOLDER");
        exit(2)
    };
    // A panic of a stand-in means that the case could not run.
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        hook(info);
        platform::kill_all();
        exit(2)
    }));
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST_RUN);
        eprintln!("the case took too long");
        platform::kill_all();
        exit(2)
    });
    cases::play(case, Path::new(folder))
}
