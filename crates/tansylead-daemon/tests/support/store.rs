//! A store in memory: the object API with compare-and-set, a watch and a switch that loses answers.

use super::http::{json_reply, read_message};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tansylead_types::store::{ObjectList, STORE_OBJECTS_PATH, WriteConflict, WriteRequest};
use tansylead_types::{ConfigObject, ObjectKey, StoredObject};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::task::AbortOnDropHandle;

/// Longest time this store holds a watch.
const WATCH_HOLD: Duration = Duration::from_millis(50);

#[derive(Default)]
struct Contents {
    revision: u64,
    objects: BTreeMap<String, StoredObject>,
}

/// The running store.
pub struct TestStore {
    pub address: SocketAddr,
    pub lose_answers: Arc<AtomicBool>,
    contents: Arc<Mutex<Contents>>,
    _task: AbortOnDropHandle<()>,
}

impl TestStore {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let contents = Arc::new(Mutex::new(Contents::default()));
        let lose_answers = Arc::new(AtomicBool::new(false));
        let (shared, lose) = (Arc::clone(&contents), Arc::clone(&lose_answers));
        let task = tokio::spawn(async move {
            let mut serving = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                serving.spawn(serve(stream, Arc::clone(&shared), Arc::clone(&lose)));
            }
        });
        Self {
            address,
            lose_answers,
            contents,
            _task: AbortOnDropHandle::new(task),
        }
    }

    /// Writes an object, whatever generation it has.
    pub fn set(&self, key: ObjectKey, object: ConfigObject) {
        let mut contents = self.contents.lock();
        let text = key.to_string();
        let expected = contents
            .objects
            .get(&text)
            .map_or(0, |held| held.generation);
        let write = WriteRequest {
            expected_generation: expected,
            change: "set".parse().expect("change id"),
            object,
        };
        contents.write(&text, write).expect("no conflict");
    }
}

impl Contents {
    fn write(
        &mut self,
        key: &str,
        write: WriteRequest,
    ) -> Result<StoredObject, Box<WriteConflict>> {
        let current = self.objects.get(key).cloned();
        let generation = current.as_ref().map_or(0, |held| held.generation);
        if generation != write.expected_generation {
            return Err(Box::new(WriteConflict { current }));
        }
        self.revision += 1;
        let stored = StoredObject {
            key: key.to_owned().try_into().expect("object key"),
            revision: self.revision,
            generation: generation + 1,
            change: write.change,
            object: Some(write.object),
        };
        self.objects.insert(key.to_owned(), stored.clone());
        Ok(stored)
    }

    fn list(&self, after: u64) -> ObjectList {
        let changed = self
            .objects
            .values()
            .filter(|object| object.revision > after);
        ObjectList {
            revision: self.revision,
            objects: changed.cloned().collect(),
        }
    }
}

async fn serve(mut stream: TcpStream, contents: Arc<Mutex<Contents>>, lose: Arc<AtomicBool>) {
    while let Some((head, body)) = read_message(&mut stream).await {
        let mut parts = head.split(' ');
        let (method, path) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        let reply = reply(method, path, &body, &contents).await;
        if lose.load(Ordering::SeqCst) || stream.write_all(reply.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn reply(method: &str, path: &str, body: &[u8], contents: &Mutex<Contents>) -> String {
    let key = path
        .strip_prefix(STORE_OBJECTS_PATH)
        .and_then(|rest| rest.strip_prefix('/'));
    match (method, key) {
        ("PUT", Some(key)) => {
            let write = serde_json::from_slice(body).expect("write request");
            match contents.lock().write(key, write) {
                Ok(stored) => json_reply(200, &serde_json::to_string(&stored).expect("encode")),
                Err(conflict) => {
                    json_reply(409, &serde_json::to_string(&conflict).expect("encode"))
                }
            }
        }
        (_, Some(key)) => match contents.lock().objects.get(key) {
            Some(stored) => json_reply(200, &serde_json::to_string(stored).expect("encode")),
            None => json_reply(404, "{}"),
        },
        _ => {
            let after = path.split("after=").nth(1).unwrap_or("0");
            let after: u64 = after
                .split('&')
                .next()
                .unwrap_or("0")
                .parse()
                .expect("revision");
            if path.contains("watch") && contents.lock().revision <= after {
                tokio::time::sleep(WATCH_HOLD).await;
            }
            let list = contents.lock().list(after);
            json_reply(200, &serde_json::to_string(&list).expect("encode"))
        }
    }
}
