//! Image caches of machines, as far as the leader knows them.

use super::Host;

/// Lower bound of the fetch rate, in gigabytes per second, with which fetch durations are computed.
const MIN_FETCH_GB_PER_S: f64 = 1e-3;

/// Share of the fetches under way that is assumed to remain until an image among them is ready.
const REMAINING_FETCH_SHARE: f64 = 0.5;

/// An image in the cache of a machine.
#[derive(Debug, Clone)]
pub struct CachedImage {
    /// Name of the image.
    pub name: String,
    /// Size in gigabytes.
    pub size_gb: f64,
    /// Steady time, in milliseconds, at which a task last needed the image.
    pub used_ms: u64,
    /// False while the image is being fetched.
    pub ready: bool,
}

impl Host {
    /// Returns the expected number of seconds until `image`, of `gb` gigabytes, is on the machine, which
    /// fetches `rate` gigabytes per second.
    pub fn fetch_s(&self, image: &str, gb: f64, rate: f64) -> f64 {
        let rate = rate.max(MIN_FETCH_GB_PER_S);
        let in_progress_gb: f64 = self.images.iter().filter(|cached| !cached.ready).map(|cached| cached.size_gb).sum();
        match self.images.iter().find(|cached| cached.name == image) {
            Some(cached) if cached.ready => 0.0,
            Some(_) => in_progress_gb / rate * REMAINING_FETCH_SHARE,
            None => (in_progress_gb + gb) / rate,
        }
    }

    /// Records that a task on the machine needs `image`. The least recently used other images are evicted
    /// while the cache exceeds `cache_gb` gigabytes.
    pub fn use_image(&mut self, image: &str, gb: f64, cache_gb: f64, now: u64) {
        match self.images.iter_mut().find(|cached| cached.name == image) {
            Some(cached) => cached.used_ms = now,
            None => self.images.push(CachedImage { name: image.into(), size_gb: gb, used_ms: now, ready: false }),
        }
        let mut total_gb: f64 = self.images.iter().map(|cached| cached.size_gb).sum();
        while total_gb > cache_gb && self.images.len() > 1 {
            let others = (0..self.images.len()).filter(|position| self.images[*position].name != image);
            let Some(oldest) = others.min_by_key(|position| self.images[*position].used_ms) else { return };
            total_gb -= self.images.remove(oldest).size_gb;
        }
    }

    /// Records that `image` was fetched.
    pub fn image_ready(&mut self, image: &str) {
        if let Some(cached) = self.images.iter_mut().find(|cached| cached.name == image) {
            cached.ready = true;
        }
    }
}
