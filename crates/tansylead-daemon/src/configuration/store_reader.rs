//! Follows the store by watch and puts what it shows in force.

use super::view::ConfigurationView;
use crate::metrics::Metrics;
use crate::platform::StoreClient;
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use tansylead_types::StepError;
use tansylead_types::store::ObjectList;
use tokio::sync::watch;

/// Pauses are drawn from the span between this share of them and the whole.
const LEAST_PAUSE_SHARE: f64 = 0.5;

/// Time limits of the reader.
#[derive(Debug, Clone)]
pub struct StoreReaderLimits {
    /// A watch is held this long.
    pub watch_wait: Duration,
    /// First pause after a failure.
    pub first_pause: Duration,
    /// Longest pause.
    pub longest_pause: Duration,
}

/// Reads the store for as long as its task runs.
#[derive(Debug)]
pub struct StoreReader {
    store: StoreClient,
    limits: StoreReaderLimits,
    view: watch::Sender<Arc<ConfigurationView>>,
    metrics: Arc<Metrics>,
    after: u64,
    reachable: Option<bool>,
}

impl StoreReader {
    /// A reader that publishes to `view`.
    pub fn new(
        store: StoreClient,
        limits: StoreReaderLimits,
        view: watch::Sender<Arc<ConfigurationView>>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            store,
            limits,
            view,
            metrics,
            after: 0,
            reachable: None,
        }
    }

    /// Runs until its task is ended.
    pub async fn run(mut self) {
        let mut pause = self.limits.first_pause;
        loop {
            match self.read_once().await {
                Ok(list) => {
                    pause = self.limits.first_pause;
                    self.note_reachable(None);
                    self.take(list);
                }
                Err(error) => {
                    self.note_reachable(Some(&error));
                    let share = rand::rng().random_range(LEAST_PAUSE_SHARE..1.0);
                    tokio::time::sleep(pause.mul_f64(share)).await;
                    pause = (pause * 2).min(self.limits.longest_pause);
                }
            }
        }
    }

    async fn read_once(&self) -> Result<ObjectList, StepError> {
        let result = match self.after {
            0 => self.store.list(0).await,
            after => self.store.watch(after, self.limits.watch_wait).await,
        };
        let label = if result.is_ok() { "ok" } else { "error" };
        self.metrics.store_reads.with_label_values(&[label]).inc();
        result
    }

    fn take(&mut self, list: ObjectList) {
        if list.revision < self.after {
            // The store was restored to an earlier state: read all of it again. Generations in
            // force here never fall.
            log::warn!(
                "store {} went back from revision {} to {}",
                self.store.address(),
                self.after,
                list.revision
            );
            self.after = 0;
            return;
        }
        self.after = list.revision;
        let mut next = ConfigurationView::clone(&self.view.borrow());
        let mut changed = false;
        for object in &list.objects {
            changed |= next.apply(object);
        }
        if changed {
            self.view.send_replace(Arc::new(next));
        }
    }

    fn note_reachable(&mut self, error: Option<&StepError>) {
        let reachable = error.is_none();
        if self.reachable == Some(reachable) {
            return;
        }
        self.reachable = Some(reachable);
        match error {
            None => log::info!("store {} is reachable", self.store.address()),
            Some(error) => log::warn!("store is not reachable: {error}"),
        }
    }
}
