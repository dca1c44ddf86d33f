//! A simulated store, simulated daemons, and a directory in which the program runs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Mutex;
use tansylead_lab::http::{self, json_reply, text_reply};
use tansylead_lab::store::{StoreControl, StoreFaults, seed_objects, server};
use tansylead_types::in_force::IN_FORCE_PATH;
use tansylead_types::{
    ConfigObject, InForceAnswer, ObjectKey, ServiceDefinition, ServiceName, ServicePlacement,
    StoredObject,
};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio_util::sync::CancellationToken;

/// Result of one run of the program.
pub struct Run {
    pub code: i32,
    /// Standard output, then standard error, with the store's address replaced by `STORE`: its port differs
    /// from run to run.
    pub text: String,
}

impl std::fmt::Display for Run {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}exit code {}", self.text, self.code)
    }
}

pub struct Bench {
    runtime: Runtime,
    directory: PathBuf,
    store: SocketAddr,
}

impl Bench {
    /// Starts a store with two services and creates an empty directory.
    pub fn new(name: &str) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("runtime");
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = std::fs::remove_dir_all(&directory);
        std::fs::create_dir_all(&directory).expect("directory");
        let listener = runtime
            .block_on(TcpListener::bind("127.0.0.1:0"))
            .expect("listens");
        let store = listener.local_addr().expect("address");
        runtime.spawn(server::serve(listener, CancellationToken::new()));
        let bench = Self {
            runtime,
            directory,
            store,
        };
        bench.seed();
        bench
    }

    fn seed(&self) {
        let mut objects = Vec::new();
        for service in ["screening-1", "appeals"] {
            let service = ServiceName::new(service).expect("name");
            let definition = ServiceDefinition {
                service: service.clone(),
                policy: Default::default(),
            };
            let key = ObjectKey::Service(service.clone());
            objects.push((key, ConfigObject::Service(definition)));
            for place in ["bangkok", "phuket"] {
                let place: tansylead_types::PlaceName = place.parse().expect("name");
                let key = ObjectKey::Placement(service.clone(), place.clone());
                let placement = ServicePlacement {
                    service: service.clone(),
                    place,
                    leafs: Vec::new(),
                    snapshots: Vec::new(),
                };
                objects.push((key, ConfigObject::Placement(placement)));
            }
        }
        let seeded = self
            .runtime
            .block_on(seed_objects(&self.control(), &objects));
        seeded.expect("seeded");
    }

    fn control(&self) -> StoreControl {
        StoreControl::new(self.store)
    }

    pub fn set_faults(&self, faults: &StoreFaults) {
        let set = self.runtime.block_on(self.control().set_faults(faults));
        set.expect("faults are set");
    }

    pub fn restore(&self, revision: u64) {
        let restored = self.runtime.block_on(self.control().restore(revision));
        restored.expect("restored");
    }

    /// The table in the store, if it was ever written.
    pub fn stored_table(&self) -> Option<StoredObject> {
        let list = self
            .runtime
            .block_on(self.control().list())
            .expect("listed");
        list.objects
            .into_iter()
            .find(|object| object.key == ObjectKey::Table)
    }

    /// Starts a daemon that has a generation in force and gives these answers in order, and then always the last
    /// one.
    pub fn start_daemon(&self, table_generation: u64, answers: Vec<InForceAnswer>) -> SocketAddr {
        let listener = self
            .runtime
            .block_on(TcpListener::bind("127.0.0.1:0"))
            .expect("listens");
        let address = listener.local_addr().expect("address");
        // The field of a daemon's status that the table commands read.
        let status = BTreeMap::from([("table_generation", table_generation)]);
        let answers = std::sync::Arc::new(Mutex::new(answers));
        let serve = http::serve(listener, CancellationToken::new(), move |request, _| {
            let (status, answers) = (status.clone(), answers.clone());
            async move {
                match request.uri().path() {
                    "/v1/status" => json_reply(hyper::StatusCode::OK, &status),
                    IN_FORCE_PATH => {
                        let mut answers = answers.lock().expect("lock");
                        let answer = if answers.len() > 1 {
                            answers.remove(0)
                        } else {
                            answers[0].clone()
                        };
                        json_reply(hyper::StatusCode::OK, &answer)
                    }
                    _ => text_reply(hyper::StatusCode::NOT_FOUND, "no such path"),
                }
            }
        });
        self.runtime.spawn(serve);
        address
    }

    pub fn write(&self, file: &str, text: &str) {
        std::fs::write(self.directory.join(file), text).expect("written");
    }

    pub fn read(&self, file: &str) -> String {
        std::fs::read_to_string(self.directory.join(file)).expect("read")
    }

    /// Runs `tansylead table` with the arguments in `line`, separated by spaces. `STORE` is replaced by the store's
    /// address.
    pub fn table(&self, line: &str) -> Run {
        let store = self.store.to_string();
        let arguments = line.split(' ').map(|argument| {
            if argument == "STORE" {
                store.as_str()
            } else {
                argument
            }
        });
        let output = Command::new(env!("CARGO_BIN_EXE_tansylead"))
            .arg("table")
            .args(arguments)
            .env("USER", "somchai")
            .current_dir(&self.directory)
            .output()
            .expect("runs");
        let texts =
            [output.stdout, output.stderr].map(|bytes| String::from_utf8(bytes).expect("text"));
        Run {
            code: output.status.code().expect("ends by itself"),
            text: texts.concat().replace(&store, "STORE"),
        }
    }

    /// Pulls the table, replaces it and proposes the change.
    pub fn propose(&self, file: &str, rows: &str) -> Run {
        assert_eq!(self.table(&format!("pull {file} --store STORE")).code, 0);
        self.write(file, &format!("service,place,hours,weight,limit\n{rows}"));
        self.table(&format!("propose {file} --comment test --store STORE"))
    }

    pub fn accept(&self, proposal: &str, extra_arguments: &str) -> Run {
        let line = format!("accept {proposal} --store STORE");
        self.table(format!("{line} {extra_arguments}").trim_end())
    }
}
