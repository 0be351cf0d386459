//! The image caches of machines, as far as the leader knows them.

use super::Host;

/// The least rate of a fetch, in gigabytes per second, that its duration is computed with.
const LEAST_FETCH_GB_PER_S: f64 = 1e-3;

/// The share of all fetches under way that is still to come when an image is among them.
const SHARE_LEFT_OF_FETCH: f64 = 0.5;

/// An image in the cache of a machine.
#[derive(Debug, Clone)]
pub struct CachedImage {
    /// Name of the image.
    pub name: String,
    /// Size in gigabytes.
    pub gb: f64,
    /// Steady time in milliseconds at which a task last needed it.
    pub used_ms: u64,
    /// False while it is fetched.
    pub ready: bool,
}

impl Host {
    /// Seconds until `image`, of `gb` gigabytes, would be on the machine, which fetches `rate` gigabytes
    /// per second.
    pub fn fetch_s(&self, image: &str, gb: f64, rate: f64) -> f64 {
        let rate = rate.max(LEAST_FETCH_GB_PER_S);
        let under_way_gb: f64 = self.images.iter().filter(|cached| !cached.ready).map(|cached| cached.gb).sum();
        match self.images.iter().find(|cached| cached.name == image) {
            Some(cached) if cached.ready => 0.0,
            Some(_) => under_way_gb / rate * SHARE_LEFT_OF_FETCH,
            None => (under_way_gb + gb) / rate,
        }
    }

    /// Notes that a task here needs `image`; the ones that were not used for longest leave a full cache.
    pub fn use_image(&mut self, image: &str, gb: f64, cache_gb: f64, now: u64) {
        match self.images.iter_mut().find(|cached| cached.name == image) {
            Some(cached) => cached.used_ms = now,
            None => self.images.push(CachedImage { name: image.into(), gb, used_ms: now, ready: false }),
        }
        let mut total_gb: f64 = self.images.iter().map(|cached| cached.gb).sum();
        while total_gb > cache_gb && self.images.len() > 1 {
            let others = (0..self.images.len()).filter(|position| self.images[*position].name != image);
            let Some(oldest) = others.min_by_key(|position| self.images[*position].used_ms) else { return };
            total_gb -= self.images.remove(oldest).gb;
        }
    }

    /// Notes that an image was fetched.
    pub fn image_ready(&mut self, image: &str) {
        if let Some(cached) = self.images.iter_mut().find(|cached| cached.name == image) {
            cached.ready = true;
        }
    }
}
