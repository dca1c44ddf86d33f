//! A buffer whose memory goes back to the system when it is freed, if it is large.

use memmap2::MmapMut;

/// Buffers from this size on are mapped, in bytes. In the allocator's heap, freed buffers of this size would leave gaps
/// that it keeps.
const MAPPED_FROM: usize = 64 * 1024;

/// A growing buffer.
#[derive(Debug, Default)]
pub(crate) struct Buffer {
    storage: Storage,
    length: usize,
}

#[derive(Debug)]
enum Storage {
    Heap(Vec<u8>),
    Mapped(MmapMut),
}

impl Default for Storage {
    fn default() -> Self {
        Self::Heap(Vec::new())
    }
}

impl Buffer {
    /// Number of bytes in it.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Number of bytes that fit.
    pub(crate) fn capacity(&self) -> usize {
        match &self.storage {
            Storage::Heap(bytes) => bytes.len(),
            Storage::Mapped(map) => map.len(),
        }
    }

    /// Makes room for `capacity` bytes in all.
    pub(crate) fn grow(&mut self, capacity: usize) {
        let mut storage = Storage::with_capacity(capacity);
        storage.bytes_mut()[..self.length].copy_from_slice(self.as_ref());
        self.storage = storage;
    }

    /// Appends bytes for which there is room.
    pub(crate) fn append(&mut self, bytes: &[u8]) {
        let end = self.length + bytes.len();
        self.storage.bytes_mut()[self.length..end].copy_from_slice(bytes);
        self.length = end;
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        match &self.storage {
            Storage::Heap(bytes) => &bytes[..self.length],
            Storage::Mapped(map) => &map[..self.length],
        }
    }
}

impl Storage {
    fn with_capacity(capacity: usize) -> Self {
        if capacity < MAPPED_FROM {
            return Self::Heap(vec![0; capacity]);
        }
        match MmapMut::map_anon(capacity) {
            Ok(map) => Self::Mapped(map),
            // The system has no more mappings.
            Err(_) => Self::Heap(vec![0; capacity]),
        }
    }

    fn bytes_mut(&mut self) -> &mut [u8] {
        match self {
            Self::Heap(bytes) => bytes,
            Self::Mapped(map) => map,
        }
    }
}
